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

const recoveryLimit = 12 * time.Second

func checkCompleteShare(t *testing.T, results *loadgen.Results, share float64) {
	t.Helper()
	if completeShare := float64(results.Outcomes[loadgen.OutcomeComplete]) / float64(results.Sent); completeShare < share {
		t.Errorf("only %.3f of the answers were complete, not %.3f", completeShare, share)
	}
}

func TestFleet_ServesAllRequests(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		results := fleet.loadDuring(5, func() {})
		if checkCompleteShare(t, results, 1); results.LateStarts > 0 {
			t.Errorf("%d late starts", results.LateStarts)
		}
	})
}

func TestLeader_Crashes(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		checkCompleteShare(t, fleet.loadDuring(20, func() {
			leader := fleet.serviceLeader()
			fleet.killDaemon(leader)
			time.Sleep(8 * time.Second)
			if next := fleet.serviceLeader(); next == "" || next == leader {
				t.Errorf("after %s the leader is %q", leader, next)
			}
			fleet.startDaemon(leader)
		}), 0.99)
	})
}

func TestLeader_IsolatedAndHealed(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		checkCompleteShare(t, fleet.loadDuring(24, func() {
			leader := fleet.serviceLeader()
			fleet.Isolate(leader, fleet.daemonNames())
			time.Sleep(9 * time.Second)
			fleet.Heal()
			time.Sleep(4 * time.Second)
		}), 0.98)
	})
}

func TestServers_PartitionedFromEachOther(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		fleet.loadDuring(16, func() {
			for _, from := range []string{"core-0", "core-1", "core-2"} {
				fleet.Isolate(from, []string{"core-0", "core-1", "core-2"})
			}
			time.Sleep(6 * time.Second)
			fleet.Heal()
		})
		if duration := fleet.awaitRecovery(); duration > recoveryLimit {
			t.Errorf("the fleet served only after %v", duration)
		}
	})
}

func TestRouter_Isolated(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		target := adminclient.Client{Cores: fleet.routerAddresses[1:2], Network: fleet.newChange().Network}
		var text string
		results := fleet.loadDuring(14, func() {
			fleet.Isolate("router-1", []string{"core-0", "core-1", "core-2", "router-0", "router-2"})
			time.Sleep(2 * time.Second)
			if err := target.Get("/ready", &text); errcode.CodeOf(err, 0) != errcode.RouterStale {
				t.Errorf("a router that can't prove its configuration says %v", err)
			}
			fleet.Heal()
			time.Sleep(2 * time.Second)
			if err := target.Get("/ready", &text); err != nil {
				t.Error(err)
			}
		})
		checkCompleteShare(t, results, 0.99)
	})
}

// Engines of both roles are killed under load: each request that is in prefill, transfer or decode there
// ends with a correct outcome.
func TestEngines_Crash(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		results := fleet.loadDuring(16, func() {
			for _, name := range []string{"engine-0", "engine-5", "engine-2"} {
				fleet.killDaemon(name)
				time.Sleep(700 * time.Millisecond)
				fleet.startDaemon(name)
				time.Sleep(1500 * time.Millisecond)
			}
		})
		checkCompleteShare(t, results, 0.95)
		if results.Outcomes[loadgen.OutcomeComplete] == results.Sent {
			t.Error("the kills missed all requests")
		}
	})
}

func TestZoneEvacuation(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		results := fleet.loadDuring(18, func() {
			evacuate := &adminclient.Evacuate{ChangeCommand: fleet.newChange()}
			evacuate.Arguments.Zone = "sur"
			if err := evacuate.Run(); err != nil {
				t.Error(err)
			}
			time.Sleep(5 * time.Second)
			before := fleet.countEngineRuns("engine-2") + fleet.countEngineRuns("engine-5")
			time.Sleep(4 * time.Second)
			if after := fleet.countEngineRuns("engine-2") + fleet.countEngineRuns("engine-5"); after != before {
				t.Errorf("%d runs were started in an evacuated zone after five seconds", after-before)
			}
			evacuate.Undo = true
			if err := evacuate.Run(); err != nil {
				t.Error(err)
			}
			time.Sleep(2 * time.Second)
			if after := fleet.countEngineRuns("engine-2") + fleet.countEngineRuns("engine-5"); after == before {
				t.Error("no run was started in a zone within two seconds after its return")
			}
		})
		checkCompleteShare(t, results, 0.99)
	})
}

