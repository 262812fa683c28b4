package platformport

import (
	"context"

	"coursepass/internal/clock"
)

// Engine is one incarnation of an engine as the directory lists it.
type Engine struct {
	Incarnation string
	Service     string
	Address     string
	Zone        string
	// Slots is how many requests the engine runs at once.
	Slots    int
	Draining bool
	// Role is pairing.RolePrefill, pairing.RoleDecode or pairing.RoleBoth.
	Role string
	// WarmupRemaining is how much longer the engine is warming up.
	WarmupRemaining clock.Microseconds
	// ModelVersion is the version of the model that the engine serves.
	ModelVersion int
}

// Directory lists all engines of all services. An error means that nothing is known; an empty
// list means that there are no engines.
type Directory interface {
	List(context.Context) ([]Engine, error)
}
