package registry

import (
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/state/pairing"
)

// ejectionDuration is how long an ejected engine gets no new work.
const ejectionDuration = clock.Second

// tableEntry is what a router knows of one incarnation of an engine. The table's lock guards it.
type tableEntry struct {
	Engine
	report Report
	// role is the role in the assignment in force, empty if it has none.
	role string
	// ownRuns are this router's runs at the engine, otherRuns those of the other routers as
	// sampled at sampledAt.
	ownRuns   int
	otherRuns int
	sampledAt clock.Microseconds
	// reportedAt is when the report arrived, suspectedAt when a run failed or the engine said
	// that it is warming up.
	reportedAt   clock.Microseconds
	suspectedAt  clock.Microseconds
	ejectedUntil clock.Microseconds
	// prefixes are the prompt prefixes in the engine's cache.
	prefixes map[string]bool
}

// Table is a router's knowledge of the engines of one service: the list and the assignment in
// force, the engines' reports, and the router's own observations.
type Table struct {
	lock           sync.Mutex
	service        string
	assignment     pairing.Assignment
	entries        map[string]*tableEntry
	evacuatedZones []string
	waitEstimator
	routerName string
}

// NewTable returns the empty table of a router for a service.
func NewTable(service, router string) *Table {
	return &Table{service: service, routerName: router, entries: map[string]*tableEntry{}}
}

// Update applies a new view of the list and the assignments. A new incarnation of an engine
// starts without reports and observations.
func (t *Table) Update(view View) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.assignment = view.Assignments[t.service]
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
		entry.role = t.assignment.Roles[name]
	}
}

// SetEvacuatedZones sets the zones whose engines get no new work.
func (t *Table) SetEvacuatedZones(zones []string) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.evacuatedZones = zones
}

// ApplyReport applies an engine's report that the leader forwarded. A report of another
// incarnation is ignored.
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
	entry.sampleRunning(now, report.Running)
}

// sampleRunning takes the number of runs that the engine counts itself; what isn't this
// router's own is the others'.
func (e *tableEntry) sampleRunning(now clock.Microseconds, running int) {
	e.otherRuns, e.sampledAt = max(running-e.ownRuns, 0), now
}

// Owner returns the internal address of the leader that made the assignment in force.
func (t *Table) Owner() string {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.assignment.Owner
}

// Eject keeps new work of this router away from an engine for a second.
func (t *Table) Eject(name string, now clock.Microseconds) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if entry, known := t.entries[name]; known {
		entry.ejectedUntil = now + ejectionDuration
	}
}
