package registry

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/state/pairing"
)

const (
	loadSampleExpiry = 1000 * clock.Millisecond
	prefixMissCost   = 0.5
	crossZoneCost    = 0.2
	defaultMaxRuns   = 4
	ejectionDuration = clock.Second
)

type tableEntry struct {
	Engine
	report       Report
	role         string
	ownRuns      int
	otherRuns    int
	sampledAt    clock.Microseconds
	reportedAt   clock.Microseconds
	suspectedAt  clock.Microseconds
	ejectedUntil clock.Microseconds
	prefixes     map[string]bool
}

// Table is a router's picture of one service's engines: the list and contract in
// force, what engines told, and what it saw itself.
type Table struct {
	lock           sync.Mutex
	service        string
	assignment     pairing.Assignment
	entries        map[string]*tableEntry
	evacuatedZones []string
	waitEstimator
	routerName string
}

// NewTable is the empty picture of a router.
func NewTable(service, router string) *Table {
	return &Table{service: service, routerName: router, entries: map[string]*tableEntry{}}
}

// Update takes the list and contract in force.
func (t *Table) Update(now clock.Microseconds, view View) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.assignment = view.Contracts[t.service]
	for name, engine := range view.Engines {
		if engine.Service != t.service {
			continue
		}
		entry, known := t.entries[name]
		if !known || entry.Incarnation != engine.Incarnation {
			entry = &tableEntry{prefixes: map[string]bool{}}
			t.entries[name] = entry
		}
		entry.Engine = engine
	}
	for name, entry := range t.entries {
		if _, listed := view.Engines[name]; !listed {
			delete(t.entries, name)
			continue
		}
		entry.role = t.assignment.Parts[name]
	}
}

// SetEvacuatedZones takes the halls that get no new work.
func (t *Table) SetEvacuatedZones(zones []string) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.evacuatedZones = zones
}

// ApplyReport takes an engine's report as the leader passed it on.
func (t *Table) ApplyReport(now clock.Microseconds, report Report) {
	t.lock.Lock()
	defer t.lock.Unlock()
	entry, known := t.entries[report.Name]
	if !known || entry.Incarnation != report.Incarnation {
		return
	}
	entry.report, entry.reportedAt = report, now
	entry.prefixes = map[string]bool{}
	for _, prefix := range report.Prefixes {
		entry.prefixes[prefix] = true
	}
	entry.otherRuns, entry.sampledAt = max(report.Running-entry.ownRuns, 0), now
}

// Owner is the inner address of the leader that signed the contract in force.
func (t *Table) Owner() string {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.assignment.Owner
}

// Requirements is what a request needs of an engine.
type Requirements struct {
	Role            string
	Prefix          string
	Zone            string
	Versions        []string
	PrefillEngine   string
	ExcludedEngines map[string]bool
	// Match, if set, tells which engines the template lets serve the request.
	Match func(Engine, string) bool
}

// PickResult is a chosen engine; its Done must be called once.
type PickResult struct {
	Engine
	Version string
	Done    func(DoneInfo)
}

// DoneInfo is what came of a pick.
type DoneInfo struct {
	ObservedAt clock.Microseconds
	Saturated  bool
	Failed     bool
	WarmingUp  bool
	Prefix     string
	Running    int
}

func (t *tableEntry) maxRuns() int {
	if t.report.Capacity > 0 {
		return t.report.Capacity
	}
	return defaultMaxRuns
}

func (t *tableEntry) load(now clock.Microseconds) float64 {
	weight := 1 - float64(now-t.sampledAt)/float64(loadSampleExpiry)
	return float64(t.ownRuns) + float64(t.otherRuns)*max(weight, 0)
}

// candidate is a fit engine with room, and what it would cost to take it.
type candidate struct {
	*tableEntry
	cost float64
}

// candidates are the fit engines with room. It says whether any engine is fit at all,
// if none has room.
func (t *Table) candidates(now clock.Microseconds, requirements Requirements) (candidates []candidate, eligible bool) {
	for _, entry := range t.entries {
		if !t.isEligible(now, entry, requirements) {
			continue
		}
		eligible = true
		load := entry.load(now)
		if !t.admits(now, entry, 0) {
			continue
		}
		cost := load/float64(entry.maxRuns()) + 0.02*rand.Float64()
		if requirements.Role == pairing.RolePrefill && requirements.Prefix != "" && !entry.prefixes[requirements.Prefix] {
			cost += prefixMissCost
		}
		if entry.Hall != requirements.Zone {
			cost += crossZoneCost
		}
		candidates = append(candidates, candidate{entry, cost})
	}
	return candidates, eligible
}

