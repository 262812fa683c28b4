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

// requestKind is one kind of the requests that clients send: short streams that may be resumed
// (flag, waiver), ones that may run once only (note, reply), and a long stream (long-flag).
type requestKind struct {
	name         string
	nonRetryable bool
	// startTarget is how soon the first event must come, deadline how soon the last.
	startTarget     time.Duration
	deadline        time.Duration
	eventCount      int
	eventInterval   time.Duration
	requestInterval time.Duration
	// sharedChunks is the number of chunks of a thousand tokens that the prompt shares with others,
	// unsharedTokens the number of tokens after them.
	sharedChunks   int
	unsharedTokens int
	allowedRegions []string
}

var requestKinds = []requestKind{
	{
		name:            "flag",
		startTarget:     400 * time.Millisecond,
		deadline:        3 * time.Second,
		eventCount:      40,
		eventInterval:   15 * time.Millisecond,
		requestInterval: 100 * time.Millisecond,
		sharedChunks:    4,
		unsharedTokens:  1200,
	},
	{
		name:            "waiver",
		startTarget:     400 * time.Millisecond,
		deadline:        3 * time.Second,
		eventCount:      30,
		eventInterval:   15 * time.Millisecond,
		requestInterval: 100 * time.Millisecond,
		sharedChunks:    3,
		unsharedTokens:  1200,
	},
	{
		name:            "note",
		nonRetryable:    true,
		startTarget:     500 * time.Millisecond,
		deadline:        8 * time.Second,
		eventCount:      20,
		eventInterval:   20 * time.Millisecond,
		requestInterval: 70 * time.Millisecond,
		unsharedTokens:  200,
	},
	{
		name:            "reply",
		nonRetryable:    true,
		startTarget:     500 * time.Millisecond,
		deadline:        8 * time.Second,
		eventCount:      15,
		eventInterval:   20 * time.Millisecond,
		requestInterval: 70 * time.Millisecond,
		unsharedTokens:  200,
		allowedRegions:  []string{"north", "centre"},
	},
	{
		name:            "long-flag",
		startTarget:     400 * time.Millisecond,
		deadline:        40 * time.Second,
		eventCount:      700,
		eventInterval:   30 * time.Millisecond,
		requestInterval: 350 * time.Millisecond,
		sharedChunks:    2,
		unsharedTokens:  800,
	},
}

// longStream is a stream that surely migrates when its region is drained: it outlives the notice
// and the window, and any engine soon prefills its short prompt, so that the expected pause of the
// migration is within the bound.
var longStream = requestKind{
	name:           "long-stream",
	startTarget:    400 * time.Millisecond,
	deadline:       time.Minute,
	eventCount:     700,
	eventInterval:  60 * time.Millisecond,
	unsharedTokens: 50,
}

// allKinds are the kinds of the load, and the one that only the drain's tests send.
var allKinds = append(slices.Clone(requestKinds), longStream)

// requestTarget returns the target of a client's request.
func (r requestKind) requestTarget(index int) string {
	return fmt.Sprintf("/%s/%s-%d/", r.name, r.name, index)
}

// kindOfTarget returns the kind of a request by its target.
func kindOfTarget(target string) requestKind {
	name := strings.SplitN(target, "/", 4)[1]
	index := slices.IndexFunc(allKinds, func(kind requestKind) bool { return kind.name == name })
	return allKinds[index]
}

// keyOfTarget returns what tells a request from all others of its kind.
func keyOfTarget(target string) string { return strings.SplitN(target, "/", 4)[2] }

// violation is what an observer found that must not happen.
type violation string

const (
	// violationWorkAfterClose: an engine got a call after its region was closed.
	violationWorkAfterClose violation = "work after close"
	// violationRegion: a request or its KV cache came to a region that is not allowed.
	violationRegion violation = "region"
	// violationKVCache: a decoder fetched the KV cache of another request.
	violationKVCache violation = "KV cache"
	// violationDuplicateRun: a request that may run once ran twice.
	violationDuplicateRun violation = "duplicate run"
	// violationEventOrder: a client did not get the next event.
	violationEventOrder violation = "event order"
	// violationIncomplete: a client did not get all events.
	violationIncomplete violation = "incomplete"
	// violationDeadline: a client got the last event too late.
	violationDeadline violation = "deadline"
	// violationLateStart: a client got the first event too late.
	violationLateStart violation = "late start"
)

