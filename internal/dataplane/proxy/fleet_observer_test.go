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

// requestKind describes one kind of requests that clients send. The kinds are short streams that may be
// resumed (flag, waiver), short streams that may run only once (note, reply) and long streams that may be
// resumed (long-flag).
type requestKind struct {
	name         string
	nonRetryable bool
	// startTarget is the maximum time from sending the request to its first event.
	startTarget time.Duration
	// deadline is the maximum time from sending the request to its last event.
	deadline        time.Duration
	eventCount      int
	eventInterval   time.Duration
	requestInterval time.Duration
	// sharedChunks is the number of prompt chunks, of a thousand tokens each, that other requests have
	// too.
	sharedChunks int
	// unsharedTokens is the number of prompt tokens after the shared chunks.
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

// longStream is a kind of streams that always migrate when their region is drained. A stream of this kind
// outlives the notice period and the maintenance window. Its prompt is short, so that the expected pause
// of a migration is within the route's target.
var longStream = requestKind{
	name:           "long-stream",
	startTarget:    400 * time.Millisecond,
	deadline:       time.Minute,
	eventCount:     700,
	eventInterval:  60 * time.Millisecond,
	unsharedTokens: 50,
}

// allKinds lists the kinds of the generated load and longStream, which expectDrained sends.
var allKinds = append(slices.Clone(requestKinds), longStream)

// requestTarget returns the request target of the request with the given index.
func (r requestKind) requestTarget(index int) string {
	return fmt.Sprintf("/%s/%s-%d/", r.name, r.name, index)
}

// kindOfTarget returns the kind of the request with the given target.
func kindOfTarget(target string) requestKind {
	name := strings.SplitN(target, "/", 4)[1]
	index := slices.IndexFunc(allKinds, func(kind requestKind) bool { return kind.name == name })
	return allKinds[index]
}

// keyOfTarget returns the part of a request target that is unique to the request.
func keyOfTarget(target string) string { return strings.SplitN(target, "/", 4)[2] }

// violation is a kind of rule violation that the observer detects.
type violation string

const (
	// violationWorkAfterClose: an engine received a call after its region was closed.
	violationWorkAfterClose violation = "work after close"
	// violationRegion: a request or its KV cache was sent to a region that is not allowed.
	violationRegion violation = "region"
	// violationKVCache: a decode engine fetched the KV cache of another request.
	violationKVCache violation = "KV cache"
	// violationDuplicateRun: a request that may run only once ran twice.
	violationDuplicateRun violation = "duplicate run"
	// violationEventOrder: a client received another event than the next one.
	violationEventOrder violation = "event order"
	// violationIncomplete: a client did not receive all events.
	violationIncomplete violation = "incomplete"
	// violationDeadline: a client received the last event after the deadline.
	violationDeadline violation = "deadline"
	// violationLateStart: a client received the first event after the target.
	violationLateStart violation = "late start"
)

// The names of counts that tests check or log.
const (
	countTransfers            = "transfers"
	countCrossRegionTransfers = "transfers between regions"
	countColdLateStarts       = "late starts while nothing was cached yet"
	countFaultLateStarts      = "late starts around the fault"
)

func countSent(kind string) string      { return kind + " sent" }
func countCompleted(kind string) string { return kind + " completed" }
func countLost(kind string) string      { return kind + " lost with its engine" }

// fleetObserver checks and counts what clients and engines receive. It is independent of the code under
// test.
type fleetObserver struct {
	// observerLock guards all fields but unrestricted.
	observerLock sync.Mutex
	violations   map[violation][]string
	counts       map[string]int
	// runs counts the runs by request target.
	runs map[string]int
	// newestRegion is the region in which the newest run of each request target began.
	newestRegion map[string]string
	// closedAt is the time at which the drained region is closed for new work, zero if never.
	closedAt      time.Time
	drainedRegion string
	// slowestStart is the longest time to the first event, by the name of the request kind.
	slowestStart map[string]time.Duration
	// longestPause is the longest time between two events, by the name of the request kind.
	longestPause map[string]time.Duration
	// warmAt is the time from which late starts are violations. Before it, engines have cached few
	// shared prefixes.
	warmAt time.Time
	// unrestricted is set if all requests may be sent to all regions.
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

// allowedRegions returns the regions to which a request may be sent, nil if all regions are allowed.
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

// observeArrival checks and counts a call that arrives at an engine.
func (f *fleetObserver) observeArrival(engine *simulatedEngine, attempt platformport.Attempt) {
	f.observerLock.Lock()
	defer f.observerLock.Unlock()
	region := simulatedRegions.RegionOf(engine.Zone)
	f.counts["arrived "+region]++
	if region == f.drainedRegion && !f.closedAt.IsZero() && time.Now().After(f.closedAt) {
		f.recordViolation(violationWorkAfterClose, "%s arrived at %s %v after its region was closed",
			attempt.Target, engine.Incarnation, time.Since(f.closedAt))
	}
	if !f.regionAllowed(attempt.Target, region) {
		f.recordViolation(violationRegion, "%s arrived at %s", attempt.Target, engine.Incarnation)
	}
}

// regionAllowed reports whether a request may be sent to a region.
func (f *fleetObserver) regionAllowed(target, region string) bool {
	allowedRegions := f.allowedRegions(target)
	return len(allowedRegions) == 0 || slices.Contains(allowedRegions, region)
}

// observeTransfer checks and counts a KV cache that a decode engine fetches.
func (f *fleetObserver) observeTransfer(attempt platformport.Attempt, stored storedKV, decoder *simulatedEngine) {
	f.observerLock.Lock()
	defer f.observerLock.Unlock()
	fromRegion, toRegion := simulatedRegions.RegionOf(stored.zone), simulatedRegions.RegionOf(decoder.Zone)
	f.counts[countTransfers]++
	if fromRegion != toRegion {
		f.counts[countCrossRegionTransfers]++
	}
	if stored.requestID != attempt.RequestID {
		f.recordViolation(violationKVCache, "%s fetched the KV cache of %s", attempt.RequestID, stored.requestID)
	}
	if !f.regionAllowed(attempt.Target, toRegion) {
		f.recordViolation(violationRegion, "the KV cache of %s was transferred to %s", attempt.Target, toRegion)
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

// observeRunStart checks and counts the start of a run. A request that may run only once must not run a
// second time, whichever router sends it.
func (f *fleetObserver) observeRunStart(engine *simulatedEngine, attempt platformport.Attempt) {
	f.observerLock.Lock()
	defer f.observerLock.Unlock()
	region := simulatedRegions.RegionOf(engine.Zone)
	f.counts["runs "+region]++
	f.newestRegion[attempt.Target] = region
	f.runs[attempt.Target]++
	if kindOfTarget(attempt.Target).nonRetryable && f.runs[attempt.Target] > 1 {
		f.recordViolation(violationDuplicateRun, "%s ran again at %s", attempt.Target, engine.Incarnation)
	}
}

// receivedResponse is the part of a response that a client has received, over all attempts of the client.
type receivedResponse struct {
	*fleetObserver
	target         string
	sentAt         time.Time
	firstEventAt   time.Time
	lastEventAt    time.Time
	receivedEvents int
	// partialEvent is the part of the next event that was received in the current attempt.
	partialEvent string
	// retryAfter is the retry delay if the router rejected the current attempt with one.
	retryAfter clock.Microseconds
	// outcomeUnknown is set if the router rejected the current attempt without a retry delay.
	outcomeUnknown bool
	failureText    string
}

// consume appends received bytes to the partial event and checks each event that is now complete.
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
		r.recordViolation(violationEventOrder, "%s received %q after %d events", r.target, event, r.receivedEvents)
	}
	r.receivedEvents++
}

// finish checks a response after the last attempt of its client. Around an injected crash or partition
// (nearFault is set), a late start is allowed, as is the loss of a request that may not be retried. A
// missed deadline is never allowed.
func (r *receivedResponse) finish(nearFault bool) {
	kind := kindOfTarget(r.target)
	r.observerLock.Lock()
	defer r.observerLock.Unlock()
	r.counts[countSent(kind.name)]++
	completed := r.receivedEvents == kind.eventCount && r.partialEvent == ""
	switch {
	case completed:
		r.counts[countCompleted(kind.name)]++
		r.checkTimes(kind, nearFault)
	case nearFault && kind.nonRetryable:
		r.counts[countLost(kind.name)]++
	default:
		r.recordViolation(violationIncomplete, "%s, sent at %v, received %d of %d events: %s",
			r.target, r.sentAt.Unix(), r.receivedEvents, kind.eventCount, r.failureText)
	}
}

// checkTimes checks a complete response against the targets of its kind. The caller holds the lock.
func (r *receivedResponse) checkTimes(kind requestKind, nearFault bool) {
	elapsed, start := r.lastEventAt.Sub(r.sentAt), r.firstEventAt.Sub(r.sentAt)
	r.slowestStart[kind.name] = max(r.slowestStart[kind.name], start)
	if elapsed > kind.deadline {
		r.recordViolation(violationDeadline, "%s was completed after %v", r.target, elapsed)
	}
	switch {
	case start <= kind.startTarget:
	case nearFault:
		r.counts[countFaultLateStarts]++
	case r.sentAt.Before(r.warmAt):
		r.counts[countColdLateStarts]++
	default:
		r.recordViolation(violationLateStart, "%s started after %v", r.target, start)
	}
}
