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

func (watcher *watcher) homes(target string) []string {
	if watcher.anywhere {
		return nil
	}
	return kindOf(target).homes
}

func newWatcher() *watcher {
	return &watcher{violations: map[string][]string{}, counts: map[string]int{}, runs: map[string]int{}, slowest: map[string]time.Duration{}, pause: map[string]time.Duration{}}
}

func (watcher *watcher) violate(what, format string, values ...any) {
	watcher.violations[what] = append(watcher.violations[what], fmt.Sprintf(format, values...))
}

// arrived sees a call come to an engine.
func (watcher *watcher) arrived(engine *modelEngine, try port.Try) {
	watcher.watching.Lock()
	defer watcher.watching.Unlock()
	region := modelRegions.Of(engine.Hall)
	watcher.counts["arrived "+region]++
	if region == watcher.drained && !watcher.closedAt.IsZero() && time.Now().After(watcher.closedAt) {
		watcher.violate("late work", "%s came to %s %v after its region was shut", try.Target, engine.Life, time.Since(watcher.closedAt))
	}
	if homes := watcher.homes(try.Target); len(homes) > 0 && !slices.Contains(homes, region) {
		watcher.violate("home", "%s came to %s", try.Target, engine.Life)
	}
}

// handed sees prompt memory taken over.
func (watcher *watcher) handed(try port.Try, memory ticketed, writer *modelEngine) {
	watcher.watching.Lock()
	defer watcher.watching.Unlock()
	from, to := modelRegions.Of(memory.hall), modelRegions.Of(writer.Hall)
	watcher.counts["handed over"]++
	if from != to {
		watcher.counts["handed over between regions"]++
	}
	if memory.identity != try.Identity {
		watcher.violate("memory", "%s took the memory of %s", try.Identity, memory.identity)
	}
	if homes := watcher.homes(try.Target); len(homes) > 0 && !slices.Contains(homes, to) {
		watcher.violate("home", "memory of %s went to %s", try.Target, to)
	}
}

// began sees a run begin; a key that is run once is run once, whoever sends it.
func (watcher *watcher) began(engine *modelEngine, try port.Try) {
	watcher.watching.Lock()
	defer watcher.watching.Unlock()
	watcher.counts["runs "+modelRegions.Of(engine.Hall)]++
	watcher.runs[try.Target]++
	if kindOf(try.Target).once && watcher.runs[try.Target] > 1 {
		watcher.violate("twice", "%s runs a second time, at %s", try.Target, engine.Life)
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
func (answer *answer) take(data string) {
	key, _, _ := shape(answer.target)
	answer.rest += data
	for {
		text, rest, found := strings.Cut(answer.rest, "\n\n")
		if !found {
			return
		}
		answer.rest = rest
		now := time.Now()
		if answer.got == 0 {
			answer.first = now
		} else {
			name := kindOf(answer.target).name
			answer.watching.Lock()
			answer.pause[name] = max(answer.pause[name], now.Sub(answer.last))
			answer.watching.Unlock()
		}
		answer.last = now
		if text+"\n\n" != eventText(key, answer.got+1) {
			answer.watching.Lock()
			answer.violate("order", "%s has %d events and got %q", answer.target, answer.got, text)
			answer.watching.Unlock()
		}
		answer.got++
	}
}

// end judges an answer that its caller has done with. A trouble excuses a late start, and
// for what may not run again an end with its engine; nothing excuses a missed bulletin.
func (answer *answer) end(excused bool) {
	asked := kindOf(answer.target)
	answer.watching.Lock()
	defer answer.watching.Unlock()
	answer.counts[asked.name+" sent"]++
	whole := answer.got == asked.events && answer.rest == ""
	switch {
	case whole:
		answer.counts[asked.name+" whole"]++
	case excused && asked.once:
		answer.counts[asked.name+" broken off with its engine"]++
		return
	default:
		answer.violate("missing", "%s sent at %v has %d of %d events: %s", answer.target, answer.sent.Unix(), answer.got, asked.events, answer.failure)
		return
	}
	took, start := answer.last.Sub(answer.sent), answer.first.Sub(answer.sent)
	answer.slowest[asked.name] = max(answer.slowest[asked.name], start)
	if took > asked.within {
		answer.violate("bulletin", "%s was whole after %v", answer.target, took)
	}
	switch {
	case start <= asked.start:
	case excused:
		answer.counts["late starts at the trouble"]++
	case answer.sent.Before(answer.warm):
		answer.counts["late starts while nothing was read yet"]++
	default:
		answer.violate("aim", "%s started after %v", answer.target, start)
	}
}
