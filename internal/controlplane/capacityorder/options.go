package capacityorder

import (
	"context"
	"sync/atomic"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/autoscale"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/platformport"
	"coursepass/internal/state/config"
	"coursepass/internal/state/registry"
)

// Shard is what the task needs of the shard's replica.
type Shard interface {
	// Index is the number of the shard.
	Index() int
	// CurrentStatus is nil before the replica has started.
	CurrentStatus() *controlapi.ShardStatus
	// RunInLoop runs a query in the shard's loop; false if the context ended before it did.
	RunInLoop(ctx context.Context, query func()) bool
}

// Fleet is what the task needs to know of the fleet besides the engines.
type Fleet interface {
	// ReadConfiguration returns the applied configuration; false if the context ended before.
	ReadConfiguration(ctx context.Context) (config.View, bool)
	// RouterReports returns the last report of each router, also of those that have been silent for some time.
	RouterReports() []autoscale.RouterReport
	// ZoneUnavailable tells whether engines of a zone get no new work.
	ZoneUnavailable(configuration *config.View, zone string) bool
}

// Codec encodes orders as the platform takes them.
type Codec interface {
	EncodeCapacity(order platformport.CapacityOrder) []byte
	DecodeCapacity(body []byte) (platformport.CapacityOrder, error)
}

// Options of a Task.
type Options struct {
	// Server is the name of this server in logs.
	Server string
	Fleet  Fleet
	Shard  Shard
	// Shards is the number of shards of the fleet.
	Shards int
	// Engines is the shard's state machine: only the shard's loop may touch it. EnginesReadAt returns when this
	// server has last read the directory that the engines are listed in.
	Engines       *registry.State
	EnginesReadAt func() clock.Microseconds
	Codec         Codec
	// Policy decides the numbers.
	Policy autoscale.Options
	// Counters are those of the server.
	Counters *Counters
}

// Counters of all capacity tasks of a server, since the start of the process. They count drafts: one that is not
// committed is drafted again.
type Counters struct {
	// Increases and Decreases count orders of more and of fewer engines.
	Increases atomic.Int64
	Decreases atomic.Int64
	// Deferred counts the decisions to order that waited because of the bounds on the rate of orders.
	Deferred atomic.Int64
}

// AddTo adds the counters to those of the server, by the names under which they are shown.
func (c *Counters) AddTo(counters map[string]int64) {
	counters["capacity-increases"] += c.Increases.Load()
	counters["capacity-decreases"] += c.Decreases.Load()
	counters["capacity-deferred"] += c.Deferred.Load()
}
