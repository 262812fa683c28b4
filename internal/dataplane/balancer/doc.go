// Package balancer chooses the engines of a service that a router sends a request to.
//
// A Balancer is one router's view of the engines of one service: which prompt prefixes they have
// cached, how loaded they are, and which of them are unhealthy. Select compares all placements by
// their cost, which is the estimated time to the first token plus penalties in the same unit: for
// crossing zones and regions, for computing a prefix twice, for slowing down other responses and
// for recent failures. A placement is either one engine that does all, or a prefiller that computes
// the prompt's KV cache and a decoder that fetches it and generates the response.
//
// The router calls Update whenever the engines or the configuration change. For each request it
// calls Select, then Admit for each engine before it sends anything there, reports what it sends
// and what the engine shows with the Record and Add methods, and ends each admitted call with
// Release. What is reported of an engine that is not listed any more is ignored.
//
// The package does no input or output and starts no goroutines. It has no clock: each method that
// depends on the time takes it as an argument. All methods may be called concurrently.
package balancer
