package pool_test

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

var regions = hall.Regions{"n1": "north", "n2": "north", "c1": "centre", "s1": "south"}

func engine(life, place, part string) port.Engine {
	return port.Engine{Life: life, Hall: place, Part: part, Address: life, Slots: 8}
}

func choose(known hall.Regions, wish pool.Wish, engines ...port.Engine) (pool.Choice, bool) {
	made := pool.New(pool.Terms{Router: "r", Hall: "n1", Regions: known, Across: 1500, Distance: 40 * schedule.Millisecond})
	made.Update(0, route.Service{Name: "s"}, engines, contract.Contract{}, nil, 1)
	return made.Choose(schedule.Second, wish)
}

func lengthy() []port.Piece {
	return []port.Piece{{Name: "shared", Tokens: 3000}, {Name: "own", Tokens: 3000}}
}

func TestPlacementKnowsRegions(test *testing.T) {
	Convey("another hall is dearer than the own one, another region dearer than another hall", test, func() {
		near, far, abroad := engine("a", "n1", contract.Both), engine("b", "n2", contract.Both), engine("c", "c1", contract.Both)
		wish := pool.Wish{Length: 4096}
		choice, _ := choose(regions, wish, near, far, abroad)
		So(choice.Writer.Life, ShouldEqual, "a")
		choice, _ = choose(regions, wish, far, abroad)
		So(choice.Writer.Life, ShouldEqual, "b")
		beside, _ := choose(regions, wish, far)
		away, _ := choose(regions, wish, abroad)
		So(away.Wait-beside.Wait, ShouldBeGreaterThan, 40*schedule.Millisecond)
		alike, _ := choose(nil, wish, abroad)
		same, _ := choose(hall.Regions{"n1": "north", "c1": "north"}, wish, abroad)
		So(alike.Wait, ShouldEqual, same.Wait)
	})
	Convey("reader and writer stand in one region where they can, and in two where that is the only or the cheapest way", test, func() {
		reader, beside, abroad := engine("r", "c1", contract.Prefill), engine("w", "c1", contract.Decode), engine("v", "s1", contract.Decode)
		choice, _ := choose(regions, pool.Wish{Prompt: lengthy()}, reader, beside, abroad)
		So(choice.Split, ShouldBeTrue)
		So(choice.Writer.Life, ShouldEqual, "w")
		choice, _ = choose(regions, pool.Wish{Prompt: lengthy()}, reader, abroad)
		So(choice.Split, ShouldBeTrue)
		So(choice.Reader.Life+choice.Writer.Life, ShouldEqual, "rv")
		short := []port.Piece{{Name: "own", Tokens: 300}}
		choice, _ = choose(regions, pool.Wish{Prompt: short}, reader, abroad)
		So(choice.Split, ShouldBeFalse)
	})
	Convey("homes bind readers as well as writers, and a region that is shut gets nothing", test, func() {
		reader, writer, other := engine("r", "c1", contract.Prefill), engine("w", "n1", contract.Decode), engine("q", "n2", contract.Prefill)
		choice, found := choose(regions, pool.Wish{Prompt: lengthy(), Homes: []string{"north"}}, reader, writer)
		So(found, ShouldBeTrue)
		So(choice.Split, ShouldBeFalse)
		choice, _ = choose(regions, pool.Wish{Prompt: lengthy(), Homes: []string{"north"}}, reader, writer, other)
		So(choice.Reader.Life, ShouldEqual, "q")
		_, found = choose(regions, pool.Wish{Homes: []string{"south"}}, reader, writer)
		So(found, ShouldBeFalse)
		_, found = choose(regions, pool.Wish{Shut: map[string]bool{"north": true}}, reader, writer)
		So(found, ShouldBeFalse)
		_, found = choose(nil, pool.Wish{Homes: []string{"north"}}, writer)
		So(found, ShouldBeFalse)
	})
}
