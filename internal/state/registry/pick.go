package registry

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/state/pairing"
)

// The terms of an engine's cost besides its load, which is 1 at full capacity.
const (
	// prefixMissCost is the cost of a prefill without the prefix in the cache.
	prefixMissCost = 0.5
	// crossZoneCost is the cost of another zone than the request's, or between two engines of a pair.
	crossZoneCost = 0.2
	// tieBreakCost is the range of a random cost that spreads requests over equal engines.
	tieBreakCost = 0.02
)

// Requirements are what a request needs of an engine.
type Requirements struct {
	Role     string
	Prefix   string
	Zone     string
	Versions []string
	// PrefillEngine, if set, restricts the engines to those that are paired with it.
	PrefillEngine   string
	ExcludedEngines map[string]bool
	// Match, if set, is the template's rule on the engine and its model version.
	Match func(Engine, string) bool
}

// PickResult is a selected engine with a reserved run. Done must be called exactly once.
type PickResult struct {
	Engine
	Version string
	Done    func(DoneInfo)
}

// DoneInfo is what a router observed of a run.
type DoneInfo struct {
	ObservedAt clock.Microseconds
	// Saturated means that the engine refused the run for want of capacity.
	Saturated bool
	// Failed means that the run failed without an answer of the engine.
	Failed bool
	// WarmingUp means that the engine said that it is warming up.
	WarmingUp bool
	// Prefix, if set, is now in the engine's cache.
	Prefix string
	// Running is the number of runs that the engine counted in its answer, 0 if unknown.
	Running int
}

// candidate is an eligible engine with free capacity, and the cost of selecting it.
type candidate struct {
	*tableEntry
	cost float64
}

func compareCost(left, right candidate) int { return cmp.Compare(left.cost, right.cost) }

// Pick selects the engine with the least cost by cached prefix, load and zone, and reserves a
// run there. Without a result, eligible reports whether an engine would fit but for capacity.
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

// PickPair selects a prefill and a decode engine that the assignment pairs, and reserves a run
// at both: a prefill without capacity to decode would be wasted, and its request could no
// longer be reported as not run.
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

// cheapestPair returns the paired engines with the least sum of costs, or nil.
func (t *Table) cheapestPair(
	now clock.Microseconds, prefillCandidates, decodeCandidates []candidate,
) (prefill, decode *tableEntry) {
	lowest := 0.0
	for _, first := range prefillCandidates {
		for _, second := range decodeCandidates {
			if !t.arePaired(first.Name, second.Name) {
				continue
			}
			if first.tableEntry == second.tableEntry && !t.admits(now, first.tableEntry, 1) {
				continue
			}
			cost := first.cost + second.cost
			if first.Zone != second.Zone {
				cost += crossZoneCost
			}
			if prefill == nil || cost < lowest {
				prefill, decode, lowest = first.tableEntry, second.tableEntry, cost
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

// cost is the cost of selecting the engine for a request.
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

// isEligible reports whether an engine may get the request, if it has capacity.
func (t *Table) isEligible(now clock.Microseconds, entry *tableEntry, requirements Requirements) bool {
	if entry.role == "" || entry.role != pairing.RoleBoth && entry.role != requirements.Role {
		return false
	}
	if entry.Draining || entry.report.Draining || entry.ejectedUntil > now {
		return false
	}
	if requirements.ExcludedEngines[entry.Name] || slices.Contains(t.evacuatedZones, entry.Zone) {
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

// arePaired reports whether a prefill engine may hand its requests over to a decode engine.
func (t *Table) arePaired(prefillEngine, decodeEngine string) bool {
	return slices.ContainsFunc(t.assignment.Pairs, func(pair pairing.Pair) bool {
		return pair.Prefill == prefillEngine && pair.Decode == decodeEngine
	})
}

func (t *Table) reserve(entry *tableEntry) *PickResult {
	entry.ownRuns++
	return &PickResult{Engine: entry.Engine, Version: entry.report.Version, Done: t.doneFunc(entry)}
}

// doneFunc returns the function that ends a reserved run and records what was observed of it.
func (t *Table) doneFunc(entry *tableEntry) func(DoneInfo) {
	return func(info DoneInfo) {
		t.lock.Lock()
		defer t.lock.Unlock()
		entry.ownRuns--
		if info.Prefix != "" {
			entry.prefixes[info.Prefix] = true
		}
		if info.Running > 0 {
			// An engine that answers was slow, not stalled: the ejection ends.
			entry.ejectedUntil = 0
			entry.sampleRunning(info.ObservedAt, info.Running)
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