// The names of counts that tests use.
const (
	countTransfers            = "transfers"
	countCrossRegionTransfers = "transfers between regions"
	countColdLateStarts       = "late starts while nothing was cached yet"
	countFaultLateStarts      = "late starts around the fault"
)

func countSent(kind string) string      { return kind + " sent" }
func countCompleted(kind string) string { return kind + " completed" }
func countLost(kind string) string      { return kind + " lost with its engine" }

// fleetObserver sees what comes and goes at clients and engines, outside the code under test.
type fleetObserver struct {
	// observerLock guards all fields but unrestricted.
	observerLock sync.Mutex
	violations   map[violation][]string
	counts       map[string]int
	// runs counts the runs by request target.
	runs map[string]int
	// newestRegion is the region in which the newest run of each request target began.
	newestRegion map[string]string
	// closedAt is when the drained region is closed for new work, zero if never.
	closedAt      time.Time
	drainedRegion string
	// slowestStart and longestPause are by the name of the request kind.
	slowestStart map[string]time.Duration
	longestPause map[string]time.Duration
	// warmAt is when targets begin to count: before, no engine has cached a shared prefix.
	warmAt time.Time
	// unrestricted says that all requests may go to all regions.
	unrestricted bool
}

func newFleetObserver() *fleetObserver {
	return &fleetObserver{
		violations:   map[violation][]string{},
		counts:       map[string]int{},
		runs:         map[string]int{},
		newestRegion: map[string]string{},
		slowestStart: map[string]time.Duration{},
		longestPause: map[string]time.Duration{},
	}
}

// allowedRegions returns the regions to which a request may go, none if to all.
func (f *fleetObserver) allowedRegions(target string) []string {
	if f.unrestricted {
		return nil
	}
	return kindOfTarget(target).allowedRegions
}

// recordViolation records a violation. The caller holds the lock.
func (f *fleetObserver) recordViolation(violated violation, format string, values ...any) {
	f.violations[violated] = append(f.violations[violated], fmt.Sprintf(format, values...))
}

// observeArrival sees a call come to an engine.
func (f *fleetObserver) observeArrival(engine *modelEngine, attempt platformport.Attempt) {
	f.observerLock.Lock()
	defer f.observerLock.Unlock()
	region := modelRegions.RegionOf(engine.Zone)
	f.counts["arrived "+region]++
	if region == f.drainedRegion && !f.closedAt.IsZero() && time.Now().After(f.closedAt) {
		f.recordViolation(violationWorkAfterClose, "%s came to %s %v after its region was closed",
			attempt.Target, engine.Incarnation, time.Since(f.closedAt))
	}
	if !f.regionAllowed(attempt.Target, region) {
		f.recordViolation(violationRegion, "%s came to %s", attempt.Target, engine.Incarnation)
	}
}

// regionAllowed reports whether a request may go to a region.
func (f *fleetObserver) regionAllowed(target, region string) bool {
	allowedRegions := f.allowedRegions(target)
	return len(allowedRegions) == 0 || slices.Contains(allowedRegions, region)
}

// observeTransfer sees a decoder fetch a KV cache.
func (f *fleetObserver) observeTransfer(attempt platformport.Attempt, stored storedKV, decoder *modelEngine) {
	f.observerLock.Lock()
	defer f.observerLock.Unlock()
	fromRegion, toRegion := modelRegions.RegionOf(stored.zone), modelRegions.RegionOf(decoder.Zone)
	f.counts[countTransfers]++
	if fromRegion != toRegion {
		f.counts[countCrossRegionTransfers]++
	}
	if stored.requestID != attempt.RequestID {
		f.recordViolation(violationKVCache, "%s fetched the KV cache of %s", attempt.RequestID, stored.requestID)
	}
	if !f.regionAllowed(attempt.Target, toRegion) {
		f.recordViolation(violationRegion, "the KV cache of %s went to %s", attempt.Target, toRegion)
	}
}