func (t *Table) reserve(entry *tableEntry) *PickResult {
	entry.ownRuns++
	return &PickResult{Engine: entry.Engine, Version: entry.report.Version, Done: t.doneFunc(entry)}
}

// Pick picks the engine that promises the earliest start: the prefix held, then
// load and hall.
func (t *Table) Pick(now clock.Microseconds, requirements Requirements) (*PickResult, bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	candidates, eligible := t.candidates(now, requirements)
	if len(candidates) == 0 {
		return nil, eligible
	}
	cheapest := slices.MinFunc(candidates, func(left, right candidate) int { return cmp.Compare(left.cost, right.cost) })
	return t.reserve(cheapest.tableEntry), true
}

// PickPair picks a prompt reader and a token maker that the contract pairs, and
// takes room at both: a prompt that is read without room to make its tokens would be
// work for nothing, and could no longer be told as not run.
func (t *Table) PickPair(now clock.Microseconds, requirements Requirements) (prefillEngine, decodeEngine *PickResult, eligible bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	requirements.Role = pairing.RolePrefill
	prefillCandidates, prefillEligible := t.candidates(now, requirements)
	requirements.Role = pairing.RoleDecode
	decodeCandidates, decodeEligible := t.candidates(now, requirements)
	var best [2]*tableEntry
	lowest := 0.0
	for _, first := range prefillCandidates {
		for _, second := range decodeCandidates {
			if !t.arePaired(first.Name, second.Name) || first.tableEntry == second.tableEntry && !t.admits(now, first.tableEntry, 1) {
				continue
			}
			cost := first.cost + second.cost
			if first.Hall != second.Hall {
				cost += crossZoneCost
			}
			if best[0] == nil || cost < lowest {
				best, lowest = [2]*tableEntry{first.tableEntry, second.tableEntry}, cost
			}
		}
	}
	if best[0] == nil {
		return nil, nil, prefillEligible && decodeEligible
	}
	return t.reserve(best[0]), t.reserve(best[1]), true
}

func (t *Table) isEligible(now clock.Microseconds, entry *tableEntry, requirements Requirements) bool {
	if entry.role == "" || entry.role != pairing.RoleBoth && entry.role != requirements.Role {
		return false
	}
	if entry.Leaving || entry.report.Draining || entry.ejectedUntil > now || requirements.ExcludedEngines[entry.Name] || slices.Contains(t.evacuatedZones, entry.Hall) {
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

func (t *Table) arePaired(prefillEngine, decodeEngine string) bool {
	return slices.ContainsFunc(t.assignment.Pairs, func(pair pairing.Pair) bool {
		return pair.Prefill == prefillEngine && pair.Decode == decodeEngine
	})
}

// Eject gives an engine no new work from here for a second.
func (t *Table) Eject(name string, now clock.Microseconds) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if entry, known := t.entries[name]; known {
		entry.ejectedUntil = now + ejectionDuration
	}
}

func (t *Table) doneFunc(entry *tableEntry) func(DoneInfo) {
	return func(info DoneInfo) {
		t.lock.Lock()
		defer t.lock.Unlock()
		entry.ownRuns--
		if info.Prefix != "" {
			entry.prefixes[info.Prefix] = true
		}
		if info.Running > 0 {
			// It answers, so it was slow and not silent.
			entry.ejectedUntil = 0
			entry.otherRuns, entry.sampledAt = max(info.Running-entry.ownRuns, 0), info.ObservedAt
		}
		if info.Saturated {
			entry.otherRuns, entry.sampledAt = max(entry.maxRuns()-entry.ownRuns, entry.otherRuns), info.ObservedAt
		}
		if info.Failed || info.WarmingUp {
			entry.suspectedAt = info.ObservedAt
		}
		if info.Failed {
			entry.ejectedUntil = info.ObservedAt + ejectionDuration
		}
	}
}
