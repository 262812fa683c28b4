package core

import (
	"fmt"
	"maps"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/state/config"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

func sixEngines() (*duty, catalogue.View) {
	duty := &duty{core: &Core{clock: schedule.NewClock()}, soft: map[string]*soft{}, wanted: map[string]string{}, shares: map[string]*contract.Share{}}
	view := catalogue.NewState().View
	for number := range 6 {
		name, hall := fmt.Sprint("engine-", number), []string{"norte", "centro", "sur"}[number%3]
		view.Engines[name] = catalogue.Engine{Name: name, Service: "s", Hall: hall, Address: fmt.Sprintf("10.0.0.%d:1", number)}
		report := catalogue.Report{Name: name, Service: "s", Hall: hall, Version: "1", Part: contract.Both}
		duty.soft[name] = &soft{Report: report, earlier: report, heard: duty.core.clock.Now()}
	}
	return duty, view
}

func TestDrainedEnginesGetNoWorkBeforeTheirOrderIsLifted(test *testing.T) {
	Convey("a hall returns: its engine is ordered back first and paired only then", test, func() {
		duty, view := sixEngines()
		evacuated := configuration.View{Evacuated: []string{"sur"}}
		drawn, standing := duty.draw("s", 1, view, evacuated)
		So(drawn.Parts, ShouldNotContainKey, "engine-2")
		So(standing, ShouldNotContainKey, "engine-2")
		duty.soft["engine-2"].moving -= moveSpan
		_, standing = duty.draw("s", 1, view, evacuated)
		So(standing["engine-2"].Drain, ShouldBeTrue)
		duty.soft["engine-2"].Drained = true
		drawn, standing = duty.draw("s", 1, view, configuration.View{})
		So(drawn.Parts, ShouldNotContainKey, "engine-2")
		So(standing["engine-2"].Drain, ShouldBeFalse)
		duty.soft["engine-2"].Drained = false
		drawn, _ = duty.draw("s", 1, view, configuration.View{})
		So(drawn.Parts, ShouldContainKey, "engine-2")
	})
}

func TestAnEngineLeavesTheContractBeforeItChangesItsPart(test *testing.T) {
	Convey("it is out of the contract, and not yet ordered", test, func() {
		duty, view := sixEngines()
		_, standing := duty.draw("s", 1, view, configuration.View{})
		readers := map[string]int{}
		for name, each := range standing {
			duty.soft[name].Part = each.Part
			if each.Part == contract.Prefill {
				readers[duty.soft[name].Hall]++
			}
		}
		So(readers, ShouldResemble, map[string]int{"norte": 1, "centro": 1, "sur": 1})
		duty.wanted["engine-0"] = contract.Prefill
		duty.soft["engine-0"].Part = contract.Decode
		drawn, standing := duty.draw("s", 1, view, configuration.View{})
		So(drawn.Parts, ShouldNotContainKey, "engine-0")
		So(standing, ShouldNotContainKey, "engine-0")
		duty.soft["engine-0"].moving -= moveSpan
		_, standing = duty.draw("s", 1, view, configuration.View{})
		So(standing["engine-0"].Part, ShouldEqual, contract.Prefill)
	})
}

func TestAnEngineInTheSignedContractIsNotOrderedAway(test *testing.T) {
	Convey("the routers may still send to it: neither moved nor drained", test, func() {
		duty, view := sixEngines()
		drawn, standing := duty.draw("s", 1, view, configuration.View{})
		So(drawn.Parts["engine-0"], ShouldEqual, standing["engine-0"].Part)
		So(drawn.Parts["engine-0"], ShouldNotEqual, contract.Both)
		view.Contracts["s"] = drawn
		for name, each := range standing {
			duty.soft[name].Part = each.Part
		}
		engine := view.Engines["engine-0"]
		engine.Leaving = true
		view.Engines["engine-0"] = engine
		for range 2 {
			drawn, standing = duty.draw("s", 1, view, configuration.View{})
			So(drawn.Parts, ShouldNotContainKey, "engine-0")
			duty.soft["engine-0"].moving -= 2 * moveSpan
			So(standing, ShouldNotContainKey, "engine-0")
		}
		view.Contracts["s"] = drawn
		duty.soft["engine-0"].moving = 0
		_, standing = duty.draw("s", 1, view, configuration.View{})
		So(standing, ShouldNotContainKey, "engine-0")
		duty.soft["engine-0"].moving -= moveSpan
		_, standing = duty.draw("s", 1, view, configuration.View{})
		So(standing["engine-0"].Drain, ShouldBeTrue)
	})
}

func TestRulingsKeepOnceOnly(test *testing.T) {
	Convey("no ruling repeats what was streamed or a one-shot that may have started", test, func() {
		for bits := range 32 {
			trouble := Trouble{Streamed: bits&1 > 0, Proved: bits&2 > 0, OneShot: bits&4 > 0, Repeats: bits&8 > 0, Left: schedule.Second}
			duty, _ := sixEngines()
			duty.shard = &shard{}
			duty.shard.status.Store(&Status{Owner: bits&16 > 0})
			ruling := duty.rule(trouble)
			if ruling.Retry {
				So(trouble.Streamed, ShouldBeFalse)
				So(trouble.Proved || !trouble.OneShot, ShouldBeTrue)
				So(ruling.Owner, ShouldBeTrue)
			}
		}
	})
}

// Whatever parts twelve engines in three halls have had, and whichever of them have
// returned, no hall ends with all the readers or all the token makers.
func TestNoHallHasAllOfAPart(test *testing.T) {
	for bits := range 1 << 9 {
		duty := &duty{wanted: map[string]string{}}
		var live []*soft
		readers := 0
		for number := range 9 {
			each := &soft{}
			each.Name, each.Hall = fmt.Sprint("e", number), fmt.Sprint("h", number/3)
			duty.wanted[each.Name] = contract.Decode
			if bits>>number&1 > 0 {
				duty.wanted[each.Name] = contract.Prefill
				readers++
			}
			live = append(live, each)
		}
		readers = min(max(readers, 2), 7)
		moves := 0
		for range 20 {
			before := maps.Clone(duty.wanted)
			if duty.spread(live, readers); !maps.Equal(before, duty.wanted) {
				moves++
			}
		}
		if duty.alone(live, contract.Prefill) || duty.alone(live, contract.Decode) || moves > 4 {
			test.Fatalf("bits %09b: %d moves, %v", bits, moves, duty.wanted)
		}
	}
}
