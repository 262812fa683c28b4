package balancer_test

import (
	"fmt"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
)

// maxResponseTokens is the maximum number of response tokens of placed requests.
const maxResponseTokens = 100

// ownerOptions returns the options of the balancer of a placement owner.
func ownerOptions() balancer.Options {
	options := testOptions(0)
	options.PlacesForAll = true
	return options
}

// newOwnerBalancer returns the balancer of a placement owner.
func newOwnerBalancer(engines []platformport.Engine) *balancer.Balancer {
	owner := balancer.New(ownerOptions())
	owner.Update(clock.Second, balancer.View{Service: testService, Engines: engines, RouterCount: 1})
	return owner
}

// fourPrefillFourDecode returns four prefill engines and four decode engines.
func fourPrefillFourDecode() []platformport.Engine {
	return newEngines(
		pairing.RolePrefill, pairing.RolePrefill, pairing.RolePrefill, pairing.RolePrefill,
		pairing.RoleDecode, pairing.RoleDecode, pairing.RoleDecode, pairing.RoleDecode,
	)
}

// unsharedRequest returns a request whose prompt has no shared prefix.
func unsharedRequest(number, tokens int) balancer.Requirements {
	return balancer.Requirements{
		Key:    fmt.Sprint(number),
		Prompt: []platformport.PromptChunk{{Name: fmt.Sprint("own-", number), Tokens: tokens}},
	}
}

// Guards against simultaneous requests of several routers on the same engine: routers that know only their own
// requests choose some engines twice, while an owner that places all requests chooses each engine once.
func TestPlace_SpreadsTheRequestsOfAllRouters(t *testing.T) {
	owner := newOwnerBalancer(fourPrefillFourDecode())
	placed, chosenIndependently := map[string]int{}, map[string]int{}
	for number := range 4 {
		selection, ok := owner.Place(clock.Second, unsharedRequest(number, 4000), maxResponseTokens)
		if !ok || !selection.Split {
			t.Fatalf("request %d is not split between two engines: %+v, placed %v", number, selection, ok)
		}
		if selection.PrefillWait != 0 {
			t.Errorf("the expected wait is %d µs although some prefill engine is idle, want 0", selection.PrefillWait)
		}
		placed[selection.Prefiller.Incarnation]++
		independentRouter := balancer.New(testOptions(number))
		independentRouter.Update(clock.Second, balancer.View{Service: testService, Engines: fourPrefillFourDecode(), RouterCount: 4})
		selection, _ = independentRouter.Select(clock.Second, unsharedRequest(number, 4000))
		chosenIndependently[selection.Prefiller.Incarnation]++
	}
	if len(placed) != 4 {
		t.Errorf("the owner chose prefillers %v, want each of the 4 once", placed)
	}
	if len(chosenIndependently) == 4 {
		t.Errorf("routers that know only their own requests chose 4 different prefillers, %v: the test proves nothing", chosenIndependently)
	}
}

func TestPlace_RemovesFinishedWork(t *testing.T) {
	owner := newOwnerBalancer(newEngines(pairing.RolePrefill, pairing.RoleDecode))
	now := clock.Second
	first, _ := owner.Place(now, unsharedRequest(1, 4000), maxResponseTokens)
	second, _ := owner.Place(now, unsharedRequest(2, 4000), maxResponseTokens)
	if first.PrefillWait != 0 || second.PrefillWait < 50*clock.Millisecond {
		t.Errorf("the expected waits are %d and %d µs, want 0 and at least 50000 µs", first.PrefillWait, second.PrefillWait)
	}
	third, _ := owner.Place(now+second.PrefillWait/2, unsharedRequest(3, 4000), maxResponseTokens)
	if third.PrefillWait <= second.PrefillWait || third.PrefillWait >= 2*second.PrefillWait {
		t.Errorf("the second request waits %d µs, and a third one half of that later %d µs, want more but less than twice",
			second.PrefillWait, third.PrefillWait)
	}
	last, _ := owner.Place(now+10*clock.Second, unsharedRequest(4, 4000), maxResponseTokens)
	if last.PrefillWait != 0 {
		t.Errorf("after 10 seconds the expected wait is %d µs, want 0", last.PrefillWait)
	}
}

func TestPlace_DeclinesWhileNoDecoderHasAFreeSlot(t *testing.T) {
	owner := newOwnerBalancer(newEngines(pairing.RolePrefill, pairing.RoleDecode))
	placed := 0
	for number := range 20 {
		if _, ok := owner.Place(clock.Second, unsharedRequest(number, 100), maxResponseTokens); ok {
			placed++
		}
	}
	if placed != 8 {
		t.Errorf("%d requests are placed on one decoder with 8 slots, want 8", placed)
	}
	if _, ok := owner.Place(120*clock.Second, unsharedRequest(99, 100), maxResponseTokens); !ok {
		t.Error("a request is not placed after the expected end of all others")
	}
}

