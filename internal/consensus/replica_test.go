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

func testMembers() []consensus.Member {
	return []consensus.Member{{Identity: "0", Address: "0"}, {Identity: "1", Address: "1"}, {Identity: "2", Address: "2"}}
}

func follower(incarnation uint64) *consensus.Replica {
	config := consensus.Config{Config: election.Config{Slots: 3, Self: 2, Delta: simulation.MaxMessageAge}, Timing: simulation.LeaseTiming, RetainedEntries: 24, Incarnation: incarnation, LocalMember: testMembers()[2], InitialMembership: consensus.Membership{Seats: testMembers()}}
	replica, _ := consensus.StartReplica(config, &simulation.AppendLog{}, wal.ShardState{HasPromise: true, PromisedTerm: 3}, clock.Second, false)
	return replica
}

func TestReplica_IgnoresAppendToEarlierIncarnation(t *testing.T) {
	Convey("an Append to an earlier life does not make a restarted member current", t, func() {
		replica := follower(2)
		message := consensus.Message{Kind: consensus.MsgAppend, From: 0, To: 2, Round: 3, Established: true, Life: 1}
		replica.Receive(clock.Second, message)
		_, current := replica.CommitIndex()
		So(current, ShouldBeFalse)
		message.Life = 2
		replica.Receive(clock.Second, message)
		_, current = replica.CommitIndex()
		So(current, ShouldBeTrue)
	})
}

func TestReplica_PromiseRequiresElectionTerm(t *testing.T) {
	Convey("a promise is given only for rounds that the election has reached", t, func() {
		replica := follower(1)
		for _, kind := range []consensus.MessageKind{consensus.MsgPrepare, consensus.MsgAppend} {
			output := replica.Receive(clock.Second, consensus.Message{Kind: kind, From: 0, To: 2, Round: 9})
			So(output.MessagesAfterSync, ShouldBeEmpty)
			So(replica.Term(), ShouldEqual, 3)
		}
		replica.Receive(clock.Second, consensus.Message{Kind: consensus.MsgElection, From: 0, To: 2, Sender: testMembers()[0], Election: election.Message{Kind: election.START, Round: 9}})
		output := replica.Receive(clock.Second, consensus.Message{Kind: consensus.MsgPrepare, From: 0, To: 2, Round: 9})
		So(output.MessagesAfterSync, ShouldHaveLength, 1)
		So(output.Records, ShouldHaveLength, 1)
		So(replica.Term(), ShouldEqual, 9)
	})
}

func TestReplica_DiskLossPreventsVoting(t *testing.T) {
	Convey("without a promise on disk it neither promises, accepts nor grants", t, func() {
		config := consensus.Config{Config: election.Config{Slots: 3, Self: 2, Delta: simulation.MaxMessageAge}, Timing: simulation.LeaseTiming, RetainedEntries: 24, Incarnation: 1, LocalMember: testMembers()[2], InitialMembership: consensus.Membership{Seats: testMembers()}}
		replica, _ := consensus.StartReplica(config, &simulation.AppendLog{}, wal.ShardState{Entries: []wal.Entry{{Index: 1}}}, clock.Second, false)
		So(replica.Recovering(), ShouldBeTrue)
		for _, kind := range []consensus.MessageKind{consensus.MsgPrepare, consensus.MsgAppend} {
			output := replica.Receive(clock.Second, consensus.Message{Kind: kind, From: 0, To: 2})
			So(output.MessagesAfterSync, ShouldBeEmpty)
			So(output.Records, ShouldBeEmpty)
		}
		response := consensus.Message{Kind: consensus.MsgRecoveryResponse, To: 2, Promised: 7, Index: 1, IndexRound: 7, Entries: []wal.Entry{{Index: 1, Round: 7}}}
		for _, from := range []int{0, 1} {
			response.From, response.Sender = from, testMembers()[from]
			replica.Receive(clock.Second, response)
		}
		So(replica.Recovering(), ShouldBeTrue)
		output := replica.Receive(5*clock.Second, response)
		So(replica.Recovering(), ShouldBeFalse)
		So(replica.Term(), ShouldEqual, 7)
		So(output.Records[len(output.Records)-1].Kind, ShouldEqual, wal.RecordPromise)
	})
}

func TestReplica_RestartAppliesRecordedCommit(t *testing.T) {
	config := consensus.Config{Config: election.Config{Slots: 3, Self: 2, Delta: simulation.MaxMessageAge}, Timing: simulation.LeaseTiming, RetainedEntries: 24, Incarnation: 1, LocalMember: testMembers()[2], InitialMembership: consensus.Membership{Seats: testMembers()}}
	entries := []wal.Entry{{Index: 1, Round: 1}, {Index: 2, Round: 1}, {Index: 3, Round: 2}}
	Convey("a restarted member applies what its disk notes as committed, and no more", t, func() {
		for commit := range uint64(4) {
			replica, output := consensus.StartReplica(config, &simulation.AppendLog{}, wal.ShardState{HasPromise: true, PromisedTerm: 3, Entries: entries, RecordedCommit: commit}, clock.Second, false)
			So(replica.AppliedIndex(), ShouldEqual, commit)
			So(output.StateChanged, ShouldEqual, commit > 0)
			_, current := replica.CommitIndex()
			So(current, ShouldBeFalse)
		}
	})
	Convey("a note beyond the entries that are left counts for nothing", t, func() {
		replica, _ := consensus.StartReplica(config, &simulation.AppendLog{}, wal.ShardState{HasPromise: true, PromisedTerm: 3, Entries: entries[:1], RecordedCommit: 3}, clock.Second, false)
		So(replica.AppliedIndex(), ShouldEqual, uint64(0))
	})
	Convey("each advance of the commit is noted, and nothing waits for the note", t, func() {
		replica := follower(2)
		output := replica.Receive(clock.Second, consensus.Message{
			Kind: consensus.MsgAppend, From: 0, To: 2, Round: 3, Established: true, Life: 2, Entries: []wal.Entry{{Index: 1, Round: 3}}, Commit: 1, Sender: testMembers()[0],
		})
		So(output.DeferredRecords, ShouldResemble, []wal.Record{{Kind: wal.RecordCommit, Entry: wal.Entry{Index: 1}}})
		So(output.Records, ShouldHaveLength, 1)
	})
}
