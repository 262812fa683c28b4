package controlapi

import (
	"coursepass/internal/clock"
	"coursepass/internal/metrics/resources"
	"coursepass/internal/state/config"
	"coursepass/internal/state/maintenance"
	"coursepass/internal/state/registry"
)

// ShardStatus is the status of one shard as one server knows it.
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
	// Owner means that this server leads the shard, and that a majority confirmed its leadership recently.
	Owner      bool `json:"owner"`
	UpToDate   bool `json:"current"`
	CatchingUp bool `json:"recovering"`
	// ReservationsComplete means that this slot knows all of its reservations, so that it may make new ones.
	ReservationsComplete bool               `json:"claimsWhole"`
	LeaseRemaining       clock.Microseconds `json:"grantLeftMicroseconds"`
	// ConfirmedUntil is when the confirmation of the leadership expires, by this server's clock.
	ConfirmedUntil       clock.Microseconds `json:"-"`
	QuietPeriodRemaining clock.Microseconds `json:"quietLeftMicroseconds"`
	// Copies holds the copies of the shard's log by slot. Only the leader knows them.
	Copies []CopyStatus `json:"copies,omitempty"`
	// SinceProgress is the time since a server without a vote last received something of the log.
	SinceProgress clock.Microseconds `json:"sinceProgressMicroseconds,omitempty"`
}

// CopyStatus is the copy of a shard's log in one slot, as the leader knows it.
type CopyStatus struct {
	Slot int `json:"slot"`
	// Server and Address are those of the member, or of the server that catches up in order to be given the slot.
	Server  string `json:"server"`
	Address string `json:"address"`
	// State is "complete", "catching-up" (the server answers and lacks entries or a vote), "silent" or "vacant".
	State string `json:"state"`
	// MissingEntries is the number of committed entries that the server is not known to store.
	MissingEntries uint64 `json:"missingEntries"`
	// Since is the time since which the copy has been in its state.
	Since clock.Microseconds `json:"sinceMicroseconds"`
}

// ServerStatus is the status of a server and its shards.
type ServerStatus struct {
	Name     string           `json:"name"`
	Zone     string           `json:"hall"`
	Identity string           `json:"identity"`
	Shards   []ShardStatus    `json:"parts"`
	Counters map[string]int64 `json:"counters"`
	// Resources is the resource usage of the server. It is nil in responses of builds that do not measure it.
	Resources *resources.Snapshot `json:"resources,omitempty"`
}

// RouterStatus is the status of a router that has sent this server a HeadsRequest.
type RouterStatus struct {
	Name          string             `json:"name"`
	Zone          string             `json:"hall"`
	Public        string             `json:"public"`
	SinceLastSeen clock.Microseconds `json:"agoMicroseconds"`
	// ActiveCalls is the number of calls in progress at engines of regions under maintenance, by engine.
	ActiveCalls map[string]int `json:"live,omitempty"`
}

// FleetStatus contains the routers that a server knows, and the engines of the shards that it leads.
type FleetStatus struct {
	Routers []RouterStatus    `json:"routers"`
	Engines []registry.Report `json:"engines"`
}

// EngineEntry is a registered engine as it is shown to operators and the platform.
type EngineEntry struct {
	registry.Engine
	Role     string `json:"part"`
	Assigned bool   `json:"live"`
}

// ConfigurationResponse is the configuration as it is shown to operators.
type ConfigurationResponse struct {
	Revision           uint64               `json:"sequence"`
	Document           string               `json:"document"`
	Changes            map[string]string    `json:"changes"`
	EvacuatedZones     []string             `json:"evacuated"`
	MaintenanceWindows []maintenance.Window `json:"notices,omitempty"`
	Plan               config.Plan          `json:"plan"`
}

// OutboxStatus is the outbox of one service shard as one server knows it. The outbox contains the platform calls
// that only one daemon of the fleet may make at a time.
type OutboxStatus struct {
	Shard  int    `json:"shard"`
	Server string `json:"server"`
	// Leads means that this server makes the calls, as the leader in Term.
	Leads bool   `json:"leads"`
	Term  uint64 `json:"term"`
	// Incomplete means that this replica lost the outbox and is waiting for a reset or a snapshot.
	Incomplete bool   `json:"incomplete"`
	Accepted   uint64 `json:"accepted"`
	Superseded uint64 `json:"superseded"`
	Dropped    uint64 `json:"dropped"`
	// Pending contains the entries that are not delivered as far as this server knows, in the order in which the
	// outbox accepted them.
	Pending []OutboxEntry `json:"pending"`
	// SinceLastSuccess is the time since the platform last accepted a call of this server, by kind of call.
	SinceLastSuccess map[string]clock.Microseconds `json:"sinceLastSuccessMicroseconds"`
}

// OutboxEntry is a pending entry of an outbox.
type OutboxEntry struct {
	Kind    string `json:"kind"`
	Subject string `json:"subject"`
	Number  uint64 `json:"number"`
	Bytes   int    `json:"bytes"`
	// Age is the time since the leader first saw the entry. It is 0 in the status of other servers.
	Age clock.Microseconds `json:"ageMicroseconds"`
	// Failures is the number of consecutive failed calls of the subject in this term.
	Failures int `json:"failures"`
	// LastError is the reason of the last failure.
	LastError string `json:"lastError,omitempty"`
}

// CapacityStatus is the last decision of a shard's leader on the number of engines of a service in a zone.
type CapacityStatus struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// Wanted is the number of engines that the zone should have.
	Wanted int `json:"wanted"`
	// Ordered means that the wanted number, or an earlier one, has been ordered.
	Ordered bool `json:"ordered"`
	// Present is the number of engines that are not draining, including engines that are warming up.
	Present   int `json:"present"`
	WarmingUp int `json:"warmingUp"`
	Draining  int `json:"draining"`
	// Reason describes why this number is wanted.
	Reason string `json:"reason"`
	// PrefillLoad and DecodeLoad are the numbers of engines that the service keeps busy in all zones together.
	PrefillLoad float64 `json:"prefillLoad"`
	DecodeLoad  float64 `json:"decodeLoad"`
}
