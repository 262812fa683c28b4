package consensus_test

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

// membershipOf returns a membership of five slots, in which a replacement holds the given slot.
func membershipOf(epoch uint64, slot int, replacement consensus.Member) consensus.Membership {
	membership := consensus.Membership{Epoch: epoch, Members: make([]consensus.Member, 5)}
	for index := range membership.Members {
		membership.Members[index] = consensus.Member{Identity: strconv.Itoa(index), Address: strconv.Itoa(index)}
	}
	membership.Members[slot] = replacement
	return membership
}

// Guards against a daemon that votes in slot 3 with the log of slot 4: it has held slot 4, has lost
// it while it was isolated, and is then given slot 3. Its disk contains the promises of slot 4 and
// an outdated membership.
func TestReplica_LogOfAnotherSlotGivesNoVote(t *testing.T) {
	standby := consensus.Member{Identity: "standby", Address: "standby"}
	start := func(slot int, epoch uint64) (*consensus.Replica, *consensus.Output) {
		data := consensus.EncodeSnapshot(membershipOf(5, 4, standby), nil)
		stored := wal.ShardState{
			HasPromise:   true,
			PromisedTerm: 4,
			Snapshot:     wal.Entry{Index: 6, Term: 1, Data: data},
		}
		config := consensus.Config{
			Config:            election.Config{Slots: 5, Self: slot, Delta: simulation.MaxMessageAge},
			Timing:            simulation.LeaseTiming,
			RetainedEntries:   24,
			Incarnation:       2,
			LocalMember:       standby,
			InitialMembership: membershipOf(epoch, slot, standby),
		}
		replica, output := consensus.StartReplica(config, consensus.StartOptions{
			StateMachine: &simulation.AppendLog{},
			Stored:       stored,
			Now:          clock.Second,
		})
		return replica, &output
	}
	Convey("in a slot that it has not held before, the daemon recovers before it votes, and keeps the slot", t, func() {
		replica, _ := start(3, 9)
		So(replica.Removed(), ShouldBeFalse)
		So(replica.Membership().Epoch, ShouldEqual, 9)
		So(replica.Recovering(), ShouldBeTrue)
		for _, kind := range []consensus.MessageKind{consensus.MsgPrepare, consensus.MsgAppend} {
			sender := consensus.Member{Identity: "0", Address: "0"}
			message := consensus.Message{Kind: kind, From: 0, To: 3, Term: 4, Sender: sender}
			output := replica.Receive(clock.Second, message)
			So(output.MessagesAfterSync, ShouldBeEmpty)
			So(output.Records, ShouldBeEmpty)
		}
	})
	Convey("in the slot that it has held, the daemon may vote at once, also if it learns of a later membership", t, func() {
		for _, epoch := range []uint64{5, 9} {
			replica, _ := start(4, epoch)
			So(replica.Removed(), ShouldBeFalse)
			So(replica.Membership().Epoch, ShouldEqual, epoch)
			So(replica.Recovering(), ShouldBeFalse)
		}
	})
}
