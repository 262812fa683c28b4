package modelcheck

import (
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
)

// deepScenarios are the scenarios from which a search of depth two is fast enough for every run.
var deepScenarios = map[string]bool{"leader crashed": true, "leader cut off": true, "member wiped": true, "seat given": true}

// TestSearch_FromEachScenario makes a short search on every run of the tests. The command
// `coursepass-faulttest explore` searches further.
func TestSearch_FromEachScenario(t *testing.T) {
	for _, members := range []int{3, 5} {
		options := StandardOptions(members)
		for _, scenario := range Scenarios(members) {
			state, err := scenario.Begin(options)
			if err != nil {
				t.Fatal(err)
			}
			search := &Search{MaxDepth: 1, MaxStates: 1000, Workers: 2}
			if members == 3 && deepScenarios[scenario.Name] {
				search.MaxDepth = 2
			}
			search.Run(state)
			t.Logf("from %q, %d members:\n%s", scenario.Name, members, search)
			if search.Distinct < 15 {
				t.Errorf("from %q only %d states were reached", scenario.Name, search.Distinct)
			}
			reportCounterexamples(t, search.Counterexamples)
		}
	}
}

func TestRandomWalks(t *testing.T) {
	for _, members := range []int{3, 5} {
		answered := 0
		for seed := range uint64(4) {
			options := StandardOptions(members)
			options.Budget, options.MaxInFlight = WalkBudget, WalkMaxInFlight
			state := New(options)
			state.RandomWalk(seed, 500)
			answered += state.AcknowledgedCount()
			if len(state.Violations) > 0 {
				reportCounterexamples(t, []Counterexample{Shrink(options, state.Path())})
			}
		}
		if answered < 20 {
			t.Errorf("%d members answered only %d proposals and reads", members, answered)
		}
	}
}

func reportCounterexamples(t *testing.T, failures []Counterexample) {
	t.Helper()
	for _, failure := range failures[:min(len(failures), 3)] {
		t.Errorf("%v after %s", failure.Violations, FormatActions(failure.Path))
	}
}

// TestClone_IsIndependentOfOriginal checks that steps of a clone do not change the original.
func TestClone_IsIndependentOfOriginal(t *testing.T) {
	options := StandardOptions(3)
	options.Budget, options.MaxInFlight = WalkBudget, WalkMaxInFlight
	state := New(options)
	state.RandomWalk(3, 300)
	original := state.Fingerprint()
	clone := state.clone()
	if clone.Fingerprint() != original {
		t.Error("the clone has another fingerprint")
	}
	clone.RandomWalk(4, 300)
	if state.Fingerprint() != original {
		t.Error("steps of the clone changed the original")
	}
	if clone.Fingerprint() == original {
		t.Error("300 steps changed nothing")
	}
}

func TestActions_ParseFormatRoundTrip(t *testing.T) {
	options := StandardOptions(3)
	options.Budget, options.MaxInFlight = WalkBudget, WalkMaxInFlight
	state := New(options)
	state.RandomWalk(5, 400)
	text := FormatActions(state.Path())
	actions, err := ParseActions(text)
	if err != nil {
		t.Fatal(err)
	}
	if FormatActions(actions) != text {
		t.Error("the parsed path differs")
	}
	replayed := Replay(options, actions)
	if len(replayed.Path()) != len(actions) || replayed.Describe() != state.Describe() {
		t.Errorf("the replay ended in another state after %d of %d actions:\n%s%s",
			len(replayed.Path()), len(actions), replayed.Describe(), state.Describe())
	}
}

// removedMemberPaths have a daemon that was replaced learn an older membership from one that was
// wiped. Walks found them; when the steps of the replicas change so that none leads there any
// more, `coursepass-faulttest explore --scene none --heed-older --walks 400` finds others.
var removedMemberPaths = []string{
	"sync:1:0 tick:0:0 tick:0:0 tick:0:0 deliver:0:0:0>1.prepare.0.0+0 deliver:0:0:1>0.ping.0 sync:1:0 deliver:0:0:1>0.promise.0.0+0 " +
		"deliver:0:0:0>1.pong.0 sync:0:0 sync:0:0 tick:0:0 tick:0:0 deliver:0:0:1>2.ok.1 tick:0:0 tick:0:0 override:3:1 tick:0:0 calm:0:15 " +
		"order:2:0:1:0:operator0 sync:2:0 crash:0:0 deliver:0:0:2>3.append.2.5+1 sync:3:0 deliver:0:0:3>2.appended.2.6+0 crash:2:0 wipe:2:0 " +
		"restart:2:0 crash:3:0 calm:0:15 restart:0:0 calm:0:15",
	"tick:0:0 tick:0:0 tick:0:0 calm:0:15 order:1:0:1:0:operator0 tick:0:0 order:1:0:1:0:operator1 tick:0:0 tick:0:0 calm:0:15 seek:3:0 " +
		"tick:0:0 deliver:0:0:2>1.ok.2 tick:0:0 isolate:0:0 tick:0:0 calm:0:2 heal:0:0 calm:0:2 seek:0:1 tick:0:0 tick:0:0 crash:1:0 tick:0:0 " +
		"calm:0:15 restart:1:0 crash:2:0 wipe:2:0 restart:2:0 tick:0:0 calm:0:15",
	"override:3:2 calm:0:2 tick:0:0 tick:0:0 tick:0:0 override:2:1 tick:0:0 tick:0:0 calm:0:15 crash:0:1 wipe:0:0 " +
		"restart:0:0 calm:0:15 tick:0:0 override:1:0 tick:0:0 calm:0:9 crash:3:0 wipe:3:0 restart:3:0 calm:0:15",
}

