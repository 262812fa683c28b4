package controlplane

import (
	"context"
	"sync"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/transport"
)

const (
	joinPath          = "/core/join"
	discoveryInterval = 500 * clock.Millisecond
	// isolationTimeout is how long a member may be isolated until it asks for the membership.
	isolationTimeout = 2 * clock.Second
)

// JoinRequest asks for the memberships of all shards and, if Daemon is set, for a slot in those that
// the receiver leads.
type JoinRequest struct {
	Daemon   consensus.Member
	Replaces string
	// Override takes the slot even if its member is responsive.
	Override bool
	// Reserve says that a standby asks: for any slot that is vacant or not served.
	Reserve bool
}

// MembershipResponse has the memberships of all shards as one server knows them.
type MembershipResponse struct{ Parts []consensus.Membership }

// discoverMembership asks the known servers for the memberships of all shards, as long as this one has
// no slot or is isolated in some shard. The leader of a shard may give it a slot there.
func (s *Server) discoverMembership(ctx context.Context) {
	lastConnected := make([]clock.Microseconds, len(s.shards))
	clock.Every(ctx, discoveryInterval, func() {
		now := s.clock.Now()
		needsMembership := false
		for index, shard := range s.shards {
			status := shard.status.Load()
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
func (s *Server) knownServerAddresses() map[string]bool {
	addresses := map[string]bool{}
	for _, seed := range s.gossip.Seeds() {
		addresses[seed] = true
	}
	for _, peer := range s.gossip.Members() {
		if peer.Role == s.Role {
			addresses[peer.Inner] = true
		}
	}
	for _, shard := range s.shards {
		membership := shard.membership.Load()
		if membership == nil {
			continue
		}
		for _, member := range membership.Seats {
			addresses[member.Address] = true
		}
	}
	delete(addresses, "")
	delete(addresses, s.self.Address)
	return addresses
}

// joiningMember returns who asks for a slot: nobody, if this server only forwards requests.
func (s *Server) joiningMember() consensus.Member {
	if s.NonMember {
		return consensus.Member{}
	}
	return s.self
}

func (s *Server) requestMembership(ctx context.Context) {
	request := &JoinRequest{
		Daemon:   s.joiningMember(),
		Replaces: s.ReplaceMember,
		Override: s.ForceReplace,
		Reserve:  s.Standby,
	}
	if request.Replaces == "" {
		request.Replaces = s.Name
	}
	var group sync.WaitGroup
	for address := range s.knownServerAddresses() {
		group.Go(func() {
			target := transport.Target{Address: address, Procedure: joinPath, Timeout: discoveryInterval}
			response, err := transport.Call[JoinRequest, MembershipResponse](ctx, s.internalTransport, target, request)
			if err == nil {
				s.applyMemberships(ctx, response.Parts)
			}
		})
	}
	group.Wait()
}

func (s *Server) applyMemberships(ctx context.Context, memberships []consensus.Membership) {
	for index, membership := range memberships {
		if index < len(s.shards) && len(membership.Seats) == s.ShardReplicas() {
			s.shards[index].applyMembership(ctx, membership)
		}
	}
}

// applyMembership takes over a later membership: it may give this server a slot, or show that its own
// was given to another while it was away.
func (r *shardReplica) applyMembership(ctx context.Context, membership consensus.Membership) {
	r.Put(ctx, func() {
		slot := membership.Slot(r.server.self)
		currentEpoch := r.membership.Load().Epoch
		switch {
		case membership.Epoch < currentEpoch:
			// An older membership may still have this server in a slot that it has lost.
		case membership.Epoch == currentEpoch && (r.replica != nil || slot < 0):
		case r.replica != nil && r.replica.IsLearner():
			// A learner learns its slot from the leader's entries.
		case r.replica == nil && slot >= 0:
			log.Info().Str("server", r.server.Name).Int("shard", r.index).Int("slot", slot).
				Uint64("epoch", membership.Epoch).Msg("slot received")
			r.startReplica(ctx, membership, false)
		case r.replica == nil:
			r.membership.Store(&membership)
		case slot < 0:
			r.stopReplica(membership)
		}
	})
}
