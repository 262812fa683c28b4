package resources

// Kind says what a connection carries.
type Kind uint8

// The kinds of traffic.
const (
	// Control is what daemons need to work together: calls between them, the directory of engines, reports
	// and commands of engines, operators, readiness checks.
	Control Kind = iota
	// Data is what is done for callers: their connections, and those to engines for their requests.
	Data
	kindCount
)

// String returns the label of the kind.
func (k Kind) String() string { return [kindCount]string{"control", "data"}[k] }

// Zone says where the other end of a connection is.
type Zone uint8

// The zones as seen from a daemon.
const (
	// UnknownZone is that of a peer whose zone the daemon does not know, or not yet.
	UnknownZone Zone = iota
	SameZone
	OtherZone
	zoneCount
)

// String returns the label of the zone.
func (z Zone) String() string { return [zoneCount]string{"unknown", "same", "other"}[z] }

// Side says which end of a connection or call the daemon is.
type Side uint8

// The sides of a connection or call.
const (
	// Client is the side that opens a connection or begins a call.
	Client Side = iota
	// Server is the side that accepts a connection or serves a call.
	Server
	sideCount
)

// String returns the label of the side.
func (s Side) String() string { return [sideCount]string{"client", "server"}[s] }
