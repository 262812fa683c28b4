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
