package controlplane

import (
	"context"
	"sync"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/state/idempotency"
	"coursepass/internal/transport"
)

// Paths of the procedures on claims.
const (
	ReservationsPath        = "/core/claims"
	reservationSnapshotPath = "/core/claims/share"
)

const (
	// ReservationTTL is how long a claim stands: longer than any key may be sent again.
	ReservationTTL             = 10 * 60 * clock.Second
	maxReservations            = 1 << 14
	reservationRebuildInterval = 200 * clock.Millisecond
	reservationSnapshotTimeout = 500 * clock.Millisecond
)

// ReservationsRequest is a batch of claims and releases of one router, in their order, and
// of claims that it holds, for a seat that has forgotten.
type ReservationsRequest struct {
	Part    int
	Steps   []ReservationStep
	Holding []idempotency.Claim
}

// ReservationStep takes a key or gives it back.
type ReservationStep struct {
	idempotency.Claim
	Release bool
}

// ReservationsResponse has a verdict for each step.
type ReservationsResponse struct {
	Slot     int
	Epoch    uint64
	Verdicts []idempotency.Verdict
	Holders  []idempotency.Claim
}

type reservationSnapshotRequest struct {
	Part, Index int
	Epoch       uint64
}

type reservationSnapshotResponse struct {
	Slot   int
	Epoch  uint64
	Life   uint64
	Whole  bool
	Claims []idempotency.Claim
}

// reservationStore are what one seat of a service's part keeps of one-shot keys, in memory.
type reservationStore struct {
	*idempotency.Store
	incarnation  uint64
	lock         sync.Mutex
	recoveryGate *idempotency.RecoveryGate
}

func newReservationStore(incarnation uint64, now clock.Microseconds, slots, slot int) *reservationStore {
	return &reservationStore{Store: idempotency.NewStore(ReservationTTL, maxReservations), incarnation: incarnation, recoveryGate: idempotency.NewRecoveryGate(now, slots, slot)}
}

func (r *reservationStore) isComplete(now clock.Microseconds) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.recoveryGate.Ready(now)
}

func (r *reservationStore) merge(now clock.Microseconds, incoming []idempotency.Claim) {
	for _, reservation := range incoming {
		r.Import(now, reservation)
	}
}

func (s *Server) registerReservationHandlers() {
	transport.Handle(s.internalTransport, ReservationsPath, func(_ context.Context, request *ReservationsRequest) (*ReservationsResponse, error) {
		response := &ReservationsResponse{Slot: -1, Verdicts: make([]idempotency.Verdict, len(request.Steps)), Holders: make([]idempotency.Claim, len(request.Steps))}
		if request.Part < 1 || request.Part >= len(s.shards) {
			s.internalTransport.MalformedRequests.Add(1)
			return response, nil
		}
		shard := s.shards[request.Part]
		reservations, status, now := shard.reservations.Load(), shard.status.Load(), s.clock.Now()
		if reservations == nil || status == nil || status.Slot < 0 {
			return response, nil
		}
		response.Slot, response.Epoch = status.Slot, status.Epoch
		reservations.merge(now, request.Holding)
		var granted, released []idempotency.Claim
		complete := reservations.isComplete(now)
		for index, step := range request.Steps {
			switch {
			case step.Key == "" || len(step.Key) > 512:
				s.internalTransport.MalformedRequests.Add(1)
			case step.Release:
				reservations.Release(step.Key, step.By)
				released = append(released, step.Claim)
			case complete:
				response.Verdicts[index], response.Holders[index] = reservations.Reserve(now, step.Claim)
				if response.Verdicts[index] == idempotency.VerdictReserved {
					granted = append(granted, step.Claim)
				}
			}
		}
		if s.reservationLog.Append(request.Part, append(granted, request.Holding...), released) != nil {
			s.ReservationLogErrors.Add(1)
		}
		return response, nil
	})
	transport.Handle(s.internalTransport, reservationSnapshotPath, func(_ context.Context, request *reservationSnapshotRequest) (*reservationSnapshotResponse, error) {
		response := &reservationSnapshotResponse{Slot: -1}
		if request.Part < 1 || request.Part >= len(s.shards) || request.Index < 0 {
			s.internalTransport.MalformedRequests.Add(1)
			return response, nil
		}
		shard := s.shards[request.Part]
		reservations, status, now := shard.reservations.Load(), shard.status.Load(), s.clock.Now()
		if reservations == nil || status == nil {
			return response, nil
		}
		response.Slot, response.Epoch, response.Life = status.Slot, status.Epoch, reservations.incarnation
		if response.Whole = reservations.isComplete(now) && status.Epoch >= request.Epoch; response.Whole {
			response.Claims = reservations.ListReservations(now, request.Index)
		}
		return response, nil
	})
}

// rebuildReservations has seats that have forgotten their claims copy them from the other seats.
func (s *Server) rebuildReservations(ctx context.Context) {
	clock.Every(ctx, reservationRebuildInterval, func() {
		if s.reservationLog.NeedsCompaction() {
			s.compactReservationLog()
		}
		for _, shard := range s.shards[1:] {
			reservations, status, now := shard.reservations.Load(), shard.status.Load(), s.clock.Now()
			if reservations == nil || status == nil || status.Slot < 0 || reservations.isComplete(now) {
				continue
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
				log.Info().Str("core", s.Node.Name).Int("part", shard.index).Int("claims", reservations.Count()).Msg("claims known again")
			}
		}
	})
}

func (s *Server) compactReservationLog() {
	registries := map[int]*idempotency.Store{}
	for _, shard := range s.shards[1:] {
		if reservations := shard.reservations.Load(); reservations != nil {
			registries[shard.index] = reservations.Store
		}
	}
	if s.reservationLog.Compact(s.clock.Now(), registries) != nil {
		s.ReservationLogErrors.Add(1)
	}
}

// updateLongestRequest reads from the configuration in force how long a one-shot request may be
// under way.
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
		reservations.lock.Lock()
		defer reservations.lock.Unlock()
		reservations.recoveryGate.ObserveRequestTimeout(longest)
	})
}

func (s *Server) copyReservations(ctx context.Context, shard *shardReplica, reservations *reservationStore, address string, slot int) {
	startedAt, incarnation := s.clock.Now(), uint64(0)
	reservations.lock.Lock()
	canCopy := reservations.recoveryGate.IsQuiescent(startedAt)
	reservations.lock.Unlock()
	if !canCopy {
		return
	}
	for index := range idempotency.ShardCount {
		request := &reservationSnapshotRequest{Part: shard.index, Index: index, Epoch: shard.membership.Load().Epoch}
		response, err := transport.Call[reservationSnapshotRequest, reservationSnapshotResponse](ctx, s.internalTransport, address, reservationSnapshotPath, reservationSnapshotTimeout, request)
		if err != nil || !response.Whole || response.Slot != slot || index > 0 && response.Life != incarnation {
			return
		}
		incarnation = response.Life
		reservations.merge(s.clock.Now(), response.Claims)
	}
	reservations.lock.Lock()
	defer reservations.lock.Unlock()
	reservations.recoveryGate.RecordImport(startedAt, slot, incarnation)
}
