// Package controlapi defines the API of control-plane servers for their clients: the paths, requests and
// responses of calls by routers, the JSON documents of the public HTTP interface, and the mapping of
// services to shards.
//
// Calls are encoded with encoding/gob, which identifies fields by name, and documents with encoding/json. The
// field names and JSON tags are therefore part of the wire format. A message with a wire form is sent with the
// field names of the wire form instead of its own.
package controlapi
