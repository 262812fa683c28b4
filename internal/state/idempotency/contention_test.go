package idempotency_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/state/idempotency"
)

// contention simulates several requests for one key at the replicas of one shard without
// clocks and connections. The test decides which query of a request to a replica arrives next.
type contention struct {
	stores     []*idempotency.Store
	counts     []*idempotency.QuorumCount
	abstaining map[int]bool
	now        clock.Microseconds
}

func newContention(requesters, replicas int) *contention {
	race := &contention{abstaining: map[int]bool{}}
	for range replicas {
		race.stores = append(race.stores, idempotency.NewStore(testRetention, 8))
	}
	for requester := range requesters {
		self := newReservation(uint64(requester)).By
		race.counts = append(race.counts, idempotency.NewQuorumCount(0, replicas, 0, self))
	}
	return race
}

// ask delivers the query of a requester to a replica and records the answer. It does nothing
// if the request is already decided.
func (c *contention) ask(requester, replica int) {
	count := c.counts[requester]
	if count.Outcome(c.now) != idempotency.OutcomePending {
		return
	}
	answer := idempotency.Answer{Slot: replica}
	if !c.abstaining[replica] {
		answer.Verdict, answer.Owner = c.stores[replica].Reserve(c.now, newReservation(uint64(requester)))
	}
	count.RecordAnswer(c.now, answer)
}

// restartReplica empties the store of a replica. The replica abstains from then on.
func (c *contention) restartReplica(replica int) {
	c.stores[replica], c.abstaining[replica] = idempotency.NewStore(testRetention, 8), true
}

// retryOrRelease releases all reservations of a request if the request has lost. If the
// request is pending, retryOrRelease asks again the replicas that answered with a conflict.
func (c *contention) retryOrRelease(requester int) {
	count := c.counts[requester]
	for replica, store := range c.stores {
		switch {
		case count.Outcome(c.now) == idempotency.OutcomeConflict:
			store.Release("key", newReservation(uint64(requester)).By)
		case count.ShouldRetry(c.now, replica):
			c.ask(requester, replica)
		}
	}
}

// runToCompletion lets the requests retry or release in the order of turns, for as many rounds
// as may be needed to decide all. It returns the number of requests that won and the number
// of requests that are still pending.
func (c *contention) runToCompletion(turns []int) (won, pending int) {
	for range len(c.counts) + 1 {
		for _, requester := range turns {
			c.retryOrRelease(requester)
		}
	}
	for _, count := range c.counts {
		switch count.Outcome(c.now) {
		case idempotency.OutcomeReserved:
			won++
		case idempotency.OutcomePending:
			pending++
		default:
		}
	}
	return won, pending
}

// interleavings calls visit with every order in which the queries of the requesters can
// arrive. Each element of an order is the requester whose next query arrives; the queries of
// one requester stay in sequence.
func interleavings(requesters, queries int, visit func(order []int)) {
	order, asked := make([]int, 0, requesters*queries), make([]int, requesters)
	var extend func()
	extend = func() {
		if len(order) == requesters*queries {
			visit(order)
			return
		}
		for requester := range requesters {
			if asked[requester] == queries {
				continue
			}
			asked[requester]++
			order = append(order, requester)
			extend()
			order = order[:len(order)-1]
			asked[requester]--
		}
	}
	extend()
}

// Three requests query three replicas, each starting at a different replica. While all
// replicas answer, exactly one request must win, in whatever order the queries arrive and
// whichever request retries first. Otherwise a split of the replicas would leave the key
// without an owner or give it two.
func TestContention_OneWinnerInEveryOrder(t *testing.T) {
	orders, split := 0, 0
	interleavings(3, 3, func(order []int) {
		simulation.Permutations(3, func(turns []int) {
			race, asked := newContention(3, 3), [3]int{}
			for _, requester := range order {
				race.ask(requester, (requester+asked[requester])%3)
				asked[requester]++
			}
			decided := false
			for _, count := range race.counts {
				decided = decided || count.Outcome(0) == idempotency.OutcomeReserved
			}
			if !decided {
				split++
			}
			if won, pending := race.runToCompletion(turns); won != 1 || pending != 0 {
				t.Errorf("order %v, turns %v: %d requests won and %d are pending, want 1 and 0", order, turns, won, pending)
			}
			orders++
		})
	})
	if split == 0 || split == orders {
		t.Errorf("%d of %d orders split the replicas, want some but not all", split, orders)
	}
}

