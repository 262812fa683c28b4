package reservations

import (
	"context"
	"sync"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/state/idempotency"
	"coursepass/internal/transport"
)

const (
	// rebuildInterval is the interval at which a service checks whether stores must be rebuilt and whether the
	// reservation log must be compacted.
	rebuildInterval = 200 * clock.Millisecond
	// snapshotTimeout is the timeout of a call that copies one portion of another slot's reservations.
	snapshotTimeout = 500 * clock.Millisecond
)

// Run copies the reservations of other slots to stores that are not complete, and compacts the reservation log
// when a compaction is due. It returns when the context ends.
func (s *Service) Run(ctx context.Context) {
	clock.Every(ctx, rebuildInterval, func() {
		if s.options.Log.NeedsCompaction() {
			s.compactLog()
		}
		for _, shard := range s.options.Shards {
			s.rebuildShard(ctx, shard)
		}
	})
}

func (s *Service) rebuildShard(ctx context.Context, shard Shard) {
	store := shard.Reservations()
	position, started := shard.Position()
	if store == nil || !started || position.Slot < 0 || store.IsComplete(s.options.Clock.Now()) {
		return
	}
	s.options.ObserveLongestRequest(ctx, store.observeRequestTimeout)
	if !store.allowsOneShotRequests() {
		// No router can ask for a reservation. While no configuration allows one-shot requests, no store ever
		// becomes complete, so the members would send each other requests for as long as they run.
		return
	}
	var group sync.WaitGroup
	for slot, member := range shard.Membership().Members {
		if slot != position.Slot && !member.Vacant() {
			group.Go(func() { s.copyReservations(ctx, shard, store, member.Address, slot) })
		}
	}
	group.Wait()
	if store.IsComplete(s.options.Clock.Now()) {
		log.Info().Str("server", s.options.Server).Int("shard", shard.Index()).Int("reservations", store.Count()).
			Msg("reservations complete")
	}
}

func (s *Service) compactLog() {
	stores := map[int]*idempotency.Store{}
	for _, shard := range s.options.Shards {
		if store := shard.Reservations(); store != nil {
			stores[shard.Index()] = store.Store
		}
	}
	if s.options.Log.Compact(s.options.Clock.Now(), stores) != nil {
		s.LogErrors.Add(1)
	}
}

// copyReservations merges the reservations of another slot into the store, one portion after another. The copy
// counts only if all portions come from the same incarnation of a complete store.
func (s *Service) copyReservations(ctx context.Context, shard Shard, store *Store, address string, slot int) {
	startedAt := s.options.Clock.Now()
	if !store.isQuiescent(startedAt) {
		return
	}
	incarnation := uint64(0)
	for index := range idempotency.ShardCount {
		request := &SnapshotRequest{
			Part:  shard.Index(),
			Index: index,
			Epoch: shard.Membership().Epoch,
		}
		target := transport.Target{Address: address, Procedure: SnapshotPath, Timeout: snapshotTimeout}
		response, err := transport.Call[SnapshotRequest, SnapshotResponse](ctx, s.options.Transport, target, request)
		if err != nil || !response.Whole || response.Slot != slot {
			return
		}
		if index > 0 && response.Life != incarnation {
			return
		}
		incarnation = response.Life
		store.merge(s.options.Clock.Now(), response.Claims)
	}
	store.recordImport(startedAt, slot, incarnation)
}
