// Package machine describes the machines of a fleet and what runs on them.
package machine

// Role is what a daemon does.
type Role string

// The roles.
const (
	Core   Role = "core"
	Router Role = "router"
	Engine Role = "engine"
)

// Machine is one daemon: its name, role, hall and addresses. Inner is where its
// own kind calls it, Public where callers and operators do. An incarnation is
// one life of the process.
type Machine struct {
	Name        string
	Role        Role
	Hall        string
	Inner       string
	Public      string
	Incarnation uint64
}
