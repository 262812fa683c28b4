package reservations

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/state/idempotency"
	"coursepass/internal/transport"
)

// SnapshotPath is the transport path of calls with which servers copy reservations from each other.
const SnapshotPath = "/core/claims/share"

// maxKeyBytes is the maximum length of a reservation's key. Steps with a longer key count as malformed requests.
const maxKeyBytes = 512

// SnapshotRequest asks for one portion of the reservations at a slot.
type SnapshotRequest struct {
	// Part is the number of the shard. Index is the number of the portion.
	Part, Index int
	// Epoch is the epoch of the requester's membership. A server with an older membership sends no reservations.
	Epoch uint64
}

// SnapshotResponse contains one portion of the reservations at a slot.
type SnapshotResponse struct {
	Slot  int
	Epoch uint64
	// Life is the incarnation of the slot's store. Portions of different incarnations do not form a complete copy.
	Life uint64
	// Whole reports whether the slot's store is complete. Only then Claims contains the portion.
	Whole  bool
	Claims []idempotency.Claim
}

func (s *Service) registerHandlers() {
	transport.Handle(s.options.Transport, controlapi.ReservationsPath, func(
		_ context.Context, request *controlapi.ReservationsRequest,
	) (*controlapi.ReservationsResponse, error) {
		return s.handleReservations(request), nil
	})
	transport.Handle(s.options.Transport, SnapshotPath, func(
		_ context.Context, request *SnapshotRequest,
	) (*SnapshotResponse, error) {
		return s.handleSnapshot(request), nil
	})
}

func (s *Service) handleReservations(request *controlapi.ReservationsRequest) *controlapi.ReservationsResponse {
	response := &controlapi.ReservationsResponse{
		Slot:     noSlot,
		Verdicts: make([]idempotency.Verdict, len(request.Steps)),
		Holders:  make([]idempotency.Claim, len(request.Steps)),
	}
	shard, exists := s.shard(request.Part)
	if !exists {
		s.options.Transport.MalformedRequests.Add(1)
		return response
	}
	store := shard.Reservations()
	position, started := shard.Position()
	now := s.options.Clock.Now()
	if store == nil || !started || position.Slot < 0 {
		return response
	}
	response.Slot, response.Epoch = position.Slot, position.Epoch
	store.merge(now, request.Holding)
	reserved, released := s.applySteps(now, store, request.Steps, response)
	if s.options.Log.Append(request.Part, append(reserved, request.Holding...), released) != nil {
		s.LogErrors.Add(1)
	}
	return response
}

// applySteps executes the steps of a request, writes their verdicts to the response, and returns the reservations
// that were made and released. A store that is not complete makes no reservations.
func (s *Service) applySteps(
	now clock.Microseconds,
	store *Store,
	steps []controlapi.ReservationStep,
	response *controlapi.ReservationsResponse,
) (reserved, released []idempotency.Claim) {
	complete := store.IsComplete(now)
	for index, step := range steps {
		switch {
		case step.Key == "" || len(step.Key) > maxKeyBytes:
			s.options.Transport.MalformedRequests.Add(1)
		case step.Release:
			store.Release(step.Key, step.By)
			released = append(released, step.Claim)
		case complete:
			response.Verdicts[index], response.Holders[index] = store.Reserve(now, step.Claim)
			if response.Verdicts[index] == idempotency.VerdictReserved {
				reserved = append(reserved, step.Claim)
			}
		}
	}
	return reserved, released
}

func (s *Service) handleSnapshot(request *SnapshotRequest) *SnapshotResponse {
	response := &SnapshotResponse{Slot: noSlot}
	shard, exists := s.shard(request.Part)
	if !exists || request.Index < 0 {
		s.options.Transport.MalformedRequests.Add(1)
		return response
	}
	store := shard.Reservations()
	position, started := shard.Position()
	now := s.options.Clock.Now()
	if store == nil || !started {
		return response
	}
	response.Slot, response.Epoch, response.Life = position.Slot, position.Epoch, store.incarnation
	response.Whole = store.IsComplete(now) && position.Epoch >= request.Epoch
	if response.Whole {
		response.Claims = store.ListReservations(now, request.Index)
	}
	return response
}
