package autoscale

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/state/route"
)

// maxGapDivisor is the part of the stable span, as one in so many, that may pass between two decisions: beyond it
// the span was not observed.
const maxGapDivisor = 2

// ServiceState is what is known of a service.
type ServiceState struct {
	Service string
	Scaling route.Scaling
	// WarmUp is how long an engine takes few requests after its start.
	WarmUp clock.Microseconds
	// Zones are the zones that have engines of the service, have had some, or have an order.
	Zones []ZoneState
	// EnginesUnknown means that the engines of the zones are those of some time ago.
	EnginesUnknown bool
}

// Scaler decides for the services of one shard, in one term of its leader. A new leader begins with a new Scaler:
// it takes the last committed orders as they are, and takes no engine away before it has seen the demand itself
// for a complete span.
type Scaler struct {
	options  Options
	demand   *demandTracker
	services map[string]*serviceScaler
}

// NewScaler returns a scaler that knows nothing yet.
func NewScaler(options Options) *Scaler {
	return &Scaler{options: options, demand: newDemandTracker(options), services: map[string]*serviceScaler{}}
}

// RecordReports records the last reports of routers. Those that are known already change nothing.
func (s *Scaler) RecordReports(now clock.Microseconds, reports []RouterReport) {
	s.demand.record(now, reports)
}

// Demand returns the measured load of a service.
func (s *Scaler) Demand(now clock.Microseconds, service string) Demand {
	return s.demand.demand(now, service)
}

// Decide returns the wanted number of engines of a service in each of its zones, by the names of zones.
func (s *Scaler) Decide(now clock.Microseconds, state ServiceState) []Decision {
	service, known := s.services[state.Service]
	if !known {
		service = &serviceScaler{options: s.options, zones: map[string]*zoneTracker{}}
		s.services[state.Service] = service
	}
	return service.decide(now, state, s.Demand(now, state.Service))
}

// serviceScaler decides for one service.
type serviceScaler struct {
	options Options
	zones   map[string]*zoneTracker
	loads   loadHistory
	// needs are what a step down would have required lately, oldest first.
	needs []needSample
	// unstableAt is the last moment at which something spoke against a step down, other than the need.
	unstableAt clock.Microseconds
	decidedAt  clock.Microseconds
	// saturatedSince is since when the engines have been saturated, 0 while they are not.
	saturatedSince clock.Microseconds
	// demandSeen is true once there was any load.
	demandSeen bool
}

type needSample struct {
	at     clock.Microseconds
	needed requirement
}

// situation is the state of a service at the moment of a decision.
type situation struct {
	ServiceState
	demand Demand
	mix    roleMix
	// allOpen means that each zone is open, complete that each has exactly the engines that it should have.
	allOpen  bool
	complete bool
	// reordered means that a number has been ordered since the last decision.
	reordered bool
}

func (s *serviceScaler) decide(now clock.Microseconds, state ServiceState, demand Demand) []Decision {
	if s.decidedAt == 0 || now-s.decidedAt > s.options.StableSpan/maxGapDivisor {
		s.unstableAt = now
	}
	s.decidedAt = now
	current := s.observe(now, state, demand)
	counts := s.counts(now, current)
	current.allOpen = !slices.ContainsFunc(counts, func(count zoneCount) bool { return !count.open })
	raiseReason := s.raise(now, current, counts)
	holdReason := s.lower(now, current, counts)
	return s.decisions(current, counts, raiseReason, holdReason)
}

