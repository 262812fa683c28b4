package pool_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/route"
)

var service = route.Service{Name: "model", ColdRate: 12}

func terms(router int) pool.Terms {
	return pool.Terms{Router: fmt.Sprint("router-", router), Hall: "norte", ColdOver: 1.5, ColdSlack: 5, Across: 1500}
}

func engines(parts ...string) []port.Engine {
	var all []port.Engine
	for place, part := range parts {
		all = append(all, port.Engine{Life: fmt.Sprint("life-", place), Address: fmt.Sprint("address-", place), Hall: "norte", Part: part, Slots: 8, Weights: 1})
	}
	return all
}

func made(list []port.Engine, signed contract.Contract, evacuated ...string) *pool.Pool {
	made := pool.New(terms(0))
	made.Update(schedule.Second, service, list, signed, evacuated, 1)
	return made
}

func long(number int) pool.Wish {
	return pool.Wish{Name: fmt.Sprint(number), Prompt: []port.Piece{{Name: "shared", Tokens: 6000}, {Name: fmt.Sprint("own-", number), Tokens: 2000}}}
}

// All routers together keep a cold engine below its rate, however hard callers press and
// however choosing and sending overlap.
func TestAColdEngineIsNotFlooded(test *testing.T) {
	for _, routers := range []int{1, 3, 9, 10, 72, 88} {
		Convey(fmt.Sprint("by ", routers, " routers"), test, func() {
			cold := engines(contract.Both)
			cold[0].Cold = schedule.Second
			var all []*pool.Pool
			for number := range routers {
				each := pool.New(terms(number))
				each.Update(schedule.Second, service, cold, contract.Contract{}, nil, routers)
				all = append(all, each)
			}
			var sent []schedule.Microseconds
			for now := schedule.Second; now < 6*schedule.Second; now += 10 * schedule.Millisecond {
				for _, each := range all {
					// Two choose before either sends.
					_, first := each.Choose(now, long(1))
					_, second := each.Choose(now, long(2))
					for _, chosen := range []bool{first, second} {
						if chosen && each.Admit(now, "life-0") {
							sent = append(sent, now)
						}
					}
				}
			}
			most := 0
			for place, at := range sent {
				count := 0
				for _, other := range sent[place:] {
					if other-at < schedule.Second {
						count++
					}
				}
				most = max(most, count)
			}
			So(most, ShouldBeLessThanOrEqualTo, 23)
			So(len(sent), ShouldBeGreaterThan, 20)
		})
	}
}

func TestEnginesOfAHallThatIsLetBackAreTakenForCold(test *testing.T) {
	Convey("until the list must know whether they are", test, func() {
		each := made(engines(contract.Both), contract.Contract{}, "norte")
		_, found := each.Choose(schedule.Second, long(1))
		So(found, ShouldBeFalse)
		each.Update(schedule.Second, service, engines(contract.Both), contract.Contract{}, nil, 1)
		admitted := 0
		for range 100 {
			if each.Admit(schedule.Second, "life-0") {
				admitted++
			}
		}
		So(admitted, ShouldBeLessThanOrEqualTo, 23)
		So(each.Admit(5*schedule.Second, "life-0"), ShouldBeTrue)
	})
}

func TestAReputationOutlastsALife(test *testing.T) {
	Convey("a new life where others have ended is cold for longer each time, one that left in order is not", test, func() {
		list := engines(contract.Both)
		each, now := made(list, contract.Contract{}), schedule.Second
		var colds []schedule.Microseconds
		for turn := range 5 {
			now += schedule.Second
			each.Update(now, service, nil, contract.Contract{}, nil, 1)
			list[0].Life = fmt.Sprint("again-", turn)
			each.Update(now, service, list, contract.Contract{}, nil, 1)
			span := schedule.Microseconds(0)
			for flooded(each, now+span, list[0].Life) {
				span += 100 * schedule.Millisecond
			}
			colds = append(colds, span)
		}
		So(colds[0], ShouldBeGreaterThanOrEqualTo, schedule.Second)
		So(colds[1], ShouldBeGreaterThan, colds[0])
		So(colds[4], ShouldBeLessThanOrEqualTo, 10*schedule.Second)
		list[0].Leaving = true
		each.Update(now+60*schedule.Second, service, list, contract.Contract{}, nil, 1)
		each.Update(now+61*schedule.Second, service, nil, contract.Contract{}, nil, 1)
		list[0].Leaving, list[0].Life = false, "orderly"
		each.Update(now+61*schedule.Second, service, list, contract.Contract{}, nil, 1)
		So(flooded(each, now+61*schedule.Second, "orderly"), ShouldBeFalse)
	})
}

