package controlplane

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/state/idempotency"
	"coursepass/internal/transport"
)

// reservationSnapshotPath is the path of calls between servers.
const reservationSnapshotPath = "/core/claims/share"

// maxKeyBytes limits the key of a reservation.
const maxKeyBytes = 512

// reservationSnapshotRequest asks for one portion of the reservations at a slot.
type reservationSnapshotRequest struct {
	Part, Index int
	Epoch       uint64
}

// reservationSnapshotResponse has the portion if Whole says that the slot's store is complete. Life is the
// incarnation of the store: portions of different ones don't make a whole.
type reservationSnapshotResponse struct {
	Slot   int
	Epoch  uint64
	Life   uint64
	Whole  bool
	Claims []idempotency.Claim
}

func (s *Server) registerReservationHandlers() {
	transport.Handle(s.internalTransport, controlapi.ReservationsPath, func(
		_ context.Context, request *controlapi.ReservationsRequest,
	) (*controlapi.ReservationsResponse, error) {
		return s.handleReservations(request), nil
	})
	transport.Handle(s.internalTransport, reservationSnapshotPath, func(
		_ context.Context, request *reservationSnapshotRequest,
	) (*reservationSnapshotResponse, error) {
		return s.handleReservationSnapshot(request), nil
	})
}

func (s *Server) handleReservations(request *controlapi.ReservationsRequest) *controlapi.ReservationsResponse {
	response := &controlapi.ReservationsResponse{
		Slot:     noSlot,
		Verdicts: make([]idempotency.Verdict, len(request.Steps)),
		Holders:  make([]idempotency.Claim, len(request.Steps)),
	}
	if request.Part < 1 || request.Part >= len(s.shards) {
		s.internalTransport.MalformedRequests.Add(1)
		return response
	}
	shard := s.shards[request.Part]
	reservations, status, now := shard.reservations.Load(), shard.status.Load(), s.clock.Now()
	if reservations == nil || status == nil || status.Slot < 0 {
		return response
	}
	response.Slot, response.Epoch = status.Slot, status.Epoch
	reservations.merge(now, request.Holding)
	reserved, released := s.applyReservationSteps(now, reservations, request.Steps, response)
	if s.reservationLog.Append(request.Part, append(reserved, request.Holding...), released) != nil {
		s.ReservationLogErrors.Add(1)
	}
	return response
}

// applyReservationSteps carries out the steps, writes their verdicts into the response, and returns the
// reservations that were made and released. A store that is not complete makes none.
func (s *Server) applyReservationSteps(
	now clock.Microseconds,
	reservations *reservationStore,
	steps []controlapi.ReservationStep,
	response *controlapi.ReservationsResponse,
) (reserved, released []idempotency.Claim) {
	complete := reservations.isComplete(now)
	for index, step := range steps {
		switch {
		case step.Key == "" || len(step.Key) > maxKeyBytes:
			s.internalTransport.MalformedRequests.Add(1)
		case step.Release:
			reservations.Release(step.Key, step.By)
			released = append(released, step.Claim)
		case complete:
			response.Verdicts[index], response.Holders[index] = reservations.Reserve(now, step.Claim)
			if response.Verdicts[index] == idempotency.VerdictReserved {
				reserved = append(reserved, step.Claim)
			}
		}
	}
	return reserved, released
}

func (s *Server) handleReservationSnapshot(request *reservationSnapshotRequest) *reservationSnapshotResponse {
	response := &reservationSnapshotResponse{Slot: noSlot}
	if request.Part < 1 || request.Part >= len(s.shards) || request.Index < 0 {
		s.internalTransport.MalformedRequests.Add(1)
		return response
	}
	shard := s.shards[request.Part]
	reservations, status, now := shard.reservations.Load(), shard.status.Load(), s.clock.Now()
	if reservations == nil || status == nil {
		return response
	}
	response.Slot, response.Epoch, response.Life = status.Slot, status.Epoch, reservations.incarnation
	response.Whole = reservations.isComplete(now) && status.Epoch >= request.Epoch
	if response.Whole {
		response.Claims = reservations.ListReservations(now, request.Index)
	}
	return response
}
