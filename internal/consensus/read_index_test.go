package consensus_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/faulttest/simulation"
)

// leaderFixture is a leader of three whose disk is at once, with slot 1 as its only follower.
type leaderFixture struct {
	*consensus.Replica
	now clock.Microseconds
	// followerMuted has slot 1 answer nothing by itself.
	followerMuted bool
}

func (l *leaderFixture) handleOutput(output consensus.Output) {
	for _, message := range output.MessagesAfterSync {
		if message.To == l.Self {
			l.handleOutput(l.Receive(l.now, message))
		}
	}
	for _, message := range output.Messages {
		if message.To == 1 && !l.followerMuted {
			l.respondAsFollower(message)
		}
	}
}

// respondAsFollower answers as slot 1.
func (l *leaderFixture) respondAsFollower(message consensus.Message) {
	response := consensus.Message{From: 1, Round: message.Round, Promised: message.Round, Accepted: true, Asked: message.Asked, Sender: testMembers()[1], Life: 1}
	switch message.Kind {
	case consensus.MsgPrepare:
		response.Kind = consensus.MsgPromise
	case consensus.MsgAppend:
		response.Kind, response.Commit = consensus.MsgAppendResponse, message.Commit
		response.Index = message.Index + uint64(len(message.Entries))
	default:
		return
	}
	l.handleOutput(l.Receive(l.now, response))
}

// runFor lets time pass; heard says whether slot 1 answers the OKs.
func (l *leaderFixture) runFor(duration clock.Microseconds, answered bool) {
	for end := l.now + duration; l.now < end; {
		l.now += simulation.MaxMessageAge / 4
		output := l.Tick(l.now)
		if answered {
			l.handleOutput(output)
			l.deliverEcho(l.now, 0)
		}
	}
}

func (l *leaderFixture) deliverEcho(sentAt clock.Microseconds, promised uint64) {
	l.handleOutput(l.ReceiveEcho(l.now, sentAt, "1", consensus.Echo{Slot: 1, Promised: promised}))
}

func newLeaderFixture() *leaderFixture {
	config := consensus.Config{Config: election.Config{Slots: 3, Delta: simulation.MaxMessageAge}, Timing: simulation.LeaseTiming, RetainedEntries: 24, Incarnation: 1, LocalMember: testMembers()[0], InitialMembership: consensus.Membership{Seats: testMembers()}}
	leader := &leaderFixture{now: clock.Second}
	replica, output := consensus.StartReplica(config, &simulation.AppendLog{}, wal.ShardState{}, leader.now, true)
	leader.Replica = replica
	leader.handleOutput(output)
	leader.runFor(clock.Second, true)
	return leader
}

func TestLeader_RequiresQuorumContact(t *testing.T) {
	delta := simulation.MaxMessageAge
	Convey("it owns and is confirmed while a majority answers", t, func() {
		leader := newLeaderFixture()
		So(leader.IsLeader(), ShouldBeTrue)
		So(leader.LeadershipConfirmed(leader.now), ShouldBeTrue)
		lastContact := leader.now
		Convey("4δ after the last answered question it is not confirmed, and begins no read", func() {
			leader.runFor(4*delta, false)
			So(leader.LeadershipConfirmed(leader.now), ShouldBeFalse)
			So(leader.Isolated(leader.now), ShouldBeTrue)
			_, isLeader, _ := leader.BeginRead(leader.now)
			So(isLeader, ShouldBeFalse)
			So(leader.LeadershipConfirmedUntil(leader.now), ShouldEqual, lastContact+4*delta)
		})
		Convey("6δ after it, it leads no more, and sends neither OK nor PONG", func() {
			leader.runFor(7*delta, false)
			So(leader.IsLeader(), ShouldBeFalse)
			for range 12 {
				leader.now += delta / 4
				output := leader.Tick(leader.now)
				for _, message := range output.Messages {
					So(message.Election.Kind, ShouldEqual, election.PING)
				}
			}
			_, term := leader.Leader()
			ping := consensus.Message{Kind: consensus.MsgElection, From: 2, Sender: testMembers()[2], Election: election.Message{Kind: election.PING, Round: term}}
			for _, message := range leader.Receive(leader.now, ping).Messages {
				So(message.Election.Kind, ShouldNotEqual, election.PONG)
			}
		})
	})
}

func TestPendingRead_RequiresConfirmationSentAfterStart(t *testing.T) {
	Convey("a read", t, func() {
		leader := newLeaderFixture()
		sentBeforeRead := leader.now
		leader.now += clock.Millisecond
		read, isLeader, output := leader.BeginRead(leader.now)
		So(isLeader, ShouldBeTrue)
		So(len(output.Messages), ShouldEqual, 2)
		So(output.Records, ShouldBeEmpty)
		status := func() consensus.ReadStatus { return leader.CheckRead(leader.now, read) }
		So(status(), ShouldEqual, consensus.ReadPending)
		Convey("waits if the answer is to an earlier question", func() {
			leader.deliverEcho(sentBeforeRead, 0)
			So(status(), ShouldEqual, consensus.ReadPending)
		})
		Convey("waits if whoever answers has promised a later round", func() {
			leader.deliverEcho(leader.now, 4)
			So(status(), ShouldEqual, consensus.ReadPending)
		})
		Convey("waits if whoever answers has lost its disk, is not at the seat's address, or is this member", func() {
			leader.handleOutput(leader.ReceiveEcho(leader.now, leader.now, "1", consensus.Echo{Slot: 1, Recovering: true}))
			leader.handleOutput(leader.ReceiveEcho(leader.now, leader.now, "9", consensus.Echo{Slot: 1}))
			leader.handleOutput(leader.ReceiveEcho(leader.now, leader.now, "0", consensus.Echo{Slot: 0}))
			leader.handleOutput(leader.ReceiveEcho(leader.now, leader.now, "1", consensus.Echo{Slot: 7}))
			So(status(), ShouldEqual, consensus.ReadPending)
		})
		Convey("is ready once a majority has answered a question sent after it began", func() {
			leader.deliverEcho(leader.now, 0)
			So(status(), ShouldEqual, consensus.ReadReady)
		})
		Convey("is lost with the round", func() {
			leader.Receive(leader.now, consensus.Message{Kind: consensus.MsgElection, From: 1, Sender: testMembers()[1], Election: election.Message{Kind: election.START, Round: 1}})
			So(status(), ShouldEqual, consensus.ReadAborted)
		})
		Convey("waits until a majority knows what was committed here", func() {
			leader.now += clock.Millisecond
			leader.followerMuted = true
			index, _ := leader.CommitIndex()
			_, _, accepted, output := leader.Propose(leader.now, make([]byte, 8))
			So(accepted, ShouldBeTrue)
			leader.handleOutput(output)
			response := consensus.Message{Kind: consensus.MsgAppendResponse, From: 1, Accepted: true, Asked: leader.now, Index: index + 1, Commit: index, Sender: testMembers()[1], Life: 1}
			leader.handleOutput(leader.Receive(leader.now, response))
			committed, _ := leader.CommitIndex()
			So(committed, ShouldEqual, index+1)
			read, _, _ = leader.BeginRead(leader.now)
			leader.deliverEcho(leader.now, 0)
			So(status(), ShouldEqual, consensus.ReadPending)
			response.Commit = committed
			leader.handleOutput(leader.Receive(leader.now, response))
			leader.now += clock.Second / 2
			leader.deliverEcho(leader.now, 0)
			leader.handleOutput(leader.Tick(leader.now))
			So(status(), ShouldEqual, consensus.ReadReady)
		})
	})
}
