package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/dataplane/placement"
	"coursepass/internal/dataplane/proxy"
	"coursepass/internal/errcode"
	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
	"coursepass/internal/state/route"
)

// recordingEngines is an engine client that answers all calls and records their engines.
type recordingEngines struct {
	prefillers, decoders []string
}

func (r *recordingEngines) Prefill(
	_ context.Context, attempt platformport.Attempt,
) (platformport.KVHandle, platformport.Outcome, error) {
	r.prefillers = append(r.prefillers, attempt.Incarnation)
	return platformport.KVHandle{Name: "kv"}, platformport.OutcomeAnswered, nil
}

func (r *recordingEngines) Generate(
	_ context.Context, attempt platformport.Attempt,
) (platformport.Response, platformport.Outcome, error) {
	r.decoders = append(r.decoders, attempt.Incarnation)
	return oneEventResponse(), platformport.OutcomeAnswered, nil
}

func (r *recordingEngines) ReleaseKV(context.Context, string, string) error { return nil }

// scriptedOwner is a placement owner that gives the same answer to all queries, and records queries and
// reports.
type scriptedOwner struct {
	answer  placement.Answer
	err     error
	queries []placement.Query
	reports chan placement.EngineReport
	// onQuery, if set, is called before each answer.
	onQuery func(*placement.Query)
	lock    sync.Mutex
}

func (s *scriptedOwner) ReportEngine(
	_ context.Context, _ pairing.PlacementOwner, report *placement.EngineReport,
) error {
	s.reports <- *report
	return nil
}

func (s *scriptedOwner) AskPlacement(
	_ context.Context, _ pairing.PlacementOwner, query *placement.Query,
) (*placement.Answer, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.queries = append(s.queries, *query)
	if s.onQuery != nil {
		s.onQuery(query)
	}
	answer := s.answer
	return &answer, s.err
}

// placementFixture is a proxy with two engines of each role and one placement owner.
type placementFixture struct {
	*proxy.Proxy
	engines *recordingEngines
	owner   *scriptedOwner
	now     clock.Microseconds
}

func newPlacementFixture(t *testing.T, ownerName string) *placementFixture {
	t.Helper()
	fixture := &placementFixture{engines: &recordingEngines{}, owner: &scriptedOwner{reports: make(chan placement.EngineReport, 100)}, now: clock.Second}
	timeSource := clock.NewFromSource(func() clock.Microseconds { return fixture.now })
	fixture.Proxy = newTestProxyWithClock(timeSource, fixture.engines, 1, false, placementRoles...)
	fixture.Placer = fixture.owner
	fixture.UpdateEngines(placementView(ownerName), 1)
	return fixture
}

// placementRoles are the roles of the fixture's engines.
var placementRoles = []string{pairing.RolePrefill, pairing.RolePrefill, pairing.RoleDecode, pairing.RoleDecode}

// placementView returns a view of the fixture's engines and of one router that owns them all.
func placementView(ownerName string) registry.View {
	view := registry.View{Engines: map[string]registry.Engine{}, Assignments: map[string]pairing.Assignment{}}
	for index, role := range placementRoles {
		name := fmt.Sprintf("engine-%d", index)
		view.Engines[name] = registry.Engine{
			Name:        name,
			Incarnation: name,
			Service:     "model",
			Zone:        "norte",
			Address:     "10.0.0.1:1",
			Role:        role,
			Slots:       8,
		}
	}
	view.Assignments["model"] = pairing.Assignment{
		Service:         "model",
		PlacementOwners: []pairing.PlacementOwner{{Router: ownerName, Address: "10.0.0.9:1", Zone: "norte"}},
	}
	return view
}

// setPlacement sets the owner's answer to a placement at the given engines.
func (p *placementFixture) setPlacement(prefiller, decoder string) {
	p.owner.answer = placement.Answer{
		Placed:       true,
		Prefiller:    prefiller,
		Decoder:      decoder,
		PrefillTerms: []float64{70, 30, 1},
	}
}

