// Package outbox is the replicated record of the calls that one daemon of the fleet makes at a time to a
// system that can't be read back. What is to be sent is an [Entry], committed before its first byte leaves. A
// successor of a leader that failed reads the entries that are not marked as done, and sends the same bytes
// again.
//
// The state is pure and deterministic: a service shard's log changes it by [Operation] entries, beside the
// registry of engines. It decides nothing about time, leases and the network; that is what the control
// plane's singleton runner does.
package outbox
