package catalogue_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/catalogue"
	"coursepass/internal/contract"
	"coursepass/internal/schedule"
)

func table(now schedule.Microseconds, ages ...schedule.Microseconds) *catalogue.Table {
	view := catalogue.NewState().View
	drawn := contract.Contract{Service: "s", Parts: map[string]string{}}
	for number := range ages {
		name := fmt.Sprint("e", number)
		view.Engines[name] = catalogue.Engine{Name: name, Service: "s", Hall: fmt.Sprint("h", number), Incarnation: "1"}
		drawn.Parts[name] = contract.Both
	}
	view.Contracts["s"] = drawn
	found := catalogue.NewTable("s")
	found.Update(now, view)
	for number, age := range ages {
		found.Hear(now, catalogue.Report{Name: fmt.Sprint("e", number), Service: "s", Incarnation: "1", Version: "1", Capacity: 8, Age: age})
	}
	return found
}

func want(hall string) catalogue.Want {
	return catalogue.Want{Part: contract.Prefill, Hall: hall, Versions: []string{"1"}}
}

func TestAColdEngineIsNotFlooded(test *testing.T) {
	Convey("a cold engine gets one run, then more by time and by work done", test, func() {
		now := 100 * schedule.Second
		found := table(now, 0)
		pick, _ := found.Choose(now, want("h0"))
		So(pick, ShouldNotBeNil)
		second, fit := found.Choose(now, want("h0"))
		So(second, ShouldBeNil)
		So(fit, ShouldBeTrue)
		pick.Done(catalogue.Experience{Now: now, Ended: true})
		for round := range 4 {
			taken := 0
			var held []*catalogue.Pick
			for {
				next, _ := found.Choose(now, want("h0"))
				if next == nil {
					break
				}
				taken++
				held = append(held, next)
			}
			So(taken, ShouldBeLessThanOrEqualTo, 1<<round)
			for _, each := range held {
				each.Done(catalogue.Experience{Now: now, Ended: true})
			}
		}
		now += 6 * schedule.Second
		for range 8 {
			next, _ := found.Choose(now, want("h0"))
			So(next, ShouldNotBeNil)
		}
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
