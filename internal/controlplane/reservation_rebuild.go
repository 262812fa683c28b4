package controlplane

import (
	"context"
	"sync"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/state/idempotency"
	"coursepass/internal/transport"
)

const (
	reservationRebuildInterval = 200 * clock.Millisecond
	reservationSnapshotTimeout = 500 * clock.Millisecond
)

// rebuildReservations copies the reservations of the other slots to stores that are not complete, and
// compacts the reservation log when it is due.
func (s *Server) rebuildReservations(ctx context.Context) {
	clock.Every(ctx, reservationRebuildInterval, func() {
		if s.reservationLog.NeedsCompaction() {
			s.compactReservationLog()
		}
		for _, shard := range s.shards[1:] {
			s.rebuildShardReservations(ctx, shard)
		}
	})
}

func (s *Server) rebuildShardReservations(ctx context.Context, shard *shardReplica) {
	reservations, status := shard.reservations.Load(), shard.status.Load()
	if reservations == nil || status == nil || status.Slot < 0 || reservations.isComplete(s.clock.Now()) {
		return
	}
	s.updateLongestRequest(ctx, reservations)
	var group sync.WaitGroup
	for slot, member := range shard.membership.Load().Seats {
		if slot != status.Slot && !member.Vacant() {
			group.Go(func() { s.copyReservations(ctx, shard, reservations, member.Address, slot) })
		}
	}
	group.Wait()
	if reservations.isComplete(s.clock.Now()) {
		log.Info().Str("server", s.Name).Int("shard", shard.index).Int("reservations", reservations.Count()).
			Msg("reservations complete")
	}
}

func (s *Server) compactReservationLog() {
	stores := map[int]*idempotency.Store{}
	for _, shard := range s.shards[1:] {
		if reservations := shard.reservations.Load(); reservations != nil {
			stores[shard.index] = reservations.Store
		}
	}
	if s.reservationLog.Compact(s.clock.Now(), stores) != nil {
		s.ReservationLogErrors.Add(1)
	}
}

// updateLongestRequest tells the store how long a one-shot request may be under way by the applied
// configuration.
func (s *Server) updateLongestRequest(ctx context.Context, reservations *reservationStore) {
	s.shards[0].runInLoop(ctx, func() {
		longest := clock.Microseconds(0)
		for _, tenant := range s.configuration.View().Plan.Tenants {
			for _, template := range tenant.Kinds {
				if template.OneShot() {
					longest = max(longest, template.TotalTimeout())
				}
			}
		}
		reservations.observeRequestTimeout(longest)
	})
}

// copyReservations merges the reservations of another slot, one portion after another. The copy counts
// only if all portions are from one incarnation of a complete store.
func (s *Server) copyReservations(
	ctx context.Context, shard *shardReplica, reservations *reservationStore, address string, slot int,
) {
	startedAt := s.clock.Now()
	if !reservations.isQuiescent(startedAt) {
		return
	}
	incarnation := uint64(0)
	for index := range idempotency.ShardCount {
		request := &reservationSnapshotRequest{
			Part:  shard.index,
			Index: index,
			Epoch: shard.membership.Load().Epoch,
		}
		response, err := transport.Call[reservationSnapshotRequest, reservationSnapshotResponse](
			ctx, s.internalTransport, address, reservationSnapshotPath, reservationSnapshotTimeout, request,
		)
		if err != nil || !response.Whole || response.Slot != slot {
			return
		}
		if index > 0 && response.Life != incarnation {
			return
		}
		incarnation = response.Life
		reservations.merge(s.clock.Now(), response.Claims)
	}
	reservations.recordImport(startedAt, slot, incarnation)
}