func TestPlace_UrgentRequestsPassOthers(t *testing.T) {
	owner := newOwnerBalancer(newEngines(pairing.RolePrefill, pairing.RoleDecode))
	place := func(number, urgency int) clock.Microseconds {
		requirements := unsharedRequest(number, 8000)
		requirements.Urgency = urgency
		selection, _ := owner.Place(clock.Second, requirements, maxResponseTokens)
		return selection.PrefillWait
	}
	place(1, 4)
	place(2, 4)
	urgent, lessUrgent := place(3, 1), place(4, 4)
	if urgent*4 > lessUrgent {
		t.Errorf("the urgent request waits for %d µs, the other for %d µs, want at least 4 times as long", urgent, lessUrgent)
	}
}

// Guards against computing a prefix on several engines: the engine that has computed a prefix gets the later
// requests with this prefix.
func TestPlace_PrefixStaysWhereItWasRead(t *testing.T) {
	owner := newOwnerBalancer(fourPrefillFourDecode())
	first, _ := owner.Place(clock.Second, longRequest(1), maxResponseTokens)
	if first.UncachedTokens != 8000 {
		t.Errorf("%d tokens of a prompt that no engine has cached are uncached, want 8000", first.UncachedTokens)
	}
	for number := range 5 {
		now := clock.Second * clock.Microseconds(number+2)
		later, _ := owner.Place(now, longRequest(number), maxResponseTokens)
		if later.Prefiller.Incarnation != first.Prefiller.Incarnation || later.UncachedTokens != 2000 {
			t.Errorf("request %d: got %+v, want prefiller %s and 2000 uncached tokens", number, later, first.Prefiller.Incarnation)
		}
	}
}

func TestPlace_AvoidsOverdueEngines(t *testing.T) {
	owner := newOwnerBalancer(fourPrefillFourDecode())
	first, _ := owner.Place(clock.Second, longRequest(1), maxResponseTokens)
	for range 10 {
		owner.RecordOverdue(2*clock.Second, first.Prefiller.Incarnation)
	}
	second, _ := owner.Place(2*clock.Second, longRequest(2), maxResponseTokens)
	if second.Prefiller.Incarnation == first.Prefiller.Incarnation {
		t.Error("a request is placed on an engine that was just reported as overdue")
	}
	third, _ := owner.Place(4*clock.Second, unsharedRequest(3, 4000), maxResponseTokens)
	if third.Prefiller.Incarnation == "" {
		t.Errorf("after the ejection: got %+v, want a prefiller", third)
	}
}

func TestResolve_RejectsWhatTheRouterMayNotUse(t *testing.T) {
	engines := fourPrefillFourDecode()
	engines[1].Draining = true
	groups := map[string]string{}
	for index, engine := range engines {
		groups[engine.Incarnation] = fmt.Sprint(index / 7)
	}
	lb := newTestBalancer(engines, pairing.Assignment{
		AffinityGroups: groups,
		ChangingRole:   []string{engineName(2)},
	})
	lb.RecordFailure(clock.Second, engineName(5))
	excluded := balancer.Requirements{ExcludedEngines: map[string]bool{engineName(3): true}}
	for _, testCase := range []struct {
		name               string
		prefiller, decoder int
		want               bool
	}{
		{"both may be used", 0, 4, true},
		{"a draining prefiller", 1, 4, false},
		{"a prefiller that changes its role", 2, 4, false},
		{"an excluded prefiller", 3, 4, false},
		{"a decoder that has just failed", 0, 5, false},
		{"a decoder of another group", 0, 7, false},
		{"prefiller and decoder swapped", 4, 0, false},
		{"an engine that is not listed", 0, 99, false},
	} {
		now := clock.Second + clock.Millisecond
		_, ok := lb.Resolve(now, excluded, engineName(testCase.prefiller), engineName(testCase.decoder))
		if ok != testCase.want {
			t.Errorf("%s: Resolve returns %v, want %v", testCase.name, ok, testCase.want)
		}
	}
	selection, ok := lb.Resolve(clock.Second, balancer.Requirements{}, "", engineName(4))
	if !ok || selection.Split || selection.Decoder.Incarnation != engineName(4) {
		t.Errorf("Resolve without a prefiller: got %+v, %v, want an unsplit selection of %s", selection, ok, engineName(4))
	}
	if _, ok := lb.Resolve(clock.Second, balancer.Requirements{}, "", engineName(0)); ok {
		t.Error("Resolve accepts a prefill engine as decoder")
	}
}

