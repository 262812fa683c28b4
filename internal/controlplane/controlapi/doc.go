// Package controlapi has what the clients of control-plane servers need to call them: the paths, requests and
// responses of routers' calls, the JSON documents of the public HTTP interface, and the mapping of services
// to shards.
//
// Calls travel by encoding/gob, which goes by the names of fields, and documents by their JSON tags: field
// names and tags are the wire format. Messages with a wire form are sent with its field names instead.
package controlapi
