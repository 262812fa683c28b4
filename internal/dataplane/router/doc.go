// Package router is the data-plane daemon. It follows the control plane's state and serves
// callers by the configuration that is active.
//
// New makes a Router from checked settings; SetDataPlane, if a proxy is used, comes before Run.
// Run serves the internal and the public interface until its context ends, and then lets running
// streams finish.
//
// The package has two concerns, in files of their own:
//
//   - Following the control plane. The state of each shard arrives by gossip (router.go), each
//     configuration is activated at once or held back by the bootstrap rule (config_activation.go,
//     bootstrap.go), and repeated quorum reads of the shards' revisions prove that the state is
//     fresh (freshness_reads.go, freshness_gate.go). Zones that are drained are left out
//     (region_drain.go). A data plane that is set, such as the opaque proxy, receives all of it
//     (data_plane.go), and tells other routers of engines that did not answer (suspect_gossip.go).
//   - The router's own HTTP/JSON interface, POST /v1/answer. A request is admitted
//     (answer_admission.go), its idempotency key is reserved (key_*.go, reservation_*.go), it
//     waits for a pair of engines (engine_wait.go, engine_tables.go), and its attempts run
//     there (engine_*.go, attempt_watchdog.go), their frames streamed back (answer_*.go).
package router
