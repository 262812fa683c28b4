package proxy_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/platformport"
)

// requestKind is one kind of request of the users': Merrimack's flags and notes, the Asociación's
// waivers and replies, and a flag that is followed for long.
type requestKind struct {
	name            string
	nonRetryable    bool
	startTarget     time.Duration
	deadline        time.Duration
	eventCount      int
	eventInterval   time.Duration
	requestInterval time.Duration
	sharedChunks    int
	// unsharedTokens is the request's own tokens, behind so many shared parts of a thousand.
	unsharedTokens int
	allowedRegions []string
}

var requestKinds = []requestKind{
	{name: "flag", startTarget: 400 * time.Millisecond, deadline: 3 * time.Second, eventCount: 40, eventInterval: 15 * time.Millisecond, requestInterval: 100 * time.Millisecond, sharedChunks: 4, unsharedTokens: 1200},
	{name: "waiver", startTarget: 400 * time.Millisecond, deadline: 3 * time.Second, eventCount: 30, eventInterval: 15 * time.Millisecond, requestInterval: 100 * time.Millisecond, sharedChunks: 3, unsharedTokens: 1200},
	{name: "note", nonRetryable: true, startTarget: 500 * time.Millisecond, deadline: 8 * time.Second, eventCount: 20, eventInterval: 20 * time.Millisecond, requestInterval: 70 * time.Millisecond, unsharedTokens: 200},
	{name: "reply", nonRetryable: true, startTarget: 500 * time.Millisecond, deadline: 8 * time.Second, eventCount: 15, eventInterval: 20 * time.Millisecond, requestInterval: 70 * time.Millisecond, unsharedTokens: 200, allowedRegions: []string{"north", "centre"}},
	{name: "vigil", startTarget: 400 * time.Millisecond, deadline: 40 * time.Second, eventCount: 700, eventInterval: 30 * time.Millisecond, requestInterval: 350 * time.Millisecond, sharedChunks: 2, unsharedTokens: 800},
}

// subscription is a stream that surely moves when its region is drained: it outlives the
// notice and the window, and any engine soon reads its short prompt, so that the pause that is
// expected of a move is within the budget.
var longStream = requestKind{
	name: "subscription", startTarget: 400 * time.Millisecond, deadline: time.Minute, eventCount: 700, eventInterval: 60 * time.Millisecond, unsharedTokens: 50,
}

// allKinds are the kinds of the load, and the one that only a drain's play sends.
var allKinds = append(slices.Clone(requestKinds), longStream)

func kindOfTarget(target string) requestKind {
	name := strings.SplitN(target, "/", 4)[1]
	return allKinds[slices.IndexFunc(allKinds, func(kind requestKind) bool { return kind.name == name })]
}

// responseShape is a request's key, and how many events its answer has how far apart.
func responseShape(target string) (string, int, time.Duration) {
	kind := kindOfTarget(target)
	return strings.SplitN(target, "/", 4)[2], kind.eventCount, kind.eventInterval
}

// fleetObserver sees what comes and goes at callers and engines, outside the code under test.
type fleetObserver struct {
	observerLock sync.Mutex
	violations   map[string][]string
	counts       map[string]int
	runs         map[string]int
	// newest is the region in which the newest run of each target began.
	newestRegion map[string]string
	// closedAt is from when on the drained region may get nothing new; zero if never.
	closedAt      time.Time
	drainedRegion string
	slowestStart  map[string]time.Duration
	longestPause  map[string]time.Duration
	// warmAt is from when on aims count: until then no engine holds any shared part.
	warmAt time.Time
	// unrestricted says that no kind has homes.
	unrestricted bool
}

func (f *fleetObserver) allowedRegions(target string) []string {
	if f.unrestricted {
		return nil
	}
	return kindOfTarget(target).allowedRegions
}

func newFleetObserver() *fleetObserver {
	return &fleetObserver{violations: map[string][]string{}, counts: map[string]int{}, runs: map[string]int{}, newestRegion: map[string]string{}, slowestStart: map[string]time.Duration{}, longestPause: map[string]time.Duration{}}
}

func (f *fleetObserver) recordViolation(violation, format string, values ...any) {
	f.violations[violation] = append(f.violations[violation], fmt.Sprintf(format, values...))
}

// observeArrival sees a call come to an engine.
func (f *fleetObserver) observeArrival(engine *modelEngine, attempt platformport.Attempt) {
	f.observerLock.Lock()
	defer f.observerLock.Unlock()
	region := modelRegions.RegionOf(engine.Zone)
	f.counts["arrived "+region]++
	if region == f.drainedRegion && !f.closedAt.IsZero() && time.Now().After(f.closedAt) {
		f.recordViolation("late work", "%s came to %s %v after its region was shut", attempt.Target, engine.Incarnation, time.Since(f.closedAt))
	}
	if allowedRegions := f.allowedRegions(attempt.Target); len(allowedRegions) > 0 && !slices.Contains(allowedRegions, region) {
		f.recordViolation("home", "%s came to %s", attempt.Target, engine.Incarnation)
	}
}

