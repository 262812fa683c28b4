package catalogue

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/state/pairing"
)

const (
	strangersFade = 1000 * schedule.Millisecond
	missCost      = 0.5
	farCost       = 0.2
	defaultSlots  = 4
	shunSpan      = schedule.Second
)

type seat struct {
	Engine
	report   Report
	part     string
	own      int
	others   int
	sampled  schedule.Microseconds
	heard    schedule.Microseconds
	doubted  schedule.Microseconds
	shunned  schedule.Microseconds
	prefixes map[string]bool
}

// Table is a router's picture of one service's engines: the list and contract in
// force, what engines told, and what it saw itself.
type Table struct {
	lock     sync.Mutex
	service  string
	contract contract.Contract
	seats    map[string]*seat
	gone     []string
	line
	self string
}

// NewTable is the empty picture of a router.
func NewTable(service, router string) *Table {
	return &Table{service: service, self: router, seats: map[string]*seat{}}
}

// Update takes the list and contract in force.
func (table *Table) Update(now schedule.Microseconds, view View) {
	table.lock.Lock()
	defer table.lock.Unlock()
	table.contract = view.Contracts[table.service]
	for name, engine := range view.Engines {
		if engine.Service != table.service {
			continue
		}
		held, known := table.seats[name]
		if !known || held.Incarnation != engine.Incarnation {
			held = &seat{prefixes: map[string]bool{}}
			table.seats[name] = held
		}
		held.Engine = engine
	}
	for name, held := range table.seats {
		if _, listed := view.Engines[name]; !listed {
			delete(table.seats, name)
			continue
		}
		held.part = table.contract.Parts[name]
	}
}

// Evacuate takes the halls that get no new work.
func (table *Table) Evacuate(gone []string) {
	table.lock.Lock()
	defer table.lock.Unlock()
	table.gone = gone
}

// Hear takes an engine's report as the leader passed it on.
func (table *Table) Hear(now schedule.Microseconds, report Report) {
	table.lock.Lock()
	defer table.lock.Unlock()
	held, known := table.seats[report.Name]
	if !known || held.Incarnation != report.Incarnation {
		return
	}
	held.report, held.heard = report, now
	held.prefixes = map[string]bool{}
	for _, prefix := range report.Prefixes {
		held.prefixes[prefix] = true
	}
	held.others, held.sampled = max(report.Running-held.own, 0), now
}

// Owner is the inner address of the leader that signed the contract in force.
func (table *Table) Owner() string {
	table.lock.Lock()
	defer table.lock.Unlock()
	return table.contract.Owner
}

// Want is what a request needs of an engine.
type Want struct {
	Part     string
	Prefix   string
	Hall     string
	Versions []string
	Reader   string
	Avoid    map[string]bool
	// Match, if set, tells which engines the template lets serve the request.
	Match func(Engine, string) bool
}

// Pick is a chosen engine; its Done must be called once.
type Pick struct {
	Engine
	Version string
	Done    func(Experience)
}

// Experience is what came of a pick.
type Experience struct {
	Now     schedule.Microseconds
	Full    bool
	Mishap  bool
	Cold    bool
	Prefix  string
	Running int
}

func (held *seat) slots() int {
	if held.report.Capacity > 0 {
		return held.report.Capacity
	}
	return defaultSlots
}

func (held *seat) busy(now schedule.Microseconds) float64 {
	fade := 1 - float64(now-held.sampled)/float64(strangersFade)
	return float64(held.own) + float64(held.others)*max(fade, 0)
}

// choice is a fit engine with room, and what it would cost to take it.
type choice struct {
	*seat
	cost float64
}

