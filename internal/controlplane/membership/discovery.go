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
	discoveryInterval = 500 * clock.Millisecond
	// isolationTimeout is how long a member may be isolated until it asks for the membership.
	isolationTimeout = 2 * clock.Second
)

// Run asks the known servers for the memberships of all shards, as long as this one has no slot or
// is isolated in some shard, until the context ends. The leader of a shard may give it a slot there.
func (s *Service) Run(ctx context.Context) {
	lastConnected := make([]clock.Microseconds, len(s.options.Shards))
	clock.Every(ctx, discoveryInterval, func() {
		now := s.options.Clock.Now()
		needsMembership := false
		for index, shard := range s.options.Shards {
			status := shard.PublishedStatus()
			isMember := status != nil && status.Slot >= 0
			if isMember && !status.Isolated {
				lastConnected[index] = now
			}
			if !isMember || now-lastConnected[index] > isolationTimeout {
				needsMembership = true
			}
		}
		if needsMembership {
			s.requestMembership(ctx)
		}
	})
}

// knownServerAddresses returns the set of internal addresses of other servers: seeds, peers and members.
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

// askedAddresses returns the addresses of the servers that are asked now: all that are known or, if this server
// asks for no slot and knows all memberships, one of them in turn. Every daemon without a disk that asked all
// servers would load the members with the product of both.
func (s *Service) askedAddresses() []string {
	addresses := slices.Sorted(maps.Keys(s.knownServerAddresses()))
	if !s.options.NonMember || !s.knowsMemberships() || len(addresses) == 0 {
		return addresses
	}
	s.nextAsked++
	return addresses[s.nextAsked%len(addresses):][:1]
}

// knowsMemberships tells whether the membership of each shard is known.
func (s *Service) knowsMemberships() bool {
	for _, shard := range s.options.Shards {
		if len(shard.Membership().Members) == 0 {
			return false
		}
	}
	return true
}

// joiningMember returns who asks for a slot: nobody, if this server only forwards requests.
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
	for _, address := range s.askedAddresses() {
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
