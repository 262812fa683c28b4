package resources

// Kind is the kind of traffic that a connection carries.
type Kind uint8

// The kinds of traffic.
const (
	// Control is traffic that coordinates the fleet: calls between daemons, the directory of engines, engine
	// reports, engine commands, operator requests and readiness checks.
	Control Kind = iota
	// Data is traffic that serves callers: connections from callers, and connections to engines that carry
	// the requests of callers.
	Data
	// kindCount is the number of kinds.
	kindCount
)

// String returns the label value of the kind.
func (k Kind) String() string { return [kindCount]string{"control", "data"}[k] }

// Zone is the zone of the peer of a connection, relative to the zone of the daemon.
type Zone uint8

// The zones of a peer.
const (
	// UnknownZone means that the daemon does not know the zone of the peer, or does not know it yet.
	UnknownZone Zone = iota
	// SameZone means that the peer is in the zone of the daemon.
	SameZone
	// OtherZone means that the peer is in another zone than the daemon.
	OtherZone
	// zoneCount is the number of zones.
	zoneCount
)

// String returns the label value of the zone.
func (z Zone) String() string { return [zoneCount]string{"unknown", "same", "other"}[z] }

// Side is the end of a connection or call that the daemon is.
type Side uint8

// The sides of a connection or call.
const (
	// Client is the side that opens a connection or starts a call.
	Client Side = iota
	// Server is the side that accepts a connection or serves a call.
	Server
	// sideCount is the number of sides.
	sideCount
)

// String returns the label value of the side.
func (s Side) String() string { return [sideCount]string{"client", "server"}[s] }
