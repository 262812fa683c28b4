// Package balancer selects the engines of a service that serve a request.
//
// A Balancer is one router's view of the engines of one service: which prompt prefixes they have
// cached, how loaded they are, and which of them are unhealthy. A placement is either a single engine
// that computes the prompt and generates the response, or a prefiller that computes the KV cache of the
// prompt and a decoder that fetches the KV cache and generates the response. Select returns the placement
// with the lowest cost. The cost is the estimated time to the first token plus penalties in the same unit:
// for crossing zones and regions, for computing a prefix that another engine has cached, for slowing down
// other responses and for recent failures.
//
// The router calls Update whenever the engines or the configuration change. For each request it calls
// Select, then Admit for each selected engine before it sends a call there. It reports the calls it sends
// and the responses it receives with the Record and Add methods, and ends each admitted call with Release.
// Reports about an engine that is no longer listed are ignored.
//
// The package does no I/O and starts no goroutines. It has no clock: each method that depends on the
// time takes the time as an argument. All methods are safe for concurrent use.
package balancer
