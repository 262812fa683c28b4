// Package proxy forwards the requests of one router to inference engines, and relays the engines'
// responses to the clients.
//
// A Proxy matches each request to a route, finds its tenant by the key that it carries, picks one
// of the route's services by weight and asks that service's load balancer (package balancer) for an
// engine, or for a pair of engines if the prompt is to be prefilled apart from decoding. It retries,
// resumes and migrates requests under three rules:
//
//   - A request that may have run is sent again only if its route allows that.
//   - Every arrival at an engine past the first costs a token of the retry budget, which all
//     requests of the router share.
//   - A rejection says that the request has not run only if that is proven.
//
// The files follow the concerns: forward.go has the request loop, attempt.go one attempt,
// prefill.go and generate.go its two calls, response.go and stream.go the relaying of responses,
// usage.go the counting of requests that engines began, retry.go the retry decisions, migration.go the move of streams out of a region under
// maintenance, watchdog.go the timeouts of calls to engines.
//
// The caller makes a Proxy with New, sets OnSuspect if it wants to, then calls Configure and
// UpdateEngines, and again whenever the configuration or the engine registry changes. Until the
// first Configure each request is rejected as RouterStale. All methods may be called
// concurrently.
package proxy
