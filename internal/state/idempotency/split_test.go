package claim_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/state/idempotency"
)

// contest is several claimants of one key at the seats of one part, without clocks and
// links: the test says which question arrives next.
type contest struct {
	seats   []*claim.Registry
	tallies []*claim.Tally
	forgot  map[int]bool
	now     schedule.Microseconds
}

func newContest(claimants, seats int) *contest {
	made := &contest{forgot: map[int]bool{}}
	for range seats {
		made.seats = append(made.seats, claim.NewRegistry(keep, 8))
	}
	for claimant := range claimants {
		made.tallies = append(made.tallies, claim.NewTally(0, seats, 0, of(uint64(claimant)).By))
	}
	return made
}

// ask has a seat answer a claimant that is still open.
func (c *contest) ask(claimant, slot int) {
	tally := c.tallies[claimant]
	if tally.Outcome(c.now) != claim.Open {
		return
	}
	answer := claim.Answer{Slot: slot}
	if !c.forgot[slot] {
		answer.Verdict, answer.Holder = c.seats[slot].Take(c.now, of(uint64(claimant)))
	}
	tally.Hear(c.now, answer)
}

// forget has a seat start anew, and abstain for longer than any claim here is open.
func (c *contest) forget(slot int) {
	c.seats[slot], c.forgot[slot] = claim.NewRegistry(keep, 8), true
}

// again has a claimant release all its grants if it lost, and ask the contested seats
// again if it is open.
func (c *contest) again(claimant int) {
	tally := c.tallies[claimant]
	for slot, seat := range c.seats {
		switch {
		case tally.Outcome(c.now) == claim.Lost:
			seat.Release("key", of(uint64(claimant)).By)
		case tally.Contested(c.now, slot):
			c.ask(claimant, slot)
		}
	}
}

// end takes turns until every claim is decided, and tells how many won.
func (c *contest) end(turns []int) (won, open int) {
	for range len(c.tallies) + 1 {
		for _, claimant := range turns {
			c.again(claimant)
		}
	}
	for _, tally := range c.tallies {
		switch tally.Outcome(c.now) {
		case claim.Won:
			won++
		case claim.Open:
			open++
		}
	}
	return won, open
}

// interleavings are all orders of the questions of so many claimants, each of which asks
// the seats in its own order.
func interleavings(claimants, questions int, try func(order []int)) {
	order, asked := make([]int, 0, claimants*questions), make([]int, claimants)
	var extend func()
	extend = func() {
		if len(order) == claimants*questions {
			try(order)
			return
		}
		for claimant := range claimants {
			if asked[claimant] == questions {
				continue
			}
			asked[claimant]++
			order = append(order, claimant)
			extend()
			order = order[:len(order)-1]
			asked[claimant]--
		}
	}
	extend()
}

// Three claimants ask three seats, each its own first: however their questions fall in,
// and whoever goes on first, exactly one wins while all seats answer.
func TestOneClaimantWinsInEveryOrder(test *testing.T) {
	orders, split := 0, 0
	interleavings(3, 3, func(order []int) {
		simulation.Orders(3, func(turns []int) {
			contest, asked := newContest(3, 3), [3]int{}
			for _, claimant := range order {
				contest.ask(claimant, (claimant+asked[claimant])%3)
				asked[claimant]++
			}
			decided := false
			for _, tally := range contest.tallies {
				decided = decided || tally.Outcome(0) == claim.Won
			}
			if !decided {
				split++
			}
			if won, open := contest.end(turns); won != 1 || open != 0 {
				test.Errorf("order %v, then %v: %d won, %d open", order, turns, won, open)
			}
			orders++
		})
	})
	if split == 0 || split == orders {
		test.Errorf("of %d orders %d split the seats", orders, split)
	}
}

// The same with two to five claimants at three and five seats, in orders by chance, where
// a claimant may go on before all seats were asked.
func TestOneClaimantWinsAtMoreSeats(test *testing.T) {
	for seed := range uint64(3000) {
		chance := rand.New(rand.NewPCG(seed, 0))
		claimants, seats := 2+chance.IntN(4), 3+2*chance.IntN(2)
		contest := newContest(claimants, seats)
		for _, question := range chance.Perm(claimants * seats) {
			contest.ask(question/seats, question%seats)
			if chance.IntN(4) == 0 {
				contest.again(chance.IntN(claimants))
			}
		}
		if won, open := contest.end(chance.Perm(claimants)); won != 1 || open != 0 {
			test.Errorf("seed %d, %d claimants at %d seats: %d won, %d open", seed, claimants, seats, won, open)
		}
	}
}

// The same while answers are lost and seats forget what they granted, and then abstain:
// at most one wins.
func TestOneClaimantAtMostWhileAnswersAreLost(test *testing.T) {
	wins, runs := 0, uint64(3000)
	for seed := range runs {
		chance := rand.New(rand.NewPCG(seed, 1))
		claimants, seats := 2+chance.IntN(2), 3+2*chance.IntN(2)
		contest := newContest(claimants, seats)
		for _, question := range chance.Perm(claimants * seats) {
			switch chance.IntN(8) {
			case 0:
				contest.forget(chance.IntN(seats))
			case 1:
				contest.again(chance.IntN(claimants))
			case 2:
				contest.seats[question%seats].Take(0, of(uint64(question/seats)))
				continue
			}
			contest.ask(question/seats, question%seats)
		}
		won, _ := contest.end(chance.Perm(claimants))
		if won > 1 {
			test.Errorf("seed %d, %d claimants at %d seats: %d won", seed, claimants, seats, won)
		}
		wins += won
	}
	if wins < int(runs)/10 || wins == int(runs) {
		test.Errorf("%d of %d contests were won", wins, runs)
	}
}

// A claim that is kept for good is not waited for once its majority is seen, and one that
// never ends delays a claimant no longer than the budget.
func TestAKeptKeyIsLostAtOnce(test *testing.T) {
	for _, holder := range []uint64{0, 2} {
		test.Run(fmt.Sprint("holder ", holder), func(test *testing.T) {
			contest := newContest(3, 3)
			contest.ask(int(holder), 0)
			contest.ask(int(holder), 1)
			for _, slot := range []int{2, 1, 0} {
				contest.ask(1, slot)
			}
			if outcome := contest.tallies[1].Outcome(0); outcome != claim.Lost {
				test.Errorf("outcome %d before the budget", outcome)
			}
		})
	}
	contest := newContest(3, 3)
	contest.ask(2, 0)
	contest.ask(0, 1)
	for slot := range 3 {
		contest.ask(1, slot)
	}
	if outcome := contest.tallies[1].Outcome(0); outcome != claim.Lost {
		test.Errorf("outcome %d with a lesser name in sight", outcome)
	}
	contest.ask(0, 0)
	if outcome := contest.tallies[0].Outcome(claim.Budget); outcome != claim.Lost {
		test.Errorf("outcome %d at the end of the budget", outcome)
	}
}

// A claim that was given up wins nothing by an answer that comes late.
func TestAWithdrawnClaimNeverWins(test *testing.T) {
	contest := newContest(2, 3)
	contest.ask(0, 0)
	contest.tallies[0].Withdraw()
	for slot := range 3 {
		contest.tallies[0].Hear(0, claim.Answer{Slot: slot, Verdict: claim.Granted})
	}
	if outcome := contest.tallies[0].Outcome(0); outcome != claim.Lost {
		test.Errorf("outcome %d", outcome)
	}
}
