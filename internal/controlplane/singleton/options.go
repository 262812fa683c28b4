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

// Shard is the interface of the shard's replica that a runner uses.
type Shard interface {
	// Index returns the index of the shard.
	Index() int
	// CurrentStatus returns the last known status of the shard, or nil before the replica has started.
	CurrentStatus() *controlapi.ShardStatus
	// LeaseGuard returns a pointer to the lease under which this server may act for the shard. It holds nil while
	// this server has no lease.
	LeaseGuard() *atomic.Pointer[enginecommand.LeaseGuard]
	// RunInLoop runs a query in the shard's event loop. It returns false if the context ended before the query
	// ran.
	RunInLoop(ctx context.Context, query func()) bool
	// LinearizableRead runs a query in the shard's event loop. The query sees every operation that was committed
	// before the call.
	LinearizableRead(ctx context.Context, query func()) error
	// Propose appends an operation to the log and returns the result of the state machine. The draft function
	// returns the encoded operation and runs in the shard's event loop. An error with the code OutcomeUnknown
	// means that the operation may still take effect; after any other error it was not proposed.
	Propose(ctx context.Context, draft func() ([]byte, error)) ([]byte, error)
}

// Options configures a Runner.
type Options struct {
	// Server is the name of this server. Calls carry it as the name of the lease holder.
	Server string
	Clock  *clock.Clock
	// Transport contains the network and the traffic meter for calls to the platform.
	Transport transport.Options
	Shard     Shard
	// Outbox is part of the shard's state machine. Only the shard's event loop may access it.
	Outbox *outbox.State
}

// Assignment contains the tasks of a runner, and how their calls are made.
type Assignment struct {
	Calls platformport.SingletonCalls
	Tasks []Task
	// CallsPerSecond is the maximum number of calls per second that all servers together may make for this
	// shard. 0 means that the limit is unknown, and stands for defaultCallsPerSecond.
	CallsPerSecond float64
}
