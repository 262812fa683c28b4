package pool_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
)

// shortWish is a request that a writer serves by itself.
func shortWish(number int) pool.Wish { return pool.Wish{Name: fmt.Sprint(number), Whole: true} }

// shares is how many of a hundred requests go to each engine.
func shares(each *pool.Pool, now schedule.Microseconds) map[string]int {
	found := map[string]int{}
	for number := range 100 {
		choice, _ := each.Choose(now, shortWish(number))
		found[choice.Writer.Life]++
	}
	return found
}

func TestEnginesThatFailAPartAreUsedLess(test *testing.T) {
	parts := []string{contract.Both, contract.Both, contract.Both}
	Convey("an engine that fails each third request is hardly used, though it answers the others", test, func() {
		each, now := made(engines(parts...), contract.Contract{}), schedule.Second
		for number := range 30 {
			now += 200 * schedule.Millisecond
			if number%3 == 0 {
				each.Fail(now, "life-0")
			}
			each.Heard(now, "life-0", port.Load{})
		}
		So(shares(each, now)["life-0"], ShouldBeLessThan, 5)
		Convey("and is tried again once its faults have faded", func() {
			So(shares(each, now+30*schedule.Second)["life-0"], ShouldBeGreaterThan, 20)
		})
	})
	Convey("another router's word counts, though the engine has just answered here", test, func() {
		each, now := made(engines(parts...), contract.Contract{}), schedule.Second
		for range 6 {
			now += schedule.Second
			each.Heard(now, "life-0", port.Load{})
			each.Doubt(now, "life-0")
		}
		So(shares(each, now)["life-0"], ShouldBeLessThan, 5)
	})
	Convey("what all engines have in common counts against none", test, func() {
		each, now := made(engines(parts...), contract.Contract{}), schedule.Second
		before := shares(each, now)
		for range 8 {
			for place := range parts {
				each.Fail(now, fmt.Sprint("life-", place))
				each.Heard(now, fmt.Sprint("life-", place), port.Load{})
			}
		}
		So(shares(each, now), ShouldResemble, before)
	})
}

func TestPatienceFollowsWhatIsSeen(test *testing.T) {
	Convey("it grows with the lag that is seen, within its bounds", test, func() {
		each, now := made(engines(contract.Both), contract.Contract{}), schedule.Second
		limit := func() schedule.Microseconds { return each.Patience(now, "life-0", pool.ReadStage).Limit }
		for range 50 {
			each.Took(pool.ReadStage, pool.Patience{}, 10*schedule.Millisecond)
		}
		So(limit(), ShouldEqual, 600*schedule.Millisecond)
		for number := range 50 {
			each.Took(pool.ReadStage, pool.Patience{}, schedule.Microseconds(number%5)*100*schedule.Millisecond)
		}
		So(limit(), ShouldBeBetween, 600*schedule.Millisecond, schedule.Second)
		for range 50 {
			each.Took(pool.ReadStage, pool.Patience{}, 5*schedule.Second)
		}
		So(limit(), ShouldEqual, schedule.Second)
		So(each.Patience(now, "life-0", pool.RunStage).Limit, ShouldEqual, 600*schedule.Millisecond)
	})
	Convey("it allows for what the engine has to read before", test, func() {
		each, now := made(engines(contract.Both), contract.Contract{}), schedule.Second
		idle := each.Patience(now, "life-0", pool.ReadStage)
		each.Reading("life-0", 40000)
		busy := each.Patience(now, "life-0", pool.ReadStage)
		So(busy.Expected-idle.Expected, ShouldBeGreaterThan, 500*schedule.Millisecond)
		So(busy.Limit-idle.Limit, ShouldEqual, 2*(busy.Expected-idle.Expected))
	})
}
