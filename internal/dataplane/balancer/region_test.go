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

var testRegions = topology.RegionMap{"n1": "north", "n2": "north", "c1": "centre", "s1": "south"}

func newEngine(incarnation, zone, role string) platformport.Engine {
	return platformport.Engine{Incarnation: incarnation, Zone: zone, Role: role, Address: incarnation, Slots: 8}
}

func selectFrom(zoneRegions topology.RegionMap, requirements balancer.Requirements, engines ...platformport.Engine) (balancer.Selection, bool) {
	lb := balancer.New(balancer.Options{Router: "r", Zone: "n1", Regions: zoneRegions, CrossZoneCost: 1500, CrossRegionLatency: 40 * clock.Millisecond})
	lb.Update(0, route.Service{Name: "s"}, engines, pairing.Assignment{}, nil, 1)
	return lb.Select(clock.Second, requirements)
}

func twoChunkPrompt() []platformport.PromptChunk {
	return []platformport.PromptChunk{{Name: "shared", Tokens: 3000}, {Name: "own", Tokens: 3000}}
}

func TestPlacementPrefersNearRegions(t *testing.T) {
	Convey("another hall is dearer than the own one, another region dearer than another hall", t, func() {
		sameZone, otherZone, otherRegion := newEngine("a", "n1", pairing.RoleBoth), newEngine("b", "n2", pairing.RoleBoth), newEngine("c", "c1", pairing.RoleBoth)
		requirements := balancer.Requirements{BodyBytes: 4096}
		selection, _ := selectFrom(testRegions, requirements, sameZone, otherZone, otherRegion)
		So(selection.Decoder.Incarnation, ShouldEqual, "a")
		selection, _ = selectFrom(testRegions, requirements, otherZone, otherRegion)
		So(selection.Decoder.Incarnation, ShouldEqual, "b")
		nearby, _ := selectFrom(testRegions, requirements, otherZone)
		remote, _ := selectFrom(testRegions, requirements, otherRegion)
		So(remote.TimeToFirstToken-nearby.TimeToFirstToken, ShouldBeGreaterThan, 40*clock.Millisecond)
		withoutTopology, _ := selectFrom(nil, requirements, otherRegion)
		sameRegion, _ := selectFrom(topology.RegionMap{"n1": "north", "c1": "north"}, requirements, otherRegion)
		So(withoutTopology.TimeToFirstToken, ShouldEqual, sameRegion.TimeToFirstToken)
	})
	Convey("reader and writer stand in one region where they can, and in two where that is the only or the cheapest way", t, func() {
		prefiller, nearby, otherRegion := newEngine("r", "c1", pairing.RolePrefill), newEngine("w", "c1", pairing.RoleDecode), newEngine("v", "s1", pairing.RoleDecode)
		selection, _ := selectFrom(testRegions, balancer.Requirements{Prompt: twoChunkPrompt()}, prefiller, nearby, otherRegion)
		So(selection.Split, ShouldBeTrue)
		So(selection.Decoder.Incarnation, ShouldEqual, "w")
		selection, _ = selectFrom(testRegions, balancer.Requirements{Prompt: twoChunkPrompt()}, prefiller, otherRegion)
		So(selection.Split, ShouldBeTrue)
		So(selection.Prefiller.Incarnation+selection.Decoder.Incarnation, ShouldEqual, "rv")
		shortPrompt := []platformport.PromptChunk{{Name: "own", Tokens: 300}}
		selection, _ = selectFrom(testRegions, balancer.Requirements{Prompt: shortPrompt}, prefiller, otherRegion)
		So(selection.Split, ShouldBeFalse)
	})
	Convey("homes bind readers as well as writers, and a region that is shut gets nothing", t, func() {
		prefiller, decoder, nearbyPrefiller := newEngine("r", "c1", pairing.RolePrefill), newEngine("w", "n1", pairing.RoleDecode), newEngine("q", "n2", pairing.RolePrefill)
		selection, ok := selectFrom(testRegions, balancer.Requirements{Prompt: twoChunkPrompt(), AllowedRegions: []string{"north"}}, prefiller, decoder)
		So(ok, ShouldBeTrue)
		So(selection.Split, ShouldBeFalse)
		selection, _ = selectFrom(testRegions, balancer.Requirements{Prompt: twoChunkPrompt(), AllowedRegions: []string{"north"}}, prefiller, decoder, nearbyPrefiller)
		So(selection.Prefiller.Incarnation, ShouldEqual, "q")
		_, ok = selectFrom(testRegions, balancer.Requirements{AllowedRegions: []string{"south"}}, prefiller, decoder)
		So(ok, ShouldBeFalse)
		_, ok = selectFrom(testRegions, balancer.Requirements{ClosedRegions: map[string]bool{"north": true}}, prefiller, decoder)
		So(ok, ShouldBeFalse)
		_, ok = selectFrom(nil, balancer.Requirements{AllowedRegions: []string{"north"}}, decoder)
		So(ok, ShouldBeFalse)
	})
}
