// Package transport implements the calls between daemons, and the HTTP connections between daemons and
// clients, engines and operators.
//
// Daemons call each other through [Internal]: connect-go over HTTP/1.1 with gob messages. A header
// of each request holds the name of the fleet, so that a daemon rejects requests of another fleet that
// is configured with the same addresses by mistake. A daemon creates its Internal with [NewInternal], registers
// its procedures with [Handle], serves it with [Serve], and calls other daemons with [Call].
//
// Everything else is plain HTTP/1.1 with JSON: [ReadJSON], [WriteJSON] and [WriteError] on the
// serving side, [NewHTTPTransport] on the calling side.
//
// All connections are opened through a [Network], which simulations replace by a simulated one.
package transport
