// Package node describes a daemon of the fleet to other daemons: its identity, role, zone and
// addresses. A Node is gossiped and kept in tables.
package node

// Role is the kind of a daemon.
type Role string

// The roles. Their values are sent between daemons.
const (
	RoleControlPlane Role = "core"
	RoleRouter       Role = "router"
	RoleEngine       Role = "engine"
)

// Node is one daemon. Daemons send it to each other as Wire, and operators read it as JSON.
type Node struct {
	// Name is unique in the fleet and stays the same over restarts.
	Name string `json:"Name"`
	Role Role   `json:"Role"`
	// Zone is the zone that the daemon runs in.
	Zone string `json:"Hall"`
	// InternalAddress is the IP address and port for calls from other daemons.
	InternalAddress string `json:"Inner"`
	// PublicAddress is the IP address and port for callers and operators.
	PublicAddress string `json:"Public"`
	// Incarnation numbers the runs of the process: a restarted daemon has a higher one.
	Incarnation uint64 `json:"Incarnation"`
}
