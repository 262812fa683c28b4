package consensus_test

import (
	"encoding/binary"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/faulttest/simulation"
)

// successor is a daemon at an address that the founding membership does not name. In laterMembership
// it has the slot of daemon 1.
var successor = consensus.Member{Identity: "successor", Name: "successor", Address: "successor"}

func laterMembership() consensus.Membership {
	members := testMembers()
	members[1] = successor
	return consensus.Membership{Epoch: 2, Members: members, Retired: []string{"1"}}
}

// learnerAppend returns a MsgAppend from the successor, which leads, to daemon 2 as a learner.
func learnerAppend(receiver string) consensus.Message {
	return consensus.Message{
		Kind: consensus.MsgAppend, From: 1, To: 2, Sender: successor, Learner: true, Address: "2", Receiver: receiver,
		Term: 4, Commit: 1, Established: true, RequestedAt: 7, Epoch: 2,
		Entries: []wal.Entry{{Index: 1, Term: 4}, {Index: 2, Term: 4}},
	}
}

// newWipedReplica returns the replica of daemon 2 after the loss of its disk, with the founding
// membership.
func newWipedReplica() *consensus.Replica {
	replica, _ := restartReplica(testConfig(2), wal.ShardState{})
	return replica
}

// newLearner returns a learner on daemon 2 whose log has the founding membership.
func newLearner() *consensus.Replica {
	replica, _ := consensus.StartLearner(testConfig(2), &simulation.AppendLog{}, wal.ShardState{}, clock.Second)
	return replica
}

// outgoing returns all messages of an output.
func outgoing(output consensus.Output) []consensus.Message {
	return slices.Concat(output.Messages, output.MessagesAfterSync)
}

// Guards against a replica that handles what was sent to an earlier disk of its daemon: it would store entries, promise
// terms, or count answers to questions that it has never asked.
func TestReplica_IgnoresMessagesToEarlierDisk(t *testing.T) {
	leader := testMembers()[0]
	fromLeader := func(kind consensus.MessageKind) consensus.Message {
		return consensus.Message{
			Kind: kind, From: 0, To: 2, Sender: leader, Term: 3, PromisedTerm: 9, Accepted: true, Index: 0,
			Entries: []wal.Entry{{Index: 1, Term: 3}}, Commit: 1, Address: "2", Learner: kind == consensus.MsgAppend,
		}
	}
	states := map[string]struct {
		start func() *consensus.Replica
		kinds []consensus.MessageKind
	}{
		"recovering": {newWipedReplica, []consensus.MessageKind{
			consensus.MsgAppend, consensus.MsgRecoveryResponse, consensus.MsgRecoveryRequest,
			consensus.MsgFetchRequest, consensus.MsgFetchResponse,
		}},
		"learner": {newLearner, []consensus.MessageKind{
			consensus.MsgAppend, consensus.MsgRecoveryRequest, consensus.MsgFetchRequest, consensus.MsgFetchResponse,
		}},
		"voter": {func() *consensus.Replica { return newRestartedFollower(2) }, []consensus.MessageKind{
			consensus.MsgPromise, consensus.MsgAppendResponse, consensus.MsgRecoveryRequest,
			consensus.MsgFetchRequest, consensus.MsgFetchResponse,
		}},
	}
	for name, state := range states {
		for _, kind := range state.kinds {
			message := fromLeader(kind)
			for _, receiver := range []string{"2-first", "2-second"} {
				replica := state.start()
				message.Receiver = receiver
				before := replica.TransferCounters()
				output := replica.Receive(5*clock.Second, message)
				if len(outgoing(output))+len(output.Records) > 0 || replica.TransferCounters() != before {
					t.Errorf("%s: message of kind %d to %q was handled", name, kind, receiver)
				}
			}
			replica := state.start()
			message.Receiver = "2"
			before := replica.TransferCounters()
			output := replica.Receive(5*clock.Second, message)
			if len(outgoing(output))+len(output.Records) == 0 && replica.TransferCounters() == before {
				t.Errorf("%s: message of kind %d to the present disk has no effect, so that the case proves nothing", name, kind)
			}
		}
	}
}

