package grant_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/consensus/lease"
	"coursepass/internal/faulttest/simulation"
)

var terms = grant.Terms{Lease: 3 * schedule.Second, Margin: 150 * schedule.Millisecond}

// Three voters, two rounds that ask at fixed moments, in every order of arrival,
// and each voter may restart before any of them: never do both rounds hold a
// majority's grant at one moment.
func TestNoTwoHoldersAtOnce(test *testing.T) {
	type ask struct {
		round uint64
		voter int
	}
	asks := []ask{{1, 0}, {1, 1}, {1, 2}, {2, 0}, {2, 1}, {2, 2}}
	overlaps, both := 0, 0
	for restarted := range 4 {
		simulation.Orders(len(asks), func(order []int) {
			voters := []*grant.Voter{}
			for range 3 {
				voters = append(voters, grant.NewVoter(terms, 0, true))
			}
			holders := map[uint64]*grant.Holder{1: grant.NewHolder(terms, 1, 3), 2: grant.NewHolder(terms, 2, 3)}
			now := schedule.Second
			for turn, place := range order {
				now += 900 * schedule.Millisecond
				if restarted < 3 && turn == 3 {
					voters[restarted] = grant.NewVoter(terms, now, false)
				}
				each := asks[place]
				if voters[each.voter].Give(now, each.round) {
					holders[each.round].Gain(now, each.voter, now)
				}
				if holders[1].Until() > now && holders[2].Until() > now {
					overlaps++
				}
			}
			if holders[1].Until() > 0 && holders[2].Until() > 0 {
				both++
			}
		})
	}
	Convey("two rounds never hold at once, and the orders tried are not all idle", test, func() {
		So(overlaps, ShouldEqual, 0)
		So(both, ShouldBeGreaterThan, 0)
	})
}

func TestHolderCountsFromBeforeItAskedAndKeepsQuiet(test *testing.T) {
	Convey("a holder of a majority", test, func() {
		holder := grant.NewHolder(terms, 5, 3)
		holder.Gain(2*schedule.Second, 0, schedule.Second)
		So(holder.Until(), ShouldEqual, 0)
		holder.Gain(3*schedule.Second, 2, 2*schedule.Second)
		So(holder.Until(), ShouldEqual, schedule.Second+terms.Lease-terms.Margin)
		So(holder.Quiet(), ShouldEqual, 3*schedule.Second+terms.Lease)
		holder.Gain(6*schedule.Second, 0, 6*schedule.Second)
		holder.Gain(6*schedule.Second, 2, 6*schedule.Second)
		So(holder.Covers(6*schedule.Second-1, 0), ShouldBeFalse)
		So(holder.Covers(6*schedule.Second, schedule.Second), ShouldBeTrue)
		So(holder.Covers(8*schedule.Second, schedule.Second), ShouldBeFalse)
	})
}