// observe records the present state of the zones.
func (s *serviceScaler) observe(now clock.Microseconds, state ServiceState, demand Demand) situation {
	current := situation{ServiceState: state, demand: demand, complete: true}
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

// counts returns the numbers before anything is changed, by the names of zones.
func (s *serviceScaler) counts(now clock.Microseconds, current situation) distribution {
	tolerance := current.WarmUp + s.options.MissingTolerance
	var counts distribution
	for _, zone := range slices.Sorted(maps.Keys(s.zones)) {
		counts = append(counts, s.zones[zone].count(now, current.Scaling, tolerance))
	}
	return counts
}

// raise adds the engines that the forecast load needs.
func (s *serviceScaler) raise(now clock.Microseconds, current situation, counts distribution) Reason {
	if current.demand.Coverage == CoverageMissing {
		return ReasonSufficient
	}
	s.demandSeen = s.demandSeen || !current.demand.IsZero()
	s.loads.record(now, current.demand.Load, s.options.TrendWindow)
	forecast := s.loads.forecast(s.options, s.horizon(current))
	s.recordNeed(now, s.afterStepDown(current))

	needed := s.withoutSpareZone(s.options.need(forecast), current)
	reason := ReasonZoneHeadroom
	if !counts.satisfies(requirement{engines: needed.engines}) {
		reason = ReasonDemand
	}
	if enlarged := s.saturated(now, current, counts); enlarged > needed.engines {
		needed.engines = enlarged
		reason = ReasonSaturation
	}
	counts.raise(needed, current.Scaling.Max)
	return reason
}

// horizon is how long after the middle of the measured window an engine that is ordered now serves.
func (s *serviceScaler) horizon(current situation) clock.Microseconds {
	const half = 2
	return current.Scaling.StartUp + current.WarmUp + s.options.RateWindow/half
}

// withoutSpareZone leaves out the headroom for the loss of a zone where there is no other zone, or where one is
// out already.
func (s *serviceScaler) withoutSpareZone(needed requirement, current situation) requirement {
	if !current.allOpen || len(s.zones) < 2 {
		needed.survivors = 0
	}
	return needed
}

// saturated returns how many engines are needed if the present ones have been saturated for some time, else 0.
// While ordered engines start, no more are ordered for this reason.
func (s *serviceScaler) saturated(now clock.Microseconds, current situation, counts distribution) int {
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

// afterStepDown returns what a step down requires for the present load. Growth is left out: the span that a step
// waits for covers regular swings, of which a forecast sees only the rise.
func (s *serviceScaler) afterStepDown(current situation) requirement {
	needed := s.options.needAfterStepDown(current.demand.Load, current.mix)
	return s.withoutSpareZone(needed, current)
}

// recordNeed keeps what was required during the last span.
func (s *serviceScaler) recordNeed(now clock.Microseconds, needed requirement) {
	s.needs = append(s.needs, needSample{at: now, needed: needed})
	for s.needs[0].at < now-s.options.StableSpan {
		s.needs = s.needs[1:]
	}
}

// lower takes engines away that have not been needed for a complete span, and returns why it did not.
func (s *serviceScaler) lower(now clock.Microseconds, current situation, counts distribution) Reason {
	hold := s.holdReason(current)
	if hold != ReasonSurplus {
		s.unstableAt = now
		return hold
	}
	if now-s.unstableAt < s.options.StableSpan {
		return ReasonHoldSpan
	}
	needed := requirement{}
	for _, sample := range s.needs {
		needed = needed.larger(sample.needed)
	}
	step := max(int(float64(counts.total())*s.options.MaxStepDown), 1)
	counts.lower(needed, current.Scaling.Min, step)
	return ReasonSurplus
}

// holdReason returns what speaks against a step down at this moment, or ReasonSurplus if nothing does.
func (s *serviceScaler) holdReason(current situation) Reason {
	switch {
	case current.demand.Coverage != CoverageComplete:
		return ReasonHoldData
	case !s.demandSeen && !s.options.StepDownBeforeDemand:
		return ReasonHoldData
	case !current.allOpen:
		return ReasonHoldZone
	case !current.complete || current.EnginesUnknown:
		return ReasonHoldEngines
	case current.reordered:
		return ReasonHoldSpan
	default:
		return ReasonSurplus
	}
}

// decisions returns the decision for each zone.
func (s *serviceScaler) decisions(current situation, counts distribution, raiseReason, holdReason Reason) []Decision {
	var decisions []Decision
	for _, count := range counts {
		tracker := s.zones[count.zone]
		decision := Decision{
			Service: current.Service,
			Zone:    count.zone,
			Wanted:  count.wanted,
			Base:    tracker.base(),
			Known:   tracker.isKnown(),
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
		case !count.open:
			decision.Reason = ReasonHoldZone
		case holdReason != ReasonSurplus:
			decision.Reason = holdReason
		}
		decisions = append(decisions, decision)
	}
	slices.SortFunc(decisions, func(left, right Decision) int { return cmp.Compare(left.Zone, right.Zone) })
	return decisions
}
