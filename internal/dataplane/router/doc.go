// Package router is the data-plane daemon. It follows the control plane's state and serves
// callers by the configuration that is active.
//
// New makes a Router from checked settings; SetDataPlane, if a proxy is used, comes before Run.
// Run serves the internal and the public interface until its context ends, and then lets running
// streams finish.
//
// The state of each shard arrives by gossip (router.go). Each configuration is activated at once or
// held back by the bootstrap rule (config_activation.go, bootstrap.go), and repeated quorum
// reads of the shards' revisions prove that the state is fresh (freshness_reads.go,
// freshness_gate.go). Zones that are drained are left out (region_drain.go).
//
// Two implementations of the data plane receive that state: the router's own HTTP/JSON interface, in
// package httpapi, which asks the router back what it needs (control_state.go), and a DataPlane
// that is set, such as the opaque proxy (data_plane.go). The latter takes the engines in place
// of the former, and routers tell each other of its suspects (suspect_gossip.go).
package router
