package platformport

import (
	"context"

	"coursepass/internal/clock"
)

// Engine is a directory entry for one incarnation of an engine.
type Engine struct {
	Incarnation string
	Service     string
	Address     string
	Zone        string
	// Slots is the maximum number of requests that the engine runs concurrently.
	Slots    int
	Draining bool
	// Role is pairing.RolePrefill, pairing.RoleDecode or pairing.RoleBoth.
	Role string
	// WarmupRemaining is the time until the engine's warm-up ends.
	WarmupRemaining clock.Microseconds
	// ModelVersion is the version of the model that the engine serves.
	ModelVersion int
}

// Directory lists the engines of all services. An error means that the set of engines is
// unknown; an empty list without an error means that there are no engines.
type Directory interface {
	List(context.Context) ([]Engine, error)
}
