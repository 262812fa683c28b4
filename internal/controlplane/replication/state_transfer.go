package replication

import (
	"context"

	"github.com/phuslu/log"

	"coursepass/internal/consensus/wal"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/gossip"
)

// publishState publishes the applied state to gossip, as a snapshot and as the entries since the last
// publication.
func (r *ShardReplica) publishState(ctx context.Context, status *controlapi.ShardStatus) {
	head := gossip.Head{
		Shard:    r.options.Shard,
		Index:    r.replica.AppliedIndex(),
		Term:     r.replica.AppliedTerm(),
		Revision: status.Revision,
		Epoch:    status.Epoch,
	}
	update := gossip.Update{Head: head, Data: r.replica.TakeSnapshot(), Entries: r.entriesSincePublished(head.Index)}
	r.publishedIndex = head.Index
	go r.options.Server.PublishState(ctx, update)
}

// entriesSincePublished returns the entries since the last publication, or nil unless all of them are
// still in the log.
func (r *ShardReplica) entriesSincePublished(applied uint64) []gossip.Entry {
	if r.publishedIndex == 0 {
		return nil
	}
	var entries []gossip.Entry
	for index := r.publishedIndex + 1; index <= applied; index++ {
		entry, retained := r.replica.Entry(index)
		if !retained {
			return nil
		}
		entries = append(entries, gossip.Entry{Index: entry.Index, Term: entry.Term, Data: entry.Data})
	}
	return entries
}

// OfferSnapshot hands a router's snapshot of the shard to a replica that recovers from the loss of its
// disk. Snapshots that are no newer than one offered before are ignored.
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
