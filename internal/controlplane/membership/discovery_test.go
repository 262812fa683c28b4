package membership

import (
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/gossip"
	"coursepass/internal/gossip/peers"
	"coursepass/internal/node"
	"coursepass/internal/timesync"
	"coursepass/internal/topology"
	"coursepass/internal/transport"
)

// membershipShard is a shard that implements only Membership.
type membershipShard struct {
	Shard
	membership consensus.Membership
}

func (m membershipShard) Membership() consensus.Membership { return m.membership }

// newTestService returns the service of a server that knows two seeds and the members of its shards.
func newTestService(nonMember bool, memberships ...consensus.Membership) *Service {
	self := node.Node{Name: "self", InternalAddress: "10.0.0.1:1"}
	processClock := clock.New()
	service := &Service{options: Options{
		Self:      consensus.Member{Name: self.Name, Address: self.InternalAddress},
		NonMember: nonMember,
		Gossip: peers.NewGossip(peers.Options{
			View:      peers.NewView(self, 8, 4, 1),
			Store:     gossip.NewStore(nil, nil),
			Transport: transport.NewInternal("fleet", topology.NewTrafficMeter("norte"), transport.Network(nil)),
			TrueTime:  timesync.NewClock(self.InternalAddress, processClock, transport.NewWallClock(nil)),
			Seeds:     []string{"10.0.0.8:1", "10.0.0.9:1"},
		}),
	}}
	for _, membership := range memberships {
		service.options.Shards = append(service.options.Shards, membershipShard{membership: membership})
	}
	return service
}

// A fleet has many servers without a disk. These non-members ask for no slot, so each of them queries one server at
// a time, in rotation. A server that asks for a slot queries all servers, since only a leader can assign a slot.
func TestAddressesToQuery_NonMemberQueriesOneServerAtATime(t *testing.T) {
	knownMembership := consensus.Membership{Members: []consensus.Member{
		{Name: "a", Address: "10.0.0.2:1"}, {Name: "b", Address: "10.0.0.3:1"}, {Name: "c", Address: "10.0.0.4:1"},
	}}
	for _, testCase := range []struct {
		name          string
		nonMember     bool
		memberships   []consensus.Membership
		wantAddresses int
	}{
		{"a server that asks for a slot", false, []consensus.Membership{knownMembership, knownMembership}, 5},
		{"a non-member", true, []consensus.Membership{knownMembership, knownMembership}, 1},
		{"a non-member that lacks a membership", true, []consensus.Membership{knownMembership, {}}, 5},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			service := newTestService(testCase.nonMember, testCase.memberships...)
			queried := map[string]bool{}
			for range 5 {
				addresses := service.addressesToQuery()
				if len(addresses) != testCase.wantAddresses {
					t.Errorf("addressesToQuery returned %d addresses, want %d", len(addresses), testCase.wantAddresses)
				}
				for _, address := range addresses {
					queried[address] = true
				}
			}
			if len(queried) != 5 {
				t.Errorf("five calls of addressesToQuery returned %d different addresses, want all 5", len(queried))
			}
		})
	}
}
