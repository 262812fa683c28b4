package part_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/faulttest/simulation"
)

// A member whose slot was given away while it was out of touch goes on hearing the OKs of
// the leader, which sends it nothing else.
func TestAMemberThatIsShownNothingSaysSo(test *testing.T) {
	Convey("a follower that hears OKs without entries or heartbeats", test, func() {
		place := part.Place{Place: election.Place{Slots: 3, Self: 2, Delta: simulation.Delta}, Terms: simulation.Terms, Keep: 24, Life: 1, Me: seats()[2], Bindings: part.Bindings{Seats: seats()}}
		now := schedule.Second
		member, _ := part.Start(place, &simulation.Book{}, journal.Past{}, now, true)
		follow := func(span schedule.Microseconds, shown bool) {
			for end := now + span; now < end; {
				now += simulation.Delta
				okay := part.Message{Kind: part.Elect, From: 0, To: 2, Sender: seats()[0], Election: election.Message{Kind: election.OK}}
				member.Receive(now, okay)
				if shown {
					heartbeat := part.Message{Kind: part.Append, From: 0, To: 2, Sender: seats()[0], Asked: now, Life: 1, Established: true}
					member.Receive(now, heartbeat)
				}
			}
		}
		follow(2*schedule.Second, true)
		So(member.Alone(now), ShouldBeFalse)
		So(member.Detached(now), ShouldBeFalse)
		follow(simulation.Terms.Lease, false)
		So(member.Detached(now), ShouldBeFalse)
		follow(simulation.Delta, false)
		So(member.Alone(now), ShouldBeTrue)
		So(member.Detached(now), ShouldBeTrue)
		follow(simulation.Delta, true)
		So(member.Alone(now), ShouldBeFalse)
		So(member.Detached(now), ShouldBeFalse)
	})
}
