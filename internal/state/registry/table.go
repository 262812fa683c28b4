package registry

import (
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/state/pairing"
)

// ejectionDuration is the time during which an ejected engine gets no new work.
const ejectionDuration = clock.Second

// tableEntry holds the data of a router about one incarnation of an engine. The lock of the Table
// guards it.
type tableEntry struct {
	Engine
	report Report
	// role is the engine's role in the current assignment, or empty if the engine isn't assigned.
	role string
	// ownRuns is the number of this router's runs at the engine. otherRuns is the number of runs of
	// the other routers, estimated at sampledAt.
	ownRuns   int
	otherRuns int
	sampledAt clock.Microseconds
	// reportedAt is the time when the last report arrived. suspectedAt is the time when a run last
	// failed or the engine last answered that it is warming up.
	reportedAt   clock.Microseconds
	suspectedAt  clock.Microseconds
	ejectedUntil clock.Microseconds
	// prefixes are the prompt prefixes in the engine's cache.
	prefixes map[string]bool
}

// Table holds the data from which a router selects engines of one service: the current engine
// list and assignment, the status reports of the engines, and the router's own observations.
type Table struct {
	lock           sync.Mutex
	service        string
	assignment     pairing.Assignment
	entries        map[string]*tableEntry
	evacuatedZones []string
	waitEstimator
	routerName string
}

// NewTable returns an empty table for a router and a service.
func NewTable(service, router string) *Table {
	return &Table{service: service, routerName: router, entries: map[string]*tableEntry{}}
}

// Update applies a new view of the engine list and the assignments. The entry of a new
// incarnation starts without a report and observations.
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

// SetEvacuatedZones replaces the list of zones whose engines get no new work.
func (t *Table) SetEvacuatedZones(zones []string) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.evacuatedZones = zones
}

// ApplyReport applies a report of an engine that the leader forwarded. It ignores reports of
// unknown engines and of other incarnations.
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
	entry.estimateOtherRuns(now, report.Running)
}

// estimateOtherRuns derives the number of other routers' runs from the total number of runs that
// the engine reports.
func (e *tableEntry) estimateOtherRuns(now clock.Microseconds, running int) {
	e.otherRuns, e.sampledAt = max(running-e.ownRuns, 0), now
}

// Owner returns the internal address of the leader that made the current assignment.
func (t *Table) Owner() string {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.assignment.Owner
}

// Eject stops this router from sending new work to an engine for ejectionDuration.
func (t *Table) Eject(name string, now clock.Microseconds) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if entry, known := t.entries[name]; known {
		entry.ejectedUntil = now + ejectionDuration
	}
}