// Guards against a leader of an earlier build, which names no receiver: it may mean an earlier disk.
func TestReplica_WithoutVoteIgnoresAppendWithoutReceiver(t *testing.T) {
	for name, replica := range map[string]*consensus.Replica{"recovering": newWipedReplica(), "learner": newLearner()} {
		output := replica.Receive(clock.Second, learnerAppend(""))
		if len(outgoing(output))+len(output.Records) > 0 {
			t.Errorf("%s: the entries were stored", name)
		}
	}
}

// Guards against responses to the address that an old membership names: a replica without a vote may have the membership
// of long ago, and nobody may listen there any more.
func TestReplica_AnswersAddressOfSender(t *testing.T) {
	Convey("a replica whose membership does not name the leader answers it", t, func() {
		for name, replica := range map[string]*consensus.Replica{"recovering": newWipedReplica(), "learner": newLearner()} {
			message := learnerAppend("2")
			output := replica.Receive(clock.Second, message)
			responses := slices.DeleteFunc(outgoing(output), func(message consensus.Message) bool {
				return message.Kind != consensus.MsgAppendResponse
			})
			So(name, ShouldNotBeEmpty)
			So(responses, ShouldHaveLength, 1)
			So(responses[0].Accepted, ShouldBeTrue)
			So(responses[0].Address, ShouldEqual, successor.Address)
			So(responses[0].Receiver, ShouldEqual, successor.Identity)
		}
	})
	Convey("it fetches the leader's snapshot, too", t, func() {
		replica := newLearner()
		message := learnerAppend("2")
		message.Entries, message.Index, message.IndexTerm, message.SnapshotIndex = nil, 9, 4, 9
		requests := outgoing(replica.Receive(clock.Second, message))
		So(requests[0].Kind, ShouldEqual, consensus.MsgFetchRequest)
		So(requests[0].Address, ShouldEqual, successor.Address)
		So(requests[0].Receiver, ShouldEqual, successor.Identity)
		data := consensus.EncodeSnapshot(laterMembership(), nil)
		replica.Receive(clock.Second, consensus.Message{
			Kind: consensus.MsgFetchResponse, From: 1, To: 2, Sender: successor, Receiver: "2", Term: 4,
			RequestedAt: requests[0].RequestedAt, Incarnation: requests[0].Incarnation,
			Snapshot: wal.Entry{Index: 9, Term: 4, Data: data}, Total: uint64(len(data)),
			Checksum: consensus.SnapshotChecksum(data),
		})
		So(replica.AppliedIndex(), ShouldEqual, 9)
	})
}

// recoveryResponse returns the answer of a daemon to daemon 2, which recovers.
func recoveryResponse(from int, sender consensus.Member, epoch, lastIndex uint64) consensus.Message {
	message := consensus.Message{
		Kind: consensus.MsgRecoveryResponse, From: from, To: 2, Sender: sender, Receiver: "2", Epoch: epoch,
		PromisedTerm: 4, Index: lastIndex, IndexTerm: 4,
	}
	for index := range lastIndex {
		message.Entries = append(message.Entries, wal.Entry{Index: index + 1, Term: 4})
	}
	return message
}

// Guards against a recovery from the founding membership that counts a daemon which has lost its slot and still runs: the
// last committed entry may be on its successor alone, and would be lost.
func TestRecovery_DoesNotCountRemovedDaemon(t *testing.T) {
	Convey("the recovery waits for the successor of a removed daemon", t, func() {
		replica := newWipedReplica()
		now := clock.Second
		members := testMembers()
		answer := func(message consensus.Message) {
			now += 2 * simulation.LeaseTiming.LeaseDuration
			replica.Receive(now, message)
		}
		answer(recoveryResponse(1, members[1], 0, 1))
		answer(recoveryResponse(0, members[0], 2, 1))
		answer(recoveryResponse(0, members[0], 2, 1))
		So(replica.Recovering(), ShouldBeTrue)

		output := replica.AdoptMembership(now, laterMembership())
		So(replica.Membership().Epoch, ShouldEqual, 2)
		So(len(outgoing(output)), ShouldBeGreaterThan, 0)
		answer(recoveryResponse(1, members[1], 0, 1))
		So(replica.Recovering(), ShouldBeTrue)

		answer(recoveryResponse(1, successor, 2, 2))
		So(replica.Recovering(), ShouldBeFalse)
		_, stored := replica.Entry(2)
		So(stored, ShouldBeTrue)
	})
	Convey("a voter takes memberships from its log alone", t, func() {
		replica := newRestartedFollower(2)
		replica.AdoptMembership(clock.Second, laterMembership())
		So(replica.Membership().Epoch, ShouldEqual, 0)
	})
}

