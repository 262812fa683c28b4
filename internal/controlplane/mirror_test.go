package core

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/state/config"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

// mirroredLives are engines in two halls in turn with these parts: r, w or b.
func mirroredLives(parts string) []catalogue.Engine {
	words := map[rune]string{'r': contract.Prefill, 'w': contract.Decode, 'b': contract.Both}
	var engines []catalogue.Engine
	for number, part := range parts {
		name := fmt.Sprint("e", number)
		engines = append(engines, catalogue.Engine{Name: name, Incarnation: name, Service: "s", Hall: []string{"norte", "sur"}[number%2], Part: words[part], Weights: 1})
	}
	return engines
}

func byName(engines []catalogue.Engine) map[string]catalogue.Engine {
	found := map[string]catalogue.Engine{}
	for _, engine := range engines {
		found[engine.Name] = engine
	}
	return found
}

func TestOneListProvesNoAbsence(test *testing.T) {
	Convey("a life is dropped once two successive lists lack it", test, func() {
		engines := mirroredLives("rw")
		known, both, one := byName(engines), engines, engines[:1]
		absences, now := absences{}, schedule.Second
		turn := func(listed []catalogue.Engine) int {
			now += schedule.Second
			return len(absences.settle(now, listed, known))
		}
		So(turn(both), ShouldEqual, 2)
		So(turn(one), ShouldEqual, 2)
		So(turn(both), ShouldEqual, 2)
		So(turn(one), ShouldEqual, 2)
		So(turn(one), ShouldEqual, 1)
		// The drop was not committed: it is still proved.
		So(turn(one), ShouldEqual, 1)
		So(turn(both), ShouldEqual, 2)
		So(turn(nil), ShouldEqual, 2)
		So(turn(nil), ShouldEqual, 0)
	})
	Convey("two lists of one moment are one", test, func() {
		engines := mirroredLives("r")
		absences, now := absences{}, schedule.Second
		for range 3 {
			So(absences.settle(now, nil, byName(engines)), ShouldHaveLength, 1)
			now += absentSpan / 3
		}
		So(absences.settle(now, nil, byName(engines)), ShouldBeEmpty)
	})
}

func TestMirroredContractsLeaveOutWhoMayNotWork(test *testing.T) {
	Convey("neither leaving nor evacuated engines nor those of other services or weights are paired", test, func() {
		engines := mirroredLives("rwrwrw")
		engines[2].Leaving = true
		engines[4].Weights = 2
		engines[5].Service = "other"
		view := catalogue.NewState().View
		view.Engines = byName(engines)
		moves := newMoves()
		drawn := contract.Draw("s", "here", 7, moves.candidates(alive("s", view, (&configuration.View{}).Gone)))
		So(drawn.Parts, ShouldResemble, map[string]string{"e0": contract.Prefill, "e1": contract.Decode, "e3": contract.Decode, "e4": contract.Prefill})
		So(drawn.Pairs, ShouldResemble, []contract.Pair{{Prefill: "e0", Decode: "e1", Weight: 1}, {Prefill: "e0", Decode: "e3", Weight: 1}})
		drawn = contract.Draw("s", "here", 7, moves.candidates(alive("s", view, (&configuration.View{Evacuated: []string{"sur"}}).Gone)))
		So(drawn.Parts, ShouldResemble, map[string]string{"e0": contract.Prefill, "e4": contract.Prefill})
		So(drawn.Pairs, ShouldBeEmpty)
	})
	Convey("a new set of routers is signed once it has stood for two seconds", test, func() {
		signed, steady := contract.Contract{Owner: "here", Routers: []string{"a"}}, lasting{}
		for _, step := range []struct {
			at   schedule.Microseconds
			now  []string
			want []string
		}{{1, []string{"a", "b"}, []string{"a"}}, {2, []string{"a"}, []string{"a"}}, {3, []string{"a", "c"}, []string{"a"}}, {4, []string{"a", "c"}, []string{"a"}}, {5, []string{"a", "c"}, []string{"a", "c"}}} {
			settled := steady.stood(step.at*schedule.Second, step.now...) >= routersSettle
			So(named(signed, step.now, settled), ShouldResemble, step.want)
		}
		So(named(contract.Contract{}, []string{"b"}, false), ShouldResemble, []string{"b"})
	})
}

// course plays the turns of a leader by a virtual time. The signed contract follows the
// drawn one by a turn.
type course struct {
	moves
	now    schedule.Microseconds
	live   []catalogue.Engine
	signed contract.Contract
	orders []string
}

