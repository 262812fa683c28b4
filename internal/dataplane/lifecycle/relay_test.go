package relay_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/lifecycle"
)

// Every way through the table of moves, up to a length, with bytes leaving at each
// Prefilling and with or without the engine's proof.
func TestEveryWayEndsHonestly(test *testing.T) {
	ways, notRun := 0, 0
	var walk func(chart relay.Chart, ran bool, depth int)
	walk = func(chart relay.Chart, ran bool, depth int) {
		ways++
		switch ending := chart.Ending(); {
		case ending == relay.NotRun && ran:
			test.Fatalf("told not run, but it may have run: %+v", chart)
		case ending == relay.NotRun:
			notRun++
		case ending == relay.Run && chart.Sent == 0:
			test.Fatalf("told run, but nothing left: %+v", chart)
		}
		if depth == 0 {
			return
		}
		for _, next := range relay.Moves[chart.State] {
			moved := chart
			if err := moved.Move(next); err != nil {
				test.Fatal(err)
			}
			switch {
			case next == relay.Prefilling:
				moved.Leave()
				walk(moved, ran, depth-1)
			case chart.State == relay.Prefilling && next == relay.Matched:
				moved.Prove()
				walk(moved, ran, depth-1)
			case chart.State == relay.Prefilling:
				walk(moved, true, depth-1)
			default:
				walk(moved, ran, depth-1)
			}
		}
	}
	walk(*relay.NewChart(), false, 14)
	Convey("ways were walked", test, func() {
		So(ways, ShouldBeGreaterThan, 1000)
		So(notRun, ShouldBeGreaterThan, 10)
	})
}

func TestNoStateAfterStreamingLeadsToAnotherTry(test *testing.T) {
	Convey("streaming only finishes or is cut", test, func() {
		So(relay.Moves[relay.Streaming], ShouldResemble, []relay.State{relay.Finished, relay.Cut})
		So(relay.Moves[relay.Finished], ShouldBeEmpty)
		So(relay.Moves[relay.Cut], ShouldBeEmpty)
	})
}

func TestRepeatsStayUnderOneInFive(test *testing.T) {
	Convey("however often a repeat is wanted", test, func() {
		repeats := &relay.Repeats{}
		taken := 0
		for range 1000 {
			repeats.Enrol(20, 5)
			for range 3 {
				if repeats.Take() {
					taken++
				}
			}
		}
		So(taken, ShouldBeLessThanOrEqualTo, 205)
		So(taken, ShouldBeGreaterThan, 150)
	})
}

// Four routers are killed again and again while every request wants all the repeats it
// can get; all of them alone in the world, as after a start or when isolated.
func TestRepeatsOfAFleetOfRouters(test *testing.T) {
	Convey("the sum stays under one in five, however often they start anew", test, func() {
		for _, life := range []int{1, 3, 7, 40, 1000} {
			routers, taken, requests := [4]*relay.Repeats{}, 0, 4000
			for number := range requests {
				if place := number % 4; number/4%life == 0 {
					routers[place] = &relay.Repeats{}
				}
				each := routers[number%4]
				each.Enrol(20, 5)
				for each.Take() {
					taken++
				}
			}
			So(taken, ShouldBeLessThanOrEqualTo, requests/5+5)
			if life >= 7 {
				So(taken, ShouldBeGreaterThan, requests/10)
			}
		}
	})
}

func TestKeysAreClaimedOnce(test *testing.T) {
	Convey("a key is claimed once until it is given back or has lapsed", test, func() {
		keys := relay.NewKeys()
		taken := func(now schedule.Microseconds) bool {
			_, _, taken, _ := keys.Claim(now, "a")
			return taken
		}
		number, _, _, _ := keys.Claim(0, "a")
		So(taken(1), ShouldBeTrue)
		keys.End("a", number+relay.Shards, relay.NotRun)
		So(taken(1), ShouldBeTrue)
		keys.End("a", number, relay.NotRun)
		So(taken(2), ShouldBeFalse)
		So(taken(500*schedule.Second), ShouldBeTrue)
		So(taken(700*schedule.Second), ShouldBeFalse)
		So(taken(701*schedule.Second), ShouldBeTrue)
	})
}
