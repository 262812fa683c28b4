package membership

import (
	"context"
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/controlplane/replication"
	"coursepass/internal/gossip/peers"
	"coursepass/internal/transport"
)

// Shard is the interface of the service to the replica of a shard.
type Shard interface {
	// PublishedStatus returns the most recently published status, or nil before the replica has started.
	PublishedStatus() *controlapi.ShardStatus
	// Membership returns the latest known membership. It has no slots before the replica has started.
	Membership() consensus.Membership
	// ApplyMembership adopts a membership with a later epoch.
	ApplyMembership(ctx context.Context, membership consensus.Membership)
	// RunInLoop runs a query in the shard's loop. It returns false if the context ended before the query did.
	RunInLoop(ctx context.Context, query func()) bool
	// AdmitMember assigns a slot to a server if this server leads the shard: the slot that the server already
	// has, or else the slot that choose returns. It must be called in the shard's loop.
	AdmitMember(member consensus.Member, choose func(slots []replication.SlotContact) replication.SlotChoice)
}

// Options configures a Service.
type Options struct {
	// Self describes this server as a member.
	Self      consensus.Member
	Transport *transport.Internal
	Clock     *clock.Clock
	// Gossip provides the addresses of the seeds and of other servers.
	Gossip *peers.Gossip
	// Shards are all shards of the fleet, in the order of their numbers.
	Shards []Shard
	// Slots is the number of slots of each shard.
	Slots         int
	LeaseDuration clock.Microseconds
	// ZoneDraining reports whether a zone is being drained for maintenance.
	ZoneDraining func(zone string) bool
	// ReplaceMember is the name of the member whose slot this server takes if it has no slot. If ReplaceMember
	// is empty, this server's own name is used.
	ReplaceMember string
	// ForceReplace means that this server takes the slot even if the slot's member still responds.
	ForceReplace bool
	// Standby means that this server takes any slot that is vacant or not served.
	Standby bool
	// NonMember means that this server never takes a slot.
	NonMember bool
}

// Service requests slots for this server, and assigns the slots of the shards that this server leads.
type Service struct {
	options Options
	// nextQueryIndex is a counter that selects the server that a non-member asks next, in rotation. Only the
	// goroutine of Run accesses it.
	nextQueryIndex int

	// lock guards candidates, which are keyed by address.
	lock       sync.Mutex
	candidates map[string]candidate
}

// NewService creates a service and registers its handler.
func NewService(options Options) *Service {
	service := &Service{options: options, candidates: map[string]candidate{}}
	service.registerJoinHandler()
	return service
}
