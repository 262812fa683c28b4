package claim_test

import (
	"math/bits"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/state/idempotency"
)

const keep = 600 * schedule.Second

func of(life uint64) claim.Claim {
	return claim.Claim{Key: "key", By: claim.Name{Life: life, Number: 1}}
}

// Two claimants ask three seats for one key, each answer arrives or is lost, and one
// seat may lose its memory between any two questions; in every order at most one wins.
func TestOneClaimantAtMostInEveryOrder(test *testing.T) {
	wins, orders := 0, 0
	for lost := range 64 {
		if bits.OnesCount(uint(lost)) > 2 {
			continue
		}
		for forgets := -1; forgets < 3; forgets++ {
			simulation.Orders(6, func(order []int) {
				for when := range 7 {
					if forgets < 0 && when > 0 {
						break
					}
					orders++
					wins += twoClaimants(test, order, lost, forgets, when)
				}
			})
		}
	}
	Convey("some won, and often nobody", test, func() {
		So(wins, ShouldBeGreaterThan, orders/10)
		So(wins, ShouldBeLessThan, orders)
	})
}

func twoClaimants(test *testing.T, order []int, lost, forgets, when int) int {
	registries, seats := [3]*claim.Registry{}, [3]*claim.Seat{}
	for slot := range 3 {
		registries[slot], seats[slot] = claim.NewRegistry(keep, 8), claim.NewSeat(0, 3, slot)
		seats[slot].Longest(schedule.Second)
	}
	now := 10 * schedule.Second
	tallies := [2]*claim.Tally{claim.NewTally(now, 3, 0, of(0).By), claim.NewTally(now, 3, 0, of(1).By)}
	for turn, question := range order {
		if turn == when && forgets >= 0 {
			registries[forgets], seats[forgets] = claim.NewRegistry(keep, 8), claim.NewSeat(now, 3, forgets)
		}
		claimant, slot := question/3, question%3
		answer := claim.Answer{Slot: slot}
		if seats[slot].Whole(now) {
			answer.Verdict, answer.Holder = registries[slot].Take(now, of(uint64(claimant)))
		}
		if lost>>question&1 > 0 {
			tallies[claimant].Miss(slot)
		} else {
			tallies[claimant].Hear(now, answer)
		}
	}
	wins := 0
	for _, tally := range tallies {
		if tally.Outcome(now) == claim.Won {
			wins++
		}
	}
	if wins > 1 {
		test.Fatalf("two claimants won: order %v, lost %06b, seat %d forgets before %d", order, lost, forgets, when)
	}
	return wins
}

func TestASeatThatForgotAbstainsUntilItKnows(test *testing.T) {
	Convey("one other seat is not enough, two are, and only after settling", test, func() {
		seat := claim.NewSeat(0, 3, 0)
		seat.Copied(claim.Settle-1, 1, 1)
		seat.Copied(claim.Settle-1, 2, 1)
		So(seat.Whole(claim.Settle), ShouldBeFalse)
		seat.Copied(claim.Settle, 1, 1)
		So(seat.Whole(claim.Settle), ShouldBeFalse)
		seat.Copied(claim.Settle, 2, 1)
		So(seat.Whole(claim.Settle), ShouldBeTrue)
	})
	Convey("without others it waits for the longest one-shot request", test, func() {
		seat := claim.NewSeat(0, 3, 0)
		So(seat.Whole(schedule.Never), ShouldBeFalse)
		seat.Longest(3 * schedule.Second)
		So(seat.Whole(3*schedule.Second+claim.Margin-1), ShouldBeFalse)
		So(seat.Whole(3*schedule.Second+claim.Margin), ShouldBeTrue)
	})
}

func TestAnswersUnderOldBindingsDoNotCount(test *testing.T) {
	for _, order := range [][]int{{2, 0, 1}, {2, 1, 0}, {1, 2, 0}, {0, 2, 1}} {
		tally := claim.NewTally(0, 3, 1, of(1).By)
		for _, slot := range order {
			epoch := uint64(1)
			if slot == 2 {
				epoch = 2
			}
			tally.Hear(1, claim.Answer{Slot: slot, Epoch: epoch, Verdict: claim.Granted})
		}
		if outcome := tally.Outcome(1); outcome == claim.Won {
			test.Errorf("order %v: won with one seat under the latest bindings", order)
		}
	}
	Convey("and a majority that comes late does not count either, while one in time is kept", test, func() {
		for _, last := range []schedule.Microseconds{claim.Budget - 1, claim.Budget} {
			tally := claim.NewTally(0, 3, 1, of(1).By)
			tally.Hear(1, claim.Answer{Slot: 0, Epoch: 1, Verdict: claim.Granted})
			tally.Hear(last, claim.Answer{Slot: 1, Epoch: 1, Verdict: claim.Granted})
			expected := claim.Won
			if last == claim.Budget {
				expected = claim.Unheard
			}
			So(tally.Outcome(2*claim.Budget), ShouldEqual, expected)
		}
	})
}

func TestAFullRegistryForgetsNothing(test *testing.T) {
	Convey("it declines new keys, frees only for the claimant, and lapses by time", test, func() {
		registry := claim.NewRegistry(keep, 1)
		first := claim.Claim{Key: "a", By: claim.Name{Life: 1}}
		verdict, _ := registry.Take(0, first)
		So(verdict, ShouldEqual, claim.Granted)
		full := 0
		for number := range 200 {
			if verdict, _ := registry.Take(1, claim.Claim{Key: string(rune('b' + number))}); verdict == claim.Full {
				full++
			}
		}
		So(full, ShouldBeGreaterThanOrEqualTo, 200-claim.Shards)
		registry.Release("a", claim.Name{Life: 2})
		verdict, holder := registry.Take(1, claim.Claim{Key: "a", By: claim.Name{Life: 2}})
		So(verdict, ShouldEqual, claim.Taken)
		So(holder.By.Life, ShouldEqual, 1)
		verdict, _ = registry.Take(keep, claim.Claim{Key: "a", By: claim.Name{Life: 2}})
		So(verdict, ShouldEqual, claim.Granted)
	})
}
