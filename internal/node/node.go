// Package node defines the description of a daemon that daemons share with each other: its
// identity, role, zone and addresses. Nodes are spread by gossip and stored in membership tables.
package node

// Role is the kind of a daemon.
type Role string

// Roles of a daemon. Their values are sent between daemons and must not change.
const (
	RoleControlPlane Role = "core"
	RoleRouter       Role = "router"
	RoleEngine       Role = "engine"
)

// Node describes one daemon. Daemons send it to each other as Wire; operators read it as JSON.
type Node struct {
	// Name is unique in the fleet and stays the same across restarts.
	Name string `json:"Name"`
	Role Role   `json:"Role"`
	// Zone is the zone that the daemon runs in.
	Zone string `json:"Hall"`
	// InternalAddress is the IP address and port that serves other daemons.
	InternalAddress string `json:"Inner"`
	// PublicAddress is the IP address and port that serves callers and operators.
	PublicAddress string `json:"Public"`
	// Incarnation increases each time that the daemon restarts.
	Incarnation uint64 `json:"Incarnation"`
}
