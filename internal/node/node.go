// Package node describes the machines of a fleet and what runs on them.
package node

// Role is what a daemon does.
type Role string

// The roles.
const (
	RoleControlPlane Role = "core"
	RoleRouter       Role = "router"
	RoleEngine       Role = "engine"
)

// Node is one daemon: its name, role, hall and addresses. Inner is where its
// own kind calls it, Public where callers and operators do. An incarnation is
// one life of the process.
type Node struct {
	Name        string
	Role        Role
	Hall        string
	Inner       string
	Public      string
	Incarnation uint64
}
