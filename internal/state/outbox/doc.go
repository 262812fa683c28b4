// Package outbox is the replicated record of calls to external systems that can't be queried
// for what they received. One daemon of the fleet at a time makes these calls. Each call is an
// [Entry] that is committed before its first byte is sent. When a leader fails, its successor
// reads the entries that are not marked as done and sends the same bytes again.
//
// The state is pure and deterministic. [Operation] entries in a service shard's log change it;
// the same log holds the changes of the engine registry. The package has no concept of time,
// leases or the network: the control plane's singleton runner handles these.
package outbox
