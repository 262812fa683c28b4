// Package autoscale computes how many engines each service needs in each zone, within the minimum and maximum
// that the configuration sets.
//
// Routers report how long their requests have kept engines busy. A [Scaler] computes the load from these reports
// and forecasts it for the time at which an engine that is ordered now starts to serve. From the forecast it
// derives the required number of engines: enough to carry the load and its bursts at a moderate utilization, and
// enough to survive the loss of a zone. Increases are ordered immediately. Decreases are ordered only after the
// requirement has been lower for a complete stable span, and in steps of bounded size. Missing or uncertain data
// never leads to fewer engines.
//
// The load of a service is a single value for all zones. A prompt is sent to the engine that has its prefix
// cached, whatever the zone of the router, so the reports of a zone's routers show where callers are but not which
// engines do the work. The engines are therefore spread evenly over the zones in which engines can be started,
// which also needs the fewest engines to survive the loss of any one zone.
//
// All results are computed from arguments: the package does no I/O, starts no goroutine, reads no clock and has no
// locks. Each value must be used by one goroutine only.
package autoscale
