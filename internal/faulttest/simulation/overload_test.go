package simulation_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"coursepass/internal/adminclient"
	"coursepass/internal/faulttest/loadgen"
)

// Engines are replaced one by one by a release with another model version, each
// politely: listed as leaving, then stopped, then started anew.
func TestRollingUpgrade(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		results := fleet.loadDuring(50, func() {
			for number := range 6 {
				name := fmt.Sprint("engine-", number)
				leave := &adminclient.DrainEngine{Client: fleet.newChange().Client}
				leave.Arguments.Service, leave.Arguments.Engine = "reservas", name
				if err := leave.Run(); err != nil {
					t.Error(err)
				}
				time.Sleep(3 * time.Second)
				fleet.stopGracefully(name)
				fleet.addEngine(number, "r2")
				fleet.startDaemon(name)
				time.Sleep(4 * time.Second)
			}
		})
		checkCompleteShare(t, results, 0.99)
	})
}

// All held prompt memory lapses at once, again and again, before it can be handed
// over: nothing runs twice, nobody gets another's memory, and repeats stay bounded.
func TestPromptCacheExpiry(t *testing.T) {
	runScenarioWithLatency(t, 500, func(fleet *testFleet) {
		fleet.retentionMilliseconds, fleet.handoverMilliseconds = 1, 20_000
		for number := range 6 {
			name := fmt.Sprint("engine-", number)
			fleet.killDaemon(name)
			fleet.addEngine(number, "r1")
			fleet.startDaemon(name)
		}
		time.Sleep(6 * time.Second)
		results := fleet.loadDuring(4, func() {})
		if results.Outcomes[loadgen.OutcomeComplete] == results.Sent {
			t.Error("no prompt memory lapsed")
		}
		if maximum := results.Sent + results.Sent/5 + 5; results.PrefillsStarted > maximum {
			t.Errorf("%d prefills for %d requests", results.PrefillsStarted, results.Sent)
		}
	})
}

// A crowd comes at once, five times what the engines can do: what can't start in time
// is declined early with a time to come back, what is taken starts in time, and the
// fleet serves all again right after.
func TestOverload_IsShedAndRecovers(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		var surge *loadgen.Results
		fleet.loadDuring(12, func() { surge = fleet.runSurge(4, 200, 300) })
		surge.Print(t.Output(), false)
		for _, violation := range surge.Violations {
			t.Error(violation)
		}
		rejected := 0
		for name, count := range surge.Outcomes {
			if strings.HasSuffix(string(name), "(not run)") {
				rejected += count
			}
		}
		if rejected == 0 || surge.Outcomes[loadgen.OutcomeComplete] == 0 {
			t.Errorf("declined %d, whole %d", rejected, surge.Outcomes[loadgen.OutcomeComplete])
		}
		if share := float64(surge.LateStarts) / float64(surge.Sent); share > 0.05 {
			t.Errorf("%.3f of the requests started late", share)
		}
		checkCompleteShare(t, fleet.runLoad(3), 1)
	})
}

// All engines return together while callers go on: none is flooded while it is cold.
func TestSlowStart_AllEnginesRestart(t *testing.T) {
	deployment := smallDeployment()
	deployment.routerCount = 7
	runScenarioFor(t, deployment, 200, func(fleet *testFleet) {
		results := fleet.loadDuring(16, func() {
			for number := range 6 {
				fleet.killDaemon(fmt.Sprint("engine-", number))
			}
			time.Sleep(time.Second)
			for number := range 6 {
				fleet.startDaemon(fmt.Sprint("engine-", number))
			}
		})
		checkCompleteShare(t, results, 0.8)
		for name, observer := range fleet.observers {
			if count := observer.MaxWarmUpRejections(); count > 2 {
				t.Errorf("%s turned away %d while it was cold", name, count)
			}
		}
	})
}
