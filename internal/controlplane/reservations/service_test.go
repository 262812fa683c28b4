package reservations

import (
	"context"
	"strings"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/state/idempotency"
	"coursepass/internal/topology"
	"coursepass/internal/transport"
)

// fakeShard is shard 1 with a fixed position and no members.
type fakeShard struct {
	store    *Store
	position Position
	started  bool
}

// fakeShardWithMembers is a fakeShard with three members, at an address where no server listens.
type fakeShardWithMembers struct{ fakeShard }

func (*fakeShardWithMembers) Membership() consensus.Membership {
	members := make([]consensus.Member, 3)
	for slot := range members {
		members[slot] = consensus.Member{Identity: "member", Name: "member", Address: "127.0.0.1:1"}
	}
	return consensus.Membership{Members: members}
}

func (f *fakeShard) Index() int                       { return 1 }
func (f *fakeShard) Reservations() *Store             { return f.store }
func (f *fakeShard) Position() (Position, bool)       { return f.position, f.started }
func (f *fakeShard) Membership() consensus.Membership { return consensus.Membership{} }

func newTestService(t *testing.T, shard *fakeShard) *Service {
	t.Helper()
	reservationLog := idempotency.OpenLog(wal.OSFileSystem{}, t.TempDir())
	t.Cleanup(reservationLog.Close)
	return NewService(Options{
		Server:    "server",
		Transport: transport.NewInternal("fleet", topology.NewTrafficMeter("norte"), transport.SystemNetwork),
		Clock:     clock.New(),
		Log:       reservationLog,
		Shards:    []Shard{shard},
		ObserveLongestRequest: func(_ context.Context, observe func(clock.Microseconds)) {
			observe(clock.Second)
		},
	})
}

// completeStore returns the store of slot 0 of three slots, which has copied the reservations of the other two.
func completeStore() *Store {
	store := NewStore(7, 0, 3, 0)
	store.recordImport(idempotency.QuiescencePeriod, 1, 1)
	store.recordImport(idempotency.QuiescencePeriod, 2, 1)
	return store
}

// requestOfFirstRouter and requestOfSecondRouter are requests of two different routers.
var (
	requestOfFirstRouter  = idempotency.RequestID{Life: 1, Number: 1}
	requestOfSecondRouter = idempotency.RequestID{Life: 2, Number: 1}
)

func reserve(
	service *Service, shardIndex int, key string, requestID idempotency.RequestID,
) *controlapi.ReservationsResponse {
	step := controlapi.ReservationStep{Claim: idempotency.Claim{Key: key, By: requestID}}
	return service.handleReservations(&controlapi.ReservationsRequest{
		Part:  shardIndex,
		Steps: []controlapi.ReservationStep{step},
	})
}

// A key must not be reserved for a second request until the first request has released the key.
func TestService_FirstReservationWins(t *testing.T) {
	service := newTestService(t, &fakeShard{store: completeStore(), position: Position{Slot: 0, Epoch: 3}, started: true})
	first := reserve(service, 1, "key", requestOfFirstRouter)
	if first.Slot != 0 || first.Epoch != 3 || first.Verdicts[0] != idempotency.VerdictReserved {
		t.Errorf("the first request got %+v, want a reservation", first)
	}
	second := reserve(service, 1, "key", requestOfSecondRouter)
	if second.Verdicts[0] == idempotency.VerdictReserved || second.Holders[0].By != requestOfFirstRouter {
		t.Errorf("the second request got %+v, want the first as holder", second)
	}
	service.handleReservations(&controlapi.ReservationsRequest{Part: 1, Steps: []controlapi.ReservationStep{
		{Claim: idempotency.Claim{Key: "key", By: requestOfFirstRouter}, Release: true},
	}})
	if third := reserve(service, 1, "key", requestOfSecondRouter); third.Verdicts[0] != idempotency.VerdictReserved {
		t.Errorf("after the release the second request got %+v, want a reservation", third)
	}
	if failedWrites := service.LogErrors.Load(); failedWrites != 0 {
		t.Errorf("%d writes to the reservation log failed", failedWrites)
	}
}

