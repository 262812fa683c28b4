// Package httpapi is the router's own HTTP/JSON interface: callers post a request to /v1/answer
// and receive a stream of JSON lines, while the router has it run on a pair of engines that
// speak package engineapi.
//
// A Handler is made with New. Start comes before the first request, Register adds its route to the
// public interface, and Drain waits for running requests at the end. Meanwhile the router
// passes on what it learns from the control plane: UpdateEngines, SetEvacuatedZones,
// ApplyLoadReports and RestoreReservations. What the Handler needs to know it asks of its
// ControlState. All methods may be called concurrently.
//
// A request goes through these steps, each in files of its own:
//
//   - It is checked against the active configuration (answer_handler.go, answer_admission.go).
//   - Its idempotency key is reserved: here, and for a one-shot request at a quorum of its service's
//     shard, so that no two routers run it (key_reservation.go, key_outcome.go,
//     reservation_sender.go, reservation_restore.go).
//   - It waits for a prefill engine and a decode engine with capacity (engine_wait.go,
//     engine_tables.go).
//   - Its attempts run there, each bounded by a watchdog (request_forwarding.go, prefill.go, decode.go,
//     engine_http.go, attempt_watchdog.go); the template's policies choose engines and limit
//     retries (request_policy.go), and the leader of the service decides on retries after a
//     failure (engine_failures.go).
//   - The frames are relayed to the caller (answer_stream.go), or an error that claims no more about
//     the execution than is proven (retry_after.go).
package httpapi
