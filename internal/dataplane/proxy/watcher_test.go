package carrier_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/platformport"
)

// kind is one kind of request of the users': Merrimack's flags and notes, the Asociación's
// waivers and replies, and a flag that is followed for long.
type kind struct {
	name   string
	once   bool
	start  time.Duration
	within time.Duration
	events int
	step   time.Duration
	every  time.Duration
	prompt int
	// tail is the request's own tokens, behind so many shared parts of a thousand.
	tail  int
	homes []string
}

var kinds = []kind{
	{name: "flag", start: 400 * time.Millisecond, within: 3 * time.Second, events: 40, step: 15 * time.Millisecond, every: 100 * time.Millisecond, prompt: 4, tail: 1200},
	{name: "waiver", start: 400 * time.Millisecond, within: 3 * time.Second, events: 30, step: 15 * time.Millisecond, every: 100 * time.Millisecond, prompt: 3, tail: 1200},
	{name: "note", once: true, start: 500 * time.Millisecond, within: 8 * time.Second, events: 20, step: 20 * time.Millisecond, every: 70 * time.Millisecond, tail: 200},
	{name: "reply", once: true, start: 500 * time.Millisecond, within: 8 * time.Second, events: 15, step: 20 * time.Millisecond, every: 70 * time.Millisecond, tail: 200, homes: []string{"north", "centre"}},
	{name: "vigil", start: 400 * time.Millisecond, within: 40 * time.Second, events: 700, step: 30 * time.Millisecond, every: 350 * time.Millisecond, prompt: 2, tail: 800},
}

func kindOf(target string) kind {
	name := strings.SplitN(target, "/", 4)[1]
	return kinds[slices.IndexFunc(kinds, func(each kind) bool { return each.name == name })]
}

// shape is a request's key, and how many events its answer has how far apart.
func shape(target string) (string, int, time.Duration) {
	found := kindOf(target)
	return strings.SplitN(target, "/", 4)[2], found.events, found.step
}

// watcher sees what comes and goes at callers and engines, outside the code under test.
type watcher struct {
	watching   sync.Mutex
	violations map[string][]string
	counts     map[string]int
	runs       map[string]int
	// closedAt is from when on the drained region may get nothing new; zero if never.
	closedAt time.Time
	drained  string
	slowest  map[string]time.Duration
	pause    map[string]time.Duration
	// warm is from when on aims count: until then no engine holds any shared part.
	warm time.Time
	// anywhere says that no kind has homes.
	anywhere bool
}

func (f *watcher) homes(target string) []string {
	if f.anywhere {
		return nil
	}
	return kindOf(target).homes
}

func newWatcher() *watcher {
	return &watcher{violations: map[string][]string{}, counts: map[string]int{}, runs: map[string]int{}, slowest: map[string]time.Duration{}, pause: map[string]time.Duration{}}
}

func (f *watcher) violate(what, format string, values ...any) {
	f.violations[what] = append(f.violations[what], fmt.Sprintf(format, values...))
}

// arrived sees a call come to an engine.
func (f *watcher) arrived(engine *modelEngine, try port.Try) {
	f.watching.Lock()
	defer f.watching.Unlock()
	region := modelRegions.Of(engine.Hall)
	f.counts["arrived "+region]++
	if region == f.drained && !f.closedAt.IsZero() && time.Now().After(f.closedAt) {
		f.violate("late work", "%s came to %s %v after its region was shut", try.Target, engine.Life, time.Since(f.closedAt))
	}
	if homes := f.homes(try.Target); len(homes) > 0 && !slices.Contains(homes, region) {
		f.violate("home", "%s came to %s", try.Target, engine.Life)
	}
}

// handed sees prompt memory taken over.
func (f *watcher) handed(try port.Try, memory ticketed, writer *modelEngine) {
	f.watching.Lock()
	defer f.watching.Unlock()
	from, to := modelRegions.Of(memory.hall), modelRegions.Of(writer.Hall)
	f.counts["handed over"]++
	if from != to {
		f.counts["handed over between regions"]++
	}
	if memory.identity != try.Identity {
		f.violate("memory", "%s took the memory of %s", try.Identity, memory.identity)
	}
	if homes := f.homes(try.Target); len(homes) > 0 && !slices.Contains(homes, to) {
		f.violate("home", "memory of %s went to %s", try.Target, to)
	}
}

// began sees a run begin; a key that is run once is run once, whoever sends it.
func (f *watcher) began(engine *modelEngine, try port.Try) {
	f.watching.Lock()
	defer f.watching.Unlock()
	f.counts["runs "+modelRegions.Of(engine.Hall)]++
	f.runs[try.Target]++
	if kindOf(try.Target).once && f.runs[try.Target] > 1 {
		f.violate("twice", "%s runs a second time, at %s", try.Target, engine.Life)
	}
}

// answer is what one caller has of an answer, over all its tries.
type answer struct {
	*watcher
	target  string
	sent    time.Time
	first   time.Time
	last    time.Time
	got     int
	rest    string
	stopped bool
	retry   schedule.Microseconds
	unknown bool
	failure string
}

// take reads whole events: each is the next one, with this key's text.
func (r *answer) take(data string) {
	key, _, _ := shape(r.target)
	r.rest += data
	for {
		text, rest, found := strings.Cut(r.rest, "\n\n")
		if !found {
			return
		}
		r.rest = rest
		now := time.Now()
		if r.got == 0 {
			r.first = now
		} else {
			name := kindOf(r.target).name
			r.watching.Lock()
			r.pause[name] = max(r.pause[name], now.Sub(r.last))
			r.watching.Unlock()
		}
		r.last = now
		if text+"\n\n" != eventText(key, r.got+1) {
			r.watching.Lock()
			r.violate("order", "%s has %d events and got %q", r.target, r.got, text)
			r.watching.Unlock()
		}
		r.got++
	}
}

// end judges an answer that its caller has done with. A trouble excuses a late start, and
// for what may not run again an end with its engine; nothing excuses a missed bulletin.
func (r *answer) end(excused bool) {
	asked := kindOf(r.target)
	r.watching.Lock()
	defer r.watching.Unlock()
	r.counts[asked.name+" sent"]++
	whole := r.got == asked.events && r.rest == ""
	switch {
	case whole:
		r.counts[asked.name+" whole"]++
	case excused && asked.once:
		r.counts[asked.name+" broken off with its engine"]++
		return
	default:
		r.violate("missing", "%s sent at %v has %d of %d events: %s", r.target, r.sent.Unix(), r.got, asked.events, r.failure)
		return
	}
	took, start := r.last.Sub(r.sent), r.first.Sub(r.sent)
	r.slowest[asked.name] = max(r.slowest[asked.name], start)
	if took > asked.within {
		r.violate("bulletin", "%s was whole after %v", r.target, took)
	}
	switch {
	case start <= asked.start:
	case excused:
		r.counts["late starts at the trouble"]++
	case r.sent.Before(r.warm):
		r.counts["late starts while nothing was read yet"]++
	default:
		r.violate("aim", "%s started after %v", r.target, start)
	}
}
