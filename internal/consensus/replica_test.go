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

// testMembers returns the members of a cluster of three slots.
func testMembers() []consensus.Member {
	return []consensus.Member{
		{Identity: "0", Address: "0"},
		{Identity: "1", Address: "1"},
		{Identity: "2", Address: "2"},
	}
}

// testConfig returns the configuration of one slot of that cluster, in its first incarnation.
func testConfig(slot int) consensus.Config {
	return consensus.Config{
		Config:            election.Config{Slots: 3, Self: slot, Delta: simulation.MaxMessageAge},
		Timing:            simulation.LeaseTiming,
		RetainedEntries:   24,
		Incarnation:       1,
		LocalMember:       testMembers()[slot],
		InitialMembership: consensus.Membership{Members: testMembers()},
	}
}

// restartReplica starts a replica from its stored state.
func restartReplica(config consensus.Config, stored wal.ShardState) (*consensus.Replica, consensus.Output) {
	return consensus.StartReplica(config, consensus.StartOptions{
		StateMachine: &simulation.AppendLog{},
		Stored:       stored,
		Now:          clock.Second,
	})
}

// newRestartedFollower returns a restarted replica of slot 2 that has promised term 3, in the given
// incarnation.
func newRestartedFollower(incarnation uint64) *consensus.Replica {
	config := testConfig(2)
	config.Incarnation = incarnation
	replica, _ := restartReplica(config, wal.ShardState{HasPromise: true, PromisedTerm: 3})
	return replica
}

// electionMessage returns a message of the election from one slot to another.
func electionMessage(from, to int, kind election.MessageKind, term uint64) consensus.Message {
	return consensus.Message{
		Kind:     consensus.MsgElection,
		From:     from,
		To:       to,
		Sender:   testMembers()[from],
		Election: election.Message{Kind: kind, Term: term},
	}
}

func TestReplica_IgnoresAppendToEarlierIncarnation(t *testing.T) {
	Convey("a MsgAppend to an earlier incarnation does not bring a restarted replica up to date", t, func() {
		replica := newRestartedFollower(2)
		message := consensus.Message{Kind: consensus.MsgAppend, From: 0, To: 2, Term: 3, Established: true, Incarnation: 1}
		replica.Receive(clock.Second, message)
		_, upToDate := replica.CommitIndex()
		So(upToDate, ShouldBeFalse)
		message.Incarnation = 2
		replica.Receive(clock.Second, message)
		_, upToDate = replica.CommitIndex()
		So(upToDate, ShouldBeTrue)
	})
}

func TestReplica_PromiseRequiresElectionTerm(t *testing.T) {
	Convey("a replica promises only terms that its election has reached", t, func() {
		replica := newRestartedFollower(1)
		for _, kind := range []consensus.MessageKind{consensus.MsgPrepare, consensus.MsgAppend} {
			output := replica.Receive(clock.Second, consensus.Message{Kind: kind, From: 0, To: 2, Term: 9})
			So(output.MessagesAfterSync, ShouldBeEmpty)
			So(replica.Term(), ShouldEqual, 3)
		}
		replica.Receive(clock.Second, electionMessage(0, 2, election.START, 9))
		output := replica.Receive(clock.Second, consensus.Message{Kind: consensus.MsgPrepare, From: 0, To: 2, Term: 9})
		So(output.MessagesAfterSync, ShouldHaveLength, 1)
		So(output.Records, ShouldHaveLength, 1)
		So(replica.Term(), ShouldEqual, 9)
	})
}

func TestReplica_DiskLossPreventsVoting(t *testing.T) {
	Convey("without a promise on disk a replica neither promises nor accepts nor grants a lease until it has recovered", t, func() {
		replica, _ := restartReplica(testConfig(2), wal.ShardState{Entries: []wal.Entry{{Index: 1}}})
		So(replica.Recovering(), ShouldBeTrue)
		for _, kind := range []consensus.MessageKind{consensus.MsgPrepare, consensus.MsgAppend} {
			output := replica.Receive(clock.Second, consensus.Message{Kind: kind, From: 0, To: 2})
			So(output.MessagesAfterSync, ShouldBeEmpty)
			So(output.Records, ShouldBeEmpty)
		}
		response := consensus.Message{
			Kind:         consensus.MsgRecoveryResponse,
			To:           2,
			PromisedTerm: 7,
			Index:        1,
			IndexTerm:    7,
			Entries:      []wal.Entry{{Index: 1, Term: 7}},
		}
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
	entries := []wal.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}, {Index: 3, Term: 2}}
	Convey("a restarted replica applies what its disk records as committed, and no more", t, func() {
		for commit := range uint64(4) {
			stored := wal.ShardState{HasPromise: true, PromisedTerm: 3, Entries: entries, RecordedCommit: commit}
			replica, output := restartReplica(testConfig(2), stored)
			So(replica.AppliedIndex(), ShouldEqual, commit)
			So(output.StateChanged, ShouldEqual, commit > 0)
			_, upToDate := replica.CommitIndex()
			So(upToDate, ShouldBeFalse)
		}
	})
	Convey("a recorded commit index beyond the end of the log is ignored", t, func() {
		stored := wal.ShardState{HasPromise: true, PromisedTerm: 3, Entries: entries[:1], RecordedCommit: 3}
		replica, _ := restartReplica(testConfig(2), stored)
		So(replica.AppliedIndex(), ShouldEqual, uint64(0))
	})
	Convey("each commit index is recorded, and no message waits for the record", t, func() {
		replica := newRestartedFollower(2)
		output := replica.Receive(clock.Second, consensus.Message{
			Kind: consensus.MsgAppend, From: 0, To: 2, Term: 3, Sender: testMembers()[0],
			Established: true, Incarnation: 2, Entries: []wal.Entry{{Index: 1, Term: 3}}, Commit: 1,
		})
		So(output.DeferredRecords, ShouldResemble, []wal.Record{{Kind: wal.RecordCommit, Entry: wal.Entry{Index: 1}}})
		So(output.Records, ShouldHaveLength, 1)
	})
}