func TestLeavingEngine_ReceivesNoNewRequests(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		results := fleet.loadDuring(14, func() {
			leave := &adminclient.DrainEngine{Client: fleet.newChange().Client}
			leave.Arguments.Service, leave.Arguments.Engine = "reservas", "engine-1"
			if err := leave.Run(); err != nil {
				t.Error(err)
			}
			time.Sleep(3 * time.Second)
			before := fleet.countEngineRuns("engine-1")
			time.Sleep(5 * time.Second)
			if after := fleet.countEngineRuns("engine-1"); after != before {
				t.Errorf("%d runs were started at a leaving engine after three seconds", after-before)
			}
		})
		checkCompleteShare(t, results, 0.99)
	})
}

func TestAllServers_LoseTheirDisks(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		small := &adminclient.SetParameters{ChangeCommand: fleet.newChange()}
		small.Arguments.Pairs = []string{"startMilliseconds=450"}
		if err := small.Run(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		servers := []string{"core-0", "core-1", "core-2"}
		for _, name := range servers {
			fleet.killDaemon(name)
			fleet.wipeDisk(name)
		}
		time.Sleep(time.Second)
		for _, name := range servers {
			fleet.startDaemon(name)
		}
		if duration := fleet.awaitRecovery(); duration > recoveryLimit {
			t.Errorf("the fleet served only after %v", duration)
		}
		var configuration struct {
			config.View
			Sequence uint64
		}
		if err := fleet.newChange().Get("/v1/configuration", &configuration); err != nil || configuration.Sequence != 2 {
			t.Errorf("the latest revision is %d, not 2 (%v)", configuration.Sequence, err)
		}
	})
}

func TestAllDaemons_CrashAfterAcknowledgement(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		small := &adminclient.SetParameters{ChangeCommand: fleet.newChange()}
		small.Arguments.Pairs = []string{"startMilliseconds=450"}
		if err := small.Run(); err != nil {
			t.Fatal(err)
		}
		daemons := []string{"core-0", "core-1", "core-2", "router-0", "router-1", "router-2"}
		for _, name := range daemons {
			fleet.killDaemon(name)
		}
		fleet.wipeDisk("core-1")
		for _, name := range daemons {
			fleet.startDaemon(name)
		}
		if duration := fleet.awaitRecovery(); duration > recoveryLimit {
			t.Errorf("the fleet served only after %v", duration)
		}
		var configuration struct{ Sequence uint64 }
		if err := fleet.newChange().Get("/v1/configuration", &configuration); err != nil || configuration.Sequence != 2 {
			t.Errorf("the latest revision is %d, not 2 (%v)", configuration.Sequence, err)
		}
	})
}

// An engine of each role becomes unreachable: requests that may be repeated start elsewhere in time,
// others end with a correct outcome.
func TestEngines_Unreachable(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		results := fleet.loadDuring(12, func() {
			fleet.Isolate("engine-0", fleet.daemonNames())
			fleet.Isolate("engine-5", fleet.daemonNames())
			time.Sleep(4 * time.Second)
			fleet.Heal()
		})
		checkCompleteShare(t, results, 0.97)
		if worst := results.FirstTokenLatency["reply"].Max; worst > 900_000 {
			t.Errorf("a reply that may be repeated started only after %d µs", worst)
		}
	})
}

// TestTwoServers_LoseTheirDisks has two of three servers lose their disks at once, in each combination.
func TestTwoServers_LoseTheirDisks(t *testing.T) {
	for survivor := range 3 {
		t.Run(fmt.Sprint("spared ", survivor), func(t *testing.T) {
			runScenario(t, func(fleet *testFleet) { loseTwoDisks(fleet, survivor) })
		})
	}
}

// loseTwoDisks changes a parameter, loses the disks of all servers but one, and expects the change after
// the recovery.
func loseTwoDisks(fleet *testFleet, survivor int) {
	small := &adminclient.SetParameters{ChangeCommand: fleet.newChange()}
	small.Arguments.Pairs = []string{"startMilliseconds=450"}
	if err := small.Run(); err != nil {
		fleet.Fatal(err)
	}
	for number := range 3 {
		if number != survivor {
			fleet.killDaemon(fmt.Sprint("core-", number))
			fleet.wipeDisk(fmt.Sprint("core-", number))
		}
	}
	time.Sleep(time.Second)
	for number := range 3 {
		if number != survivor {
			fleet.startDaemon(fmt.Sprint("core-", number))
		}
	}
	if duration := fleet.awaitRecovery(); duration > recoveryLimit {
		fleet.Errorf("the fleet served only after %v", duration)
	}
	var configuration struct{ Sequence uint64 }
	if err := fleet.newChange().Get("/v1/configuration", &configuration); err != nil || configuration.Sequence != 2 {
		fleet.Errorf("the latest revision is %d, not 2 (%v)", configuration.Sequence, err)
	}
}
