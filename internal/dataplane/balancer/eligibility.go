package balancer

import (
	"cmp"
	"slices"
	"strconv"

	"coursepass/internal/clock"
	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
)

// Requirements is what a request needs of its engines.
type Requirements struct {
	// Prompt is the prompt's chunks; all but the last may be shared with other requests.
	Prompt []platformport.PromptChunk
	// Urgency is that of the request at engines, 0 for the most urgent.
	Urgency int
	// Router and Zone are those of the router that has the request, empty for those of the balancer.
	Router string
	Zone   string
	// EventTimeout is the longest pause between two events that the route aims at, 0 if it has no such
	// target.
	EventTimeout clock.Microseconds
	// BodyBytes is the size of the request in bytes.
	BodyBytes int
	// NoSplit forbids prefilling and decoding at two engines.
	NoSplit bool
	// SingleAttempt says that the request gets no further prefill engine if the first one rejects it.
	SingleAttempt bool
	// NonRetryable says that the request is lost if its engine fails.
	NonRetryable bool
	// Key tells requests apart, so that routers that know nothing of an engine's load don't all
	// choose the same one.
	Key string
	// ExcludedEngines holds the incarnations that may not get the request.
	ExcludedEngines map[string]bool
	// ClosedRegions holds the regions that may not get the request.
	ClosedRegions map[string]bool
	// AllowedRegions are the only regions that may get the request, none if all may.
	AllowedRegions []string
}

// eligible returns the engines that a request may be sent to, by what they can do for it. The
// caller holds the lock.
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
	prefillers = b.withoutSuspects(now, requirements, prefillers)
	decoders = b.withoutSuspects(now, requirements, decoders)
	b.setFailurePenalties(now, prefillers)
	b.setFailurePenalties(now, decoders)
	return prefillers, decoders
}

// mayUse reports whether a request may be sent to an engine, whether that is healthy or not.
func (b *Balancer) mayUse(now clock.Microseconds, engine *engineState, requirements Requirements) bool {
	switch {
	case engine.Draining,
		b.switchingRole[engine.Incarnation],
		b.evacuatedZones[engine.Zone],
		requirements.ExcludedEngines[engine.Incarnation],
		!b.regionAllowed(engine.Zone, requirements):
		return false
	}
	return b.withinWarmupRate(now, engine)
}

// regionAllowed reports whether a request may be sent to the region of a zone.
func (b *Balancer) regionAllowed(zone string, requirements Requirements) bool {
	region := b.Regions.RegionOf(zone)
	if requirements.ClosedRegions[region] {
		return false
	}
	return len(requirements.AllowedRegions) == 0 || slices.Contains(requirements.AllowedRegions, region)
}

// withoutSuspects leaves out engines that are ejected or lagging, and for a request that has a single attempt
// also those on probation, unless all are. It returns the rest by incarnation.
func (b *Balancer) withoutSuspects(
	now clock.Microseconds,
	requirements Requirements,
	engines []*engineState,
) []*engineState {
	trusted := make([]*engineState, 0, len(engines))
	for _, engine := range engines {
		onProbation := requirements.SingleAttempt && now < engine.probationUntil
		if !onProbation && !engine.ejected(now) && !engine.lagging(now, b.prefillRate) {
			trusted = append(trusted, engine)
		}
	}
	if len(trusted) == 0 {
		trusted = engines
	}
	slices.SortFunc(trusted, func(left, right *engineState) int {
		return cmp.Compare(left.Incarnation, right.Incarnation)
	})
	return trusted
}

// affinityGroup returns the group of engines that may transfer KV caches to each other: the one that
// the leader has assigned, or else all engines with the same model version.
func (b *Balancer) affinityGroup(engine *engineState) string {
	if group, ok := b.affinityGroups[engine.Incarnation]; ok {
		return group
	}
	return strconv.Itoa(engine.ModelVersion)
}
