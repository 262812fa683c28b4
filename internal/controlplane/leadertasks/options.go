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

// Shard is the interface of a leader's tasks to the replica of the shard.
type Shard interface {
	// Index returns the number of the shard.
	Index() int
	// PublishedStatus returns the most recently published status, or nil before the replica has started.
	PublishedStatus() *controlapi.ShardStatus
	// LeaseGuard returns the pointer to the lease under which this server may send commands to engines. The
	// pointer holds nil while there is no lease.
	LeaseGuard() *atomic.Pointer[enginecommand.LeaseGuard]
	// RunInLoop runs a query in the shard's loop. It returns false if the context ended before the query did.
	RunInLoop(ctx context.Context, query func()) bool
	// Propose appends the operation that draftOperation returns to the log, and returns the state machine's result.
	Propose(ctx context.Context, draftOperation func() ([]byte, error)) ([]byte, error)
}

// Fleet provides information about the fleet other than its engines.
type Fleet interface {
	// ReadConfiguration returns the applied configuration. It returns false if the context ended first.
	ReadConfiguration(ctx context.Context) (config.View, bool)
	// ActiveRouters returns the sorted names of the routers that share the engines' capacity.
	ActiveRouters(now clock.Microseconds) []string
	// ActiveRouterNodes returns the routers of ActiveRouters with their addresses.
	ActiveRouterNodes(now clock.Microseconds) []node.Node
	// ReportedWork returns the cumulative busy times that active routers have reported, keyed by router.
	ReportedWork(now clock.Microseconds) map[string][]registry.BusyTime
	// AppliesAssignmentChanges reports whether the builds of all members of a shard can apply an assignment
	// that is encoded as a change of the previous one.
	AppliesAssignmentChanges(shard int) bool
	// ZoneUnavailable reports whether the engines of a zone must get no new work.
	ZoneUnavailable(configuration *config.View, zone string) bool
}

// Options configures a ServiceLeader.
type Options struct {
	// Server is the name of this server. Address is the internal address of this server.
	Server  string
	Address string
	Clock   *clock.Clock
	// Transport provides the network and the traffic meter for calls to engines.
	Transport transport.Options
	Fleet     Fleet
	Shard     Shard
	// Engines is the shard's state machine. Only the shard's loop may access it.
	Engines *registry.State
	// Shards is the number of shards of the fleet.
	Shards int
	// DefaultPrefillPercent is the assumed share of prefill, in percent, in the work of engines that a directory
	// lists. It applies while the routers report too little work to compute the share.
	DefaultPrefillPercent int
}
