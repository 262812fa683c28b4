package singleton

import (
	"context"
	"sync/atomic"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/enginecommand"
	"coursepass/internal/platformport"
	"coursepass/internal/state/outbox"
	"coursepass/internal/transport"
)

// Shard is what a runner needs of the shard's replica.
type Shard interface {
	// Index is the number of the shard.
	Index() int
	// CurrentStatus is nil before the replica has started.
	CurrentStatus() *controlapi.ShardStatus
	// LeaseGuard points to the lease under which this server may act for the shard, to nil without one.
	LeaseGuard() *atomic.Pointer[enginecommand.LeaseGuard]
	// RunInLoop runs a query in the shard's loop; false if the context ended before it did.
	RunInLoop(ctx context.Context, query func()) bool
	// LinearizableRead runs a query in the shard's loop that sees all that was committed before.
	LinearizableRead(ctx context.Context, query func()) error
	// Propose puts an operation into the log and returns the state machine's result. The draft is made in the
	// shard's loop. An error with the code OutcomeUnknown says that the operation may still take effect; after
	// any other it was not proposed.
	Propose(ctx context.Context, draft func() ([]byte, error)) ([]byte, error)
}

// Options of a Runner.
type Options struct {
	// Server is the name of this server, which the platform sees as the holder of the lease.
	Server string
	Clock  *clock.Clock
	// Transport has the network and the traffic meter for calls to the platform.
	Transport transport.Options
	Shard     Shard
	// Outbox is a part of the shard's state machine: only the shard's loop may touch it.
	Outbox *outbox.State
}

// Assignment is what a runner does: the tasks, and how their calls are made.
type Assignment struct {
	Calls platformport.SingletonCalls
	Tasks []Task
	// CallsPerSecond is how many calls all servers together may make for this shard; 0 means that no limit is
	// known.
	CallsPerSecond float64
}
