package capacityorder

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/autoscale"
	"coursepass/internal/platformport"
	"coursepass/internal/state/outbox"
	"coursepass/internal/state/registry"
	"coursepass/internal/state/route"
)

var (
	lowLoad    = autoscale.Load{Prefill: 0.5, Decode: 0.2}
	steadyLoad = autoscale.Load{Prefill: 4, Decode: 1}
	highLoad   = autoscale.Load{Prefill: 12, Decode: 2}
)

// settledSeconds is long enough for the intended numbers of engines and the load to be known.
const settledSeconds = 14

func TestTask_OrdersMore(t *testing.T) {
	Convey("nothing is drafted while no number changes", t, func() {
		h := newHarness(t)
		So(h.advance(60, steadyLoad), ShouldBeEmpty)
		So(h.engines.Outbox.Subjects, ShouldBeEmpty)
	})
	Convey("a rising load raises all zones, with consecutive entry numbers and the minimum interval between orders", t, func() {
		h := newHarness(t)
		h.advance(settledSeconds, steadyLoad)
		lastAt := map[string]clock.Microseconds{}
		lastNumber := map[string]uint64{}
		for range 60 {
			for _, entry := range h.step(clock.Second/5, highLoad) {
				So(entry.Priority, ShouldEqual, outbox.PriorityIncrease)
				So(entry.Retention, ShouldEqual, outbox.RetainLatest)
				So(entry.Number, ShouldEqual, lastNumber[entry.Name]+1)
				So(h.now-lastAt[entry.Name], ShouldBeGreaterThanOrEqualTo, increaseInterval)
				lastAt[entry.Name], lastNumber[entry.Name] = h.now, entry.Number
			}
		}
		So(lastNumber, ShouldHaveLength, 2)
		So(h.latest("a"), ShouldBeGreaterThan, 8)
		So(h.latest("b"), ShouldBeGreaterThan, 8)
		So(h.Increases.Load(), ShouldBeGreaterThan, 0)
		So(h.Decreases.Load(), ShouldEqual, 0)
	})
	Convey("an order that is not committed is drafted again", t, func() {
		h := newHarness(t)
		h.advance(settledSeconds, steadyLoad)
		h.discardDrafts = true
		lost := h.advance(6, highLoad)
		So(len(lost), ShouldBeGreaterThan, 2)
		h.discardDrafts = false
		h.advance(4, highLoad)
		So(h.latest("a"), ShouldBeGreaterThanOrEqualTo, lost[0].Engines)
	})
}

func TestTask_OrdersFewer(t *testing.T) {
	Convey("a low load leads to decreases that are at least a stable span apart", t, func() {
		h := newHarness(t)
		h.advance(settledSeconds, lowLoad)
		lastAt := clock.Microseconds(0)
		for range 300 {
			entries := h.step(clock.Second/5, lowLoad)
			for _, entry := range entries {
				So(entry.Priority, ShouldEqual, outbox.PriorityDecrease)
			}
			if len(entries) > 0 {
				So(h.now-lastAt, ShouldBeGreaterThanOrEqualTo, autoscale.DefaultOptions().StableSpan)
				lastAt = h.now
			}
			h.carryOut()
		}
		So(h.latest("a"), ShouldEqual, 4)
		So(h.latest("b"), ShouldEqual, 4)
	})
	Convey("an outdated engine directory prevents decreases but not increases", t, func() {
		h := newHarness(t)
		h.advance(settledSeconds, steadyLoad)
		h.directoryOutdated = true
		So(h.advance(30, lowLoad), ShouldBeEmpty)
		So(h.Status()[0].Reason, ShouldEqual, "hold-engines")
		So(h.advance(8, highLoad), ShouldNotBeEmpty)
	})
}

func TestTask_OrderOfDrafts(t *testing.T) {
	Convey("increases come before decreases, and the largest increase comes first", t, func() {
		h := newHarness(t)
		h.advance(settledSeconds, steadyLoad)
		entries := h.draftOrders(h.now, h.engines.Outbox.View, []autoscale.Decision{
			{Service: "s", Zone: "a", Base: 8, Wanted: 6, Known: true},
			{Service: "s", Zone: "b", Base: 8, Wanted: 8, Known: true},
			{Service: "s", Zone: "c", Base: 8, Wanted: 9, Known: true},
			{Service: "s", Zone: "d", Base: 8, Wanted: 12, Known: true},
			{Service: "s", Zone: "e", Base: 0, Wanted: 4},
		})
		var zones []string
		for _, entry := range entries {
			zones = append(zones, h.orderOf(entry).Zone)
		}
		So(zones, ShouldResemble, []string{"d", "c", "a"})
	})
	Convey("the number of orders per decision is limited, and the others are counted as deferred", t, func() {
		h := newHarness(t)
		h.advance(1, steadyLoad)
		var decisions []autoscale.Decision
		for number := range maxOrdersPerDecision + 3 {
			zone := string(rune('A' + number))
			decisions = append(decisions, autoscale.Decision{Service: "s", Zone: zone, Wanted: 1, Base: 2, Known: true})
		}
		So(h.draftOrders(h.now, outbox.View{}, decisions), ShouldHaveLength, maxOrdersPerDecision)
		So(h.Deferred.Load(), ShouldEqual, 3)
	})
}

