package idempotency_test

import (
	"math/bits"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/state/idempotency"
)

const testRetention = 600 * clock.Second

func newReservation(incarnation uint64) idempotency.Claim {
	return idempotency.Claim{Key: "key", By: idempotency.RequestID{Life: incarnation, Number: 1}}
}

// Two requests ask three replicas for one key. Each answer arrives or is lost, and one replica
// may restart between any two queries. At most one request may win in every order: a restarted
// replica that answered at once could give the key to the second request, too.
func TestQuorum_AtMostOneWinnerInEveryOrder(t *testing.T) {
	wins, orders := 0, 0
	for lostAnswers := range 64 {
		if bits.OnesCount(uint(lostAnswers)) > 2 {
			continue
		}
		for restarted := -1; restarted < 3; restarted++ {
			simulation.Permutations(6, func(order []int) {
				for restartBefore := range 7 {
					if restarted < 0 && restartBefore > 0 {
						break
					}
					orders++
					wins += runTwoRequests(t, order, lostAnswers, replicaRestart{restarted, restartBefore})
				}
			})
		}
	}
	Convey("some orders have a winner and some have none", t, func() {
		So(wins, ShouldBeGreaterThan, orders/10)
		So(wins, ShouldBeLessThan, orders)
	})
}

// replicaRestart is the restart of a replica before a step. A negative replica means that no
// replica restarts.
type replicaRestart struct {
	replica    int
	beforeStep int
}

// runTwoRequests delivers the queries of two requests to three replicas in the given order.
// lostAnswers has a set bit for each query whose answer is lost. The result is the number of
// requests that won, and the test fails if both did.
func runTwoRequests(t *testing.T, order []int, lostAnswers int, restart replicaRestart) int {
	t.Helper()
	var stores [3]*idempotency.Store
	var gates [3]*idempotency.RecoveryGate
	for replica := range 3 {
		stores[replica] = idempotency.NewStore(testRetention, 8)
		gates[replica] = idempotency.NewRecoveryGate(0, 3, replica)
		gates[replica].ObserveRequestTimeout(clock.Second)
	}
	now := 10 * clock.Second
	counts := [2]*idempotency.QuorumCount{
		idempotency.NewQuorumCount(now, 3, 0, newReservation(0).By),
		idempotency.NewQuorumCount(now, 3, 0, newReservation(1).By),
	}
	for step, query := range order {
		if step == restart.beforeStep && restart.replica >= 0 {
			stores[restart.replica] = idempotency.NewStore(testRetention, 8)
			gates[restart.replica] = idempotency.NewRecoveryGate(now, 3, restart.replica)
		}
		requester, replica := query/3, query%3
		answer := idempotency.Answer{Slot: replica}
		if gates[replica].Ready(now) {
			answer.Verdict, answer.Owner = stores[replica].Reserve(now, newReservation(uint64(requester)))
		}
		if lostAnswers>>query&1 > 0 {
			counts[requester].RecordUnreachable(replica)
		} else {
			counts[requester].RecordAnswer(now, answer)
		}
	}
	wins := 0
	for _, count := range counts {
		if count.Outcome(now) == idempotency.OutcomeReserved {
			wins++
		}
	}
	if wins > 1 {
		t.Fatalf("two requests won: order %v, lost answers %06b, restart %+v", order, lostAnswers, restart)
	}
	return wins
}

func TestRecoveryGate_AbstainsUntilReady(t *testing.T) {
	Convey("imports from two other replicas are needed, both begun after the quiescence period", t, func() {
		gate := idempotency.NewRecoveryGate(0, 3, 0)
		gate.RecordImport(idempotency.QuiescencePeriod-1, 1, 1)
		gate.RecordImport(idempotency.QuiescencePeriod-1, 2, 1)
		So(gate.Ready(idempotency.QuiescencePeriod), ShouldBeFalse)
		gate.RecordImport(idempotency.QuiescencePeriod, 1, 1)
		So(gate.Ready(idempotency.QuiescencePeriod), ShouldBeFalse)
		gate.RecordImport(idempotency.QuiescencePeriod, 2, 1)
		So(gate.Ready(idempotency.QuiescencePeriod), ShouldBeTrue)
	})
	Convey("without imports the replica waits for the longest one-shot request to end", t, func() {
		gate := idempotency.NewRecoveryGate(0, 3, 0)
		So(gate.Ready(clock.Never), ShouldBeFalse)
		gate.ObserveRequestTimeout(3 * clock.Second)
		So(gate.Ready(3*clock.Second+idempotency.RequestTimeoutMargin-1), ShouldBeFalse)
		So(gate.Ready(3*clock.Second+idempotency.RequestTimeoutMargin), ShouldBeTrue)
	})
}

func TestQuorum_IgnoresAnswersOfOldEpochs(t *testing.T) {
	for _, order := range [][]int{{2, 0, 1}, {2, 1, 0}, {1, 2, 0}, {0, 2, 1}} {
		count := idempotency.NewQuorumCount(0, 3, 1, newReservation(1).By)
		for _, replica := range order {
			epoch := uint64(1)
			if replica == 2 {
				epoch = 2
			}
			count.RecordAnswer(1, idempotency.Answer{Slot: replica, Epoch: epoch, Verdict: idempotency.VerdictReserved})
		}
		if outcome := count.Outcome(1); outcome == idempotency.OutcomeReserved {
			t.Errorf("order %v: the request won with only one replica of the latest membership epoch", order)
		}
	}
	Convey("a majority reached at the timeout doesn't count, one reached before it stays valid", t, func() {
		for _, last := range []clock.Microseconds{idempotency.ReservationTimeout - 1, idempotency.ReservationTimeout} {
			count := idempotency.NewQuorumCount(0, 3, 1, newReservation(1).By)
			count.RecordAnswer(1, idempotency.Answer{Slot: 0, Epoch: 1, Verdict: idempotency.VerdictReserved})
			count.RecordAnswer(last, idempotency.Answer{Slot: 1, Epoch: 1, Verdict: idempotency.VerdictReserved})
			expected := idempotency.OutcomeReserved
			if last == idempotency.ReservationTimeout {
				expected = idempotency.OutcomeNoQuorum
			}
			So(count.Outcome(2*idempotency.ReservationTimeout), ShouldEqual, expected)
		}
	})
}

func TestStore_FullStoreKeepsReservations(t *testing.T) {
	Convey("a full store rejects new keys, releases a key only for its owner, and expires keys", t, func() {
		store := idempotency.NewStore(testRetention, 1)
		first := idempotency.Claim{Key: "a", By: idempotency.RequestID{Life: 1}}
		verdict, _ := store.Reserve(0, first)
		So(verdict, ShouldEqual, idempotency.VerdictReserved)
		full := 0
		for number := range 200 {
			verdict, _ := store.Reserve(1, idempotency.Claim{Key: string(rune('b' + number))})
			if verdict == idempotency.VerdictFull {
				full++
			}
		}
		So(full, ShouldBeGreaterThanOrEqualTo, 200-idempotency.ShardCount)
		store.Release("a", idempotency.RequestID{Life: 2})
		verdict, owner := store.Reserve(1, idempotency.Claim{Key: "a", By: idempotency.RequestID{Life: 2}})
		So(verdict, ShouldEqual, idempotency.VerdictConflict)
		So(owner.By.Life, ShouldEqual, 1)
		verdict, _ = store.Reserve(testRetention, idempotency.Claim{Key: "a", By: idempotency.RequestID{Life: 2}})
		So(verdict, ShouldEqual, idempotency.VerdictReserved)
	})
}
