package part

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/wal"
)

// What a newcomer copies begins before the entry that gave it its slot: while it catches
// up it must not take itself for one whose slot is another's.
func TestARecoveringMemberKeepsItsSlotWhileItCatchesUp(test *testing.T) {
	Convey("a log that ends before the bindings that count", test, func() {
		newcomer, former := Seat{Identity: "n", Address: "n"}, Seat{Identity: "f", Address: "f"}
		older, given := Bindings{Epoch: 7, Seats: []Seat{{}, {}, former}}, Bindings{Epoch: 9, Seats: []Seat{{}, {}, newcomer}}
		later := Bindings{Epoch: 10, Seats: []Seat{{}, {}, former}}
		entry := func(index uint64, bindings Bindings) journal.Entry {
			return journal.Entry{Index: index, Round: 1, Data: append([]byte{bindingsTag}, encode(bindings)...)}
		}
		member := &Member{Place: Place{Place: election.Place{Slots: 3, Self: 2}, Me: newcomer, Bindings: given}, recovery: &recovery{}}
		member.Entries = []journal.Entry{entry(1, older)}
		member.rebind()
		So(member.Unbound(), ShouldBeFalse)
		So(member.Bindings().Epoch, ShouldEqual, 9)

		member.Entries = append(member.Entries, entry(2, given), entry(3, later))
		member.rebind()
		So(member.Unbound(), ShouldBeTrue)
		So(member.Bindings().Epoch, ShouldEqual, 10)

		member.Entries, member.recovery = member.Entries[:1], nil
		member.rebind()
		So(member.Bindings().Epoch, ShouldEqual, 7)
	})
}