func TestPlacement_OwnerDecides(t *testing.T) {
	for _, engines := range [][2]string{{"engine-0", "engine-3"}, {"engine-1", "engine-2"}} {
		fixture := newPlacementFixture(t, "owner")
		fixture.setPlacement(engines[0], engines[1])
		if _, completed := forward(fixture.Proxy, newLongPromptRequest()); !completed {
			t.Fatal("the request was not completed")
		}
		if got := fixture.engines.prefillers; len(got) != 1 || got[0] != engines[0] {
			t.Errorf("prefilled at %v, want %s", got, engines[0])
		}
		if got := fixture.engines.decoders; len(got) != 1 || got[0] != engines[1] {
			t.Errorf("decoded at %v, want %s", got, engines[1])
		}
		if fixture.PlacedByOwner.Load() != 1 || fixture.PlacedAlone.Load() != 0 {
			t.Errorf("%d selections by the owner and %d by the router, want 1 and 0",
				fixture.PlacedByOwner.Load(), fixture.PlacedAlone.Load())
		}
	}
}

// Guards against requests that fail because of their placement owner. If the owner does not answer, or
// its answer is malformed or cannot be used, the router selects the engines itself.
func TestPlacement_RouterDecidesAloneWithoutAUsableAnswer(t *testing.T) {
	for name, change := range map[string]func(*placementFixture){
		"no answer":            func(fixture *placementFixture) { fixture.owner.err = errors.New("lost") },
		"nothing placed":       func(fixture *placementFixture) { fixture.owner.answer = placement.Answer{} },
		"an unknown decoder":   func(fixture *placementFixture) { fixture.setPlacement("engine-0", "engine-77") },
		"an unknown prefiller": func(fixture *placementFixture) { fixture.setPlacement("engine-77", "engine-2") },
		"roles exchanged":      func(fixture *placementFixture) { fixture.setPlacement("engine-2", "engine-0") },
		"a negative wait": func(fixture *placementFixture) {
			fixture.setPlacement("engine-0", "engine-2")
			fixture.owner.answer.WaitMicros = -1
		},
		"an older form without a model": func(fixture *placementFixture) {
			fixture.setPlacement("engine-0", "engine-2")
			fixture.owner.answer.PrefillTerms = nil
		},
		"an engine that just failed here": func(fixture *placementFixture) {
			fixture.setPlacement("engine-0", "engine-2")
			fixture.HandleSuspect("model", "engine-0")
			fixture.HandleSuspect("model", "engine-2")
			fixture.now += 200 * clock.Millisecond
			fixture.HandleSuspect("model", "engine-0")
		},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newPlacementFixture(t, "owner")
			change(fixture)
			if _, completed := forward(fixture.Proxy, newLongPromptRequest()); !completed {
				t.Fatal("the request was not completed")
			}
			if fixture.PlacedByOwner.Load() != 0 || fixture.PlacedAlone.Load() != 1 {
				t.Errorf("%d selections by the owner and %d by the router, want 0 and 1",
					fixture.PlacedByOwner.Load(), fixture.PlacedAlone.Load())
			}
		})
	}
}

func TestPlacement_SilentOwnerIsNotAskedAgainAtOnce(t *testing.T) {
	fixture := newPlacementFixture(t, "owner")
	fixture.owner.err = errors.New("lost")
	for range 10 {
		forward(fixture.Proxy, newLongPromptRequest())
	}
	if asked := len(fixture.owner.queries); asked != 1 {
		t.Errorf("an owner that does not answer was asked %d times, want 1", asked)
	}
	fixture.now += 150 * clock.Millisecond
	fixture.owner.err = nil
	fixture.setPlacement("engine-0", "engine-2")
	for range 10 {
		forward(fixture.Proxy, newLongPromptRequest())
	}
	if placed := fixture.PlacedByOwner.Load(); placed != 10 {
		t.Errorf("%d of 10 requests were placed by an owner that answers again", placed)
	}
}

