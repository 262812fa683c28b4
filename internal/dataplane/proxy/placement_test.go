package proxy_test

import (
	"context"
	"errors"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/placement"
	"coursepass/internal/dataplane/proxy"
	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

// recordingEngines answers all calls and records which engines got them.
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

// scriptedOwner is a placement owner that answers what it is told to, and counts the queries.
type scriptedOwner struct {
	answer  placement.Answer
	err     error
	queries []placement.Query
}

func (s *scriptedOwner) AskPlacement(
	_ context.Context, _ pairing.PlacementOwner, query *placement.Query,
) (*placement.Answer, error) {
	s.queries = append(s.queries, *query)
	return &s.answer, s.err
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
	fixture := &placementFixture{engines: &recordingEngines{}, owner: &scriptedOwner{}, now: clock.Second}
	timeSource := clock.NewFromSource(func() clock.Microseconds { return fixture.now })
	roles := []string{pairing.RolePrefill, pairing.RolePrefill, pairing.RoleDecode, pairing.RoleDecode}
	fixture.Proxy = newTestProxyWithClock(timeSource, fixture.engines, 1, false, roles...)
	fixture.Placer = fixture.owner
	view := registry.View{Engines: map[string]registry.Engine{}, Assignments: map[string]pairing.Assignment{}}
	for index, role := range roles {
		name := []string{"engine-0", "engine-1", "engine-2", "engine-3"}[index]
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
	fixture.UpdateEngines(view, 1)
	return fixture
}

// placed has the owner answer with a placement.
func (p *placementFixture) placed(prefiller, decoder string) {
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
		fixture.placed(engines[0], engines[1])
		if _, completed := forward(fixture.Proxy, newLongPromptRequest()); !completed {
			t.Fatal("not completed")
		}
		if got := fixture.engines.prefillers; len(got) != 1 || got[0] != engines[0] {
			t.Errorf("prefilled at %v, placed at %s", got, engines[0])
		}
		if got := fixture.engines.decoders; len(got) != 1 || got[0] != engines[1] {
			t.Errorf("decoded at %v, placed at %s", got, engines[1])
		}
		if fixture.PlacedByOwner.Load() != 1 || fixture.PlacedAlone.Load() != 0 {
			t.Errorf("%d placed by the owner, %d alone", fixture.PlacedByOwner.Load(), fixture.PlacedAlone.Load())
		}
	}
}

// Whatever the owner says or does not say, the request is served.
func TestPlacement_RouterDecidesAloneWithoutAUsableAnswer(t *testing.T) {
	for name, change := range map[string]func(*placementFixture){
		"no answer":            func(fixture *placementFixture) { fixture.owner.err = errors.New("lost") },
		"nothing placed":       func(fixture *placementFixture) { fixture.owner.answer = placement.Answer{} },
		"an unknown decoder":   func(fixture *placementFixture) { fixture.placed("engine-0", "engine-77") },
		"an unknown prefiller": func(fixture *placementFixture) { fixture.placed("engine-77", "engine-2") },
		"roles exchanged":      func(fixture *placementFixture) { fixture.placed("engine-2", "engine-0") },
		"a negative wait": func(fixture *placementFixture) {
			fixture.placed("engine-0", "engine-2")
			fixture.owner.answer.WaitMicros = -1
		},
		"an older form without a model": func(fixture *placementFixture) {
			fixture.placed("engine-0", "engine-2")
			fixture.owner.answer.PrefillTerms = nil
		},
		"an engine that just failed here": func(fixture *placementFixture) {
			fixture.placed("engine-0", "engine-2")
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
				t.Fatal("not completed")
			}
			if fixture.PlacedByOwner.Load() != 0 || fixture.PlacedAlone.Load() != 1 {
				t.Errorf("%d placed by the owner, %d alone", fixture.PlacedByOwner.Load(), fixture.PlacedAlone.Load())
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
		t.Errorf("asked %d times", asked)
	}
	fixture.now += 150 * clock.Millisecond
	fixture.owner.err = nil
	fixture.placed("engine-0", "engine-2")
	for range 10 {
		forward(fixture.Proxy, newLongPromptRequest())
	}
	if placed := fixture.PlacedByOwner.Load(); placed != 10 {
		t.Errorf("%d of 10 placed by an owner that answers again", placed)
	}
}

// A router that owns engines places its own requests without a call, and those of others by theirs.
func TestPlacement_OwnerPlacesForAll(t *testing.T) {
	fixture := newPlacementFixture(t, "r")
	forward(fixture.Proxy, newLongPromptRequest())
	if len(fixture.owner.queries) != 0 || fixture.PlacedByOwner.Load() != 1 {
		t.Errorf("%d calls, %d placed", len(fixture.owner.queries), fixture.PlacedByOwner.Load())
	}
	chosen := map[string]bool{}
	for _, key := range []string{"a", "b"} {
		answer, err := fixture.Place(&placement.Query{
			Router: "other", Zone: "norte", Service: "model", Key: key, MaxTokens: 10,
			Prompt: []placement.Chunk{{Name: key, Tokens: 8000}},
		})
		if err != nil || answer.Check() != nil || !answer.Placed {
			t.Fatalf("%+v %v", answer, err)
		}
		chosen[answer.Prefiller] = true
	}
	if len(chosen) != 2 {
		t.Errorf("two long prompts are placed at %v", chosen)
	}
	if _, err := fixture.Place(&placement.Query{}); err == nil {
		t.Error("a malformed query is answered")
	}
	other := &placement.Query{
		Router: "other", Zone: "norte", Service: "unknown", Prompt: []placement.Chunk{{Name: "a", Tokens: 1}},
	}
	if answer, err := fixture.Place(other); err != nil || answer.Placed {
		t.Errorf("a service without engines here: %+v %v", answer, err)
	}
}

// What a router has seen goes to the owner with the next query, once.
func TestPlacement_QueriesTellWhatWasSeen(t *testing.T) {
	fixture := newPlacementFixture(t, "owner")
	fixture.placed("engine-0", "engine-2")
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
		t.Errorf("%d samples of three prefills arrived with the queries after them", prefills)
	}
}
