package controlplane

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/consensus"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/errcode"
)

// fixedShard implements forwardedShard for shard 0 with a fixed membership.
type fixedShard consensus.Membership

func (f fixedShard) Index() int { return 0 }

func (f fixedShard) Membership() consensus.Membership { return consensus.Membership(f) }

// Servers with different views of the leader could forward a request in a loop. Two forwards are enough to reach the
// leader, and a request must never go back to the server that forwarded it.
func TestForwardTarget_TwoHopsAtMostAndNeverBack(t *testing.T) {
	server := &Server{self: consensus.Member{Address: "a"}}
	shard := fixedShard{Members: []consensus.Member{{Address: "a"}, {Address: "b"}, {}}}
	memberStatus := &controlapi.ShardStatus{Slot: 0, Leader: 1}
	nonMemberStatus := &controlapi.ShardStatus{Slot: -1, Leader: -1}
	for _, testCase := range []struct {
		name    string
		status  *controlapi.ShardStatus
		request ControlRequest
		address string
	}{
		{"a member forwards to the leader", memberStatus, ControlRequest{}, "b"},
		{"a member forwards to the leader a second time", memberStatus, ControlRequest{Hops: 1, Origin: "z"}, "b"},
		{"not back to the origin", memberStatus, ControlRequest{Hops: 1, Origin: "b"}, ""},
		{"not a third time", memberStatus, ControlRequest{Hops: 2, Origin: "z"}, ""},
		{"no leader is known", &controlapi.ShardStatus{Slot: 0, Leader: -1}, ControlRequest{}, ""},
		{"the leader's slot is vacant", &controlapi.ShardStatus{Slot: 0, Leader: 2}, ControlRequest{}, ""},
		{"a server without a slot forwards to a member", nonMemberStatus, ControlRequest{}, "b"},
		{"a server without a slot does not forward a second time", nonMemberStatus, ControlRequest{Hops: 1, Origin: "z"}, ""},
		{"before the replica has started", nil, ControlRequest{Hops: 1, Origin: "z"}, ""},
	} {
		Convey(testCase.name, t, func() {
			for range 4 {
				address, err := server.forwardTarget(shard, testCase.status, &testCase.request)
				So(address, ShouldEqual, testCase.address)
				So(err == nil, ShouldEqual, testCase.address != "")
				if err != nil {
					So(errcode.CodeOf(err, errcode.OutcomeUnknown), ShouldEqual, errcode.NotLeader)
				}
			}
		})
	}
}
