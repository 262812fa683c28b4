package idempotency_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/state/idempotency"
)

// contention is several claimants of one key at the seats of one part, without clocks and
// links: the test says which question arrives next.
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
		race.counts = append(race.counts, idempotency.NewQuorumCount(0, replicas, 0, newReservation(uint64(requester)).By))
	}
	return race
}

// ask has a seat answer a claimant that is still open.
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

// restartReplica has a seat start anew, and abstain for longer than any claim here is open.
func (c *contention) restartReplica(replica int) {
	c.stores[replica], c.abstaining[replica] = idempotency.NewStore(testRetention, 8), true
}

// retryOrRelease has a claimant release all its grants if it lost, and ask the contested seats
// again if it is open.
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

// runToCompletion takes turns until every claim is decided, and tells how many won.
func (c *contention) runToCompletion(turns []int) (won, open int) {
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
			open++
		}
	}
	return won, open
}

// interleavings are all orders of the questions of so many claimants, each of which asks
// the seats in its own order.
func interleavings(requesters, questions int, visit func(order []int)) {
	order, asked := make([]int, 0, requesters*questions), make([]int, requesters)
	var extend func()
	extend = func() {
		if len(order) == requesters*questions {
			visit(order)
			return
		}
		for requester := range requesters {
			if asked[requester] == questions {
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

// Three claimants ask three seats, each its own first: however their questions fall in,
// and whoever goes on first, exactly one wins while all seats answer.
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
			if won, open := race.runToCompletion(turns); won != 1 || open != 0 {
				t.Errorf("order %v, then %v: %d won, %d open", order, turns, won, open)
			}
			orders++
		})
	})
	if split == 0 || split == orders {
		t.Errorf("of %d orders %d split the seats", orders, split)
	}
}

// The same with two to five claimants at three and five seats, in orders by chance, where
// a claimant may go on before all seats were asked.
func TestContention_OneWinnerWithMoreReplicas(t *testing.T) {
	for seed := range uint64(3000) {
		random := rand.New(rand.NewPCG(seed, 0))
		requesters, replicas := 2+random.IntN(4), 3+2*random.IntN(2)
		race := newContention(requesters, replicas)
		for _, question := range random.Perm(requesters * replicas) {
			race.ask(question/replicas, question%replicas)
			if random.IntN(4) == 0 {
				race.retryOrRelease(random.IntN(requesters))
			}
		}
		if won, open := race.runToCompletion(random.Perm(requesters)); won != 1 || open != 0 {
			t.Errorf("seed %d, %d claimants at %d seats: %d won, %d open", seed, requesters, replicas, won, open)
		}
	}
}

// The same while answers are lost and seats forget what they granted, and then abstain:
// at most one wins.
func TestContention_AtMostOneWinnerWithLostAnswers(t *testing.T) {
	wins, runs := 0, uint64(3000)
	for seed := range runs {
		random := rand.New(rand.NewPCG(seed, 1))
		requesters, replicas := 2+random.IntN(2), 3+2*random.IntN(2)
		race := newContention(requesters, replicas)
		for _, question := range random.Perm(requesters * replicas) {
			switch random.IntN(8) {
			case 0:
				race.restartReplica(random.IntN(replicas))
			case 1:
				race.retryOrRelease(random.IntN(requesters))
			case 2:
				race.stores[question%replicas].Reserve(0, newReservation(uint64(question/replicas)))
				continue
			}
			race.ask(question/replicas, question%replicas)
		}
		won, _ := race.runToCompletion(random.Perm(requesters))
		if won > 1 {
			t.Errorf("seed %d, %d claimants at %d seats: %d won", seed, requesters, replicas, won)
		}
		wins += won
	}
	if wins < int(runs)/10 || wins == int(runs) {
		t.Errorf("%d of %d contests were won", wins, runs)
	}
}

// A claim that is kept for good is not waited for once its majority is seen, and one that
// never ends delays a claimant no longer than the budget.
func TestContention_ReservedKeyConflictsAtOnce(t *testing.T) {
	for _, owner := range []uint64{0, 2} {
		t.Run(fmt.Sprint("holder ", owner), func(t *testing.T) {
			race := newContention(3, 3)
			race.ask(int(owner), 0)
			race.ask(int(owner), 1)
			for _, replica := range []int{2, 1, 0} {
				race.ask(1, replica)
			}
			if outcome := race.counts[1].Outcome(0); outcome != idempotency.OutcomeConflict {
				t.Errorf("outcome %d before the budget", outcome)
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
		t.Errorf("outcome %d with a lesser name in sight", outcome)
	}
	race.ask(0, 0)
	if outcome := race.counts[0].Outcome(idempotency.ReservationTimeout); outcome != idempotency.OutcomeConflict {
		t.Errorf("outcome %d at the end of the budget", outcome)
	}
}

// A claim that was given up wins nothing by an answer that comes late.
func TestContention_WithdrawnRequestNeverWins(t *testing.T) {
	race := newContention(2, 3)
	race.ask(0, 0)
	race.counts[0].Withdraw()
	for replica := range 3 {
		race.counts[0].RecordAnswer(0, idempotency.Answer{Slot: replica, Verdict: idempotency.VerdictReserved})
	}
	if outcome := race.counts[0].Outcome(0); outcome != idempotency.OutcomeConflict {
		t.Errorf("outcome %d", outcome)
	}
}
