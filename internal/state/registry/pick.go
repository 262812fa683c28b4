package registry

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/state/pairing"
)

// Costs that are added to the relative load of an engine, which is 1 at full capacity.
const (
	// prefixMissCost is the cost of a prefill at an engine without the prefix in its cache.
	prefixMissCost = 0.5
	// crossZoneCost is the cost of an engine outside the zone of the request, and of a pair of
	// engines in different zones.
	crossZoneCost = 0.2
	// tieBreakCost is the upper bound of a random cost that spreads requests over equal engines.
	tieBreakCost = 0.02
)

// Requirements are the conditions and preferences of a request for the selection of an engine.
type Requirements struct {
	Role     string
	Prefix   string
	Zone     string
	Versions []string
	// PrefillEngine, if set, restricts the selection to decode engines that are paired with it.
	PrefillEngine   string
	ExcludedEngines map[string]bool
	// Match, if set, is the template's condition on the engine and its model version.
	Match func(Engine, string) bool
}

// PickResult is a selected engine with a reserved run. The caller must call Done exactly once,
// when the run has ended.
type PickResult struct {
	Engine
	Version string
	Done    func(DoneInfo)
}

// DoneInfo is the outcome of a run as the router observed it.
type DoneInfo struct {
	ObservedAt clock.Microseconds
	// Saturated means that the engine refused the run for lack of capacity.
	Saturated bool
	// Failed means that the run failed without an answer from the engine.
	Failed bool
	// WarmingUp means that the engine answered that it is warming up.
	WarmingUp bool
	// Prefix, if set, is the prompt prefix that is now in the engine's cache.
	Prefix string
	// Running is the number of concurrent runs in the engine's answer, or 0 if unknown.
	Running int
}

// candidate is an eligible engine with free capacity and the cost of selecting it.
type candidate struct {
	*tableEntry
	cost float64
}

func compareCost(left, right candidate) int { return cmp.Compare(left.cost, right.cost) }

// Pick selects the engine with the lowest cost by load, cached prefix and zone, and reserves a
// run there. If the result is nil, eligible reports whether an engine meets the requirements and
// only lacks capacity.
func (t *Table) Pick(now clock.Microseconds, requirements Requirements) (result *PickResult, eligible bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	candidates, eligible := t.candidates(now, requirements)
	if len(candidates) == 0 {
		return nil, eligible
	}
	cheapest := slices.MinFunc(candidates, compareCost)
	return t.reserve(cheapest.tableEntry), true
}

// PickPair selects a prefill engine and a decode engine that are paired in the assignment, and
// reserves a run at both. It reserves them together because a prefill without decode capacity
// would be wasted, and its request could no longer be reported as not run. If the results are
// nil, eligible reports whether both roles have an engine that meets the requirements.
func (t *Table) PickPair(
	now clock.Microseconds, requirements Requirements,
) (prefillEngine, decodeEngine *PickResult, eligible bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	requirements.Role = pairing.RolePrefill
	prefillCandidates, prefillEligible := t.candidates(now, requirements)
	requirements.Role = pairing.RoleDecode
	decodeCandidates, decodeEligible := t.candidates(now, requirements)
	prefill, decode := t.cheapestPair(now, prefillCandidates, decodeCandidates)
	if prefill == nil {
		return nil, nil, prefillEligible && decodeEligible
	}
	return t.reserve(prefill), t.reserve(decode), true
}

// cheapestPair returns the pair of engines with the lowest sum of costs, or nil if there is none.
func (t *Table) cheapestPair(
	now clock.Microseconds, prefillCandidates, decodeCandidates []candidate,
) (prefill, decode *tableEntry) {
	lowest := 0.0
	for _, prefillCandidate := range prefillCandidates {
		for _, decodeCandidate := range decodeCandidates {
			if !t.arePaired(prefillCandidate.Name, decodeCandidate.Name) {
				continue
			}
			if prefillCandidate.tableEntry == decodeCandidate.tableEntry && !t.admits(now, prefillCandidate.tableEntry, 1) {
				continue
			}
			cost := prefillCandidate.cost + decodeCandidate.cost
			if prefillCandidate.Zone != decodeCandidate.Zone {
				cost += crossZoneCost
			}
			if prefill == nil || cost < lowest {
				prefill, decode, lowest = prefillCandidate.tableEntry, decodeCandidate.tableEntry, cost
			}
		}
	}
	return prefill, decode
}

