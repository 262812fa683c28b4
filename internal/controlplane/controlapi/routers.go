package controlapi

import (
	"coursepass/internal/clock"
	"coursepass/internal/gossip"
	"coursepass/internal/node"
	"coursepass/internal/state/registry"
)

// Paths of the calls of routers.
const (
	HeadsPath         = "/core/heads"
	FailureReportPath = "/core/mishap"
	SnapshotOfferPath = "/core/copy"
)

// HeadsRequest asks for the heads of all shards.
type HeadsRequest struct {
	From node.Node
	// WantReports asks a leader for the reports of its engines.
	WantReports bool
	// BusyTimes has the busy time that the router caused at engines since its start.
	BusyTimes []registry.BusyTimeWire
	// ActiveCalls counts the calls under way at engines of regions under maintenance, by engine.
	ActiveCalls map[string]int
}

// ShardHead is the head of a shard as one server knows it. A majority read counts only those with Current.
type ShardHead struct {
	gossip.Head
	Slot       int
	Epoch      uint64
	Current    bool
	Recovering bool
	// Offered is the highest index of a snapshot that a recovering server has been offered.
	Offered uint64
	// ReservationStoreIncarnation is that of the slot's reservation store. Forgetful says that the store may
	// not make reservations yet, so that routers must tell it those that they hold.
	ReservationStoreIncarnation uint64
	Forgetful                   bool
}

// HeadsResponse has one server's heads of all shards, and the reports that were asked for.
type HeadsResponse struct {
	Heads         []ShardHead
	EngineReports []registry.ReportWire
}

// SnapshotOffer has a router's snapshots of shards, for servers that lost their disks.
type SnapshotOffer struct{ Updates []gossip.Update }

// SnapshotOfferResponse counts the well-formed snapshots.
type SnapshotOfferResponse struct{ Taken int }

// FailureReport says how a request failed at an engine.
type FailureReport struct {
	Service string
	Engine  string
	Run     string
	Stage   string
	// Streamed says that the caller has got tokens; Proved that the engine's own response shows that the
	// request did not start.
	Streamed bool
	Proved   bool
	// Blameless says that the engine responded and merely had no capacity.
	Blameless bool
	OneShot   bool
	Repeats   bool
	Tries     int
	Left      clock.Microseconds
}

// RetryDecision is the leader's decision on a failed request.
type RetryDecision struct {
	Owner bool
	Retry bool
	// Avoid names the engine that must not get the retry.
	Avoid string
	Round uint64
}
