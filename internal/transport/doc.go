// Package transport carries calls between daemons, and their HTTP towards callers, engines and
// operators.
//
// Daemons call each other through [Internal]: connect-go over HTTP/1.1 with gob messages, with
// the name of the fleet in a header, so that daemons of two fleets that share addresses by
// mistake don't talk to each other. A daemon creates its Internal with [NewInternal], registers
// its procedures with [Handle], serves it with [Serve], and calls other daemons with [Call].
//
// Everything else is plain HTTP/1.1 with JSON: [ReadJSON], [WriteJSON] and [WriteError] on the
// serving side, [NewHTTPTransport] on the calling side.
//
// All connections are opened through a [Network], so that simulations can replace it.
package transport
