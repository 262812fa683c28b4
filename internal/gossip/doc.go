// Package gossip replicates the committed state of each shard to every daemon.
//
// A daemon pushes an update to a few peers immediately, either as a snapshot or as the log entries since an earlier
// state. A daemon that misses a push, or that lacks the state to which the pushed entries apply, exchanges digests
// with a peer and receives the missing updates. The store keeps only the newest state of a shard, ordered by the
// index of the shard's log; an older state never replaces a newer one.
//
// This package contains the store and the messages. Package peers contains the peer view and the calls.
package gossip
