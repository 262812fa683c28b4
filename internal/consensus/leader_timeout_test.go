package consensus_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/election"
	"coursepass/internal/faulttest/simulation"
)

// Guards against a replica that does not notice that its slot was given to another daemon while it
// was isolated. It still receives the leader's OK messages, but no entries and no heartbeats.
func TestReplica_DetectsLeaderTimeout(t *testing.T) {
	Convey("a follower without entries or heartbeats for more than a lease duration is isolated", t, func() {
		now := clock.Second
		replica, _ := consensus.StartReplica(testConfig(2), consensus.StartOptions{
			StateMachine: &simulation.AppendLog{},
			Now:          now,
			NewCluster:   true,
		})
		follow := func(duration clock.Microseconds, withAppends bool) {
			for end := now + duration; now < end; {
				now += simulation.MaxMessageAge
				replica.Receive(now, electionMessage(0, 2, election.OK, 0))
				if withAppends {
					replica.Receive(now, consensus.Message{
						Kind: consensus.MsgAppend, From: 0, To: 2, Sender: testMembers()[0],
						RequestedAt: now, Incarnation: 1, Established: true,
					})
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
