package controlapi

import (
	"coursepass/internal/clock"
	"coursepass/internal/metrics/resources"
	"coursepass/internal/state/config"
	"coursepass/internal/state/maintenance"
	"coursepass/internal/state/registry"
)

// ShardStatus is what a server knows of one shard.
type ShardStatus struct {
	Shard        int    `json:"part"`
	Slot         int    `json:"slot"`
	Epoch        uint64 `json:"epoch"`
	Leader       int    `json:"leader"`
	Term         uint64 `json:"round"`
	PromisedTerm uint64 `json:"promised"`
	CommitIndex  uint64 `json:"commit"`
	Revision     uint64 `json:"sequence"`
	Isolated     bool   `json:"alone"`
	// Owner says that this server leads the shard and that a majority has confirmed so lately.
	Owner      bool `json:"owner"`
	UpToDate   bool `json:"current"`
	CatchingUp bool `json:"recovering"`
	// ReservationsComplete says that the reservations of this slot are known, so that it may make new ones.
	ReservationsComplete bool               `json:"claimsWhole"`
	LeaseRemaining       clock.Microseconds `json:"grantLeftMicroseconds"`
	// ConfirmedUntil is when, on this server's clock, the confirmation of the leader expires.
	ConfirmedUntil       clock.Microseconds `json:"-"`
	QuietPeriodRemaining clock.Microseconds `json:"quietLeftMicroseconds"`
}

// ServerStatus is the status of a server and its shards.
type ServerStatus struct {
	Name     string           `json:"name"`
	Zone     string           `json:"hall"`
	Identity string           `json:"identity"`
	Shards   []ShardStatus    `json:"parts"`
	Counters map[string]int64 `json:"counters"`
	// Resources are what the server uses; nil from builds that do not count it.
	Resources *resources.Snapshot `json:"resources,omitempty"`
}

// RouterStatus is a router that has asked this server for heads.
type RouterStatus struct {
	Name          string             `json:"name"`
	Zone          string             `json:"hall"`
	Public        string             `json:"public"`
	SinceLastSeen clock.Microseconds `json:"agoMicroseconds"`
	// ActiveCalls counts the calls under way at engines of regions under maintenance, by engine.
	ActiveCalls map[string]int `json:"live,omitempty"`
}

// FleetStatus is what a server knows of routers and, where it leads, of engines.
type FleetStatus struct {
	Routers []RouterStatus    `json:"routers"`
	Engines []registry.Report `json:"engines"`
}

// EngineEntry is a registered engine as operators and the platform see it.
type EngineEntry struct {
	registry.Engine
	Role     string `json:"part"`
	Assigned bool   `json:"live"`
}

// ConfigurationResponse is a configuration as operators see it.
type ConfigurationResponse struct {
	Revision           uint64               `json:"sequence"`
	Document           string               `json:"document"`
	Changes            map[string]string    `json:"changes"`
	EvacuatedZones     []string             `json:"evacuated"`
	MaintenanceWindows []maintenance.Window `json:"notices,omitempty"`
	Plan               config.Plan          `json:"plan"`
}

// OutboxStatus is the outbox of one service shard as one server knows it: the calls to the platform that one
// daemon of the fleet makes at a time.
type OutboxStatus struct {
	Shard  int    `json:"shard"`
	Server string `json:"server"`
	// Leads says that this server makes the calls, in the term.
	Leads bool   `json:"leads"`
	Term  uint64 `json:"term"`
	// Incomplete says that this replica lost the outbox, and waits for a reset or a snapshot.
	Incomplete bool   `json:"incomplete"`
	Accepted   uint64 `json:"accepted"`
	Superseded uint64 `json:"superseded"`
	Dropped    uint64 `json:"dropped"`
	// Pending are the entries that are not delivered as far as this server knows, in the order of acceptance.
	Pending []OutboxEntry `json:"pending"`
	// SinceLastSuccess has the time since the last accepted call of each kind that this server has made.
	SinceLastSuccess map[string]clock.Microseconds `json:"sinceLastSuccessMicroseconds"`
}

// OutboxEntry is a pending entry of an outbox.
type OutboxEntry struct {
	Kind    string `json:"kind"`
	Subject string `json:"subject"`
	Number  uint64 `json:"number"`
	Bytes   int    `json:"bytes"`
	// Age is for how long the leader has known of the entry; 0 at other servers.
	Age clock.Microseconds `json:"ageMicroseconds"`
	// Failures counts the calls of the subject that failed in a row in this term, and LastError says why.
	Failures  int    `json:"failures"`
	LastError string `json:"lastError,omitempty"`
}

// CapacityStatus is the number of engines of a service in a zone as the leader of its shard decided it last.
type CapacityStatus struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// Wanted is the number that should be there. Ordered says that it, or an earlier one, has been ordered.
	Wanted  int  `json:"wanted"`
	Ordered bool `json:"ordered"`
	// Present are the engines that are not draining, with those that are warming up.
	Present   int `json:"present"`
	WarmingUp int `json:"warmingUp"`
	Draining  int `json:"draining"`
	// Reason says why the number is wanted.
	Reason string `json:"reason"`
	// PrefillLoad and DecodeLoad are how many engines the service keeps busy in all zones.
	PrefillLoad float64 `json:"prefillLoad"`
	DecodeLoad  float64 `json:"decodeLoad"`
}
