package simulation_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// oneShotRequest returns the body of a one-shot request with a key.
func oneShotRequest(key string) string {
	return fmt.Sprintf(`{"tenant":"asociacion","kind":"waiver","key":%q,"prompt":"x","tokens":4}`, key)
}

// runsForKey counts the prefills and decodes under a key in the run logs of all engines, killed ones
// included.
func (t *testFleet) runsForKey(key string) (prefills, decodes int) {
	for _, observer := range t.observers {
		for _, run := range observer.Records() {
			switch {
			case run.Key != "asociacion/"+key:
			case run.Stage == "prefill":
				prefills++
			case run.Stage == "decode":
				decodes++
			}
		}
	}
	return prefills, decodes
}

// sendToAllRouters sends a request with one key to all routers at once, and returns their answers.
func (t *testFleet) sendToAllRouters(key string) []string {
	endings := make([]string, len(t.routerAddresses))
	var group sync.WaitGroup
	for index, address := range t.routerAddresses {
		group.Go(func() { endings[index] = t.sendRequestTo(address, oneShotRequest(key)) })
	}
	group.Wait()
	return endings
}

// A request that is sent to all routers at once, and again when it has ended, runs once; no rejection says
// that it did not run.
func TestIdempotencyKey_RunsOnceAcrossRouters(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		answered := 0
		for number := range 40 {
			key := fmt.Sprint("same-", number)
			endings := strings.Join(append(fleet.sendToAllRouters(key), fleet.sendToAllRouters(key)...), " ")
			prefills, decodes := fleet.runsForKey(key)
			if prefills > 1 || decodes > 1 {
				t.Errorf("%s had %d prefills and %d decodes: %s", key, prefills, decodes, endings)
			}
			if strings.Contains(endings, endingComplete) {
				answered++
			} else {
				t.Logf("%s was not answered: %s", key, endings)
			}
			if prefills > 0 && strings.Contains(endings, "not run") {
				t.Errorf("%s ran, and was reported as not run: %s", key, endings)
			}
		}
		if answered < 40 {
			t.Errorf("only %d of 40 keys were answered at all", answered)
		}
	})
}

// TestIdempotencyKey_SurvivesCrashes kills routers and servers while a request runs or after it has ended,
// and has the caller send it again elsewhere: it never runs a second time.
func TestIdempotencyKey_SurvivesCrashes(t *testing.T) {
	all := []string{"core-0", "core-1", "core-2"}
	for name, victims := range map[string][]string{
		"its router":             {"router-0"},
		"its router and a core":  {"router-0", "core-1"},
		"all cores":              all,
		"all cores and routers":  append([]string{"router-0", "router-1", "router-2"}, all...),
		"a core that was wiped":  {"core-0"},
		"two cores wiped":        {"core-0", "core-1"},
		"its router, core wiped": {"router-0", "core-2"},
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(fleet *testFleet) {
				resendAfterCrashes(fleet, victims, strings.Contains(name, "wiped"))
			})
		})
	}
}

// resendAfterCrashes kills daemons at several moments of a request, sends it again through another router
// and expects that it did not run twice.
func resendAfterCrashes(fleet *testFleet, victims []string, wiped bool) {
	ran := 0
	for number, after := range []time.Duration{1, 20, 60, 90, 400} {
		key := fmt.Sprint("kept-", number)
		firstResult := make(chan string)
		go func() { firstResult <- fleet.sendRequestTo(fleet.routerAddresses[0], oneShotRequest(key)) }()
		time.Sleep(after * time.Millisecond)
		for _, daemonName := range victims {
			fleet.killDaemon(daemonName)
			if wiped && strings.HasPrefix(daemonName, "core") {
				fleet.wipeDisk(daemonName)
			}
		}
		firstEnding := <-firstResult
		for _, daemonName := range victims {
			fleet.startDaemon(daemonName)
		}
		time.Sleep(8 * time.Second)
		secondEnding := fleet.sendRequestTo(fleet.routerAddresses[1], oneShotRequest(key))
		prefills, decodes := fleet.runsForKey(key)
		if prefills > 1 || decodes > 1 || firstEnding == endingComplete && secondEnding == "not run" {
			fleet.Errorf("%d ms: %d prefills, %d decodes; answered %q and then %q", after, prefills, decodes, firstEnding, secondEnding)
		}
		ran += prefills
	}
	if ran < 3 {
		fleet.Errorf("only %d of 5 keys ran at all", ran)
	}
}