// A server without a complete store or a slot must make no reservation, since it may have lost one for the same key.
// Malformed requests are counted.
func TestService_MakesNoReservations(t *testing.T) {
	member := Position{Slot: 0, Epoch: 3}
	for _, testCase := range []struct {
		name          string
		shard         fakeShard
		shardIndex    int
		key           string
		wantMalformed int64
	}{
		{"by an incomplete store", fakeShard{NewStore(7, 0, 3, 0), member, true}, 1, "key", 0},
		{"without a store", fakeShard{nil, member, true}, 1, "key", 0},
		{"before the replica has started", fakeShard{completeStore(), member, false}, 1, "key", 0},
		{"without a slot", fakeShard{completeStore(), Position{Slot: noSlot}, true}, 1, "key", 0},
		{"in the configuration's shard", fakeShard{completeStore(), member, true}, 0, "key", 1},
		{"in a shard that does not exist", fakeShard{completeStore(), member, true}, 2, "key", 1},
		{"without a key", fakeShard{completeStore(), member, true}, 1, "", 1},
		{"for a key that is too long", fakeShard{completeStore(), member, true}, 1, strings.Repeat("k", maxKeyBytes+1), 1},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			service := newTestService(t, &testCase.shard)
			response := reserve(service, testCase.shardIndex, testCase.key, requestOfFirstRouter)
			if response.Verdicts[0] == idempotency.VerdictReserved {
				t.Errorf("a reservation was made: %+v", response)
			}
			if malformed := service.options.Transport.MalformedRequests.Load(); malformed != testCase.wantMalformed {
				t.Errorf("%d malformed requests, want %d", malformed, testCase.wantMalformed)
			}
		})
	}
}

// A server whose store is incomplete, or whose membership is older than the requester's, must not send its
// reservations as a complete copy.
func TestService_SnapshotOnlyOfCompleteStore(t *testing.T) {
	member := Position{Slot: 2, Epoch: 3}
	for _, testCase := range []struct {
		name           string
		store          *Store
		requesterEpoch uint64
		wantComplete   bool
	}{
		{"complete", completeStore(), 3, true},
		{"incomplete", NewStore(7, 0, 3, 0), 3, false},
		{"behind the requester's membership", completeStore(), 4, false},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			service := newTestService(t, &fakeShard{testCase.store, member, true})
			response := service.handleSnapshot(&SnapshotRequest{Part: 1, Epoch: testCase.requesterEpoch})
			if response.Whole != testCase.wantComplete || response.Slot != 2 || response.Life != 7 {
				t.Errorf("response %+v, want slot 2, incarnation 7, complete: %t", response, testCase.wantComplete)
			}
		})
	}
}

// Members request reservations from each other only if the configuration allows one-shot requests. Otherwise no
// store would ever become complete, and the members would send requests for as long as they run.
func TestService_CopiesOnlyWhereOneShotRequestsAreAllowed(t *testing.T) {
	for requestTimeout, wantCalls := range map[clock.Microseconds]int64{0: 0, clock.Second: 2} {
		shard := &fakeShardWithMembers{fakeShard{NewStore(7, -idempotency.QuiescencePeriod, 3, 0), Position{}, true}}
		service := newTestService(t, &shard.fakeShard)
		service.options.Shards = []Shard{shard}
		service.options.ObserveLongestRequest = func(_ context.Context, observe func(clock.Microseconds)) {
			observe(requestTimeout)
		}
		service.rebuildShard(t.Context(), shard)
		if startedCalls := service.options.Transport.Meter.Calls.Load(); startedCalls != wantCalls {
			t.Errorf("requests of up to %d µs: %d calls to other members, want %d", requestTimeout, startedCalls, wantCalls)
		}
	}
}
