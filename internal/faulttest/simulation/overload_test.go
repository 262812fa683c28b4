package simulation_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"coursepass/internal/adminclient"
	"coursepass/internal/faulttest/loadgen"
)

// Engines are upgraded one by one to another model version: each is listed as leaving, shut down
// gracefully and started again.
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

// All KV caches are evicted at once, again and again, before they can be transferred: nothing runs twice,
// nobody gets the cache of another request, and retries stay bounded.
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
			t.Error("no KV cache was evicted")
		}
		if maximum := results.Sent + results.Sent/5 + 5; results.PrefillsStarted > maximum {
			t.Errorf("%d prefills for %d requests", results.PrefillsStarted, results.Sent)
		}
	})
}

// TestOverload_IsShedAndRecovers has a surge of five times the capacity: requests that cannot start in time
// are rejected early with a time to retry, accepted ones start in time, and the fleet serves all requests
// again right after.
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
			t.Errorf("rejected %d, complete %d", rejected, surge.Outcomes[loadgen.OutcomeComplete])
		}
		if share := float64(surge.LateStarts) / float64(surge.Sent); share > 0.05 {
			t.Errorf("%.3f of the requests started late", share)
		}
		checkCompleteShare(t, fleet.runLoad(3), 1)
	})
}

// All engines restart together while callers go on: none is overloaded while it is warming up.
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
				t.Errorf("%s rejected %d while it was warming up", name, count)
			}
		}
	})
}