// TestInvariants_DetectKnownFault checks that the invariants detect a planted fault, and report
// nothing on the same paths without it.
func TestInvariants_DetectKnownFault(t *testing.T) {
	seen := 0
	for _, path := range removedMemberPaths {
		actions, err := ParseActions(path)
		if err != nil {
			t.Fatal(err)
		}
		options := StandardOptions(3)
		options.LeaseDuration, options.SafetyMargin = 1200*clock.Millisecond, 60*clock.Millisecond
		options.Budget, options.MaxInFlight = WalkBudget, WalkMaxInFlight
		if state := Replay(options, actions); len(state.Violations) > 0 {
			t.Errorf("%v", state.Violations)
		}
		options.AcceptOlderMembership = true
		seen += len(Replay(options, actions).Violations)
	}
	if seen == 0 {
		t.Error("a second majority of removed daemons was not detected")
	}
}

// TestInvariants_DetectEachViolation corrupts the state of a group in each way that an invariant is
// there to detect.
func TestInvariants_DetectEachViolation(t *testing.T) {
	replayLedGroup := func() *State {
		actions, err := ParseActions("calm:0:24 order:0:0:1:0:a calm:0:2")
		if err != nil {
			t.Fatal(err)
		}
		return Replay(StandardOptions(3), actions)
	}
	if state := replayLedGroup(); len(state.Violations) > 0 || state.AcknowledgedCount() != 1 || !state.daemons[0].replica.IsLeader() {
		t.Fatalf("%v, %d answered", state.Violations, state.AcknowledgedCount())
	}
	corruptions := map[string]func(*State){
		"two entries at one index": func(state *State) { state.daemons[1].replica.Entries[0].Data = []byte{9} },
		"another history": func(state *State) {
			state.daemons[1].stateMachine.version = state.rootVersion.next(Change{7, 0, "z"}.encode(99))
		},
		"a second lease holder": func(state *State) { state.checker.leaseHolderOfTerm[0] = leaseHolder{2, 1} },
		"a lower term":          func(state *State) { state.checker.highestLeaseTerm = 5 },
		"a leader without an acknowledged entry": func(state *State) {
			state.checker.acknowledgements[0].index = 9
		},
		"a lagging majority": func(state *State) {
			state.checker.acknowledgements = append(state.checker.acknowledgements, acknowledgement{
				logPosition:  logPosition{99, 9},
				version:      state.rootVersion,
				laggingSlots: map[uint64]uint32{},
			})
		},
		"a label accepted twice": func(state *State) { state.recordAcceptedChange(Change{1, 0, "b"}) },
		"two changes on a label": func(state *State) { state.recordAcceptedChange(Change{5, 0, "b"}) },
		"an accepted change rejected": func(state *State) {
			change := Change{1, 0, "a"}
			rejection := state.rootVersion.next(Change{1, 4, "x"}.encode(98))
			state.checkProposalResult(state.daemons[0], proposal{change: change}, consensus.Result{Index: 9, Response: rejection.answer})
		},
		"a stale read": func(state *State) {
			state.daemons[0].stateMachine.version = state.rootVersion
			state.checkReadAnswer(state.daemons[0], pendingRead{acknowledgedBefore: 1})
		},
		"a leader without contact": func(state *State) {
			clear(state.checker.lastQuorumContact)
		},
	}
	for name, corrupt := range corruptions {
		state := replayLedGroup()
		corrupt(state)
		if state.checkInvariants(); len(state.Violations) == 0 {
			t.Errorf("%s was not detected", name)
		}
	}
}
