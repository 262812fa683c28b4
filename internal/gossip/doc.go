// Package gossip keeps the committed states of the shards at every daemon and spreads them between daemons.
//
// An update is pushed to a few peers at once, as a snapshot or as the log entries since an earlier state. A
// daemon that a push does not reach, or that lacks the state to which its entries apply, compares digests
// with a peer and gets what it lacks. Only the newest state of a shard is kept, and nothing older replaces
// it; the order is that of the shard's log.
//
// This package has the store and the messages; package peers has the peers and the calls.
package gossip