// Checks that a router that owns engines places its own requests without a call to another router, and
// answers the queries of other routers.
func TestPlacement_OwnerPlacesForAll(t *testing.T) {
	fixture := newPlacementFixture(t, "r")
	forward(fixture.Proxy, newLongPromptRequest())
	if len(fixture.owner.queries) != 0 || fixture.PlacedByOwner.Load() != 1 {
		t.Errorf("%d queries were sent and %d requests placed, want 0 and 1",
			len(fixture.owner.queries), fixture.PlacedByOwner.Load())
	}
	chosen := map[string]bool{}
	for _, key := range []string{"a", "b"} {
		answer, err := fixture.Place(&placement.Query{
			Router: "other", Zone: "norte", Service: "model", Key: key, MaxTokens: 10,
			Prompt: []placement.Chunk{{Name: key, Tokens: 8000}},
		})
		if err != nil || answer.Check() != nil || !answer.Placed {
			t.Fatalf("the query got the answer %+v and the error %v, want a placement", answer, err)
		}
		chosen[answer.Prefiller] = true
	}
	if len(chosen) != 2 {
		t.Errorf("two long prompts were placed at %v, want two prefill engines", chosen)
	}
	if _, err := fixture.Place(&placement.Query{}); err == nil {
		t.Error("a malformed query was answered")
	}
	other := &placement.Query{
		Router: "other", Zone: "norte", Service: "unknown", Prompt: []placement.Chunk{{Name: "a", Tokens: 1}},
	}
	if answer, err := fixture.Place(other); err != nil || answer.Placed {
		t.Errorf("a query for a service without owned engines got %+v and the error %v", answer, err)
	}
}

// Guards against samples that are lost or sent twice. Each sample must be sent to the owner with the next
// query, once.
func TestPlacement_QueriesTellWhatWasSeen(t *testing.T) {
	fixture := newPlacementFixture(t, "owner")
	fixture.setPlacement("engine-0", "engine-2")
	for range 3 {
		forward(fixture.Proxy, newLongPromptRequest())
	}
	prefills := 0
	for _, query := range fixture.owner.queries {
		if err := query.Check(); err != nil {
			t.Error(err)
		}
		prefills += len(query.Prefills)
	}
	if prefills != 2 {
		t.Errorf("three queries carried %d samples, want the samples of the first two prefills", prefills)
	}
}

// unresponsivePrefiller is an engine client whose prefill calls are never answered. All other calls are.
type unresponsivePrefiller struct {
	recordingEngines
	lock  sync.Mutex
	calls int
}

func (s *unresponsivePrefiller) Prefill(
	ctx context.Context, _ platformport.Attempt,
) (platformport.KVHandle, platformport.Outcome, error) {
	s.lock.Lock()
	s.calls++
	s.lock.Unlock()
	<-ctx.Done()
	return platformport.KVHandle{}, platformport.OutcomeUnknown, ctx.Err()
}

// newUnresponsiveFixture returns a fixture whose prefill calls are never answered. It uses the clock of the
// synctest bubble.
func newUnresponsiveFixture(t *testing.T) *placementFixture {
	t.Helper()
	fixture := newPlacementFixture(t, "owner")
	options := proxy.Options{Options: balancer.Options{Router: "r", Zone: "norte"}, RetryRatio: 0.2, RetryBurst: 60}
	fixture.Proxy = proxy.New(options, clock.New(), &unresponsivePrefiller{})
	earnRetryTokens(fixture.Proxy, 100, singleAttemptRoutes())
	fixture.Placer = fixture.owner
	fixture.UpdateEngines(placementView("owner"), 1)
	fixture.setPlacement("engine-0", "engine-2")
	return fixture
}

// singleAttemptRoutes returns a table with a route of one attempt that has targets for the first and later
// events.
func singleAttemptRoutes() route.Table {
	routes := singleRoute(1, false)
	flag := routes.Routes["flag"]
	flag.EventTimeout = 200 * clock.Millisecond
	routes.Routes["flag"] = flag
	return routes
}

// closeBackground waits for the proxy's background calls.
func closeBackground(t *testing.T, tested *proxy.Proxy) {
	t.Helper()
	if err := tested.CloseBackground(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// Guards against an owner that is not told of an unresponsive engine, or is flooded with reports about it
// when many calls to the engine are pending.
func TestPlacement_OwnerIsToldOfSilentEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newUnresponsiveFixture(t)
		var group sync.WaitGroup
		for range 10 {
			group.Go(func() { forward(fixture.Proxy, newLongPromptRequest()) })
		}
		group.Wait()
		closeBackground(t, fixture.Proxy)
		close(fixture.owner.reports)
		count := 0
		for report := range fixture.owner.reports {
			count++
			if report.Incarnation != "engine-0" || report.Check() != nil {
				t.Errorf("report %+v, want a well-formed report about engine-0", report)
			}
		}
		if count == 0 || count > 5 {
			t.Errorf("%d reports about one engine, want 1 to 5", count)
		}
	})
}