// copyOf returns what a leader knows of the copy in a slot.
func copyOf(leader *leaderFixture, slot int) consensus.Copy {
	return leader.Copies(leader.now)[slot]
}

// Guards against a leader that takes a new disk for the one that stored its entries before.
func TestLeader_ForgetsProgressOfEarlierDisk(t *testing.T) {
	for name, observe := range map[string]func(*leaderFixture){
		"by the answer to a call": func(leader *leaderFixture) { leader.ObserveIdentity(leader.now, "1", "1-second") },
		"by its request to recover": func(leader *leaderFixture) {
			// While another learner catches up, the daemon does not become a learner itself.
			another := consensus.LearnerRequest{Slot: 2, Daemon: testMembers()[2], Promotable: true}
			leader.AddLearner(leader.now, another)
			sender := consensus.Member{Identity: "1-second", Address: "1"}
			leader.Receive(leader.now, consensus.Message{Kind: consensus.MsgRecoveryRequest, From: 1, To: 0, Sender: sender})
		},
	} {
		leader := newLeaderFixture()
		if complete := copyOf(leader, 1); complete.State != consensus.CopyComplete {
			t.Fatalf("the follower is not complete at first: %+v", complete)
		}
		for number := range 40 {
			_, _, _, output := leader.Propose(leader.now, binary.LittleEndian.AppendUint64(nil, uint64(number)))
			leader.handleOutput(output)
		}
		observe(leader)
		if lost := copyOf(leader, 1); lost.State != consensus.CopyCatchingUp || lost.MissingEntries < 40 {
			t.Errorf("%s: the follower still counts as a copy: %+v", name, lost)
		}
	}
}

// Guards against a wait for a disk that is gone: a learner at the same address is replaced at once.
func TestLeader_ReplacesLearnerByItsNextDisk(t *testing.T) {
	Convey("the leader sends to the disk that asked last", t, func() {
		leader := newLeaderFixture()
		receivers := func(identity string) []string {
			leader.now++
			learner := consensus.Member{Identity: identity, Address: "2"}
			var named []string
			output := leader.AddLearner(leader.now, consensus.LearnerRequest{Slot: 2, Daemon: learner, Promotable: true})
			for _, message := range output.Messages {
				if message.IsLearnerAppend() {
					named = append(named, message.Receiver)
				}
			}
			return named
		}
		So(receivers("2-second"), ShouldResemble, []string{"2-second"})
		So(receivers("2-third"), ShouldResemble, []string{"2-third"})
		leader.ObserveIdentity(leader.now, "2", "2-fourth")
		So(copyOf(leader, 2).Member.Identity, ShouldEqual, "2")
	})
}

// Guards against a planned replacement that leaves fewer complete copies than a majority: a member that answers and lacks
// entries does not count.
func TestLeader_ReplacesNoMemberWithoutCompleteMajority(t *testing.T) {
	Convey("the slot is given away only once the other follower has caught up", t, func() {
		leader := newLeaderFixture()
		replace := func() bool {
			proposed, _ := leader.ReplaceMember(leader.now, 2, successor, simulation.LeaseTiming.LeaseDuration)
			return proposed
		}
		for number := range 40 {
			_, _, _, output := leader.Propose(leader.now, binary.LittleEndian.AppendUint64(nil, uint64(number)))
			leader.handleOutput(output)
		}
		leader.ObserveIdentity(leader.now, "1", "1-second")
		So(copyOf(leader, 1).State, ShouldEqual, consensus.CopyCatchingUp)
		So(replace(), ShouldBeFalse)
		leader.runFor(3*clock.Second, true)
		So(copyOf(leader, 1).State, ShouldEqual, consensus.CopyComplete)
		So(replace(), ShouldBeTrue)
	})
}
