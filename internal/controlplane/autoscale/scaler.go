package autoscale

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/state/route"
)

// maxGapDivisor sets the maximum time between two decisions: the stable span divided by it. After a longer gap, the
// span counts as not observed and starts again.
const maxGapDivisor = 2

// ServiceState is the observed state of a service.
type ServiceState struct {
	Service string
	Scaling route.Scaling
	// WarmUp is how long an engine takes only a few requests after its start.
	WarmUp clock.Microseconds
	// Zones holds the zones that have or had engines of the service, or have an order.
	Zones []ZoneState
	// EnginesUnknown is true if the numbers of engines in Zones are outdated.
	EnginesUnknown bool
}

// Scaler computes the numbers of engines for the services of one shard, during one term of the shard's leader. A new
// leader begins with a new Scaler, which starts from the last committed orders and removes no engine before it has
// itself measured the demand for a complete stable span.
type Scaler struct {
	options  Options
	demand   *demandTracker
	services map[string]*serviceScaler
}

// NewScaler returns a Scaler without any recorded reports.
func NewScaler(options Options) *Scaler {
	return &Scaler{options: options, demand: newDemandTracker(options), services: map[string]*serviceScaler{}}
}

// RecordReports records the last reports of routers. Reports that were recorded before are ignored.
func (s *Scaler) RecordReports(now clock.Microseconds, reports []RouterReport) {
	s.demand.record(now, reports)
}

// Demand returns the measured load of a service and the extent to which it is known.
func (s *Scaler) Demand(now clock.Microseconds, service string) Demand {
	return s.demand.demand(now, service)
}

// Decide returns the wanted number of engines of a service in each of its zones, sorted by zone name.
func (s *Scaler) Decide(now clock.Microseconds, state ServiceState) []Decision {
	service, known := s.services[state.Service]
	if !known {
		service = &serviceScaler{options: s.options, zones: map[string]*zoneTracker{}}
		s.services[state.Service] = service
	}
	return service.decide(now, state, s.Demand(now, state.Service))
}

// serviceScaler computes the numbers of engines of one service.
type serviceScaler struct {
	options Options
	zones   map[string]*zoneTracker
	loads   loadHistory
	// requirements holds the requirements for a decrease during the last stable span, oldest first.
	requirements []requirementSample
	// unstableAt is the last time at which something other than the requirement prevented a decrease.
	unstableAt clock.Microseconds
	decidedAt  clock.Microseconds
	// saturatedSince is the time since which the engines have been saturated, 0 while they are not.
	saturatedSince clock.Microseconds
	// demandSeen is true once any load has been measured.
	demandSeen bool
}

type requirementSample struct {
	at     clock.Microseconds
	needed requirement
}

// decisionInput holds the inputs of one decision.
type decisionInput struct {
	ServiceState
	demand Demand
	mix    roleMix
	// allScalable is true if every zone is scalable. complete is true if every zone has exactly the intended number
	// of engines.
	allScalable bool
	complete    bool
	// reordered is true if the order of any zone has changed since the last decision.
	reordered bool
}

func (s *serviceScaler) decide(now clock.Microseconds, state ServiceState, demand Demand) []Decision {
	if s.decidedAt == 0 || now-s.decidedAt > s.options.StableSpan/maxGapDivisor {
		s.unstableAt = now
	}
	s.decidedAt = now
	current := s.observe(now, state, demand)
	counts := s.zoneCounts(now, current)
	current.allScalable = !slices.ContainsFunc(counts, func(count zoneCount) bool { return !count.scalable })
	raiseReason := s.raise(now, current, counts)
	holdReason := s.lower(now, current, counts)
	return s.decisions(current, counts, raiseReason, holdReason)
}

// observe updates the zone trackers, and returns the inputs of the decision except allScalable.
func (s *serviceScaler) observe(now clock.Microseconds, state ServiceState, demand Demand) decisionInput {
	current := decisionInput{ServiceState: state, demand: demand, complete: true}
	present := map[string]bool{}
	for _, zone := range state.Zones {
		present[zone.Zone] = true
		tracker, known := s.zones[zone.Zone]
		if !known {
			tracker = &zoneTracker{}
			s.zones[zone.Zone] = tracker
		}
		current.reordered = tracker.observe(now, zone, s.options.SettleTime) || current.reordered
		current.complete = current.complete && tracker.isComplete()
		if !zone.Unavailable {
			current.mix.total += zone.Serving()
			current.mix.prefill += zone.Prefill + zone.Both
			current.mix.decode += zone.Decode + zone.Both
		}
	}
	maps.DeleteFunc(s.zones, func(zone string, _ *zoneTracker) bool { return !present[zone] })
	return current
}

// zoneCounts returns the numbers of all zones before the load is considered, sorted by zone name.
func (s *serviceScaler) zoneCounts(now clock.Microseconds, current decisionInput) distribution {
	tolerance := current.WarmUp + s.options.MissingTolerance
	var counts distribution
	for _, zone := range slices.Sorted(maps.Keys(s.zones)) {
		counts = append(counts, s.zones[zone].count(now, current.Scaling, tolerance))
	}
	return counts
}

