package part_test

import (
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/faulttest/simulation"
)

// bindingsOf are those of five slots at an epoch, each with the daemon of its number but
// for one that another daemon holds.
func bindingsOf(epoch uint64, slot int, holder part.Seat) part.Bindings {
	bindings := part.Bindings{Epoch: epoch, Seats: make([]part.Seat, 5)}
	for place := range bindings.Seats {
		bindings.Seats[place] = part.Seat{Identity: strconv.Itoa(place), Address: strconv.Itoa(place)}
	}
	bindings.Seats[slot] = holder
	return bindings
}

// A daemon held slot 4, lost it while it was cut off, and is given slot 3: what its disk
// holds are the promises of slot 4 and bindings that were overtaken.
func TestALogOfAnotherSlotGivesNoVote(test *testing.T) {
	reserve := part.Seat{Identity: "reserve", Address: "reserve"}
	start := func(slot int, epoch uint64) (*part.Member, *part.Output) {
		past := journal.Past{Whole: true, Promised: 4, Base: journal.Entry{Index: 6, Round: 1, Data: part.Pack(bindingsOf(5, 4, reserve), nil)}}
		place := part.Place{
			Place: election.Place{Slots: 5, Self: slot, Delta: simulation.Delta}, Terms: simulation.Terms, Keep: 24, Life: 2,
			Me: reserve, Bindings: bindingsOf(epoch, slot, reserve),
		}
		member, output := part.Start(place, &simulation.Book{}, past, schedule.Second, false)
		return member, &output
	}
	Convey("in a slot that it did not hold, the daemon recovers before it votes, and keeps its seat", test, func() {
		member, _ := start(3, 9)
		So(member.Unbound(), ShouldBeFalse)
		So(member.Bindings().Epoch, ShouldEqual, 9)
		So(member.Recovering(), ShouldBeTrue)
		for _, kind := range []part.Kind{part.Prepare, part.Append} {
			output := member.Receive(schedule.Second, part.Message{Kind: kind, From: 0, To: 3, Round: 4, Sender: part.Seat{Identity: "0", Address: "0"}})
			So(output.Held, ShouldBeEmpty)
			So(output.Records, ShouldBeEmpty)
		}
	})
	Convey("in its own slot it goes on as before, also where it hears of later bindings", test, func() {
		for _, epoch := range []uint64{5, 9} {
			member, _ := start(4, epoch)
			So(member.Unbound(), ShouldBeFalse)
			So(member.Bindings().Epoch, ShouldEqual, epoch)
			So(member.Recovering(), ShouldBeFalse)
		}
	})
}
