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

// lead is a leader of three whose disk is at once, with slot 1 as its only follower.
type lead struct {
	*part.Member
	now schedule.Microseconds
	// alone has slot 1 answer nothing by itself.
	alone bool
}

func (l *lead) carry(output part.Output) {
	for _, message := range output.Held {
		if message.To == l.Self {
			l.carry(l.Receive(l.now, message))
		}
	}
	for _, message := range output.Urgent {
		if message.To == 1 && !l.alone {
			l.follow(message)
		}
	}
}

// follow answers as slot 1.
func (l *lead) follow(message part.Message) {
	answer := part.Message{From: 1, Round: message.Round, Promised: message.Round, Accepted: true, Asked: message.Asked, Sender: seats()[1], Life: 1}
	switch message.Kind {
	case part.Prepare:
		answer.Kind = part.Promise
	case part.Append:
		answer.Kind, answer.Commit = part.Appended, message.Commit
		answer.Index = message.Index + uint64(len(message.Entries))
	default:
		return
	}
	l.carry(l.Receive(l.now, answer))
}

// pass lets time pass; heard says whether slot 1 answers the OKs.
func (l *lead) pass(span schedule.Microseconds, heard bool) {
	for end := l.now + span; l.now < end; {
		l.now += simulation.Delta / 4
		output := l.Wake(l.now)
		if heard {
			l.carry(output)
			l.echo(l.now, 0)
		}
	}
}

func (l *lead) echo(asked schedule.Microseconds, promised uint64) {
	l.carry(l.Echoed(l.now, asked, "1", part.Echo{Slot: 1, Promised: promised}))
}

func newLead() *lead {
	place := part.Place{Place: election.Place{Slots: 3, Delta: simulation.Delta}, Terms: simulation.Terms, Keep: 24, Life: 1, Me: seats()[0], Bindings: part.Bindings{Seats: seats()}}
	found := &lead{now: schedule.Second}
	member, output := part.Start(place, &simulation.Book{}, journal.Past{}, found.now, true)
	found.Member = member
	found.carry(output)
	found.pass(schedule.Second, true)
	return found
}

func TestALeaderSpeaksOnlyInContactWithAMajority(test *testing.T) {
	delta := simulation.Delta
	Convey("it owns and is confirmed while a majority answers", test, func() {
		lead := newLead()
		So(lead.Owns(), ShouldBeTrue)
		So(lead.Confirmed(lead.now), ShouldBeTrue)
		last := lead.now
		Convey("4δ after the last answered question it is not confirmed, and begins no read", func() {
			lead.pass(4*delta, false)
			So(lead.Confirmed(lead.now), ShouldBeFalse)
			So(lead.Detached(lead.now), ShouldBeTrue)
			_, owns, _ := lead.BeginRead(lead.now)
			So(owns, ShouldBeFalse)
			So(lead.ConfirmedUntil(lead.now), ShouldEqual, last+4*delta)
		})
		Convey("6δ after it, it leads no more, and sends neither OK nor PONG", func() {
			lead.pass(7*delta, false)
			So(lead.Owns(), ShouldBeFalse)
			for range 12 {
				lead.now += delta / 4
				output := lead.Wake(lead.now)
				for _, message := range output.Urgent {
					So(message.Election.Kind, ShouldEqual, election.PING)
				}
			}
			_, round := lead.Leader()
			ping := part.Message{Kind: part.Elect, From: 2, Sender: seats()[2], Election: election.Message{Kind: election.PING, Round: round}}
			for _, message := range lead.Receive(lead.now, ping).Urgent {
				So(message.Election.Kind, ShouldNotEqual, election.PONG)
			}
		})
	})
}

func TestAReadIsConfirmedByQuestionsSentAfterItBegan(test *testing.T) {
	Convey("a read", test, func() {
		lead := newLead()
		before := lead.now
		lead.now += schedule.Millisecond
		read, owns, output := lead.BeginRead(lead.now)
		So(owns, ShouldBeTrue)
		So(len(output.Urgent), ShouldEqual, 2)
		So(output.Records, ShouldBeEmpty)
		state := func() part.ReadState { return lead.Judge(lead.now, read) }
		So(state(), ShouldEqual, part.ReadWaits)
		Convey("waits if the answer is to an earlier question", func() {
			lead.echo(before, 0)
			So(state(), ShouldEqual, part.ReadWaits)
		})
		Convey("waits if whoever answers has promised a later round", func() {
			lead.echo(lead.now, 4)
			So(state(), ShouldEqual, part.ReadWaits)
		})
		Convey("waits if whoever answers has lost its disk, is not at the seat's address, or is this member", func() {
			lead.carry(lead.Echoed(lead.now, lead.now, "1", part.Echo{Slot: 1, Recovering: true}))
			lead.carry(lead.Echoed(lead.now, lead.now, "9", part.Echo{Slot: 1}))
			lead.carry(lead.Echoed(lead.now, lead.now, "0", part.Echo{Slot: 0}))
			lead.carry(lead.Echoed(lead.now, lead.now, "1", part.Echo{Slot: 7}))
			So(state(), ShouldEqual, part.ReadWaits)
		})
		Convey("is ready once a majority has answered a question sent after it began", func() {
			lead.echo(lead.now, 0)
			So(state(), ShouldEqual, part.ReadReady)
		})
		Convey("is lost with the round", func() {
			lead.Receive(lead.now, part.Message{Kind: part.Elect, From: 1, Sender: seats()[1], Election: election.Message{Kind: election.START, Round: 1}})
			So(state(), ShouldEqual, part.ReadLost)
		})
		Convey("waits until a majority knows what was committed here", func() {
			lead.now += schedule.Millisecond
			lead.alone = true
			index, _ := lead.Current()
			_, _, accepted, output := lead.Propose(lead.now, make([]byte, 8))
			So(accepted, ShouldBeTrue)
			lead.carry(output)
			answer := part.Message{Kind: part.Appended, From: 1, Accepted: true, Asked: lead.now, Index: index + 1, Commit: index, Sender: seats()[1], Life: 1}
			lead.carry(lead.Receive(lead.now, answer))
			committed, _ := lead.Current()
			So(committed, ShouldEqual, index+1)
			read, _, _ = lead.BeginRead(lead.now)
			lead.echo(lead.now, 0)
			So(state(), ShouldEqual, part.ReadWaits)
			answer.Commit = committed
			lead.carry(lead.Receive(lead.now, answer))
			lead.now += schedule.Second / 2
			lead.echo(lead.now, 0)
			lead.carry(lead.Wake(lead.now))
			So(state(), ShouldEqual, part.ReadReady)
		})
	})
}
