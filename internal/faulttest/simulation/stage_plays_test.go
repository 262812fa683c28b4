package simulation_test

import (
	"fmt"
	"testing"
	"time"

	"coursepass/internal/adminclient"
	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/loadgen"
	"coursepass/internal/state/config"
)

const recovery = 12 * time.Second

func most(test *testing.T, figures *load.Figures, share float64) {
	test.Helper()
	if whole := float64(figures.Endings["whole"]) / float64(figures.Sent); whole < share {
		test.Errorf("only %.3f of the answers were whole, not %.3f", whole, share)
	}
}

func TestAWholeFleetServes(test *testing.T) {
	play(test, func(stage *stage) {
		figures := stage.during(5, func() {})
		if most(test, figures, 1); figures.Late > 0 {
			test.Errorf("%d late starts", figures.Late)
		}
	})
}

func TestLeaderKilled(test *testing.T) {
	play(test, func(stage *stage) {
		most(test, stage.during(20, func() {
			leader := stage.leader()
			stage.kill(leader)
			time.Sleep(8 * time.Second)
			if next := stage.leader(); next == "" || next == leader {
				test.Errorf("after %s the leader is %q", leader, next)
			}
			stage.wake(leader)
		}), 0.99)
	})
}

func TestLeaderIsolatedAndBack(test *testing.T) {
	play(test, func(stage *stage) {
		most(test, stage.during(24, func() {
			leader := stage.leader()
			stage.Isolate(leader, stage.names())
			time.Sleep(9 * time.Second)
			stage.Heal()
			time.Sleep(4 * time.Second)
		}), 0.98)
	})
}

func TestCoreSplit(test *testing.T) {
	play(test, func(stage *stage) {
		stage.during(16, func() {
			for _, from := range []string{"core-0", "core-1", "core-2"} {
				stage.Isolate(from, []string{"core-0", "core-1", "core-2"})
			}
			time.Sleep(6 * time.Second)
			stage.Heal()
		})
		if span := stage.recovers(); span > recovery {
			test.Errorf("serving came back only after %v", span)
		}
	})
}

func TestRouterIsolated(test *testing.T) {
	play(test, func(stage *stage) {
		alone := operator.Target{Cores: stage.routPub[1:2], Network: stage.change().Network}
		var text string
		figures := stage.during(14, func() {
			stage.Isolate("router-1", []string{"core-0", "core-1", "core-2", "router-0", "router-2"})
			time.Sleep(2 * time.Second)
			if err := alone.Get("/ready", &text); mishap.CodeOf(err, 0) != mishap.RouterStale {
				test.Errorf("a router that can't prove its configuration says %v", err)
			}
			stage.Heal()
			time.Sleep(2 * time.Second)
			if err := alone.Get("/ready", &text); err != nil {
				test.Error(err)
			}
		})
		most(test, figures, 0.99)
	})
}

// Engines of both parts die in the middle of a load: each request that is in
// prefill, in hand-over or in decode there ends honestly.
func TestEnginesKilled(test *testing.T) {
	play(test, func(stage *stage) {
		figures := stage.during(16, func() {
			for _, name := range []string{"engine-0", "engine-5", "engine-2"} {
				stage.kill(name)
				time.Sleep(700 * time.Millisecond)
				stage.wake(name)
				time.Sleep(1500 * time.Millisecond)
			}
		})
		most(test, figures, 0.95)
		if figures.Endings["whole"] == figures.Sent {
			test.Error("nothing was hit: the kills missed all requests")
		}
	})
}

func TestEvacuation(test *testing.T) {
	play(test, func(stage *stage) {
		figures := stage.during(18, func() {
			evacuate := &operator.Evacuate{Change: stage.change()}
			evacuate.Arguments.Hall = "sur"
			if err := evacuate.Run(); err != nil {
				test.Error(err)
			}
			time.Sleep(5 * time.Second)
			before := stage.begun("engine-2") + stage.begun("engine-5")
			time.Sleep(4 * time.Second)
			if after := stage.begun("engine-2") + stage.begun("engine-5"); after != before {
				test.Errorf("%d runs began in an evacuated hall after five seconds", after-before)
			}
			evacuate.Back = true
			if err := evacuate.Run(); err != nil {
				test.Error(err)
			}
			time.Sleep(2 * time.Second)
			if after := stage.begun("engine-2") + stage.begun("engine-5"); after == before {
				test.Error("nothing began in a hall two seconds after its return")
			}
		})
		most(test, figures, 0.99)
	})
}