func (p *course) turns(count int) {
	for range count {
		p.now += schedule.Second
		p.plan(p.now, "s", p.live, 0, false)
		for _, due := range p.due(p.now, p.live, p.signed) {
			p.orders = append(p.orders, due.Name+" "+due.Part)
		}
		p.signed = contract.Draw("s", "here", 1, p.candidates(p.live))
	}
}

func newCourse(parts string) *course {
	return &course{moves: newMoves(), now: 100 * schedule.Second, live: mirroredLives(parts)}
}

func TestPartsAreOrderedOnlyWhereOneIsLacking(test *testing.T) {
	Convey("no orders where both parts are played, or by one engine only, or by engines that play both", test, func() {
		for _, parts := range []string{"rw", "wr", "rwww", "rrrw", "b", "r", "w", "wb", "bb", ""} {
			course := newCourse(parts)
			course.turns(60)
			So(course.orders, ShouldBeEmpty)
			So(len(course.signed.Parts), ShouldEqual, len(parts))
		}
	})
	Convey("out of the contract, ordered, and back once the list shows the new part", test, func() {
		for _, each := range []struct{ parts, order string }{{"wwww", "e0 prefill"}, {"rrr", "e0 decode"}, {"www", "e0 prefill"}, {"wwwww", "e0 prefill"}} {
			course := newCourse(each.parts)
			for len(course.signed.Parts) != len(each.parts)-1 {
				course.turns(1)
			}
			out := course.now
			So(course.orders, ShouldBeEmpty)
			for len(course.orders) == 0 {
				course.turns(1)
			}
			So(course.now-out, ShouldBeGreaterThanOrEqualTo, moveSpan)
			So(course.orders, ShouldResemble, []string{each.order})
			So(course.signed.Parts, ShouldNotContainKey, "e0")
			course.live[0].Part = map[byte]string{'w': contract.Prefill, 'r': contract.Decode}[each.parts[0]]
			course.turns(1)
			So(course.signed.Parts, ShouldContainKey, "e0")
			course.turns(60)
			So(course.orders, ShouldHaveLength, 1)
		}
	})
	Convey("a lack that ends before the order has nothing ordered", test, func() {
		course := newCourse("www")
		course.turns(7)
		So(course.signed.Parts, ShouldNotContainKey, "e0")
		course.live[2].Part = contract.Prefill
		course.turns(60)
		So(course.orders, ShouldBeEmpty)
		So(course.signed.Parts, ShouldContainKey, "e0")
	})
	Convey("an engine that vanishes while it changes has no second one ordered", test, func() {
		course := newCourse("rrr")
		for len(course.orders) == 0 {
			course.turns(1)
		}
		whole := slices.Clone(course.live)
		course.live = whole[1:]
		course.turns(8)
		whole[0].Part = contract.Decode
		course.live = whole
		course.turns(60)
		So(course.orders, ShouldResemble, []string{"e0 decode"})
		So(course.signed.Parts, ShouldContainKey, "e0")
	})
	Convey("one that does not move is told again seldom, and then another is tried", test, func() {
		course := newCourse("rrr")
		for !slices.Contains(course.orders, "e2 decode") {
			course.turns(1)
		}
		So(slices.Compact(slices.Clone(course.orders)), ShouldResemble, []string{"e0 decode", "e2 decode"})
		So(len(course.orders), ShouldBeLessThanOrEqualTo, 8)
	})
	Convey("the warm are moved first, and in the hall that has most", test, func() {
		engines := mirroredLives("wwwww")
		moves := newMoves()
		So(moves.pick(0, engines, contract.Prefill), ShouldEqual, "e0")
		engines[0].Cold = true
		So(moves.pick(0, engines, contract.Prefill), ShouldEqual, "e2")
		engines[0].Hall, engines[2].Hall = "sur", "sur"
		So(moves.pick(0, engines, contract.Prefill), ShouldEqual, "e1")
	})
	Convey("a load that leans for long moves one, if anybody tells it", test, func() {
		moves, now := newMoves(), schedule.Second
		engines := mirroredLives("rrwwww")
		begun := schedule.Microseconds(0)
		for ; len(moves.groups) == 0 && now < 60*schedule.Second; now += schedule.Second {
			moves.plan(now, "s", engines, 0.8, true)
			begun = now
		}
		So(begun, ShouldBeGreaterThanOrEqualTo, schedule.Second+leanSpan)
		So(moves.groups["s/1"][0].part, ShouldEqual, contract.Prefill)
	})
}
