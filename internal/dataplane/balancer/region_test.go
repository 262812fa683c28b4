package balancer_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/route"
	"coursepass/internal/topology"
)

// testRegions has the routers' zone n1, another zone of its region, and two zones of other regions.
var testRegions = topology.RegionMap{"n1": "north", "n2": "north", "c1": "centre", "s1": "south"}

// newEngine returns an engine with 8 slots.
func newEngine(incarnation, zone, role string) platformport.Engine {
	return platformport.Engine{Incarnation: incarnation, Zone: zone, Role: role, Address: incarnation, Slots: 8}
}

// selectFrom returns the selection among the engines by a router in zone n1.
func selectFrom(
	zoneRegions topology.RegionMap,
	requirements balancer.Requirements,
	engines ...platformport.Engine,
) (balancer.Selection, bool) {
	lb := balancer.New(balancer.Options{
		Router:             "r",
		Zone:               "n1",
		Regions:            zoneRegions,
		CrossZoneCost:      1500,
		CrossRegionLatency: 40 * clock.Millisecond,
	})
	lb.Update(0, balancer.View{Service: route.Service{Name: "s"}, Engines: engines, RouterCount: 1})
	return lb.Select(clock.Second, requirements)
}

// twoChunkPrompt returns a prompt with a shared prefix of 3000 tokens and 3000 tokens of its own.
func twoChunkPrompt() []platformport.PromptChunk {
	return []platformport.PromptChunk{{Name: "shared", Tokens: 3000}, {Name: "own", Tokens: 3000}}
}

func TestPlacementPrefersNearEngines(t *testing.T) {
	Convey("another zone costs more than the router's zone, another region more than another zone", t, func() {
		sameZone := newEngine("a", "n1", pairing.RoleBoth)
		otherZone := newEngine("b", "n2", pairing.RoleBoth)
		otherRegion := newEngine("c", "c1", pairing.RoleBoth)
		requirements := balancer.Requirements{BodyBytes: 4096}
		selection, _ := selectFrom(testRegions, requirements, sameZone, otherZone, otherRegion)
		So(selection.Decoder.Incarnation, ShouldEqual, "a")
		selection, _ = selectFrom(testRegions, requirements, otherZone, otherRegion)
		So(selection.Decoder.Incarnation, ShouldEqual, "b")
		nearby, _ := selectFrom(testRegions, requirements, otherZone)
		remote, _ := selectFrom(testRegions, requirements, otherRegion)
		So(remote.TimeToFirstToken-nearby.TimeToFirstToken, ShouldBeGreaterThan, 40*clock.Millisecond)
		withoutRegions, _ := selectFrom(nil, requirements, otherRegion)
		sameRegion, _ := selectFrom(topology.RegionMap{"n1": "north", "c1": "north"}, requirements, otherRegion)
		So(withoutRegions.TimeToFirstToken, ShouldEqual, sameRegion.TimeToFirstToken)
	})
	Convey("prefiller and decoder are in one region, unless a split across regions is the only or the cheapest way", t, func() {
		prefiller := newEngine("r", "c1", pairing.RolePrefill)
		nearby := newEngine("w", "c1", pairing.RoleDecode)
		otherRegion := newEngine("v", "s1", pairing.RoleDecode)
		longPrompt := balancer.Requirements{Prompt: twoChunkPrompt()}
		selection, _ := selectFrom(testRegions, longPrompt, prefiller, nearby, otherRegion)
		So(selection.Split, ShouldBeTrue)
		So(selection.Decoder.Incarnation, ShouldEqual, "w")
		selection, _ = selectFrom(testRegions, longPrompt, prefiller, otherRegion)
		So(selection.Split, ShouldBeTrue)
		So(selection.Prefiller.Incarnation+selection.Decoder.Incarnation, ShouldEqual, "rv")
		shortPrompt := balancer.Requirements{Prompt: []platformport.PromptChunk{{Name: "own", Tokens: 300}}}
		selection, _ = selectFrom(testRegions, shortPrompt, prefiller, otherRegion)
		So(selection.Split, ShouldBeFalse)
	})
}

func TestPlacementKeepsToRegions(t *testing.T) {
	prefiller := newEngine("r", "c1", pairing.RolePrefill)
	decoder := newEngine("w", "n1", pairing.RoleDecode)
	nearbyPrefiller := newEngine("q", "n2", pairing.RolePrefill)
	Convey("allowed regions apply to prefillers as well as to decoders", t, func() {
		northOnly := balancer.Requirements{Prompt: twoChunkPrompt(), AllowedRegions: []string{"north"}}
		selection, ok := selectFrom(testRegions, northOnly, prefiller, decoder)
		So(ok, ShouldBeTrue)
		So(selection.Split, ShouldBeFalse)
		selection, _ = selectFrom(testRegions, northOnly, prefiller, decoder, nearbyPrefiller)
		So(selection.Prefiller.Incarnation, ShouldEqual, "q")
		southOnly := balancer.Requirements{AllowedRegions: []string{"south"}}
		_, ok = selectFrom(testRegions, southOnly, prefiller, decoder)
		So(ok, ShouldBeFalse)
	})
	Convey("a closed region gets no requests", t, func() {
		northClosed := balancer.Requirements{ClosedRegions: map[string]bool{"north": true}}
		_, ok := selectFrom(testRegions, northClosed, prefiller, decoder)
		So(ok, ShouldBeFalse)
	})
	Convey("a zone without a known region is in no allowed region", t, func() {
		_, ok := selectFrom(nil, balancer.Requirements{AllowedRegions: []string{"north"}}, decoder)
		So(ok, ShouldBeFalse)
	})
}