// Guards against a call that a request starts in the background after the proxy has waited for the last one,
// because the request outlived the shutdown of the frontend.
func TestPlacement_NoBackgroundCallAfterClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newUnresponsiveFixture(t)
		var group sync.WaitGroup
		group.Go(func() { forward(fixture.Proxy, newLongPromptRequest()) })
		synctest.Wait() // The prefill call is pending.
		closeBackground(t, fixture.Proxy)
		group.Wait()
		synctest.Wait()
		if reports := len(fixture.owner.reports); reports != 0 {
			t.Errorf("%d reports of an engine after the proxy was closed, want none", reports)
		}
	})
}

// Guards against a request that pauses other responses after its prefill failed. If its decode engine
// would pause several responses to prefill the prompt, the request is rejected with a retry delay. If it
// would pause at most one, the request is served.
func TestPlacement_FailedPrefillPausesNoOthers(t *testing.T) {
	for _, testCase := range []struct{ pausedRuns, left int }{{0, 0}, {1, 0}, {5, 1}} {
		synctest.Test(t, func(t *testing.T) {
			fixture := newUnresponsiveFixture(t)
			fixture.owner.onQuery = func(query *placement.Query) {
				if query.NoSplit {
					fixture.owner.answer.Prefiller = ""
					fixture.owner.answer.PausedRuns = testCase.pausedRuns
				}
			}
			request := newLongPromptRequest()
			request.Timeout = 4 * clock.Second
			recorder, _ := forward(fixture.Proxy, request)
			closeBackground(t, fixture.Proxy)
			if left := fixture.RejectedToAvoidPauses.Load(); left != int64(testCase.left) {
				t.Errorf("%d responses would be paused: %d requests were rejected, want %d",
					testCase.pausedRuns, left, testCase.left)
			}
			if rejected := recorder.code == errcode.NoEngine && recorder.retryAfter > 0; rejected != (testCase.left > 0) {
				t.Errorf("%d responses would be paused: code %v, retry after %d µs",
					testCase.pausedRuns, recorder.code, recorder.retryAfter)
			}
		})
	}
}

func TestHandleEngineReport_MalformedIsIgnored(t *testing.T) {
	fixture := newPlacementFixture(t, "r")
	fixture.HandleEngineReport(&placement.EngineReport{Router: "other"})
	if fixture.EngineReports.Load() != 0 {
		t.Error("a malformed report was counted")
	}
	report := &placement.EngineReport{Router: "other", Service: "model", Incarnation: "engine-0"}
	fixture.HandleEngineReport(report)
	if fixture.EngineReports.Load() != 1 {
		t.Error("a report was not counted")
	}
	for number := range 4 {
		answer, err := fixture.Place(&placement.Query{
			Router: "other", Zone: "norte", Service: "model", Key: fmt.Sprint(number),
			Prompt: []placement.Chunk{{Name: fmt.Sprint(number), Tokens: 8000}},
		})
		if err != nil || answer.Prefiller != "engine-1" {
			t.Errorf("placed at %q with the error %v, want engine-1, which was not reported", answer.Prefiller, err)
		}
	}
}

// hangingOwner is a placement owner that never answers a query.
type hangingOwner struct{ scriptedOwner }

func (*hangingOwner) AskPlacement(
	ctx context.Context, _ pairing.PlacementOwner, _ *placement.Query,
) (*placement.Answer, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against requests that wait too long for a placement owner that does not answer.
func TestPlacement_HangingOwnerDelaysNoRequestForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newPlacementFixture(t, "owner")
		fixture.Placer = &hangingOwner{}
		startedAt := time.Now()
		if _, completed := forward(fixture.Proxy, newLongPromptRequest()); !completed {
			t.Fatal("the request was not completed")
		}
		if waited := time.Since(startedAt); waited > 50*time.Millisecond {
			t.Errorf("the request took %v, want at most 50 ms", waited)
		}
	})
}