// longStreamsIn returns the targets of the long streams whose newest run began in a region.
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

// observeRunStart sees a run begin. A request that may run once runs once, whichever router sends
// it.
func (f *fleetObserver) observeRunStart(engine *modelEngine, attempt platformport.Attempt) {
	f.observerLock.Lock()
	defer f.observerLock.Unlock()
	region := modelRegions.RegionOf(engine.Zone)
	f.counts["runs "+region]++
	f.newestRegion[attempt.Target] = region
	f.runs[attempt.Target]++
	if kindOfTarget(attempt.Target).nonRetryable && f.runs[attempt.Target] > 1 {
		f.recordViolation(violationDuplicateRun, "%s runs a second time, at %s", attempt.Target, engine.Incarnation)
	}
}

// receivedResponse is what a client has of the response to one request, over all its attempts.
type receivedResponse struct {
	*fleetObserver
	target         string
	sentAt         time.Time
	firstEventAt   time.Time
	lastEventAt    time.Time
	receivedEvents int
	// partialEvent is what has come of the next event in this attempt.
	partialEvent string
	// retryAfter and outcomeUnknown say how the router rejected this attempt.
	retryAfter     clock.Microseconds
	outcomeUnknown bool
	failureText    string
}

// consume takes bytes of the response and checks each complete event.
func (r *receivedResponse) consume(data string) {
	r.partialEvent += data
	for {
		event, remainder, ok := strings.Cut(r.partialEvent, "\n\n")
		if !ok {
			return
		}
		r.partialEvent = remainder
		r.consumeEvent(event + "\n\n")
	}
}

// consumeEvent checks that an event is the next one of this request.
func (r *receivedResponse) consumeEvent(event string) {
	now := time.Now()
	r.observerLock.Lock()
	defer r.observerLock.Unlock()
	if r.receivedEvents == 0 {
		r.firstEventAt = now
	} else {
		kindName := kindOfTarget(r.target).name
		r.longestPause[kindName] = max(r.longestPause[kindName], now.Sub(r.lastEventAt))
	}
	r.lastEventAt = now
	if event != formatEvent(keyOfTarget(r.target), r.receivedEvents+1) {
		r.recordViolation(violationEventOrder, "%s has %d events and got %q", r.target, r.receivedEvents, event)
	}
	r.receivedEvents++
}

// finish judges a response that its client has done with. A fault excuses a late start, and the loss
// of a request that may not be retried; nothing excuses a missed deadline.
func (r *receivedResponse) finish(excused bool) {
	kind := kindOfTarget(r.target)
	r.observerLock.Lock()
	defer r.observerLock.Unlock()
	r.counts[countSent(kind.name)]++
	completed := r.receivedEvents == kind.eventCount && r.partialEvent == ""
	switch {
	case completed:
		r.counts[countCompleted(kind.name)]++
		r.checkTimes(kind, excused)
	case excused && kind.nonRetryable:
		r.counts[countLost(kind.name)]++
	default:
		r.recordViolation(violationIncomplete, "%s sent at %v has %d of %d events: %s",
			r.target, r.sentAt.Unix(), r.receivedEvents, kind.eventCount, r.failureText)
	}
}

// checkTimes checks a complete response against the targets of its kind. The caller holds the lock.
func (r *receivedResponse) checkTimes(kind requestKind, excused bool) {
	elapsed, start := r.lastEventAt.Sub(r.sentAt), r.firstEventAt.Sub(r.sentAt)
	r.slowestStart[kind.name] = max(r.slowestStart[kind.name], start)
	if elapsed > kind.deadline {
		r.recordViolation(violationDeadline, "%s was complete after %v", r.target, elapsed)
	}
	switch {
	case start <= kind.startTarget:
	case excused:
		r.counts[countFaultLateStarts]++
	case r.sentAt.Before(r.warmAt):
		r.counts[countColdLateStarts]++
	default:
		r.recordViolation(violationLateStart, "%s started after %v", r.target, start)
	}
}