// choices are the fit engines with room. It says whether any engine is fit at all,
// if none has room.
func (table *Table) choices(now schedule.Microseconds, want Want) (found []choice, fit bool) {
	for _, held := range table.seats {
		if !table.fits(now, held, want) {
			continue
		}
		fit = true
		busy := held.busy(now)
		if !table.gives(now, held, 0) {
			continue
		}
		cost := busy/float64(held.slots()) + 0.02*rand.Float64()
		if want.Part == contract.Prefill && want.Prefix != "" && !held.prefixes[want.Prefix] {
			cost += missCost
		}
		if held.Hall != want.Hall {
			cost += farCost
		}
		found = append(found, choice{held, cost})
	}
	return found, fit
}

func (table *Table) take(held *seat) *Pick {
	held.own++
	return &Pick{Engine: held.Engine, Version: held.report.Version, Done: table.done(held)}
}

// Choose picks the engine that promises the earliest start: the prefix held, then
// load and hall.
func (table *Table) Choose(now schedule.Microseconds, want Want) (*Pick, bool) {
	table.lock.Lock()
	defer table.lock.Unlock()
	found, fit := table.choices(now, want)
	if len(found) == 0 {
		return nil, fit
	}
	best := slices.MinFunc(found, func(left, right choice) int { return cmp.Compare(left.cost, right.cost) })
	return table.take(best.seat), true
}

// ChoosePair picks a prompt reader and a token maker that the contract pairs, and
// takes room at both: a prompt that is read without room to make its tokens would be
// work for nothing, and could no longer be told as not run.
func (table *Table) ChoosePair(now schedule.Microseconds, want Want) (reader, writer *Pick, fit bool) {
	table.lock.Lock()
	defer table.lock.Unlock()
	want.Part = contract.Prefill
	readers, fitReaders := table.choices(now, want)
	want.Part = contract.Decode
	writers, fitWriters := table.choices(now, want)
	var best [2]*seat
	lowest := 0.0
	for _, first := range readers {
		for _, second := range writers {
			if !table.paired(first.Name, second.Name) || first.seat == second.seat && !table.gives(now, first.seat, 1) {
				continue
			}
			cost := first.cost + second.cost
			if first.Hall != second.Hall {
				cost += farCost
			}
			if best[0] == nil || cost < lowest {
				best, lowest = [2]*seat{first.seat, second.seat}, cost
			}
		}
	}
	if best[0] == nil {
		return nil, nil, fitReaders && fitWriters
	}
	return table.take(best[0]), table.take(best[1]), true
}

func (table *Table) fits(now schedule.Microseconds, held *seat, want Want) bool {
	if held.part == "" || held.part != contract.Both && held.part != want.Part {
		return false
	}
	if held.Leaving || held.report.Draining || held.shunned > now || want.Avoid[held.Name] || slices.Contains(table.gone, held.Hall) {
		return false
	}
	if !slices.Contains(want.Versions, held.report.Version) {
		return false
	}
	if want.Match != nil && !want.Match(held.Engine, held.report.Version) {
		return false
	}
	return want.Reader == "" || table.paired(want.Reader, held.Name)
}

func (table *Table) paired(reader, writer string) bool {
	return slices.ContainsFunc(table.contract.Pairs, func(pair contract.Pair) bool {
		return pair.Prefill == reader && pair.Decode == writer
	})
}

// Shun gives an engine no new work from here for a second.
func (table *Table) Shun(name string, now schedule.Microseconds) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if held, known := table.seats[name]; known {
		held.shunned = now + shunSpan
	}
}

func (table *Table) done(held *seat) func(Experience) {
	return func(experience Experience) {
		table.lock.Lock()
		defer table.lock.Unlock()
		held.own--
		if experience.Prefix != "" {
			held.prefixes[experience.Prefix] = true
		}
		if experience.Running > 0 {
			// It answers, so it was slow and not silent.
			held.shunned = 0
			held.others, held.sampled = max(experience.Running-held.own, 0), experience.Now
		}
		if experience.Full {
			held.others, held.sampled = max(held.slots()-held.own, held.others), experience.Now
		}
		if experience.Mishap || experience.Cold {
			held.doubted = experience.Now
		}
		if experience.Mishap {
			held.shunned = experience.Now + shunSpan
		}
	}
}