// flooded tells whether a hundred requests at once are too many for an engine.
func flooded(each *pool.Pool, now schedule.Microseconds, life string) bool {
	for range 100 {
		if !each.Admit(now, life) {
			return true
		}
	}
	return false
}

func TestWhereAPromptIsRead(test *testing.T) {
	list := engines(contract.Prefill, contract.Prefill, contract.Prefill, contract.Decode, contract.Decode)
	Convey("a long prompt is read apart, at the home of its shared pieces, the same for all routers", test, func() {
		first, _ := made(list, contract.Contract{}).Choose(schedule.Second, long(1))
		So(first.Split, ShouldBeTrue)
		for number := range 20 {
			other := pool.New(terms(number))
			other.Update(schedule.Second, service, list, contract.Contract{}, nil, 20)
			choice, _ := other.Choose(schedule.Second, long(number))
			So(choice.Reader.Life, ShouldEqual, first.Reader.Life)
			So(choice.Unread, ShouldEqual, 2000)
		}
	})
	Convey("a queue there sends it elsewhere", test, func() {
		each := made(list, contract.Contract{})
		first, _ := each.Choose(schedule.Second, long(1))
		each.Reading(first.Reader.Life, 100_000)
		second, _ := each.Choose(schedule.Second, long(1))
		So(second.Reader.Life, ShouldNotEqual, first.Reader.Life)
	})
	Convey("equal makers are drawn by request, so that not all routers choose the same", test, func() {
		chosen := map[string]int{}
		for number := range 100 {
			choice, _ := made(list, contract.Contract{}).Choose(schedule.Second, long(number))
			chosen[choice.Writer.Life]++
		}
		So(chosen["life-3"], ShouldBeGreaterThan, 20)
		So(chosen["life-4"], ShouldBeGreaterThan, 20)
	})
	Convey("an engine on its way to another part, one that leaves and one of another team get nothing", test, func() {
		leaving := engines(contract.Prefill, contract.Prefill, contract.Prefill, contract.Decode, contract.Decode, contract.Decode)
		leaving[0].Leaving = true
		signed := contract.Contract{Away: []string{"life-3"}, Teams: map[string]string{"life-1": "a", "life-2": "b", "life-4": "a", "life-5": "b"}}
		for number := range 50 {
			choice, _ := made(leaving, signed).Choose(schedule.Second, long(number))
			So(choice.Reader.Life, ShouldNotEqual, "life-0")
			So(choice.Writer.Life, ShouldNotEqual, "life-3")
			if choice.Split {
				So(signed.Teams[choice.Reader.Life], ShouldEqual, signed.Teams[choice.Writer.Life])
			}
		}
	})
	Convey("marks of leaving stay for a life, even if a list forgets them", test, func() {
		leaving := engines(contract.Both)
		leaving[0].Leaving = true
		each := made(leaving, contract.Contract{})
		each.Update(2*schedule.Second, service, engines(contract.Both), contract.Contract{}, nil, 1)
		_, found := each.Choose(2*schedule.Second, long(1))
		So(found, ShouldBeFalse)
	})
}

func TestEnginesThatDoNotAnswerAreLeftOut(test *testing.T) {
	list := engines(contract.Both, contract.Both)
	Convey("while they owe an answer and show nothing, unless there is no other", test, func() {
		each := made(list, contract.Contract{})
		each.Admit(schedule.Second, "life-0")
		late := schedule.Second + 800*schedule.Millisecond
		So(each.Silent(late, "life-0"), ShouldBeTrue)
		So(each.Silent(late, "life-1"), ShouldBeFalse)
		for number := range 20 {
			choice, _ := each.Choose(late, long(number))
			So(choice.Writer.Life, ShouldEqual, "life-1")
		}
		each.Alive(late, "life-0")
		So(each.Silent(late, "life-0"), ShouldBeFalse)
		each.Fail(late, "life-0")
		each.Fail(late, "life-1")
		_, found := each.Choose(late, long(1))
		So(found, ShouldBeTrue)
	})
	Convey("another router's word counts only against one that has shown nothing here lately", test, func() {
		each := made(list, contract.Contract{})
		each.Heard(schedule.Second, "life-0", port.Load{})
		each.Doubt(schedule.Second+100*schedule.Millisecond, "life-0")
		each.Doubt(schedule.Second+200*schedule.Millisecond, "life-1")
		for number := range 20 {
			choice, _ := each.Choose(schedule.Second+200*schedule.Millisecond, long(number))
			So(choice.Writer.Life, ShouldEqual, "life-0")
		}
	})
}
