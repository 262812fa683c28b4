// Package autoscale decides how many engines each service should have in each zone, between the bounds that
// the configuration sets.
//
// Routers report how long they have kept engines busy. A [Scaler] measures the load from these reports,
// forecasts it until an engine that is ordered now could serve, and derives how many engines the service
// needs: enough for the load and its bursts at a moderate utilization, and enough to survive the loss of a
// zone. It orders more engines at once, and fewer only after the need has been lower for a complete span, one
// bounded step at a time. Whatever it does not know for certain never leads to fewer engines.
//
// The load of a service is one number for all zones. A prompt is sent to the engine that has its prefix
// cached, whatever the zone of its router, so that a zone's routers say where callers are and not which
// engines work. The engines are therefore spread evenly over the zones that are open, which also costs least
// for the loss of any one of them.
//
// Everything here is computed from arguments: the package does no I/O, starts no goroutine, reads no clock and
// has no locks, so that one goroutine owns each value.
package autoscale
