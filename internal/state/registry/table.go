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
func (t *Table) Update(now schedule.Microseconds, view View) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.contract = view.Contracts[t.service]
	for name, engine := range view.Engines {
		if engine.Service != t.service {
			continue
		}
		held, known := t.seats[name]
		if !known || held.Incarnation != engine.Incarnation {
			held = &seat{prefixes: map[string]bool{}}
			t.seats[name] = held
		}
		held.Engine = engine
	}
	for name, held := range t.seats {
		if _, listed := view.Engines[name]; !listed {
			delete(t.seats, name)
			continue
		}
		held.part = t.contract.Parts[name]
	}
}

// Evacuate takes the halls that get no new work.
func (t *Table) Evacuate(gone []string) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.gone = gone
}

// Hear takes an engine's report as the leader passed it on.
func (t *Table) Hear(now schedule.Microseconds, report Report) {
	t.lock.Lock()
	defer t.lock.Unlock()
	held, known := t.seats[report.Name]
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
func (t *Table) Owner() string {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.contract.Owner
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

func (t *seat) slots() int {
	if t.report.Capacity > 0 {
		return t.report.Capacity
	}
	return defaultSlots
}

func (t *seat) busy(now schedule.Microseconds) float64 {
	fade := 1 - float64(now-t.sampled)/float64(strangersFade)
	return float64(t.own) + float64(t.others)*max(fade, 0)
}

// choice is a fit engine with room, and what it would cost to take it.
type choice struct {
	*seat
	cost float64
}

// choices are the fit engines with room. It says whether any engine is fit at all,
// if none has room.
func (t *Table) choices(now schedule.Microseconds, want Want) (found []choice, fit bool) {
	for _, held := range t.seats {
		if !t.fits(now, held, want) {
			continue
		}
		fit = true
		busy := held.busy(now)
		if !t.gives(now, held, 0) {
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

func (t *Table) take(held *seat) *Pick {
	held.own++
	return &Pick{Engine: held.Engine, Version: held.report.Version, Done: t.done(held)}
}

// Choose picks the engine that promises the earliest start: the prefix held, then
// load and hall.
func (t *Table) Choose(now schedule.Microseconds, want Want) (*Pick, bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	found, fit := t.choices(now, want)
	if len(found) == 0 {
		return nil, fit
	}
	best := slices.MinFunc(found, func(left, right choice) int { return cmp.Compare(left.cost, right.cost) })
	return t.take(best.seat), true
}

// ChoosePair picks a prompt reader and a token maker that the contract pairs, and
// takes room at both: a prompt that is read without room to make its tokens would be
// work for nothing, and could no longer be told as not run.
func (t *Table) ChoosePair(now schedule.Microseconds, want Want) (reader, writer *Pick, fit bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	want.Part = contract.Prefill
	readers, fitReaders := t.choices(now, want)
	want.Part = contract.Decode
	writers, fitWriters := t.choices(now, want)
	var best [2]*seat
	lowest := 0.0
	for _, first := range readers {
		for _, second := range writers {
			if !t.paired(first.Name, second.Name) || first.seat == second.seat && !t.gives(now, first.seat, 1) {
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
	return t.take(best[0]), t.take(best[1]), true
}

func (t *Table) fits(now schedule.Microseconds, held *seat, want Want) bool {
	if held.part == "" || held.part != contract.Both && held.part != want.Part {
		return false
	}
	if held.Leaving || held.report.Draining || held.shunned > now || want.Avoid[held.Name] || slices.Contains(t.gone, held.Hall) {
		return false
	}
	if !slices.Contains(want.Versions, held.report.Version) {
		return false
	}
	if want.Match != nil && !want.Match(held.Engine, held.report.Version) {
		return false
	}
	return want.Reader == "" || t.paired(want.Reader, held.Name)
}

func (t *Table) paired(reader, writer string) bool {
	return slices.ContainsFunc(t.contract.Pairs, func(pair contract.Pair) bool {
		return pair.Prefill == reader && pair.Decode == writer
	})
}

// Shun gives an engine no new work from here for a second.
func (t *Table) Shun(name string, now schedule.Microseconds) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if held, known := t.seats[name]; known {
		held.shunned = now + shunSpan
	}
}

func (t *Table) done(held *seat) func(Experience) {
	return func(experience Experience) {
		t.lock.Lock()
		defer t.lock.Unlock()
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
