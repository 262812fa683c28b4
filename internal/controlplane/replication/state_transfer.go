package replication

import (
	"context"

	"github.com/phuslu/log"

	"coursepass/internal/consensus/wal"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/controlplane/shardstate"
	"coursepass/internal/gossip"
)

// maxPublishedEntries is the maximum number of log entries that are published with a state.
const maxPublishedEntries = 64

// publishState publishes the applied state to gossip, together with the log entries that follow publishedHead.
// These entries start at publishedHead because a peer may have the state at any later index: as long as log entries
// leave the state unchanged, publishedHead stays the same, and the heads with later indexes are not pushed.
func (r *ShardReplica) publishState(ctx context.Context, status *controlapi.ShardStatus) {
	head := gossip.Head{
		Shard:    r.options.Shard,
		Index:    r.replica.AppliedIndex(),
		Term:     r.replica.AppliedTerm(),
		Revision: status.Revision,
		Epoch:    status.Epoch,
	}
	update := gossip.Update{Head: head, Entries: r.publishedEntries(head.Index)}
	state := shardstate.Publish(r.replica.AppliedMembership(), r.options.StateMachine)
	if r.publishedHead.Index == 0 || !head.SameState(r.publishedHead) {
		r.publishedHead = head
	}
	go r.options.Server.PublishState(ctx, update, state)
}

// publishedEntries returns the log entries after publishedHead up to the given index, at most
// maxPublishedEntries of the latest. Routers apply them to the published state. It returns nil before the
// first publication, and if the log no longer retains one of the entries.
func (r *ShardReplica) publishedEntries(appliedIndex uint64) []gossip.Entry {
	if r.publishedHead.Index == 0 {
		return nil
	}
	firstIndex := r.publishedHead.Index + 1
	if appliedIndex >= maxPublishedEntries {
		firstIndex = max(firstIndex, appliedIndex-maxPublishedEntries+1)
	}
	var entries []gossip.Entry
	for index := firstIndex; index <= appliedIndex; index++ {
		entry, retained := r.replica.Entry(index)
		if !retained {
			return nil
		}
		publishedEntry := gossip.Entry{Index: entry.Index, Term: entry.Term, Data: entry.Data}
		entries = append(entries, shardstate.PublishedEntry(r.options.Shard, publishedEntry))
	}
	return entries
}

// OfferSnapshot passes a router's snapshot of the shard to a replica that recovers from the loss of its disk.
// A snapshot is ignored if its index is not higher than that of an earlier offer.
func (r *ShardReplica) OfferSnapshot(ctx context.Context, update gossip.Update) {
	r.loop.Put(ctx, func() {
		if r.replica == nil || !r.replica.Recovering() || update.Index <= r.offeredIndex.Load() {
			return
		}
		r.offeredIndex.Store(update.Index)
		log.Warn().Str("server", r.options.Self.Name).Int("shard", r.options.Shard).Uint64("index", update.Index).
			Msg("snapshot offered by a router")
		r.replica.OfferSnapshot(wal.Entry{Index: update.Index, Term: update.Term, Data: update.Data})
	})
}
