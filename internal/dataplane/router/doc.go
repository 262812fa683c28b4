// Package router implements the data-plane daemon. A router receives the control plane's state and
// serves callers according to the active configuration.
//
// New returns a Router for its settings. If a proxy is used, SetDataPlane must be called before Run.
// Run serves the internal and the public interface until its context ends, and then lets running
// streams finish within the drain timeout.
//
// Gossip delivers the state of each shard (router.go). In strict gate mode, the router activates each
// configuration at once. In open gate mode, Bootstrap decides when the router may activate its first
// configuration (config_activation.go, bootstrap.go). Repeated quorum reads of the shards' revisions
// prove that the router's state is fresh (freshness_reads.go, freshness_gate.go). The router's own
// interface sends no new work to zones that are draining (region_drain.go).
//
// There are two data planes: the router's own HTTP/JSON interface in package httpapi, which reads the
// state through its ControlState (control_state.go), and an optional DataPlane such as the opaque
// proxy (data_plane.go). If a DataPlane is set, it receives the engines, and the HTTP/JSON interface
// does not. Routers tell each other which engines did not respond to their DataPlane
// (suspect_gossip.go), ask each other for placements and report failed engine calls (placement.go).
package router
