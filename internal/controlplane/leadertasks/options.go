package leadertasks

import (
	"context"
	"sync/atomic"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/enginecommand"
	"coursepass/internal/node"
	"coursepass/internal/state/config"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

// Shard is what a leader's tasks need of the shard's replica.
type Shard interface {
	// Index is the number of the shard.
	Index() int
	// PublishedStatus is nil before the replica has started.
	PublishedStatus() *controlapi.ShardStatus
	// LeaseGuard points to the lease under which this server may command engines, to nil without one.
	LeaseGuard() *atomic.Pointer[enginecommand.LeaseGuard]
	// RunInLoop runs a query in the shard's loop; false if the context ended before it did.
	RunInLoop(ctx context.Context, query func()) bool
	// Propose puts an operation into the log and returns the state machine's result.
	Propose(ctx context.Context, draft func() ([]byte, error)) ([]byte, error)
}

// Fleet is what a leader's tasks need to know of the fleet besides the engines.
type Fleet interface {
	// ReadConfiguration returns the applied configuration; false if the context ended before.
	ReadConfiguration(ctx context.Context) (config.View, bool)
	// ActiveRouters returns the sorted names of the routers that share the engines' capacity.
	ActiveRouters(now clock.Microseconds) []string
	// ActiveRouterNodes returns the same routers with their addresses.
	ActiveRouterNodes(now clock.Microseconds) []node.Node
	// ReportedWork returns the cumulative busy times that active routers have reported, by router.
	ReportedWork(now clock.Microseconds) map[string][]registry.BusyTime
	// AppliesAssignmentChanges tells whether the builds of all members of a shard know changes of assignments.
	AppliesAssignmentChanges(shard int) bool
	// ZoneUnavailable tells whether engines of a zone get no new work.
	ZoneUnavailable(configuration *config.View, zone string) bool
}

// Options of a ServiceLeader.
type Options struct {
	// Server is the name of this server, and Address its internal address.
	Server  string
	Address string
	Clock   *clock.Clock
	// Transport has the network and the traffic meter for calls to engines.
	Transport transport.Options
	Fleet     Fleet
	Shard     Shard
	// Engines is the shard's state machine: only the shard's loop may touch it.
	Engines *registry.State
	// Shards is the number of shards of the fleet.
	Shards int
	// DefaultPrefillPercent is the share of prefill in the work of engines listed by a directory, as long
	// as routers report too little.
	DefaultPrefillPercent int
}
