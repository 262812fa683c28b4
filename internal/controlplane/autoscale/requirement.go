package autoscale

import "math"

// roundingTolerance keeps errors of floating-point sums from costing an engine.
const roundingTolerance = 1e-9

// requirement is what the engines of a service must be enough for.
type requirement struct {
	// engines is the least number in all zones.
	engines int
	// survivors is the least number in all zones but the one with the most, 0 if no zone may be lost.
	survivors int
}

// larger returns a requirement that includes both.
func (r requirement) larger(other requirement) requirement {
	return requirement{engines: max(r.engines, other.engines), survivors: max(r.survivors, other.survivors)}
}

// roleMix is the number of serving engines that take each kind of work. Engines with both roles are in both
// numbers.
type roleMix struct {
	total, prefill, decode int
}

// utilization returns the busy part of the time of the engines of the busier role, infinite if there is work
// but no engine for it.
func (r roleMix) utilization(load Load) float64 {
	return max(busyPart(load.Prefill, r.prefill), busyPart(load.Decode, r.decode))
}

func busyPart(load float64, engines int) float64 {
	switch {
	case load == 0:
		return 0
	case engines == 0:
		return math.Inf(1)
	default:
		return load / float64(engines)
	}
}

// wholeEngines returns how many engines have a load if each is busy for a part of its time.
func wholeEngines(load, utilization float64) int {
	return int(math.Ceil(load/utilization - roundingTolerance))
}

// enginesFor returns the engines for a load, with as many of each role as it needs: the planner of roles follows
// the load faster than engines start.
func (o Options) enginesFor(load Load) int {
	return wholeEngines(load.Prefill, o.PrefillUtilization) + wholeEngines(load.Decode, o.DecodeUtilization)
}

// survivorsFor returns the engines for a load after the loss of a zone.
func (o Options) survivorsFor(load Load) int {
	if !o.ZoneHeadroom {
		return 0
	}
	return wholeEngines(load.Prefill, o.LossUtilization) + wholeEngines(load.Decode, o.LossUtilization)
}

// need returns what a forecast load requires.
func (o Options) need(forecast Load) requirement {
	withBursts := forecast.Scale(1 + o.BurstMargin)
	return requirement{engines: o.enginesFor(withBursts), survivors: o.survivorsFor(forecast)}
}

// needAfterStepDown returns what a load requires of the engines that a step down leaves: they read prefixes again
// that were cached at the others, and have the roles in the present proportion until the planner changes them.
func (o Options) needAfterStepDown(load Load, mix roleMix) requirement {
	expected := load
	expected.Prefill *= 1 + o.CacheReserve*o.MaxStepDown
	needed := o.need(expected)
	withBursts := expected.Scale(1 + o.BurstMargin)
	needed.engines = max(
		needed.engines,
		mix.proportionate(withBursts.Prefill, o.PrefillUtilization, mix.prefill),
		mix.proportionate(withBursts.Decode, o.DecodeUtilization, mix.decode),
	)
	return needed
}

// proportionate returns the number of engines of which the part that has a role can take its load. Without any
// engine of the role, the present number is kept.
func (r roleMix) proportionate(load, utilization float64, engines int) int {
	if load == 0 {
		return 0
	}
	if engines == 0 {
		return r.total
	}
	return wholeEngines(load*float64(r.total)/float64(engines), utilization)
}
