// Package httpapi implements the router's own HTTP/JSON interface. Callers post a request to
// /v1/answer and receive a stream of JSON lines. The router runs the request on a prefill engine and a
// decode engine, which implement the protocol of package engineapi.
//
// New returns a Handler. Start must be called before the first request, Register adds the handler's
// route to the public interface, and Drain waits until the running requests have finished. The router
// passes the control plane's state on with UpdateEngines, SetEvacuatedZones, ApplyLoadReports and
// RestoreReservations, and the handler reads further state through its ControlState. All methods may
// be called concurrently.
//
// A request passes through these steps:
//
//   - Admission checks the request against the active configuration (answer_handler.go,
//     answer_admission.go).
//   - The idempotency key is reserved in the router's own table. The key of a one-shot request is also
//     reserved at a quorum of the members of its service's shard, so that no two routers run the
//     request (key_reservation.go, key_outcome.go, reservation_sender.go, reservation_restore.go).
//   - The request waits for a prefill engine and a decode engine with capacity (engine_wait.go,
//     engine_tables.go).
//   - The request is attempted on these engines, and a watchdog limits the time of each attempt
//     (request_forwarding.go, prefill.go, decode.go, engine_http.go, attempt_watchdog.go). The policies
//     of the request's template filter the engines and limit retries (request_policy.go). After a
//     failure, the leader of the service's shard decides whether a retry is allowed
//     (engine_failures.go).
//   - The engine's frames are relayed to the caller (answer_stream.go). A request that fails before its
//     first frame gets an error response, which does not claim more about the execution than is proven
//     (answer_handler.go) and says when to retry (retry_after.go).
package httpapi
