package autoscale

import (
	"coursepass/internal/clock"
	"coursepass/internal/state/route"
)

// ZoneState is the observed state of the engines of a service in one zone.
type ZoneState struct {
	Zone string
	// Prefill, Decode and Both are the numbers of serving engines by role, including engines that are warming up.
	Prefill int
	Decode  int
	Both    int
	// WarmingUp is the number of serving engines that take only a few requests yet. Draining is the number of
	// engines that are shutting down; they are not counted as serving.
	WarmingUp int
	Draining  int
	// Ordered is the number of engines in the last committed order. HasOrder is false if there is no such order.
	Ordered  int
	HasOrder bool
	// Unavailable is true if the zone is evacuated or under maintenance: its engines get no new work.
	Unavailable bool
}

// Serving returns the number of engines that are not shutting down.
func (z ZoneState) Serving() int { return z.Prefill + z.Decode + z.Both }

// zoneTracker tracks the engines of a service in one zone over time.
type zoneTracker struct {
	state ZoneState
	// servingSince is the time since which the number of serving engines has been constant. orderedSince is the time
	// since which the last order has been the same.
	servingSince clock.Microseconds
	orderedSince clock.Microseconds
	// settledCount is the number of engines assumed to be intended as long as there is no order: the largest number
	// that stayed constant for the settle time, 0 before there is one. A lower number means that engines are missing.
	settledCount int
}

// observe records the present state. It reports whether the order has changed since the last call.
func (z *zoneTracker) observe(now clock.Microseconds, state ZoneState, settleTime clock.Microseconds) (reordered bool) {
	first := z.servingSince == 0
	if first || state.Serving() != z.state.Serving() {
		z.servingSince = now
	}
	reordered = !first && (state.HasOrder != z.state.HasOrder || state.Ordered != z.state.Ordered)
	if first || reordered {
		z.orderedSince = now
	}
	z.state = state
	if now-z.servingSince >= settleTime {
		z.settledCount = max(z.settledCount, state.Serving())
	}
	return reordered
}

// isIntendedKnown reports whether the intended number of engines is known.
func (z *zoneTracker) isIntendedKnown() bool { return z.state.HasOrder || z.settledCount > 0 }

// intended returns the intended number of engines: that of the last order or, without an order, the largest settled
// number. If neither is known, it returns the present number.
func (z *zoneTracker) intended() int {
	switch {
	case z.state.HasOrder:
		return z.state.Ordered
	case z.settledCount > 0:
		return z.settledCount
	default:
		return z.state.Serving()
	}
}

// isLost reports whether the zone is intended to have engines but none serves.
func (z *zoneTracker) isLost() bool { return z.intended() > 0 && z.state.Serving() == 0 }

// isComplete reports whether the number of serving engines is exactly the intended one.
func (z *zoneTracker) isComplete() bool {
	return z.isIntendedKnown() && z.state.Serving() == z.intended()
}

// lacksEngines reports whether fewer engines serve than intended, for longer than the start-up time of engines plus
// a tolerance.
func (z *zoneTracker) lacksEngines(now clock.Microseconds, scaling route.Scaling, tolerance clock.Microseconds) bool {
	since := max(z.servingSince, z.orderedSince)
	return z.state.Serving() < z.intended() && now-since > scaling.StartUp+tolerance
}

// count returns the numbers of the zone before the load is considered: the intended number, limited to the bounds
// of the configuration. The intended number of a zone that is not scalable is kept: no new work can be sent there, but
// its engines must be available when the zone is.
func (z *zoneTracker) count(now clock.Microseconds, scaling route.Scaling, tolerance clock.Microseconds) zoneCount {
	wanted := min(max(z.intended(), scaling.Min), scaling.Max)
	count := zoneCount{zone: z.state.Zone, wanted: wanted, serving: wanted, scalable: true}
	switch {
	case z.state.Unavailable || z.isLost():
		count.serving, count.scalable = 0, false
	case z.lacksEngines(now, scaling, tolerance):
		count.serving, count.scalable = z.state.Serving(), false
	}
	return count
}
