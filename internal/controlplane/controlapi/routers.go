package controlapi

import (
	"coursepass/internal/clock"
	"coursepass/internal/gossip"
	"coursepass/internal/node"
	"coursepass/internal/state/registry"
)

// The paths of calls by routers.
const (
	HeadsPath         = "/core/heads"
	FailureReportPath = "/core/mishap"
	SnapshotOfferPath = "/core/copy"
)

// HeadsRequest asks a server for its heads of all shards.
type HeadsRequest struct {
	From node.Node
	// WantReports asks a leader to include the reports of its engines.
	WantReports bool
	// BusyTimes contains the busy time that the router has caused at engines since the start of its process.
	BusyTimes []registry.BusyTimeWire
	// ActiveCalls is the number of calls in progress at engines of regions under maintenance, by engine.
	ActiveCalls map[string]int
}

// ShardHead is the head of a shard as one server knows it. A majority read counts only heads with Current set.
type ShardHead struct {
	gossip.Head
	Slot       int
	Epoch      uint64
	Current    bool
	Recovering bool
	// Offered is the highest log index of the snapshots that were offered to a recovering server.
	Offered uint64
	// ReservationStoreIncarnation is the incarnation of the slot's reservation store.
	ReservationStoreIncarnation uint64
	// Forgetful means that the store has lost its reservations and may not make new ones yet, so that routers
	// must send it the reservations that they hold.
	Forgetful bool
}

// HeadsResponse contains one server's heads of all shards, and the engine reports if the request asked for them.
type HeadsResponse struct {
	Heads         []ShardHead
	EngineReports []registry.ReportWire
}

// SnapshotOffer contains a router's snapshots of shards, for servers that lost their disks.
type SnapshotOffer struct{ Updates []gossip.Update }

// SnapshotOfferResponse is the response to a SnapshotOffer. Taken is the number of well-formed snapshots.
type SnapshotOfferResponse struct{ Taken int }

// FailureReport describes how a request failed at an engine.
type FailureReport struct {
	Service string
	Engine  string
	// Run is the ID of the request's run.
	Run string
	// Stage is the phase in which the request failed: pairing.RolePrefill or pairing.RoleDecode.
	Stage string
	// Streamed means that the caller has already received tokens.
	Streamed bool
	// Proved means that the engine's response proves that the request did not start.
	Proved bool
	// Blameless means that the engine responded and only lacked capacity.
	Blameless bool
	// OneShot means that the request must never run a second time.
	OneShot bool
	// Repeats means that the request may run more than once.
	Repeats bool
	// Tries is the number of attempts that the router has made for the request.
	Tries int
	// Left is the time until the deadline of the request.
	Left clock.Microseconds
}

// RetryDecision is the leader's decision on a failed request.
type RetryDecision struct {
	// Owner means that the responding server leads the shard of the service. Other servers decide nothing.
	Owner bool
	// Retry means that the router may retry the request.
	Retry bool
	// Avoid is the name of the engine that must not receive the retry.
	Avoid string
	// Round is the term in which the leader decided.
	Round uint64
}
