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

// A member whose slot was given away while it was out of touch goes on hearing the OKs of
// the leader, which sends it nothing else.
func TestReplica_DetectsLeaderTimeout(t *testing.T) {
	Convey("a follower that hears OKs without entries or heartbeats", t, func() {
		config := consensus.Config{Config: election.Config{Slots: 3, Self: 2, Delta: simulation.MaxMessageAge}, Timing: simulation.LeaseTiming, RetainedEntries: 24, Incarnation: 1, LocalMember: testMembers()[2], InitialMembership: consensus.Membership{Seats: testMembers()}}
		now := clock.Second
		replica, _ := consensus.StartReplica(config, &simulation.AppendLog{}, wal.ShardState{}, now, true)
		follow := func(duration clock.Microseconds, withAppends bool) {
			for end := now + duration; now < end; {
				now += simulation.MaxMessageAge
				okay := consensus.Message{Kind: consensus.MsgElection, From: 0, To: 2, Sender: testMembers()[0], Election: election.Message{Kind: election.OK}}
				replica.Receive(now, okay)
				if withAppends {
					heartbeat := consensus.Message{Kind: consensus.MsgAppend, From: 0, To: 2, Sender: testMembers()[0], Asked: now, Life: 1, Established: true}
					replica.Receive(now, heartbeat)
				}
			}
		}
		follow(2*clock.Second, true)
		So(replica.MembershipUncertain(now), ShouldBeFalse)
		So(replica.Isolated(now), ShouldBeFalse)
		follow(simulation.LeaseTiming.LeaseDuration, false)
		So(replica.Isolated(now), ShouldBeFalse)
		follow(simulation.MaxMessageAge, false)
		So(replica.MembershipUncertain(now), ShouldBeTrue)
		So(replica.Isolated(now), ShouldBeTrue)
		follow(simulation.MaxMessageAge, true)
		So(replica.MembershipUncertain(now), ShouldBeFalse)
		So(replica.Isolated(now), ShouldBeFalse)
	})
}
