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

// membershipOf are those of five slots at an epoch, each with the daemon of its number but
// for one that another daemon holds.
func membershipOf(epoch uint64, slot int, replacement consensus.Member) consensus.Membership {
	membership := consensus.Membership{Epoch: epoch, Seats: make([]consensus.Member, 5)}
	for index := range membership.Seats {
		membership.Seats[index] = consensus.Member{Identity: strconv.Itoa(index), Address: strconv.Itoa(index)}
	}
	membership.Seats[slot] = replacement
	return membership
}

// A daemon held slot 4, lost it while it was cut off, and is given slot 3: what its disk
// holds are the promises of slot 4 and bindings that were overtaken.
func TestReplica_LogOfAnotherSlotGivesNoVote(t *testing.T) {
	standby := consensus.Member{Identity: "reserve", Address: "reserve"}
	start := func(slot int, epoch uint64) (*consensus.Replica, *consensus.Output) {
		stored := wal.ShardState{HasPromise: true, PromisedTerm: 4, Snapshot: wal.Entry{Index: 6, Round: 1, Data: consensus.EncodeSnapshot(membershipOf(5, 4, standby), nil)}}
		config := consensus.Config{
			Config: election.Config{Slots: 5, Self: slot, Delta: simulation.MaxMessageAge}, Timing: simulation.LeaseTiming, RetainedEntries: 24, Incarnation: 2,
			LocalMember: standby, InitialMembership: membershipOf(epoch, slot, standby),
		}
		replica, output := consensus.StartReplica(config, &simulation.AppendLog{}, stored, clock.Second, false)
		return replica, &output
	}
	Convey("in a slot that it did not hold, the daemon recovers before it votes, and keeps its seat", t, func() {
		replica, _ := start(3, 9)
		So(replica.Removed(), ShouldBeFalse)
		So(replica.Membership().Epoch, ShouldEqual, 9)
		So(replica.Recovering(), ShouldBeTrue)
		for _, kind := range []consensus.MessageKind{consensus.MsgPrepare, consensus.MsgAppend} {
			output := replica.Receive(clock.Second, consensus.Message{Kind: kind, From: 0, To: 3, Round: 4, Sender: consensus.Member{Identity: "0", Address: "0"}})
			So(output.MessagesAfterSync, ShouldBeEmpty)
			So(output.Records, ShouldBeEmpty)
		}
	})
	Convey("in its own slot it goes on as before, also where it hears of later bindings", t, func() {
		for _, epoch := range []uint64{5, 9} {
			replica, _ := start(4, epoch)
			So(replica.Removed(), ShouldBeFalse)
			So(replica.Membership().Epoch, ShouldEqual, epoch)
			So(replica.Recovering(), ShouldBeFalse)
		}
	})
}
