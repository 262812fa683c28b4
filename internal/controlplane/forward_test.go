package core

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/consensus"
	"coursepass/internal/errcode"
)

func TestAnErrandIsForwardedTwiceAtMostAndNeverBack(test *testing.T) {
	core := &Core{seat: part.Seat{Address: "a"}}
	shard := &shard{core: core}
	shard.seats.Store(&part.Bindings{Seats: []part.Seat{{Address: "a"}, {Address: "b"}, {}}})
	seated, outside := &Status{Slot: 0, Leader: 1}, &Status{Slot: -1, Leader: -1}
	for _, each := range []struct {
		name   string
		status *Status
		errand Errand
		to     string
	}{
		{"to the leader", seated, Errand{}, "b"},
		{"to the leader once more", seated, Errand{Hops: 1, Origin: "z"}, "b"},
		{"never back", seated, Errand{Hops: 1, Origin: "b"}, ""},
		{"no third time", seated, Errand{Hops: 2, Origin: "z"}, ""},
		{"nobody leads", &Status{Slot: 0, Leader: -1}, Errand{}, ""},
		{"the leader's seat is vacant", &Status{Slot: 0, Leader: 2}, Errand{}, ""},
		{"from outside to a seat", outside, Errand{}, "b"},
		{"from outside only what came first to it", outside, Errand{Hops: 1, Origin: "z"}, ""},
		{"before anything is known", nil, Errand{Hops: 1, Origin: "z"}, ""},
	} {
		Convey(each.name, test, func() {
			for range 4 {
				to, err := core.forwardTo(shard, each.status, &each.errand)
				So(to, ShouldEqual, each.to)
				So(err == nil, ShouldEqual, each.to != "")
				if err != nil {
					So(mishap.CodeOf(err, mishap.OutcomeUnknown), ShouldEqual, mishap.NotOwner)
				}
			}
		})
	}
}
