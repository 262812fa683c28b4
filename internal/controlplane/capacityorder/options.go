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

// Shard is the part of the shard's replica that a Task uses.
type Shard interface {
	// Index returns the number of the shard.
	Index() int
	// CurrentStatus returns the status of the replica, or nil before the replica has started.
	CurrentStatus() *controlapi.ShardStatus
	// RunInLoop runs a query in the shard's event loop. It returns false if the context ended first.
	RunInLoop(ctx context.Context, query func()) bool
}

// Fleet provides the state of the fleet that a Task uses, except the engines.
type Fleet interface {
	// ReadConfiguration returns the applied configuration, or false if the context ended first.
	ReadConfiguration(ctx context.Context) (config.View, bool)
	// RouterReports returns the last report of each router, including routers that have stopped reporting.
	RouterReports() []autoscale.RouterReport
	// ZoneUnavailable reports whether the engines of a zone get no new work.
	ZoneUnavailable(configuration *config.View, zone string) bool
}

// Codec encodes and decodes orders in the format of the platform.
type Codec interface {
	EncodeCapacity(order platformport.CapacityOrder) []byte
	DecodeCapacity(body []byte) (platformport.CapacityOrder, error)
}

// Options configures a Task.
type Options struct {
	// Server is the name of this server in logs.
	Server string
	Fleet  Fleet
	Shard  Shard
	// Shards is the number of service shards in the fleet.
	Shards int
	// Engines is the shard's state machine. Only the shard's event loop may access it.
	// EnginesReadAt returns the time at which this server last read the engine directory.
	Engines       *registry.State
	EnginesReadAt func() clock.Microseconds
	Codec         Codec
	// Policy configures the computation of the numbers of engines.
	Policy autoscale.Options
	// Counters holds the counters of the server, which all its tasks share.
	Counters *Counters
}

// Counters holds the counters of all capacity tasks of a server since the start of the process. They count drafts:
// an order that is not committed is drafted and counted again.
type Counters struct {
	// Increases and Decreases count the drafted orders of more and of fewer engines.
	Increases atomic.Int64
	Decreases atomic.Int64
	// Deferred counts the decisions whose order was postponed by the limits on the rate of orders.
	Deferred atomic.Int64
}

// AddTo adds the counters to a server's counters, which are keyed by metric name.
func (c *Counters) AddTo(counters map[string]int64) {
	counters["capacity-increases"] += c.Increases.Load()
	counters["capacity-decreases"] += c.Decreases.Load()
	counters["capacity-deferred"] += c.Deferred.Load()
}
