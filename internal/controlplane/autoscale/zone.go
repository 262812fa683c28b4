package autoscale

import (
	"coursepass/internal/clock"
	"coursepass/internal/state/route"
)

// ZoneState is what is known of the engines of a service in one zone.
type ZoneState struct {
	Zone string
	// Prefill, Decode and Both are the engines that serve, by role, including those that are warming up.
	Prefill int
	Decode  int
	Both    int
	// WarmingUp are those of them that take few requests yet, Draining the engines on their way out, which are
	// none of them.
	WarmingUp int
	Draining  int
	// Ordered is the number of engines in the last committed order, if HasOrder.
	Ordered  int
	HasOrder bool
	// Unavailable means that the zone is evacuated or under maintenance: its engines get no new work.
	Unavailable bool
}

// Serving returns the engines that are not on their way out.
func (z ZoneState) Serving() int { return z.Prefill + z.Decode + z.Both }

// zoneTracker follows the engines of a service in one zone.
type zoneTracker struct {
	state ZoneState
	// servingSince is since when the number of serving engines has been the same, orderedSince the last order.
	servingSince clock.Microseconds
	orderedSince clock.Microseconds
	// standing is the number of engines that stands in the zone, as long as nothing was ordered: the largest that
	// was seen settled. A lower one is that of a zone whose engines are away.
	standing int
}

// observe updates the tracker. It tells whether the order was changed since.
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
		z.standing = max(z.standing, state.Serving())
	}
	return reordered
}

// isKnown reports whether the number of engines that should be there is known.
func (z *zoneTracker) isKnown() bool { return z.state.HasOrder || z.standing > 0 }

// base returns the number of engines that a new order changes: that of the last order, or else the one that
// stands there. As long as neither is known, it is the present one.
func (z *zoneTracker) base() int {
	switch {
	case z.state.HasOrder:
		return z.state.Ordered
	case z.standing > 0:
		return z.standing
	default:
		return z.state.Serving()
	}
}

// isLost reports whether the zone should have engines and has none.
func (z *zoneTracker) isLost() bool { return z.base() > 0 && z.state.Serving() == 0 }

// isComplete reports whether exactly the engines serve that should.
func (z *zoneTracker) isComplete() bool { return z.isKnown() && z.state.Serving() == z.base() }

// lacksEngines reports whether fewer engines serve than should, for longer than new ones need to start and some
// tolerance.
func (z *zoneTracker) lacksEngines(now clock.Microseconds, scaling route.Scaling, tolerance clock.Microseconds) bool {
	since := max(z.servingSince, z.orderedSince)
	return z.state.Serving() < z.base() && now-since > scaling.StartUp+tolerance
}

// count returns how many engines are wanted and can be counted on before anything is changed. In a zone that is
// not open the order stays: nothing new can be sent there, but its engines must be back when it is.
func (z *zoneTracker) count(now clock.Microseconds, scaling route.Scaling, tolerance clock.Microseconds) zoneCount {
	wanted := min(max(z.base(), scaling.Min), scaling.Max)
	count := zoneCount{zone: z.state.Zone, wanted: wanted, serving: wanted, open: true}
	switch {
	case z.state.Unavailable || z.isLost():
		count.serving, count.open = 0, false
	case z.lacksEngines(now, scaling, tolerance):
		count.serving, count.open = z.state.Serving(), false
	}
	return count
}