func TestTask_LeaderChange(t *testing.T) {
	Convey("a new leader starts from the last committed orders", t, func() {
		h := newHarness(t)
		h.advance(settledSeconds, steadyLoad)
		h.advance(12, highLoad)
		ordered := h.latest("a")
		So(ordered, ShouldBeGreaterThan, 8)
		h.restart()
		Convey("and orders nothing while the engines that its predecessor ordered are starting", func() {
			So(h.advance(10, highLoad), ShouldBeEmpty)
		})
		Convey("and removes no engine before it has measured the demand for a stable span", func() {
			h.carryOut()
			span := int(autoscale.DefaultOptions().StableSpan / clock.Second)
			So(h.advance(span, lowLoad), ShouldBeEmpty)
			So(h.advance(6, lowLoad), ShouldNotBeEmpty)
			So(h.latest("a"), ShouldBeLessThan, ordered)
		})
	})
	Convey("a server that leads again in a later term also starts without collected state", t, func() {
		h := newHarness(t)
		h.advance(settledSeconds, lowLoad)
		h.status.Term += 5
		So(h.advance(8, lowLoad), ShouldBeEmpty)
	})
	Convey("under a constant load, changes of the leader do not change the order", t, func() {
		h := newHarness(t)
		h.advance(settledSeconds, steadyLoad)
		h.advance(20, highLoad)
		h.carryOut()
		h.advance(20, highLoad)
		h.carryOut()
		ordered := h.latest("a")
		for range 8 {
			h.restart()
			So(h.advance(6, highLoad), ShouldBeEmpty)
		}
		So(h.latest("a"), ShouldEqual, ordered)
	})
}

func TestTask_Services(t *testing.T) {
	Convey("services without scaling limits and services of other shards are ignored", t, func() {
		h := newHarness(t)
		service := h.config.RouteTable.Services["s"]
		service.Scaling = nil
		h.config.RouteTable.Services["s"] = service
		So(h.advance(30, highLoad), ShouldBeEmpty)
		So(h.Status(), ShouldBeEmpty)
		service.Scaling = &route.Scaling{Min: 10, Max: 10}
		h.config.RouteTable.Services["s"] = service
		h.options.Shards = 1000
		So(h.advance(30, highLoad), ShouldBeEmpty)
		h.options.Shards = 2
		So(h.advance(30, highLoad), ShouldHaveLength, 2)
	})
	Convey("no order is made for an evacuated or lost zone", t, func() {
		h := newHarness(t)
		h.advance(settledSeconds, steadyLoad)
		h.unavailable["a"] = true
		h.advance(10, highLoad)
		So(h.latest("a"), ShouldEqual, 0)
		So(h.latest("b"), ShouldBeGreaterThan, 8)
		h.unavailable["a"] = false
		h.setEngines("a", 0)
		h.advance(10, highLoad)
		So(h.latest("a"), ShouldEqual, 0)
	})
	Convey("names that contain the separator have distinct subjects", t, func() {
		So(subjectName("a/b", "c"), ShouldNotEqual, subjectName("a", "b/c"))
		So(subjectName("s", "a"), ShouldEqual, "s/a")
	})
	Convey("a committed order that can't be decoded is ignored", t, func() {
		h := newHarness(t)
		subject := outbox.Subject{Kind: platformport.SingletonCapacity, Name: "s/a"}
		h.engines.Outbox.Apply(outbox.Operation{Drafts: []outbox.Entry{{
			Subject: subject, Number: 1, Retention: outbox.RetainLatest, Priority: outbox.PriorityDecrease, Payload: []byte("?"),
		}}})
		So(h.committedOrders(h.engines.Outbox.View), ShouldBeEmpty)
		h.advance(settledSeconds, steadyLoad)
		h.advance(10, highLoad)
		So(h.latest("a"), ShouldBeGreaterThan, 8)
	})
}

func TestTask_Status(t *testing.T) {
	Convey("the leader's status has the engines and the last decision of each zone; other servers have none", t, func() {
		h := newHarness(t)
		h.engines.Engines["x"] = registry.Engine{Name: "x", Service: "s", Zone: "a", Draining: true}
		h.engines.Engines["y"] = registry.Engine{Name: "y", Service: "s", Zone: "b", WarmingUp: true}
		h.engines.Engines["z"] = registry.Engine{Name: "z", Service: "other", Zone: "b"}
		h.advance(3, lowLoad)
		statuses := h.Status()
		So(statuses, ShouldHaveLength, 2)
		So([]any{statuses[0].Zone, statuses[0].Present, statuses[0].Draining, statuses[0].WarmingUp},
			ShouldResemble, []any{"a", 8, 1, 0})
		So([]any{statuses[1].Zone, statuses[1].Present, statuses[1].Draining, statuses[1].WarmingUp},
			ShouldResemble, []any{"b", 9, 0, 1})
		So(statuses[0].PrefillLoad, ShouldAlmostEqual, lowLoad.Prefill, 0.01)
		So(statuses[0].Reason, ShouldEqual, "hold-engines")
		h.status.Owner = false
		So(h.Status(), ShouldBeNil)
	})
}
