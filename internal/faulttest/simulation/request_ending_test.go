package simulation_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"coursepass/internal/adminclient"
	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/state/registry"
	"coursepass/internal/topology"
	"coursepass/internal/transport"
)

func (t *testFleet) runningRequests() int {
	sum := 0
	for name := range t.observers {
		sum += t.engineReport(name).Running
	}
	return sum
}

func (t *testFleet) engineReport(name string) registry.Report {
	var report registry.Report
	target := adminclient.Client{Cores: []string{"127.0.2." + name[len("engine-"):] + ":2"}, Network: t.newChange().Network}
	_ = target.Get("/report", &report)
	return report
}

// engineCrashCase is a phase of a request.
type engineCrashCase struct {
	// delay is the time from the start of the request to the phase.
	delay time.Duration
	// isVictim recognizes the engine that has the request in the phase.
	isVictim func(registry.Report) bool
	// endings are the possible answers.
	endings []string
	// maxRuns is the greatest number of runs on the other engines.
	maxRuns int
}

// TestEngineCrash_InEachRequestPhase kills the engine of a one-shot request in each phase: the caller is
// answered what is known and no more, and the request is never started a second time.
func TestEngineCrash_InEachRequestPhase(t *testing.T) {
	isRunning := func(report registry.Report) bool { return report.Running > 0 }
	hasPrefilled := func(report registry.Report) bool { return report.Tickets > 0 || report.PrefillBusy > 0 }
	for name, testCase := range map[string]engineCrashCase{
		"prefill": {
			delay:    40 * time.Millisecond,
			isVictim: isRunning,
			endings:  []string{"unknown"},
			maxRuns:  0,
		},
		"hand-over": {
			delay:    250 * time.Millisecond,
			isVictim: hasPrefilled,
			endings:  []string{"run", "unknown"},
			maxRuns:  1,
		},
		"decode": {
			delay:    500 * time.Millisecond,
			isVictim: isRunning,
			endings:  []string{endingTruncated},
			maxRuns:  1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(fleet *testFleet) { crashEngineInPhase(fleet, testCase) })
		})
	}
}

// crashEngineInPhase kills the engine of a request in a phase, and checks how the request ends and that it
// is not started again.
func crashEngineInPhase(fleet *testFleet, testCase engineCrashCase) {
	fleet.handoverMilliseconds = 300_000
	for engine := range fleet.observers {
		fleet.killDaemon(engine)
		fleet.addEngine(int(engine[len("engine-")]-'0'), "r1")
		fleet.startDaemon(engine)
	}
	time.Sleep(6 * time.Second)
	result := make(chan string)
	go func() {
		result <- fleet.sendRequest(`{"tenant":"asociacion","kind":"waiver","key":"dying","prompt":"x","tokens":16}`)
	}()
	time.Sleep(testCase.delay)
	killed := 0
	for engine := range fleet.observers {
		if testCase.isVictim(fleet.engineReport(engine)) {
			killed++
			fleet.killDaemon(engine)
		}
	}
	if ending := <-result; killed != 1 || !slices.Contains(testCase.endings, ending) {
		fleet.Errorf("%d engines killed, answered %q, not one of %v", killed, ending, testCase.endings)
	}
	runs := 0
	for engine := range fleet.processes {
		if strings.HasPrefix(engine, "engine-") {
			runs += fleet.countEngineRuns(engine)
		}
	}
	if maximum := testCase.maxRuns; runs > maximum {
		fleet.Errorf("%d runs are in the logs of the engines that are alive", runs)
	}
}

// Endings of requests that were accepted; a rejection ends with its execution.
const (
	endingComplete  = "complete"
	endingTruncated = "truncated"
	// endingUnnoticed is a violation: the stream ended without an error and without its final frame.
	endingUnnoticed = "truncated, but looks complete"
)

// sendRequest sends a request and returns how it ended.
func (t *testFleet) sendRequest(body string) string {
	return t.sendRequestTo(t.routerAddresses[0], body)
}

func (t *testFleet) sendRequestTo(address, body string) string {
	response, err := t.newHTTPClient("caller").Do(t.newPost("http://"+address+"/v1/answer", strings.NewReader(body)))
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	var rejection transport.ErrorResponse
	switch {
	case response.StatusCode != http.StatusOK:
		_ = json.Unmarshal(text, &rejection)
		return rejection.Execution
	case err != nil:
		return endingTruncated
	case strings.Contains(string(text), `"final":true`):
		return endingComplete
	}
	return endingUnnoticed
}