// Exactly one of two to five requests must win at three or five replicas when the queries
// arrive in random order and a request may retry before it has queried all replicas.
func TestContention_OneWinnerWithMoreReplicas(t *testing.T) {
	for seed := range uint64(3000) {
		random := rand.New(rand.NewPCG(seed, 0))
		requesters, replicas := 2+random.IntN(4), 3+2*random.IntN(2)
		race := newContention(requesters, replicas)
		for _, query := range random.Perm(requesters * replicas) {
			race.ask(query/replicas, query%replicas)
			if random.IntN(4) == 0 {
				race.retryOrRelease(random.IntN(requesters))
			}
		}
		if won, pending := race.runToCompletion(random.Perm(requesters)); won != 1 || pending != 0 {
			t.Errorf("seed %d, %d requests, %d replicas: %d requests won and %d are pending, want 1 and 0",
				seed, requesters, replicas, won, pending)
		}
	}
}

// At most one request may win when answers are lost and restarted replicas lose their
// reservations and abstain.
func TestContention_AtMostOneWinnerWithLostAnswers(t *testing.T) {
	wins, runs := 0, uint64(3000)
	for seed := range runs {
		random := rand.New(rand.NewPCG(seed, 1))
		requesters, replicas := 2+random.IntN(2), 3+2*random.IntN(2)
		race := newContention(requesters, replicas)
		for _, query := range random.Perm(requesters * replicas) {
			switch random.IntN(8) {
			case 0:
				race.restartReplica(random.IntN(replicas))
			case 1:
				race.retryOrRelease(random.IntN(requesters))
			case 2:
				race.stores[query%replicas].Reserve(0, newReservation(uint64(query/replicas)))
				continue
			}
			race.ask(query/replicas, query%replicas)
		}
		won, _ := race.runToCompletion(random.Perm(requesters))
		if won > 1 {
			t.Errorf("seed %d, %d requests, %d replicas: %d requests won, want at most 1", seed, requesters, replicas, won)
		}
		wins += won
	}
	if wins < int(runs)/10 || wins == int(runs) {
		t.Errorf("%d of %d runs had a winner, want at least a tenth of the runs but not all", wins, runs)
	}
}

// A request must lose at once when it sees that another request has a majority or precedes it.
// A request that waits for others to release their reservations must lose at its timeout.
func TestContention_ReservedKeyConflictsAtOnce(t *testing.T) {
	for _, owner := range []uint64{0, 2} {
		t.Run(fmt.Sprint("owner ", owner), func(t *testing.T) {
			race := newContention(3, 3)
			race.ask(int(owner), 0)
			race.ask(int(owner), 1)
			for _, replica := range []int{2, 1, 0} {
				race.ask(1, replica)
			}
			if outcome := race.counts[1].Outcome(0); outcome != idempotency.OutcomeConflict {
				t.Errorf("outcome %d before the timeout, want a conflict", outcome)
			}
		})
	}
	race := newContention(3, 3)
	race.ask(2, 0)
	race.ask(0, 1)
	for replica := range 3 {
		race.ask(1, replica)
	}
	if outcome := race.counts[1].Outcome(0); outcome != idempotency.OutcomeConflict {
		t.Errorf("outcome %d after an answer that names a preceding request, want a conflict", outcome)
	}
	race.ask(0, 0)
	if outcome := race.counts[0].Outcome(idempotency.ReservationTimeout); outcome != idempotency.OutcomeConflict {
		t.Errorf("outcome %d at the timeout, want a conflict", outcome)
	}
}

// Answers that arrive after a request was withdrawn must not make the request win.
func TestContention_WithdrawnRequestNeverWins(t *testing.T) {
	race := newContention(2, 3)
	race.ask(0, 0)
	race.counts[0].Withdraw()
	for replica := range 3 {
		race.counts[0].RecordAnswer(0, idempotency.Answer{Slot: replica, Verdict: idempotency.VerdictReserved})
	}
	if outcome := race.counts[0].Outcome(0); outcome != idempotency.OutcomeConflict {
		t.Errorf("outcome %d of a withdrawn request, want a conflict", outcome)
	}
}
