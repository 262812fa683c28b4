package membership

import (
	"context"
	"maps"
	"slices"
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/node"
	"coursepass/internal/transport"
)

const (
	// discoveryInterval is the interval between join requests, and the timeout of each request.
	discoveryInterval = 500 * clock.Millisecond
	// isolationTimeout is how long a member may be isolated before it asks for the memberships.
	isolationTimeout = 2 * clock.Second
)

// Run asks the known servers for the memberships of all shards while this server has no slot in some shard, or
// has been isolated in some shard for longer than isolationTimeout. The leader of a shard may answer by giving
// this server a slot in that shard. Run returns when the context ends.
func (s *Service) Run(ctx context.Context) {
	lastConnectedAt := make([]clock.Microseconds, len(s.options.Shards))
	clock.Every(ctx, discoveryInterval, func() {
		now := s.options.Clock.Now()
		needsMembership := false
		for index, shard := range s.options.Shards {
			status := shard.PublishedStatus()
			isMember := status != nil && status.Slot >= 0
			if isMember && !status.Isolated {
				lastConnectedAt[index] = now
			}
			if !isMember || now-lastConnectedAt[index] > isolationTimeout {
				needsMembership = true
			}
		}
		if needsMembership {
			s.requestMembership(ctx)
		}
	})
}

// knownServerAddresses returns the set of the internal addresses of other servers: the seeds, the control-plane
// peers and the members of the shards.
func (s *Service) knownServerAddresses() map[string]bool {
	addresses := map[string]bool{}
	for _, seed := range s.options.Gossip.Seeds() {
		addresses[seed] = true
	}
	for _, peer := range s.options.Gossip.Members() {
		if peer.Role == node.RoleControlPlane {
			addresses[peer.InternalAddress] = true
		}
	}
	for _, shard := range s.options.Shards {
		for _, member := range shard.Membership().Members {
			addresses[member.Address] = true
		}
	}
	delete(addresses, "")
	delete(addresses, s.options.Self.Address)
	return addresses
}

// addressesToQuery returns the addresses of the servers to send the next request to: all known servers or, if this
// server asks for no slot and knows all memberships, one of them in rotation. If every non-member asked all
// servers, the number of requests in each interval would be the product of the number of non-members and the
// number of servers.
func (s *Service) addressesToQuery() []string {
	addresses := slices.Sorted(maps.Keys(s.knownServerAddresses()))
	if !s.options.NonMember || !s.knowsMemberships() || len(addresses) == 0 {
		return addresses
	}
	s.nextQueryIndex++
	return addresses[s.nextQueryIndex%len(addresses):][:1]
}

// knowsMemberships reports whether the membership of every shard is known.
func (s *Service) knowsMemberships() bool {
	for _, shard := range s.options.Shards {
		if len(shard.Membership().Members) == 0 {
			return false
		}
	}
	return true
}

// joiningMember returns the member for which this server asks for a slot. The member is empty if this server
// only forwards requests and never takes a slot.
func (s *Service) joiningMember() consensus.Member {
	if s.options.NonMember {
		return consensus.Member{}
	}
	return s.options.Self
}

func (s *Service) requestMembership(ctx context.Context) {
	request := &JoinRequest{
		Member:   s.joiningMember(),
		Replaces: s.options.ReplaceMember,
		Override: s.options.ForceReplace,
		Standby:  s.options.Standby,
	}
	if request.Replaces == "" {
		request.Replaces = s.options.Self.Name
	}
	var group sync.WaitGroup
	for _, address := range s.addressesToQuery() {
		group.Go(func() {
			target := transport.Target{Address: address, Procedure: JoinPath, Timeout: discoveryInterval}
			response, err := transport.Call[JoinRequest, MembershipResponse](ctx, s.options.Transport, target, request)
			if err == nil {
				s.applyMemberships(ctx, response.Memberships)
			}
		})
	}
	group.Wait()
}

func (s *Service) applyMemberships(ctx context.Context, memberships []consensus.Membership) {
	for index, membership := range memberships {
		if index < len(s.options.Shards) && len(membership.Members) == s.options.Slots {
			s.options.Shards[index].ApplyMembership(ctx, membership)
		}
	}
}