// TestClientDisconnect_FreesEngine has a caller disconnect after the first frame of a long answer: the
// engine is free again long before the answer would have ended.
func TestClientDisconnect_FreesEngine(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		roundTripper := transport.NewHTTPTransport(transport.Options{Network: simulation.Host{MemoryNetwork: fleet.MemoryNetwork, Name: "caller"}, Meter: topology.NewTrafficMeter("")})
		leaving, leave := context.WithCancel(context.Background())
		body := strings.NewReader(`{"tenant":"asociacion","kind":"reply","key":"gone","prompt":"x","tokens":48}`)
		request, _ := http.NewRequestWithContext(leaving, http.MethodPost, "http://"+fleet.routerAddresses[0]+"/v1/answer", body)
		response, err := (&http.Client{Transport: roundTripper}).Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		if _, err := bufio.NewReader(response.Body).ReadBytes('\n'); err != nil {
			t.Fatal(err)
		}
		if fleet.runningRequests() != 1 {
			t.Errorf("%d runs while the answer streams", fleet.runningRequests())
		}
		leave()
		time.Sleep(50 * time.Millisecond)
		if fleet.runningRequests() != 0 {
			t.Errorf("%d runs 50 ms after the caller disconnected; the answer would take 380", fleet.runningRequests())
		}
	})
}

// TestPolicyRules_SelectEngines checks that the rules of a template restrict its requests to the engines of
// one zone.
func TestPolicyRules_SelectEngines(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		text, err := os.ReadFile("../../../examples/asociacion.cue")
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(fleet.dataDirectory, "rules.cue")
		documentText := strings.Replace(string(text), "mostTokens: 48}", `mostTokens: 48, match: "engineHall == \\"centro\\" || tokens > 40"}`, 1)
		if err := os.WriteFile(path, []byte(strings.ReplaceAll(documentText, `\\"`, `\"`)), 0o600); err != nil {
			t.Fatal(err)
		}
		apply := &adminclient.Apply{ChangeCommand: fleet.newChange()}
		apply.Arguments.File = path
		if err := apply.Run(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		for number := range 12 {
			body := fmt.Sprintf(`{"tenant":"asociacion","kind":"reply","key":"ruled-%d","prompt":"x","tokens":4}`, number)
			if status, rejection := fleet.postJSON("http://"+fleet.routerAddresses[number%3]+"/v1/answer", body, nil); status != 200 {
				t.Errorf("%d %+v", status, rejection)
			}
		}
		for number := range 6 {
			name := fmt.Sprint("engine-", number)
			if runs := fleet.countEngineRuns(name); (runs > 0) != (number%3 == 1) {
				t.Errorf("%s has started %d runs", name, runs)
			}
		}
	})
}

// applyEditedDocument applies the example document with one text replaced by another.
func (t *testFleet) applyEditedDocument(old, replacement string) {
	text, err := os.ReadFile(t.document)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.dataDirectory, "narrow.cue")
	document := strings.Replace(string(text), old, replacement, 1)
	if err := os.WriteFile(path, []byte(document), 0o600); err != nil {
		t.Fatal(err)
	}
	apply := &adminclient.Apply{ChangeCommand: t.newChange()}
	apply.Arguments.File = path
	if err := apply.Run(); err != nil {
		t.Fatal(err)
	}
}

// TestUnservableRequest_IsRejectedAsNotRun has requests rejected by a full queue, without engines and by a
// stale router.
func TestUnservableRequest_IsRejectedAsNotRun(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		url := "http://" + fleet.routerAddresses[0] + "/v1/answer"
		ask := func(key string) (int, transport.ErrorResponse) {
			return fleet.postJSON(url, `{"tenant":"asociacion","kind":"reply","key":"`+key+`","prompt":"x","tokens":48}`, nil)
		}
		fleet.applyEditedDocument("queue: 512", "queue: 1")
		time.Sleep(time.Second)
		done := make(chan int)
		go func() { status, _ := ask("first"); done <- status }()
		time.Sleep(100 * time.Millisecond)
		if status, rejection := ask("second"); status != 503 || rejection.Code != errcode.QueueFull || rejection.Execution != "not run" {
			t.Errorf("a full queue: %d %+v", status, rejection)
		}
		if status := <-done; status != 200 {
			t.Errorf("the first was answered with %d", status)
		}
		for name := range fleet.observers {
			fleet.killDaemon(name)
		}
		time.Sleep(7 * time.Second)
		startedAt := time.Now()
		if status, rejection := ask("third"); status != 503 || rejection.Code != errcode.NoEngine || rejection.Execution != "not run" {
			t.Errorf("no engine: %d %+v", status, rejection)
		}
		if elapsed := time.Since(startedAt); elapsed > 600*time.Millisecond {
			t.Errorf("the rejection took %v", elapsed)
		}
		for _, name := range []string{"core-0", "core-1"} {
			fleet.killDaemon(name)
		}
		time.Sleep(2 * time.Second)
		if status, rejection := ask("fourth"); status != 503 || rejection.Code != errcode.RouterStale || rejection.Execution != "not run" {
			t.Errorf("a stale router: %d %+v", status, rejection)
		}
	})
}