func TestObserve_IgnoresSamplesOutOfBounds(t *testing.T) {
	owner := newOwnerBalancer(fourPrefillFourDecode())
	before := owner.PrefillCoefficients()
	owner.Observe(
		[]balancer.PrefillSample{{Tokens: 1 << 30, Elapsed: 1}, {Tokens: -5, Elapsed: 1}, {Tokens: 5, Elapsed: 1 << 60}},
		[]balancer.DecodeSample{{MaxTokens: -1, Elapsed: 1}, {MaxTokens: 1 << 30, Elapsed: 1}, {MaxTokens: 1, Elapsed: -1}},
	)
	if owner.PrefillCoefficients() != before {
		t.Errorf("samples out of bounds changed the coefficients from %v to %v", before, owner.PrefillCoefficients())
	}
}

// Guards against losing many requests to an engine that fails every request after its ejections: such an engine
// gets one request at a time, at growing intervals. The owner gets each failure report 200 ms after the placement.
func TestPlace_ProbesAnEjectedEngineWithSingleRequests(t *testing.T) {
	engines := newEngines(pairing.RolePrefill, pairing.RolePrefill, pairing.RoleDecode, pairing.RoleDecode)
	owner := newOwnerBalancer(engines)
	broken := engineName(0)
	owner.RecordOverdue(clock.Second, broken)
	failedRequests := 0
	var failures []clock.Microseconds
	for number := range 1000 {
		now := clock.Second + clock.Microseconds(number)*10*clock.Millisecond
		for len(failures) > 0 && failures[0] <= now {
			owner.RecordOverdue(now, broken)
			failures = failures[1:]
		}
		selection, _ := owner.Place(now, unsharedRequest(number, 2000), maxResponseTokens)
		if selection.Prefiller.Incarnation == broken {
			failedRequests++
			failures = append(failures, now+200*clock.Millisecond)
		}
	}
	if failedRequests == 0 || failedRequests > 8 {
		t.Errorf("%d of 1000 requests in 10 seconds are placed on an engine that fails all, want 1 to 8", failedRequests)
	}
}

func TestPlace_AvoidsLongPausesOfRunningResponses(t *testing.T) {
	engines := newEngines(pairing.RoleDecode, pairing.RoleDecode, pairing.RolePrefill)
	for index := range engines {
		engines[index].Slots = 64
	}
	owner := newOwnerBalancer(engines)
	place := func(number, tokens int) balancer.Selection {
		requirements := unsharedRequest(number, tokens)
		requirements.EventTimeout = 200 * clock.Millisecond
		requirements.NoSplit = true
		selection, ok := owner.Place(clock.Second, requirements, 4000)
		if !ok {
			t.Fatalf("request %d is not placed", number)
		}
		return selection
	}
	for number := range 6 {
		if selection := place(number, 100); selection.PausedRuns != 0 {
			t.Errorf("a short prompt pauses %d responses, want 0", selection.PausedRuns)
		}
	}
	long := place(100, 12_000)
	if long.PausedRuns == 0 {
		t.Error("a long prompt on a decoder with running responses pauses none of them")
	}
	// Requests whose prompts a prefill engine computes go to the other decoder, though it generates more
	// responses.
	for number := range 12 {
		selection, ok := owner.Place(clock.Second, splitRequest(200+number), 4000)
		if !ok || selection.Decoder == long.Decoder {
			t.Errorf("request %d is placed on %q, which computes a long prompt, or is not placed (%v)",
				number, selection.Decoder.Incarnation, ok)
		}
	}
}

// splitRequest returns a request with an event timeout whose prompt a prefill engine computes.
func splitRequest(number int) balancer.Requirements {
	requirements := unsharedRequest(number, 4000)
	requirements.EventTimeout = 200 * clock.Millisecond
	return requirements
}

// Guards against losing requests with a single attempt to an engine that may still be failing: only other
// requests are placed on an engine on probation.
func TestPlace_SingleAttemptsAvoidEnginesOnProbation(t *testing.T) {
	owner := newOwnerBalancer(newEngines(pairing.RolePrefill, pairing.RolePrefill, pairing.RoleDecode))
	owner.RecordOverdue(clock.Second, engineName(0))
	now := clock.Second + 800*clock.Millisecond
	probed := false
	for number := range 6 {
		requirements := unsharedRequest(number, 4000)
		requirements.SingleAttempt = true
		single, _ := owner.Place(now, requirements, 1)
		if single.Prefiller.Incarnation != engineName(1) {
			t.Errorf("a request with a single attempt is placed on %q, want %q", single.Prefiller.Incarnation, engineName(1))
		}
		several, _ := owner.Place(now, unsharedRequest(100+number, 4000), 1)
		probed = probed || several.Prefiller.Incarnation == engineName(0)
		now += 10 * clock.Second / 100
	}
	if !probed {
		t.Error("no other request is placed on the engine on probation either: the test proves nothing")
	}
}
