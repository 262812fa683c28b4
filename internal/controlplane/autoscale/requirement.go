package autoscale

import "math"

// roundingTolerance is subtracted before numbers of engines are rounded up, so that a floating-point error does not
// add an engine.
const roundingTolerance = 1e-9

// requirement is the minimum number of engines of a service.
type requirement struct {
	// engines is the minimum number in all zones together.
	engines int
	// survivors is the minimum number that must remain after the loss of the zone with the most engines. It is 0 if
	// there is no headroom for the loss of a zone.
	survivors int
}

// combine returns the lowest requirement that includes both.
func (r requirement) combine(other requirement) requirement {
	return requirement{engines: max(r.engines, other.engines), survivors: max(r.survivors, other.survivors)}
}

// roleMix holds the number of serving engines, in total and for each kind of work. Engines with both roles are
// counted in both prefill and decode.
type roleMix struct {
	total, prefill, decode int
}

// utilization returns the utilization of the busier role. It is infinite if there is work of a kind that no engine
// takes.
func (r roleMix) utilization(load Load) float64 {
	return max(utilizationOf(load.Prefill, r.prefill), utilizationOf(load.Decode, r.decode))
}

func utilizationOf(load float64, engines int) float64 {
	switch {
	case load == 0:
		return 0
	case engines == 0:
		return math.Inf(1)
	default:
		return load / float64(engines)
	}
}

// enginesAtUtilization returns the number of engines, rounded up, that carry a load at a utilization.
func enginesAtUtilization(load, utilization float64) int {
	return int(math.Ceil(load/utilization - roundingTolerance))
}

// enginesFor returns the number of engines that carry a load at the target utilizations. It assumes that each role
// has the number of engines that it needs, since the role planner adapts roles faster than engines start.
func (o Options) enginesFor(load Load) int {
	return enginesAtUtilization(load.Prefill, o.PrefillUtilization) +
		enginesAtUtilization(load.Decode, o.DecodeUtilization)
}

// survivorsFor returns the number of engines that carry a load after the loss of a zone, or 0 without ZoneHeadroom.
func (o Options) survivorsFor(load Load) int {
	if !o.ZoneHeadroom {
		return 0
	}
	return enginesAtUtilization(load.Prefill, o.LossUtilization) + enginesAtUtilization(load.Decode, o.LossUtilization)
}

// requirementFor returns the requirement for a forecast load, including the margin for bursts.
func (o Options) requirementFor(forecast Load) requirement {
	withBursts := forecast.Scale(1 + o.BurstMargin)
	return requirement{engines: o.enginesFor(withBursts), survivors: o.survivorsFor(forecast)}
}

// requirementAfterStepDown returns the requirement for the engines that remain after a decrease. They prefill again
// the prefixes that were cached at the removed engines, and keep the present proportion of roles until the role
// planner changes it.
func (o Options) requirementAfterStepDown(load Load, mix roleMix) requirement {
	expected := load
	expected.Prefill *= 1 + o.CacheReserve*o.MaxStepDown
	needed := o.requirementFor(expected)
	withBursts := expected.Scale(1 + o.BurstMargin)
	needed.engines = max(
		needed.engines,
		mix.enginesInProportion(withBursts.Prefill, o.PrefillUtilization, mix.prefill),
		mix.enginesInProportion(withBursts.Decode, o.DecodeUtilization, mix.decode),
	)
	return needed
}

// enginesInProportion returns the total number of engines for which the engines of one role carry the load of that
// role, if the proportion of roles stays the same; engines is the present number of engines of the role. If that
// number is 0, the present total is kept.
func (r roleMix) enginesInProportion(load, utilization float64, engines int) int {
	if load == 0 {
		return 0
	}
	if engines == 0 {
		return r.total
	}
	return enginesAtUtilization(load*float64(r.total)/float64(engines), utilization)
}
