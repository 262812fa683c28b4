package balancer

import (
	"cmp"
	"slices"
	"strconv"

	"coursepass/internal/clock"
	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
)

// Requirements describes a request as far as the selection of its engines depends on it.
type Requirements struct {
	// Prompt holds the chunks of the prompt. All chunks but the last may be shared with other requests.
	Prompt []platformport.PromptChunk
	// Urgency is the urgency of the request on engines, 0 for the most urgent.
	Urgency int
	// Router and Zone are the name and zone of the router that forwards the request. Both are empty if it
	// is the balancer's own router.
	Router string
	Zone   string
	// EventTimeout is the maximum pause between two events of the response that the route aims at, 0 for
	// no target.
	EventTimeout clock.Microseconds
	// BodyBytes is the size of the request body in bytes.
	BodyBytes int
	// NoSplit forbids prefill and decode on different engines.
	NoSplit bool
	// SingleAttempt reports whether the request gets no other prefill engine if the first one rejects it.
	SingleAttempt bool
	// NonRetryable reports whether the request is lost if its engine fails.
	NonRetryable bool
	// Key distinguishes requests in the order of engines of equal cost, so that routers without
	// information on the load of engines don't all choose the same engine.
	Key string
	// ExcludedEngines is the set of incarnations that must not get the request.
	ExcludedEngines map[string]bool
	// ClosedRegions is the set of regions that must not get the request.
	ClosedRegions map[string]bool
	// FetchedTokens is the number of unshared tokens in the KV cache of an earlier prefill, which the decoder
	// fetches. It is 0 if the prompt has yet to be computed.
	FetchedTokens int
	// AllowedRegions are the only regions that may get the request. If it is empty, all regions may.
	AllowedRegions []string
}

// RegionRestricted reports whether the request must not be sent to some of the regions.
func (r Requirements) RegionRestricted() bool {
	return len(r.ClosedRegions) > 0 || len(r.AllowedRegions) > 0
}

// eligible returns the engines that a request may be sent to for prefill and for decode, and sets their
// failure penalties. An engine of role pairing.RoleBoth is in both lists. The caller holds the lock.
func (b *Balancer) eligible(
	now clock.Microseconds,
	requirements Requirements,
) (prefillers, decoders []*engineState) {
	for _, engine := range b.engines {
		if !b.mayUse(now, engine, requirements) {
			continue
		}
		if engine.Role != pairing.RoleDecode {
			prefillers = append(prefillers, engine)
		}
		if engine.Role != pairing.RolePrefill {
			decoders = append(decoders, engine)
		}
	}
	prefillers = b.excludeUnhealthy(now, requirements, prefillers)
	decoders = b.excludeUnhealthy(now, requirements, decoders)
	b.setFailurePenalties(now, prefillers)
	b.setFailurePenalties(now, decoders)
	return prefillers, decoders
}

// mayUse reports whether a request may be sent to an engine, regardless of the health of the engine.
func (b *Balancer) mayUse(now clock.Microseconds, engine *engineState, requirements Requirements) bool {
	if !b.inService(engine) || requirements.ExcludedEngines[engine.Incarnation] {
		return false
	}
	return b.regionAllowed(engine.Zone, requirements) && b.withinWarmupRate(now, engine)
}

// inService reports whether a listed engine gets new calls: it is not draining, keeps its role, and its zone
// is not evacuated.
func (b *Balancer) inService(engine *engineState) bool {
	return !engine.Draining && !b.changingRole[engine.Incarnation] && !b.evacuatedZones[engine.Zone]
}

// accepts reports whether a listed engine may be given a call of a phase.
func (b *Balancer) accepts(engine *engineState, phase Phase) bool {
	otherRole := pairing.RoleDecode
	if phase == PhaseDecode {
		otherRole = pairing.RolePrefill
	}
	return b.inService(engine) && engine.Role != otherRole
}

// Accepts reports whether an engine may still be given a call of a phase: the engine is listed and in service,
// and its role permits the call.
func (b *Balancer) Accepts(incarnation string, phase Phase) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	engine, listed := b.engines[incarnation]
	return listed && b.accepts(engine, phase)
}

// regionAllowed reports whether a request may be sent to the region of a zone.
func (b *Balancer) regionAllowed(zone string, requirements Requirements) bool {
	region := b.Regions.RegionOf(zone)
	if requirements.ClosedRegions[region] {
		return false
	}
	return len(requirements.AllowedRegions) == 0 || slices.Contains(requirements.AllowedRegions, region)
}

// excludeUnhealthy removes engines that are ejected or lagging, and for a request with a single attempt
// also engines on probation. If no engine would be left, it keeps all. The result is sorted by incarnation.
func (b *Balancer) excludeUnhealthy(
	now clock.Microseconds,
	requirements Requirements,
	engines []*engineState,
) []*engineState {
	healthy := make([]*engineState, 0, len(engines))
	for _, engine := range engines {
		onProbation := requirements.SingleAttempt && now < engine.probationUntil
		if !onProbation && !engine.ejected(now) && !engine.lagging(now, b.prefillRate) {
			healthy = append(healthy, engine)
		}
	}
	if len(healthy) == 0 {
		healthy = engines
	}
	slices.SortFunc(healthy, func(left, right *engineState) int {
		return cmp.Compare(left.Incarnation, right.Incarnation)
	})
	return healthy
}

// affinityGroup returns the group of an engine. Engines of one group may transfer KV caches to each other.
// Without a group that the leader has assigned, all engines of a model version form a group.
func (b *Balancer) affinityGroup(engine *engineState) string {
	if group, ok := b.affinityGroups[engine.Incarnation]; ok {
		return group
	}
	return strconv.Itoa(engine.ModelVersion)
}
