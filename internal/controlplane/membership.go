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
	isolationTimeout  = 2 * clock.Second
)

// JoinRequest is a daemon that looks for its seat in the parts.
type JoinRequest struct {
	Daemon   consensus.Member
	Replaces string
	Override bool
	// Reserve asks for any seat that nobody holds or answers for.
	Reserve bool
}

// MembershipResponse are the bindings of all parts as one core knows them.
type MembershipResponse struct{ Parts []consensus.Membership }

// discoverMembership asks the cores that are known for the bindings of all parts, as long as this
// one has no seat or hears too little to trust in it. Whoever owns a part may give it a seat there.
func (s *Server) discoverMembership(ctx context.Context) {
	lastConnected := make([]clock.Microseconds, len(s.shards))
	clock.Every(ctx, discoveryInterval, func() {
		now, needsMembership := s.clock.Now(), false
		for index, shard := range s.shards {
			status := shard.status.Load()
			if status != nil && status.Slot >= 0 && !status.Isolated {
				lastConnected[index] = now
			}
			needsMembership = needsMembership || status == nil || status.Slot < 0 || now-lastConnected[index] > isolationTimeout
		}
		if needsMembership {
			s.requestMembership(ctx)
		}
	})
}

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
		if membership := shard.membership.Load(); membership != nil {
			for _, member := range membership.Seats {
				addresses[member.Address] = true
			}
		}
	}
	delete(addresses, "")
	delete(addresses, s.self.Address)
	return addresses
}

// joiningMember is who wants a seat: nobody, if this core only passes errands on.
func (s *Server) joiningMember() consensus.Member {
	if s.NonMember {
		return consensus.Member{}
	}
	return s.self
}

func (s *Server) requestMembership(ctx context.Context) {
	request := &JoinRequest{Daemon: s.joiningMember(), Replaces: s.ReplaceMember, Override: s.ForceReplace, Reserve: s.Standby}
	if request.Replaces == "" {
		request.Replaces = s.Node.Name
	}
	var group sync.WaitGroup
	for address := range s.knownServerAddresses() {
		group.Go(func() {
			response, err := transport.Call[JoinRequest, MembershipResponse](ctx, s.internalTransport, address, joinPath, discoveryInterval, request)
			if err != nil {
				return
			}
			for index, membership := range response.Parts {
				if index < len(s.shards) && len(membership.Seats) == s.ShardReplicas() {
					s.shards[index].applyMembership(ctx, membership)
				}
			}
		})
	}
	group.Wait()
}

// applyMembership takes later bindings: they may give this daemon a seat, or show that its own
// has gone to another while it was away.
func (s *shardReplica) applyMembership(ctx context.Context, membership consensus.Membership) {
	s.Put(ctx, func() {
		slot := membership.Slot(s.server.self)
		switch {
		case membership.Epoch < s.membership.Load().Epoch:
			// Older bindings may still give this daemon a seat that it has lost.
		case membership.Epoch <= s.membership.Load().Epoch && (s.replica != nil || slot < 0):
		case s.replica != nil && s.replica.IsLearner():
			// The leader's entries tell it.
		case s.replica == nil && slot >= 0:
			log.Info().Str("core", s.server.Node.Name).Int("part", s.index).Int("slot", slot).Uint64("epoch", membership.Epoch).Msg("seat found")
			s.startReplica(ctx, membership, false)
		case s.replica == nil:
			s.membership.Store(&membership)
		case slot < 0:
			s.stopReplica(membership)
		}
	})
}

// admitMember gives a seat to a daemon that has none, if this core owns the part: the seat
// of the daemon it replaces, once its holder has been silent for a whole lease.
func (s *shardReplica) admitMember(ctx context.Context, request JoinRequest) {
	replica := s.replica
	if replica == nil || !replica.IsLeader() || request.Daemon.Identity == "" || request.Daemon.Address == "" {
		return
	}
	membership, now := replica.Membership(), s.Clock.Now()
	slot := -1
	for candidate, member := range membership.Seats {
		if !request.Reserve && (member.Vacant() || member.Name == request.Replaces) {
			slot = candidate
		}
	}
	if request.Reserve {
		slot = s.replaceableSlot(now, membership, request.Daemon.Hall)
	}
	if currentSlot := membership.Slot(request.Daemon); currentSlot >= 0 {
		s.processOutput(ctx, replica.RestoreMember(now, currentSlot, request.Daemon))
		return
	}
	if slot < 0 {
		return
	}
	draining := request.Reserve && s.server.zoneDraining(membership.Seats[slot].Hall)
	eligible := membership.Seats[slot].Vacant() || request.Override || draining || replica.SinceLastContact(now, slot) >= s.server.replacementDelay(request)
	s.processOutput(ctx, replica.AddLearner(now, slot, request.Daemon, eligible))
}

// standbyReplacementDelay is how long a seat's holder must be silent for a reserve to have it.
const standbyReplacementDelay = 2 * clock.Second

func (s *Server) replacementDelay(request JoinRequest) clock.Microseconds {
	if request.Reserve {
		return min(standbyReplacementDelay, s.LeaseDuration())
	}
	return s.LeaseDuration()
}

// replaceableSlot is a seat that a reserve in a hall may have: a vacant one, or the one whose holder
// has been silent longest. The loss of a hall must leave a majority of seats. While all
// seats answer and have caught up, one in a region that is drained may be had, too.
func (s *shardReplica) replaceableSlot(now clock.Microseconds, membership consensus.Membership, zone string) int {
	best, longest, drainingSlot, allHealthy := -1, clock.Microseconds(0), -1, true
	if s.server.zoneDraining(zone) {
		return -1
	}
	for slot, member := range membership.Seats {
		silentFor := s.replica.SinceLastContact(now, slot)
		if !member.Vacant() && member.Name == "" && silentFor < standbyReplacementDelay {
			// Where its holder stands is about to be known.
			return -1
		}
		sameZone := 0
		for otherSlot, otherMember := range membership.Seats {
			if otherSlot != slot && !otherMember.Vacant() && otherMember.Hall == zone {
				sameZone++
			}
		}
		zoneHasCapacity := sameZone < len(membership.Seats)/2
		allHealthy = allHealthy && !member.Vacant() && (slot == s.replica.Self || silentFor < standbyReplacementDelay && s.replica.CaughtUp(slot))
		if zoneHasCapacity && slot != s.replica.Self && s.server.zoneDraining(member.Hall) {
			drainingSlot = slot
		}
		switch {
		case slot == s.replica.Self || !member.Vacant() && silentFor < standbyReplacementDelay:
			continue
		case member.Vacant():
			silentFor = clock.Never
		}
		if zoneHasCapacity && silentFor > longest {
			best, longest = slot, silentFor
		}
	}
	if best < 0 && allHealthy {
		return drainingSlot
	}
	return best
}

func (s *Server) registerJoinHandler() {
	transport.Handle(s.internalTransport, joinPath, func(ctx context.Context, request *JoinRequest) (*MembershipResponse, error) {
		response := &MembershipResponse{Parts: make([]consensus.Membership, len(s.shards))}
		for index, shard := range s.shards {
			var membership consensus.Membership
			if shard.runInLoop(ctx, func() {
				shard.admitMember(s.runContext, *request)
				membership = *shard.membership.Load()
			}) {
				response.Parts[index] = membership
			}
		}
		return response, nil
	})
}
