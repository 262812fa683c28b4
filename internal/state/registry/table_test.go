package catalogue_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

func table(now schedule.Microseconds, ages ...schedule.Microseconds) *catalogue.Table {
	return tableOf(now, "r0", 1, 0, ages...)
}

// tableOf is the picture of one of so many routers.
func tableOf(now schedule.Microseconds, self string, routers int, completed int64, ages ...schedule.Microseconds) *catalogue.Table {
	view := catalogue.NewState().View
	drawn := contract.Contract{Service: "s", Parts: map[string]string{}}
	for number := range ages {
		name := fmt.Sprint("e", number)
		view.Engines[name] = catalogue.Engine{Name: name, Service: "s", Hall: fmt.Sprint("h", number), Incarnation: "1"}
		drawn.Parts[name] = contract.Both
	}
	for number := range routers {
		drawn.Routers = append(drawn.Routers, fmt.Sprint("r", number))
	}
	view.Contracts["s"] = drawn
	found := catalogue.NewTable("s", self)
	found.Update(now, view)
	for number, age := range ages {
		found.Hear(now, catalogue.Report{Name: fmt.Sprint("e", number), Service: "s", Incarnation: "1", Version: "1", Capacity: 8, Age: age, Completed: completed})
	}
	return found
}

func want(hall string) catalogue.Want {
	return catalogue.Want{Part: contract.Prefill, Hall: hall, Versions: []string{"1"}}
}

// Up to nine routers that share one contract take all the room they can get at engines
// that have all just started: the sum stays within the room of a cold engine, which grows
// only with the work that the engine has done.
func TestColdEnginesAreNotFloodedByTheSum(test *testing.T) {
	now := 100 * schedule.Second
	for routers := 1; routers <= 9; routers++ {
		for _, completed := range []int64{0, 1, 2, 4, 7, 8} {
			sums := map[string]int{}
			for self := range routers {
				found := tableOf(now, fmt.Sprint("r", self), routers, completed, 0, 0, 0)
				for range 100 {
					pick, _ := found.Choose(now, want("h0"))
					if pick == nil {
						break
					}
					sums[pick.Name]++
				}
			}
			most := 2
			switch {
			case completed >= 8:
				most = 8 * routers
			case completed >= 4:
				most = int(completed)
			}
			for name, sum := range sums {
				if sum > most || routers == 1 && sum < min(most, 8) {
					test.Errorf("%d routers, %d runs done: %s got %d at once, of %d", routers, completed, name, sum, most)
				}
			}
			if len(sums) < 3 {
				test.Errorf("%d routers, %d runs done: only %v got work", routers, completed, sums)
			}
		}
	}
	Convey("a router that the contract does not name has no room at a cold engine", test, func() {
		pick, fit := tableOf(now, "stranger", 3, 0, 0).Choose(now, want("h0"))
		So(pick, ShouldBeNil)
		So(fit, ShouldBeTrue)
		pick, _ = tableOf(now, "stranger", 3, 8, 0).Choose(now, want("h0"))
		So(pick, ShouldNotBeNil)
	})
}

func TestChoicePrefersPrefixThenLoadThenHall(test *testing.T) {
	warm := 60 * schedule.Second
	now := 100 * schedule.Second
	Convey("the own hall first, until it is busier", test, func() {
		found := table(now, warm, warm)
		first, _ := found.Choose(now, want("h1"))
		So(first.Name, ShouldEqual, "e1")
		taken := map[string]int{first.Name: 1}
		for range 7 {
			next, _ := found.Choose(now, want("h1"))
			taken[next.Name]++
		}
		So(taken["e0"], ShouldBeGreaterThan, 1)
		So(taken["e1"], ShouldBeGreaterThan, taken["e0"])
	})
	Convey("the engine that holds the prefix, though in another hall", test, func() {
		found := table(now, warm, warm)
		found.Hear(now, catalogue.Report{Name: "e0", Service: "s", Incarnation: "1", Version: "1", Capacity: 8, Age: warm, Prefixes: []string{"book"}})
		asked := want("h1")
		asked.Prefix = "book"
		pick, _ := found.Choose(now, asked)
		So(pick.Name, ShouldEqual, "e0")
	})
	Convey("never an engine of an evacuated hall, of another version, shunned or avoided", test, func() {
		found := table(now, warm, warm)
		found.Evacuate([]string{"h1"})
		pick, _ := found.Choose(now, want("h1"))
		So(pick.Name, ShouldEqual, "e0")
		found.Shun("e0", now)
		pick, fit := found.Choose(now, want("h1"))
		So(pick, ShouldBeNil)
		So(fit, ShouldBeFalse)
		found.Evacuate(nil)
		other := want("h1")
		other.Versions = []string{"2"}
		_, fit = found.Choose(now, other)
		So(fit, ShouldBeFalse)
		other = want("h1")
		other.Avoid = map[string]bool{"e1": true}
		_, fit = found.Choose(now, other)
		So(fit, ShouldBeFalse)
	})
}

func TestAnEngineThatAnswersIsNotShunnedAnyLonger(test *testing.T) {
	Convey("a slow answer ends the shunning of a stalled engine, a mishap does not", test, func() {
		now := 100 * schedule.Second
		found := table(now, 60*schedule.Second)
		for _, answered := range []int{0, 3} {
			pick, _ := found.Choose(now, want("h0"))
			So(pick, ShouldNotBeNil)
			found.Shun("e0", now)
			none, fit := found.Choose(now, want("h0"))
			So(none, ShouldBeNil)
			So(fit, ShouldBeFalse)
			pick.Done(catalogue.Experience{Now: now, Running: answered, Mishap: answered == 0})
			_, fit = found.Choose(now, want("h0"))
			So(fit, ShouldEqual, answered > 0)
			now += 2 * schedule.Second
		}
	})
}

func TestThePaceOfTheLineIsForgotten(test *testing.T) {
	Convey("a wait is told from those who wait now and the last turns, and lapses", test, func() {
		now := 100 * schedule.Second
		found := table(now, 60*schedule.Second)
		for range 40 {
			found.Join()
		}
		for turn := range 20 {
			found.Turn(now+schedule.Microseconds(turn)*50*schedule.Millisecond, true)
		}
		now += schedule.Second
		So(found.Wait(now), ShouldBeBetween, 1900*schedule.Millisecond, 2100*schedule.Millisecond)
		for range 40 {
			found.Leave()
		}
		So(found.Wait(now), ShouldEqual, 0)
		found.Join()
		So(found.Wait(now+3*schedule.Second), ShouldEqual, 0)
	})
}
