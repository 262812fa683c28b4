// Package proxy forwards client requests from a router to inference engines and relays the engines'
// responses to the clients.
//
// For each request, a Proxy finds the matching route, authenticates the tenant by its API key and
// selects one of the route's services by weight. A placement owner (package placement) or the
// service's load balancer (package balancer) then selects either one engine for the whole request,
// or a prefill engine and a decode engine. Proxy retries, resumes and migrates requests under three
// rules:
//
//   - A request that may have run is sent again only if its route allows retries.
//   - Every arrival at an engine after the first one costs one token of the retry budget, which all
//     requests of the router share. An arrival is a prefill or generate call that may have reached
//     an engine.
//   - A rejection states that the request has not run only if this is proven.
//
// The code is organized as follows:
//
//   - forward.go: the request loop.
//   - attempt.go: one attempt, made of the calls in prefill.go and generate.go.
//   - placement.go, engine_report.go: the protocol between routers and placement owners.
//   - response.go, stream.go: relaying of responses.
//   - retry.go: accounting of retry tokens.
//   - migration.go: migration of streams out of a region under maintenance.
//   - watchdog.go: timeouts of calls to engines.
//   - request_state.go: the state machine of a request.
//   - usage.go, timing.go, slow_log.go, counters.go: usage records, latency metrics, logging of slow
//     requests, and event counters.
//
// The caller creates a Proxy with New and sets the optional callbacks. It then calls Configure and
// UpdateEngines, once at the start and again whenever the configuration or the engine registry
// changes. Until the first call of Configure, every request is rejected with the code RouterStale.
// All methods are safe for concurrent use, except where their comments say otherwise.
package proxy