// raise adds the engines that the forecast load requires, and returns the reason for them.
func (s *serviceScaler) raise(now clock.Microseconds, current decisionInput, counts distribution) Reason {
	if current.demand.Coverage == CoverageMissing {
		return ReasonSufficient
	}
	s.demandSeen = s.demandSeen || !current.demand.IsZero()
	s.loads.record(now, current.demand.Load, s.options.TrendWindow)
	forecast := s.loads.forecast(s.options, s.horizon(current))
	s.recordRequirement(now, s.stepDownRequirement(current))

	needed := s.withoutUnusableHeadroom(s.options.requirementFor(forecast), current)
	reason := ReasonZoneHeadroom
	if !counts.satisfies(requirement{engines: needed.engines}) {
		reason = ReasonDemand
	}
	if saturatedEngines := s.enginesIfSaturated(now, current, counts); saturatedEngines > needed.engines {
		needed.engines = saturatedEngines
		reason = ReasonSaturation
	}
	counts.raise(needed, current.Scaling.Max)
	return reason
}

// horizon returns the time from the middle of the rate window, which the measured load stands for, until an engine
// that is ordered now takes all requests.
func (s *serviceScaler) horizon(current decisionInput) clock.Microseconds {
	const half = 2
	return current.Scaling.StartUp + current.WarmUp + s.options.RateWindow/half
}

// withoutUnusableHeadroom removes the headroom for the loss of a zone from a requirement if the service has only one
// zone, or if a zone is already out of service.
func (s *serviceScaler) withoutUnusableHeadroom(needed requirement, current decisionInput) requirement {
	if !current.allScalable || len(s.zones) < 2 {
		needed.survivors = 0
	}
	return needed
}

// enginesIfSaturated returns the number of engines required because of saturation, or 0 if the engines are not
// saturated. No engines are added before the saturation has lasted for SaturationSpan, or while ordered engines are
// starting.
func (s *serviceScaler) enginesIfSaturated(now clock.Microseconds, current decisionInput, counts distribution) int {
	busy := current.mix.utilization(current.demand.Load)
	if current.mix.total == 0 || busy < s.options.SaturationUtilization {
		s.saturatedSince = 0
		return 0
	}
	if s.saturatedSince == 0 {
		s.saturatedSince = now
	}
	if now-s.saturatedSince < s.options.SaturationSpan || !current.complete {
		return counts.total()
	}
	return int(math.Ceil(float64(counts.total()) * (1 + s.options.SaturationStep)))
}

// stepDownRequirement returns the requirement for a decrease at the present load. Growth is ignored: the stable span
// that a decrease waits for covers regular oscillations of the load, of which a forecast only extrapolates the rise.
func (s *serviceScaler) stepDownRequirement(current decisionInput) requirement {
	needed := s.options.requirementAfterStepDown(current.demand.Load, current.mix)
	return s.withoutUnusableHeadroom(needed, current)
}

// recordRequirement adds a requirement, and drops those that are older than the stable span.
func (s *serviceScaler) recordRequirement(now clock.Microseconds, needed requirement) {
	s.requirements = append(s.requirements, requirementSample{at: now, needed: needed})
	for s.requirements[0].at < now-s.options.StableSpan {
		s.requirements = s.requirements[1:]
	}
}

// lower removes engines that have not been required for a complete stable span. It returns ReasonSurplus, or the
// reason why no decrease is allowed.
func (s *serviceScaler) lower(now clock.Microseconds, current decisionInput, counts distribution) Reason {
	hold := s.holdReason(current)
	if hold != ReasonSurplus {
		s.unstableAt = now
		return hold
	}
	if now-s.unstableAt < s.options.StableSpan {
		return ReasonHoldSpan
	}
	needed := requirement{}
	for _, sample := range s.requirements {
		needed = needed.combine(sample.needed)
	}
	step := max(int(float64(counts.total())*s.options.MaxStepDown), 1)
	counts.lower(needed, current.Scaling.Min, step)
	return ReasonSurplus
}

// holdReason returns what prevents a decrease at present, or ReasonSurplus if nothing does. It does not check
// whether a complete stable span has passed.
func (s *serviceScaler) holdReason(current decisionInput) Reason {
	switch {
	case current.demand.Coverage != CoverageComplete:
		return ReasonHoldData
	case !s.demandSeen && !s.options.StepDownBeforeDemand:
		return ReasonHoldData
	case !current.allScalable:
		return ReasonHoldZone
	case !current.complete || current.EnginesUnknown:
		return ReasonHoldEngines
	case current.reordered:
		return ReasonHoldSpan
	default:
		return ReasonSurplus
	}
}

// decisions returns the decision for each zone, sorted by zone name.
func (s *serviceScaler) decisions(
	current decisionInput, counts distribution, raiseReason, holdReason Reason,
) []Decision {
	var decisions []Decision
	for _, count := range counts {
		tracker := s.zones[count.zone]
		decision := Decision{
			Service: current.Service,
			Zone:    count.zone,
			Wanted:  count.wanted,
			Base:    tracker.intended(),
			Known:   tracker.isIntendedKnown(),
		}
		inBounds := min(max(decision.Base, current.Scaling.Min), current.Scaling.Max)
		switch {
		case !decision.Known:
			decision.Reason = ReasonHoldEngines
		case decision.Wanted > inBounds:
			decision.Reason = raiseReason
		case decision.Wanted < inBounds:
			decision.Reason = ReasonSurplus
		case decision.Base != inBounds:
			decision.Reason = ReasonLimits
		case !count.scalable:
			decision.Reason = ReasonHoldZone
		case holdReason != ReasonSurplus:
			decision.Reason = holdReason
		}
		decisions = append(decisions, decision)
	}
	slices.SortFunc(decisions, func(left, right Decision) int { return cmp.Compare(left.Zone, right.Zone) })
	return decisions
}
