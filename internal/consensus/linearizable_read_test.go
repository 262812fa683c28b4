package consensus_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/election"
)

// readFixture is a leader with a read that has just begun.
type readFixture struct {
	*leaderFixture
	read consensus.PendingRead
	// sentBeforeRead is a time before the read began.
	sentBeforeRead clock.Microseconds
}

func newReadFixture() *readFixture {
	leader := newLeaderFixture()
	fixture := &readFixture{leaderFixture: leader, sentBeforeRead: leader.now}
	leader.now += clock.Millisecond
	read, isLeader, output := leader.BeginRead(leader.now)
	So(isLeader, ShouldBeTrue)
	So(len(output.Messages), ShouldEqual, 2)
	So(output.Records, ShouldBeEmpty)
	fixture.read = read
	So(fixture.status(), ShouldEqual, consensus.ReadPending)
	return fixture
}

func (r *readFixture) status() consensus.ReadStatus {
	return r.CheckRead(r.now, r.read)
}

// receiveEcho delivers an echo from an address, in answer to a message that was sent now.
func (r *readFixture) receiveEcho(address string, echo consensus.Echo) {
	r.handleOutput(r.ReceiveEcho(r.now, r.now, address, echo))
}

func TestPendingRead_RequiresConfirmationSentAfterStart(t *testing.T) {
	Convey("a read", t, func() {
		fixture := newReadFixture()
		Convey("waits if the answer is to an earlier request", func() {
			fixture.deliverEcho(fixture.sentBeforeRead, 0)
			So(fixture.status(), ShouldEqual, consensus.ReadPending)
		})
		Convey("waits if the answering slot has promised a later term", func() {
			fixture.deliverEcho(fixture.now, 4)
			So(fixture.status(), ShouldEqual, consensus.ReadPending)
		})
		Convey("waits if the answer comes from a daemon without its disk, from another address, or from the leader itself", func() {
			fixture.receiveEcho("1", consensus.Echo{Slot: 1, Recovering: true})
			fixture.receiveEcho("9", consensus.Echo{Slot: 1})
			fixture.receiveEcho("0", consensus.Echo{Slot: 0})
			fixture.receiveEcho("1", consensus.Echo{Slot: 7})
			So(fixture.status(), ShouldEqual, consensus.ReadPending)
		})
		Convey("is ready once a majority has answered a request sent after it began", func() {
			fixture.deliverEcho(fixture.now, 0)
			So(fixture.status(), ShouldEqual, consensus.ReadReady)
		})
		Convey("is aborted at the end of the term", func() {
			fixture.Receive(fixture.now, electionMessage(1, 0, election.START, 1))
			So(fixture.status(), ShouldEqual, consensus.ReadAborted)
		})
	})
}

func TestPendingRead_RequiresQuorumCommit(t *testing.T) {
	Convey("a read waits until a majority knows the entries that were committed when it began", t, func() {
		fixture := newReadFixture()
		fixture.now += clock.Millisecond
		fixture.followerMuted = true
		index, _ := fixture.CommitIndex()
		_, _, accepted, output := fixture.Propose(fixture.now, make([]byte, 8))
		So(accepted, ShouldBeTrue)
		fixture.handleOutput(output)
		response := consensus.Message{
			Kind: consensus.MsgAppendResponse, From: 1, Sender: testMembers()[1], Incarnation: 1,
			Accepted: true, RequestedAt: fixture.now, Index: index + 1, Commit: index,
		}
		fixture.handleOutput(fixture.Receive(fixture.now, response))
		committed, _ := fixture.CommitIndex()
		So(committed, ShouldEqual, index+1)
		fixture.read, _, _ = fixture.BeginRead(fixture.now)
		fixture.deliverEcho(fixture.now, 0)
		So(fixture.status(), ShouldEqual, consensus.ReadPending)
		response.Commit = committed
		fixture.handleOutput(fixture.Receive(fixture.now, response))
		fixture.now += clock.Second / 2
		fixture.deliverEcho(fixture.now, 0)
		fixture.handleOutput(fixture.Tick(fixture.now))
		So(fixture.status(), ShouldEqual, consensus.ReadReady)
	})
}
