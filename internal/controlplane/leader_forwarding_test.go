package controlplane

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/consensus"
	"coursepass/internal/errcode"
)

func TestForwardTarget_TwoHopsAtMostAndNeverBack(t *testing.T) {
	server := &Server{self: consensus.Member{Address: "a"}}
	shard := &shardReplica{server: server}
	shard.membership.Store(&consensus.Membership{Seats: []consensus.Member{{Address: "a"}, {Address: "b"}, {}}})
	memberStatus, nonMemberStatus := &Status{Slot: 0, Leader: 1}, &Status{Slot: -1, Leader: -1}
	for _, testCase := range []struct {
		name    string
		status  *Status
		request ControlRequest
		address string
	}{
		{"to the leader", memberStatus, ControlRequest{}, "b"},
		{"to the leader once more", memberStatus, ControlRequest{Hops: 1, Origin: "z"}, "b"},
		{"never back", memberStatus, ControlRequest{Hops: 1, Origin: "b"}, ""},
		{"no third time", memberStatus, ControlRequest{Hops: 2, Origin: "z"}, ""},
		{"nobody leads", &Status{Slot: 0, Leader: -1}, ControlRequest{}, ""},
		{"the leader's seat is vacant", &Status{Slot: 0, Leader: 2}, ControlRequest{}, ""},
		{"from outside to a seat", nonMemberStatus, ControlRequest{}, "b"},
		{"from outside only what came first to it", nonMemberStatus, ControlRequest{Hops: 1, Origin: "z"}, ""},
		{"before anything is known", nil, ControlRequest{Hops: 1, Origin: "z"}, ""},
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
