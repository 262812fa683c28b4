package consensus_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/consensus/election"
	"coursepass/internal/faulttest/simulation"
)

func TestLeader_RequiresQuorumContact(t *testing.T) {
	delta := simulation.MaxMessageAge
	Convey("a leader is confirmed while a majority answers", t, func() {
		leader := newLeaderFixture()
		So(leader.IsLeader(), ShouldBeTrue)
		So(leader.LeadershipConfirmed(leader.now), ShouldBeTrue)
		lastContact := leader.now
		Convey("4δ after the last answered request it is no longer confirmed, and begins no read", func() {
			leader.runFor(4*delta, false)
			So(leader.LeadershipConfirmed(leader.now), ShouldBeFalse)
			So(leader.Isolated(leader.now), ShouldBeTrue)
			_, isLeader, _ := leader.BeginRead(leader.now)
			So(isLeader, ShouldBeFalse)
			So(leader.LeadershipConfirmedUntil(leader.now), ShouldEqual, lastContact+4*delta)
		})
		Convey("6δ after the last answered request it no longer leads, and sends neither OK nor PONG", func() {
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
			ping := electionMessage(2, 0, election.PING, term)
			for _, message := range leader.Receive(leader.now, ping).Messages {
				So(message.Election.Kind, ShouldNotEqual, election.PONG)
			}
		})
	})
}
