package explore

import (
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
)

// deeper are the scenes from which a search of two events is short enough for every run.
var deeper = map[string]bool{"leader crashed": true, "leader cut off": true, "member wiped": true, "seat given": true}

// A short search from each scene, and a few walks, on every run of the tests. The command
// `coursepass-faulttest explore` searches further.
func TestSearchFromEachScene(test *testing.T) {
	for _, members := range []int{3, 5} {
		options := Standard(members)
		for _, scene := range Scenes(members) {
			world, err := scene.Begin(options)
			if err != nil {
				test.Fatal(err)
			}
			search := &Search{Depth: 1, States: 1000, Workers: 2}
			if members == 3 && deeper[scene.Name] {
				search.Depth = 2
			}
			search.Run(world)
			test.Logf("from %q, %d members:\n%s", scene.Name, members, search)
			if search.Distinct < 15 {
				test.Errorf("from %q only %d states were found", scene.Name, search.Distinct)
			}
			report(test, search.Failures)
		}
	}
}

func TestWalks(test *testing.T) {
	for _, members := range []int{3, 5} {
		answered := 0
		for seed := range uint64(4) {
			options := Standard(members)
			options.Budget, options.InFlight = Generous, WalkInFlight
			world := New(options)
			world.Walk(seed, 500)
			answered += world.Acknowledged()
			if len(world.Violations) > 0 {
				report(test, []Failure{Shrink(options, world.Path())})
			}
		}
		if answered < 20 {
			test.Errorf("%d members answered only %d orders and reads", members, answered)
		}
	}
}

func report(test *testing.T, failures []Failure) {
	test.Helper()
	for _, failure := range failures[:min(len(failures), 3)] {
		test.Errorf("%v after %s", failure.Violations, Format(failure.Path))
	}
}

// The same events lead to the same state, and copies do not touch each other.
func TestCopiesAreApart(test *testing.T) {
	options := Standard(3)
	options.Budget, options.InFlight = Generous, WalkInFlight
	world := New(options)
	world.Walk(3, 300)
	before := world.Fingerprint()
	other := world.clone()
	if other.Fingerprint() != before {
		test.Error("a copy has another fingerprint")
	}
	other.Walk(4, 300)
	if world.Fingerprint() != before {
		test.Error("steps of a copy changed the original")
	}
	if other.Fingerprint() == before {
		test.Error("300 events changed nothing")
	}
}

func TestEventsAreReadAsTheyAreWritten(test *testing.T) {
	options := Standard(3)
	options.Budget, options.InFlight = Generous, WalkInFlight
	world := New(options)
	world.Walk(5, 400)
	text := Format(world.Path())
	events, err := ParseEvents(text)
	if err != nil {
		test.Fatal(err)
	}
	if Format(events) != text {
		test.Error("the path is read as another")
	}
	again := Replay(options, events)
	if len(again.Path()) != len(events) || again.Describe() != world.Describe() {
		test.Errorf("the replay ended in another state after %d of %d events:\n%s%s", len(again.Path()), len(events), again.Describe(), world.Describe())
	}
}

// removedReturns have a daemon that lost its seat hear of older bindings from one that was
// wiped. Walks found them; when the machines' steps change so that neither leads there any
// more, `coursepass-faulttest explore --scene none --heed-older --walks 400` finds others.
var removedReturns = []string{
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

// Observers that never see anything prove nothing: a known fault must be seen.
func TestAKnownFaultIsSeen(test *testing.T) {
	seen := 0
	for _, path := range removedReturns {
		events, err := ParseEvents(path)
		if err != nil {
			test.Fatal(err)
		}
		options := Standard(3)
		options.Lease, options.Margin = 1200*schedule.Millisecond, 60*schedule.Millisecond
		options.Budget, options.InFlight = Generous, WalkInFlight
		if world := Replay(options, events); len(world.Violations) > 0 {
			test.Errorf("%v", world.Violations)
		}
		options.HeedOlder = true
		seen += len(Replay(options, events).Violations)
	}
	if seen == 0 {
		test.Error("a second majority of removed daemons was not seen")
	}
}

// Each observer sees what it is there for.
func TestObservers(test *testing.T) {
	led := func() *World {
		events, err := ParseEvents("calm:0:24 order:0:0:1:0:a calm:0:2")
		if err != nil {
			test.Fatal(err)
		}
		return Replay(Standard(3), events)
	}
	if world := led(); len(world.Violations) > 0 || world.Acknowledged() != 1 || !world.daemons[0].member.Owns() {
		test.Fatalf("%v, %d answered", world.Violations, world.Acknowledged())
	}
	lies := map[string]func(*World){
		"two entries at one place": func(world *World) { world.daemons[1].member.Entries[0].Data = []byte{9} },
		"another history": func(world *World) {
			world.daemons[1].replica.present = world.history.next(Order{7, 0, "z"}.encode(99))
		},
		"a second holder": func(world *World) { world.watch.lords[0] = lordship{2, 1} },
		"a lower round":   func(world *World) { world.watch.covered = 5 },
		"an owner without an acknowledged entry": func(world *World) {
			world.watch.acknowledged[0].index = 9
		},
		"a lagging majority": func(world *World) {
			world.watch.acknowledged = append(world.watch.acknowledged, acknowledgement{position: position{99, 9}, present: world.history, lagging: map[uint64]uint32{}})
		},
		"a label taken twice": func(world *World) { world.accepted(Order{1, 0, "b"}) },
		"a base taken twice":  func(world *World) { world.accepted(Order{5, 0, "b"}) },
		"a taken order refused": func(world *World) {
			order := Order{1, 0, "a"}
			refusal := world.history.next(Order{1, 4, "x"}.encode(98))
			world.answer(world.daemons[0], proposal{order: order}, part.Result{Index: 9, Answer: refusal.answer})
		},
		"an old read": func(world *World) {
			world.daemons[0].replica.present = world.history
			world.shown(world.daemons[0], reading{acknowledged: 1})
		},
		"an owner without contact": func(world *World) {
			clear(world.watch.contacts)
		},
	}
	for name, lie := range lies {
		world := led()
		lie(world)
		if world.check(); len(world.Violations) == 0 {
			test.Errorf("%s was not seen", name)
		}
	}
}