// candidates returns the eligible engines with free capacity, and whether any engine is
// eligible at all.
func (t *Table) candidates(now clock.Microseconds, requirements Requirements) (candidates []candidate, eligible bool) {
	for _, entry := range t.entries {
		if !t.isEligible(now, entry, requirements) {
			continue
		}
		eligible = true
		if t.admits(now, entry, 0) {
			candidates = append(candidates, candidate{entry, entry.cost(now, requirements)})
		}
	}
	return candidates, eligible
}

// cost returns the cost of selecting the engine for a request.
func (e *tableEntry) cost(now clock.Microseconds, requirements Requirements) float64 {
	cost := e.load(now)/float64(e.maxRuns()) + tieBreakCost*rand.Float64()
	needsPrefix := requirements.Role == pairing.RolePrefill && requirements.Prefix != ""
	if needsPrefix && !e.prefixes[requirements.Prefix] {
		cost += prefixMissCost
	}
	if e.Zone != requirements.Zone {
		cost += crossZoneCost
	}
	return cost
}

// isEligible reports whether an engine meets the requirements, whether or not it has capacity.
func (t *Table) isEligible(now clock.Microseconds, entry *tableEntry, requirements Requirements) bool {
	if !t.inService(entry, requirements.Role) || entry.ejectedUntil > now || requirements.ExcludedEngines[entry.Name] {
		return false
	}
	if !slices.Contains(requirements.Versions, entry.report.Version) {
		return false
	}
	if requirements.Match != nil && !requirements.Match(entry.Engine, entry.report.Version) {
		return false
	}
	return requirements.PrefillEngine == "" || t.arePaired(requirements.PrefillEngine, entry.Name)
}

// inService reports whether an engine gets new work in a role: the role permits it, the engine is not draining, and
// its zone is not evacuated.
func (t *Table) inService(entry *tableEntry, role string) bool {
	if entry.role == "" || entry.role != pairing.RoleBoth && entry.role != role {
		return false
	}
	return !entry.Draining && !entry.report.Draining && !slices.Contains(t.evacuatedZones, entry.Zone)
}

// InService reports whether the incarnation of an engine that was selected before still gets new work in a role.
func (t *Table) InService(selected Engine, role string) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	entry, listed := t.entries[selected.Name]
	return listed && entry.Incarnation == selected.Incarnation && t.inService(entry, role)
}

// arePaired reports whether a prefill engine may transfer its requests to a decode engine.
func (t *Table) arePaired(prefillEngine, decodeEngine string) bool {
	return slices.ContainsFunc(t.assignment.Pairs, func(pair pairing.Pair) bool {
		return pair.Prefill == prefillEngine && pair.Decode == decodeEngine
	})
}

func (t *Table) reserve(entry *tableEntry) *PickResult {
	entry.ownRuns++
	return &PickResult{Engine: entry.Engine, Version: entry.report.Version, Done: t.doneFunc(entry)}
}

// doneFunc returns the function that releases a reserved run and records its outcome.
func (t *Table) doneFunc(entry *tableEntry) func(DoneInfo) {
	return func(info DoneInfo) {
		t.lock.Lock()
		defer t.lock.Unlock()
		entry.ownRuns--
		if info.Prefix != "" {
			entry.prefixes[info.Prefix] = true
		}
		if info.Running > 0 {
			// The answer shows that the engine was slow rather than stalled, so its ejection ends.
			entry.ejectedUntil = 0
			entry.estimateOtherRuns(info.ObservedAt, info.Running)
		}
		if info.Saturated {
			entry.otherRuns = max(entry.maxRuns()-entry.ownRuns, entry.otherRuns)
			entry.sampledAt = info.ObservedAt
		}
		if info.Failed || info.WarmingUp {
			entry.suspectedAt = info.ObservedAt
		}
		if info.Failed {
			entry.ejectedUntil = info.ObservedAt + ejectionDuration
		}
	}
}
