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

// Shard is what the service needs of a shard's replica.
type Shard interface {
	// PublishedStatus is nil before the replica has started.
	PublishedStatus() *controlapi.ShardStatus
	// Membership is the latest that is known, without slots before the replica has started.
	Membership() consensus.Membership
	// ApplyMembership takes over a later membership.
	ApplyMembership(ctx context.Context, membership consensus.Membership)
	// RunInLoop runs a query in the shard's loop; false if the context ended before it did.
	RunInLoop(ctx context.Context, query func()) bool
	// AdmitMember gives a server the slot that the function chooses, if this server leads the shard. It must
	// be called in the shard's loop.
	AdmitMember(member consensus.Member, choose func(slots []replication.SlotContact) replication.SlotChoice)
}

// Options of a service.
type Options struct {
	// Self is this server as a member.
	Self      consensus.Member
	Transport *transport.Internal
	Clock     *clock.Clock
	// Gossip knows the seeds and other servers.
	Gossip *peers.Gossip
	// Shards are all shards, in order.
	Shards []Shard
	// Slots is the number of slots of each shard.
	Slots         int
	LeaseDuration clock.Microseconds
	// ZoneDraining tells whether a zone is being drained for maintenance.
	ZoneDraining func(zone string) bool
	// ReplaceMember is the name of the member whose slot this server takes if it has none; its own name if
	// that is empty.
	ReplaceMember string
	// ForceReplace takes the slot even if its member still responds.
	ForceReplace bool
	// Standby takes any slot that is vacant or not served.
	Standby bool
	// NonMember says that this server never takes a slot.
	NonMember bool
}

// Service asks for slots, and gives out those of the shards that this server leads.
type Service struct {
	options Options
	// nextAsked is the turn among the servers that a non-member asks. Only Run's goroutine touches it.
	nextAsked int

	// lock guards candidates, which are by address.
	lock       sync.Mutex
	candidates map[string]candidate
}

// NewService makes a service and registers its handler.
func NewService(options Options) *Service {
	service := &Service{options: options, candidates: map[string]candidate{}}
	service.registerJoinHandler()
	return service
}