func TestLeavingEngineGetsNothingNew(test *testing.T) {
	play(test, func(stage *stage) {
		figures := stage.during(14, func() {
			leave := &operator.Leave{Target: stage.change().Target}
			leave.Arguments.Service, leave.Arguments.Engine = "reservas", "engine-1"
			if err := leave.Run(); err != nil {
				test.Error(err)
			}
			time.Sleep(3 * time.Second)
			before := stage.begun("engine-1")
			time.Sleep(5 * time.Second)
			if after := stage.begun("engine-1"); after != before {
				test.Errorf("%d runs began at a leaving engine after three seconds", after-before)
			}
		})
		most(test, figures, 0.99)
	})
}

func TestAllCoresLoseTheirDisks(test *testing.T) {
	play(test, func(stage *stage) {
		small := &operator.Small{Change: stage.change()}
		small.Arguments.Pairs = []string{"startMilliseconds=450"}
		if err := small.Run(); err != nil {
			test.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		cores := []string{"core-0", "core-1", "core-2"}
		for _, name := range cores {
			stage.kill(name)
			stage.wipe(name)
		}
		time.Sleep(time.Second)
		for _, name := range cores {
			stage.wake(name)
		}
		if span := stage.recovers(); span > recovery {
			test.Errorf("serving came back only after %v", span)
		}
		var shown struct {
			configuration.View
			Sequence uint64
		}
		if err := stage.change().Get("/v1/configuration", &shown); err != nil || shown.Sequence != 2 {
			test.Errorf("sequence %d is in force, not 2 (%v)", shown.Sequence, err)
		}
	})
}

func TestHerdKilledRightAfterAnAcknowledgement(test *testing.T) {
	play(test, func(stage *stage) {
		small := &operator.Small{Change: stage.change()}
		small.Arguments.Pairs = []string{"startMilliseconds=450"}
		if err := small.Run(); err != nil {
			test.Fatal(err)
		}
		herd := []string{"core-0", "core-1", "core-2", "router-0", "router-1", "router-2"}
		for _, name := range herd {
			stage.kill(name)
		}
		stage.wipe("core-1")
		for _, name := range herd {
			stage.wake(name)
		}
		if span := stage.recovers(); span > recovery {
			test.Errorf("serving came back only after %v", span)
		}
		var shown struct{ Sequence uint64 }
		if err := stage.change().Get("/v1/configuration", &shown); err != nil || shown.Sequence != 2 {
			test.Errorf("sequence %d is in force, not 2 (%v)", shown.Sequence, err)
		}
	})
}

// An engine of each part falls silent: what may be repeated starts elsewhere in
// time, what may not ends honestly.
func TestEnginesSilent(test *testing.T) {
	play(test, func(stage *stage) {
		figures := stage.during(12, func() {
			stage.Isolate("engine-0", stage.names())
			stage.Isolate("engine-5", stage.names())
			time.Sleep(4 * time.Second)
			stage.Heal()
		})
		most(test, figures, 0.97)
		if worst := figures.Start["reply"].Worst; worst > 900_000 {
			test.Errorf("a reply that may be repeated started only after %d µs", worst)
		}
	})
}

// Two cores lose their disks at once, in each choice of two; the third keeps its own.
func TestTwoCoresLoseTheirDisks(test *testing.T) {
	for spared := range 3 {
		test.Run(fmt.Sprint("spared ", spared), func(test *testing.T) {
			play(test, func(stage *stage) {
				small := &operator.Small{Change: stage.change()}
				small.Arguments.Pairs = []string{"startMilliseconds=450"}
				if err := small.Run(); err != nil {
					test.Fatal(err)
				}
				for number := range 3 {
					if number != spared {
						stage.kill(fmt.Sprint("core-", number))
						stage.wipe(fmt.Sprint("core-", number))
					}
				}
				time.Sleep(time.Second)
				for number := range 3 {
					if number != spared {
						stage.wake(fmt.Sprint("core-", number))
					}
				}
				if span := stage.recovers(); span > recovery {
					test.Errorf("serving came back only after %v", span)
				}
				var shown struct{ Sequence uint64 }
				if err := stage.change().Get("/v1/configuration", &shown); err != nil || shown.Sequence != 2 {
					test.Errorf("sequence %d is in force, not 2 (%v)", shown.Sequence, err)
				}
			})
		})
	}
}
