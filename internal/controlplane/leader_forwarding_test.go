package controlplane

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/consensus"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/errcode"
)

// fixedShard is a shard 0 with a fixed membership.
type fixedShard consensus.Membership

func (f fixedShard) Index() int { return 0 }

func (f fixedShard) Membership() consensus.Membership { return consensus.Membership(f) }

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
		{"to the leader", memberStatus, ControlRequest{}, "b"},
		{"to the leader once more", memberStatus, ControlRequest{Hops: 1, Origin: "z"}, "b"},
		{"never back", memberStatus, ControlRequest{Hops: 1, Origin: "b"}, ""},
		{"no third time", memberStatus, ControlRequest{Hops: 2, Origin: "z"}, ""},
		{"without a leader", &controlapi.ShardStatus{Slot: 0, Leader: -1}, ControlRequest{}, ""},
		{"the leader's slot is vacant", &controlapi.ShardStatus{Slot: 0, Leader: 2}, ControlRequest{}, ""},
		{"from a server without a slot to a member", nonMemberStatus, ControlRequest{}, "b"},
		{"without a slot only what was not forwarded before", nonMemberStatus, ControlRequest{Hops: 1, Origin: "z"}, ""},
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