// subscribedIn are the subscriptions whose newest run began in a region.
func (f *fleetObserver) longStreamsIn(region string) []string {
	f.observerLock.Lock()
	defer f.observerLock.Unlock()
	var targets []string
	for target, newest := range f.newestRegion {
		if newest == region && kindOfTarget(target).name == longStream.name {
			targets = append(targets, target)
		}
	}
	return targets
}

// observeTransfer sees prompt memory taken over.
func (f *fleetObserver) observeTransfer(attempt platformport.Attempt, stored storedKV, decoder *modelEngine) {
	f.observerLock.Lock()
	defer f.observerLock.Unlock()
	fromRegion, toRegion := modelRegions.RegionOf(stored.zone), modelRegions.RegionOf(decoder.Zone)
	f.counts["handed over"]++
	if fromRegion != toRegion {
		f.counts["handed over between regions"]++
	}
	if stored.requestID != attempt.RequestID {
		f.recordViolation("memory", "%s took the memory of %s", attempt.RequestID, stored.requestID)
	}
	if allowedRegions := f.allowedRegions(attempt.Target); len(allowedRegions) > 0 && !slices.Contains(allowedRegions, toRegion) {
		f.recordViolation("home", "memory of %s went to %s", attempt.Target, toRegion)
	}
}

// observeRunStart sees a run begin; a key that is run once is run once, whoever sends it.
func (f *fleetObserver) observeRunStart(engine *modelEngine, attempt platformport.Attempt) {
	f.observerLock.Lock()
	defer f.observerLock.Unlock()
	region := modelRegions.RegionOf(engine.Zone)
	f.counts["runs "+region]++
	f.newestRegion[attempt.Target] = region
	f.runs[attempt.Target]++
	if kindOfTarget(attempt.Target).nonRetryable && f.runs[attempt.Target] > 1 {
		f.recordViolation("twice", "%s runs a second time, at %s", attempt.Target, engine.Incarnation)
	}
}

// receivedResponse is what one caller has of an answer, over all its tries.
type receivedResponse struct {
	*fleetObserver
	target         string
	sentAt         time.Time
	firstEventAt   time.Time
	lastEventAt    time.Time
	receivedEvents int
	partialEvent   string
	stopped        bool
	retryAfter     clock.Microseconds
	outcomeUnknown bool
	failureText    string
}

// consume reads whole events: each is the next one, with this key's text.
func (r *receivedResponse) consume(data string) {
	key, _, _ := responseShape(r.target)
	r.partialEvent += data
	for {
		text, remainder, ok := strings.Cut(r.partialEvent, "\n\n")
		if !ok {
			return
		}
		r.partialEvent = remainder
		now := time.Now()
		if r.receivedEvents == 0 {
			r.firstEventAt = now
		} else {
			kindName := kindOfTarget(r.target).name
			r.observerLock.Lock()
			r.longestPause[kindName] = max(r.longestPause[kindName], now.Sub(r.lastEventAt))
			r.observerLock.Unlock()
		}
		r.lastEventAt = now
		if text+"\n\n" != formatEvent(key, r.receivedEvents+1) {
			r.observerLock.Lock()
			r.recordViolation("order", "%s has %d events and got %q", r.target, r.receivedEvents, text)
			r.observerLock.Unlock()
		}
		r.receivedEvents++
	}
}

// finish judges an answer that its caller has done with. A trouble excuses a late start, and
// for what may not run again an end with its engine; nothing excuses a missed bulletin.
func (r *receivedResponse) finish(excused bool) {
	kind := kindOfTarget(r.target)
	r.observerLock.Lock()
	defer r.observerLock.Unlock()
	r.counts[kind.name+" sent"]++
	completed := r.receivedEvents == kind.eventCount && r.partialEvent == ""
	switch {
	case completed:
		r.counts[kind.name+" whole"]++
	case excused && kind.nonRetryable:
		r.counts[kind.name+" broken off with its engine"]++
		return
	default:
		r.recordViolation("missing", "%s sent at %v has %d of %d events: %s", r.target, r.sentAt.Unix(), r.receivedEvents, kind.eventCount, r.failureText)
		return
	}
	elapsed, start := r.lastEventAt.Sub(r.sentAt), r.firstEventAt.Sub(r.sentAt)
	r.slowestStart[kind.name] = max(r.slowestStart[kind.name], start)
	if elapsed > kind.deadline {
		r.recordViolation("bulletin", "%s was whole after %v", r.target, elapsed)
	}
	switch {
	case start <= kind.startTarget:
	case excused:
		r.counts["late starts at the trouble"]++
	case r.sentAt.Before(r.warmAt):
		r.counts["late starts while nothing was read yet"]++
	default:
		r.recordViolation("aim", "%s started after %v", r.target, start)
	}
}
