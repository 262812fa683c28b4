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

func seats() []part.Seat {
	return []part.Seat{{Identity: "0", Address: "0"}, {Identity: "1", Address: "1"}, {Identity: "2", Address: "2"}}
}

func follower(life uint64) *part.Member {
	place := part.Place{Place: election.Place{Slots: 3, Self: 2, Delta: simulation.Delta}, Terms: simulation.Terms, Keep: 24, Life: life, Me: seats()[2], Bindings: part.Bindings{Seats: seats()}}
	member, _ := part.Start(place, &simulation.Book{}, journal.Past{Whole: true, Promised: 3}, schedule.Second, false)
	return member
}

func TestOnlyWordsToThisLifeMakeItCurrent(test *testing.T) {
	Convey("an Append to an earlier life does not make a restarted member current", test, func() {
		member := follower(2)
		message := part.Message{Kind: part.Append, From: 0, To: 2, Round: 3, Established: true, Life: 1}
		member.Receive(schedule.Second, message)
		_, current := member.Current()
		So(current, ShouldBeFalse)
		message.Life = 2
		member.Receive(schedule.Second, message)
		_, current = member.Current()
		So(current, ShouldBeTrue)
	})
}

func TestNoPromisePassesTheElection(test *testing.T) {
	Convey("a promise is given only for rounds that the election has reached", test, func() {
		member := follower(1)
		for _, kind := range []part.Kind{part.Prepare, part.Append} {
			output := member.Receive(schedule.Second, part.Message{Kind: kind, From: 0, To: 2, Round: 9})
			So(output.Held, ShouldBeEmpty)
			So(member.Round(), ShouldEqual, 3)
		}
		member.Receive(schedule.Second, part.Message{Kind: part.Elect, From: 0, To: 2, Sender: seats()[0], Election: election.Message{Kind: election.START, Round: 9}})
		output := member.Receive(schedule.Second, part.Message{Kind: part.Prepare, From: 0, To: 2, Round: 9})
		So(output.Held, ShouldHaveLength, 1)
		So(output.Records, ShouldHaveLength, 1)
		So(member.Round(), ShouldEqual, 9)
	})
}

func TestAMemberThatLostItsDiskIsMute(test *testing.T) {
	Convey("without a promise on disk it neither promises, accepts nor grants", test, func() {
		place := part.Place{Place: election.Place{Slots: 3, Self: 2, Delta: simulation.Delta}, Terms: simulation.Terms, Keep: 24, Life: 1, Me: seats()[2], Bindings: part.Bindings{Seats: seats()}}
		member, _ := part.Start(place, &simulation.Book{}, journal.Past{Entries: []journal.Entry{{Index: 1}}}, schedule.Second, false)
		So(member.Recovering(), ShouldBeTrue)
		for _, kind := range []part.Kind{part.Prepare, part.Append} {
			output := member.Receive(schedule.Second, part.Message{Kind: kind, From: 0, To: 2})
			So(output.Held, ShouldBeEmpty)
			So(output.Records, ShouldBeEmpty)
		}
		tell := part.Message{Kind: part.Tell, To: 2, Promised: 7, Index: 1, IndexRound: 7, Entries: []journal.Entry{{Index: 1, Round: 7}}}
		for _, from := range []int{0, 1} {
			tell.From, tell.Sender = from, seats()[from]
			member.Receive(schedule.Second, tell)
		}
		So(member.Recovering(), ShouldBeTrue)
		output := member.Receive(5*schedule.Second, tell)
		So(member.Recovering(), ShouldBeFalse)
		So(member.Round(), ShouldEqual, 7)
		So(output.Records[len(output.Records)-1].Kind, ShouldEqual, journal.Promise)
	})
}

func TestWhatWasCommittedIsShownBeforeThereIsALeader(test *testing.T) {
	place := part.Place{Place: election.Place{Slots: 3, Self: 2, Delta: simulation.Delta}, Terms: simulation.Terms, Keep: 24, Life: 1, Me: seats()[2], Bindings: part.Bindings{Seats: seats()}}
	entries := []journal.Entry{{Index: 1, Round: 1}, {Index: 2, Round: 1}, {Index: 3, Round: 2}}
	Convey("a restarted member applies what its disk notes as committed, and no more", test, func() {
		for commit := range uint64(4) {
			member, output := part.Start(place, &simulation.Book{}, journal.Past{Whole: true, Promised: 3, Entries: entries, Commit: commit}, schedule.Second, false)
			So(member.Applied(), ShouldEqual, commit)
			So(output.Applied, ShouldEqual, commit > 0)
			_, current := member.Current()
			So(current, ShouldBeFalse)
		}
	})
	Convey("a note beyond the entries that are left counts for nothing", test, func() {
		member, _ := part.Start(place, &simulation.Book{}, journal.Past{Whole: true, Promised: 3, Entries: entries[:1], Commit: 3}, schedule.Second, false)
		So(member.Applied(), ShouldEqual, uint64(0))
	})
	Convey("each advance of the commit is noted, and nothing waits for the note", test, func() {
		member := follower(2)
		output := member.Receive(schedule.Second, part.Message{
			Kind: part.Append, From: 0, To: 2, Round: 3, Established: true, Life: 2, Entries: []journal.Entry{{Index: 1, Round: 3}}, Commit: 1, Sender: seats()[0],
		})
		So(output.Later, ShouldResemble, []journal.Record{{Kind: journal.Commit, Entry: journal.Entry{Index: 1}}})
		So(output.Records, ShouldHaveLength, 1)
	})
}
