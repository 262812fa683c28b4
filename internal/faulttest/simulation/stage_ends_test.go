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

func (t *stage) running() int {
	sum := 0
	for name := range t.observers {
		sum += t.report(name).Running
	}
	return sum
}

func (t *stage) report(name string) catalogue.Report {
	var report catalogue.Report
	alone := operator.Target{Cores: []string{"127.0.2." + name[len("engine-"):] + ":2"}, Network: t.change().Network}
	_ = alone.Get("/report", &report)
	return report
}

// An engine dies while a one-shot request is in its hands, in each stage: the caller is
// told what is known and no more, and the request is never begun a second time.
func TestEngineDiesInEachStage(test *testing.T) {
	for name, each := range map[string]struct {
		after   time.Duration
		victim  func(catalogue.Report) bool
		endings []string
	}{
		"prefill":   {40 * time.Millisecond, func(report catalogue.Report) bool { return report.Running > 0 }, []string{"unknown"}},
		"hand-over": {250 * time.Millisecond, func(report catalogue.Report) bool { return report.Tickets > 0 || report.PrefillBusy > 0 }, []string{"run", "unknown"}},
		"decode":    {500 * time.Millisecond, func(report catalogue.Report) bool { return report.Running > 0 }, []string{"cut"}},
	} {
		test.Run(name, func(test *testing.T) {
			play(test, func(stage *stage) {
				stage.handOver = 300_000
				for engine := range stage.observers {
					stage.kill(engine)
					stage.engine(int(engine[len("engine-")]-'0'), "r1")
					stage.wake(engine)
				}
				time.Sleep(6 * time.Second)
				told := make(chan string)
				go func() {
					told <- stage.tell(`{"tenant":"asociacion","kind":"waiver","key":"dying","prompt":"x","tokens":16}`)
				}()
				time.Sleep(each.after)
				killed := 0
				for engine := range stage.observers {
					if each.victim(stage.report(engine)) {
						killed++
						stage.kill(engine)
					}
				}
				if ending := <-told; killed != 1 || !slices.Contains(each.endings, ending) {
					test.Errorf("%d engines killed, told %q, not one of %v", killed, ending, each.endings)
				}
				runs := 0
				for engine := range stage.lives {
					if strings.HasPrefix(engine, "engine-") {
						runs += stage.begun(engine)
					}
				}
				if most := map[string]int{"prefill": 0, "hand-over": 1, "decode": 1}[name]; runs > most {
					test.Errorf("%d runs stand in the books of the engines that live", runs)
				}
			})
		})
	}
}

// tell sends a request and says how it ended.
func (t *stage) tell(body string) string { return t.tellAt(t.routPub[0], body) }

func (t *stage) tellAt(router, body string) string {
	transport := circuit.NewTransport(circuit.Options{Network: simulation.Port{Fabric: t.Fabric, Machine: "caller"}, Meter: hall.NewMeter("")})
	transport.DisableKeepAlives = true
	answer, err := (&http.Client{Transport: transport}).Post("http://"+router+"/v1/answer", "application/json", strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	var told circuit.Decline
	switch {
	case answer.StatusCode != http.StatusOK:
		_ = json.Unmarshal(text, &told)
		return told.Ending
	case err != nil:
		return "cut"
	case strings.Contains(string(text), `"final":true`):
		return "whole"
	}
	return "cut, but looks whole"
}

// A caller leaves after the first frame of a long answer: the engine is free again
// long before the answer would have ended.
func TestACallerWhoLeavesFreesTheEngine(test *testing.T) {
	play(test, func(stage *stage) {
		transport := circuit.NewTransport(circuit.Options{Network: simulation.Port{Fabric: stage.Fabric, Machine: "caller"}, Meter: hall.NewMeter("")})
		leaving, leave := context.WithCancel(context.Background())
		body := strings.NewReader(`{"tenant":"asociacion","kind":"reply","key":"gone","prompt":"x","tokens":48}`)
		request, _ := http.NewRequestWithContext(leaving, http.MethodPost, "http://"+stage.routPub[0]+"/v1/answer", body)
		answer, err := (&http.Client{Transport: transport}).Do(request)
		if err != nil {
			test.Fatal(err)
		}
		if _, err := bufio.NewReader(answer.Body).ReadBytes('\n'); err != nil {
			test.Fatal(err)
		}
		if stage.running() != 1 {
			test.Errorf("%d runs while the answer streams", stage.running())
		}
		leave()
		time.Sleep(50 * time.Millisecond)
		if stage.running() != 0 {
			test.Errorf("%d runs 50 ms after the caller left; the answer would take 380", stage.running())
		}
	})
}

// A template's rules keep its requests to the engines of one hall.
func TestRulesChooseEngines(test *testing.T) {
	play(test, func(stage *stage) {
		text, err := os.ReadFile("../../../examples/asociacion.cue")
		if err != nil {
			test.Fatal(err)
		}
		path := filepath.Join(stage.folder, "rules.cue")
		ruled := strings.Replace(string(text), "mostTokens: 48}", `mostTokens: 48, match: "engineHall == \\"centro\\" || tokens > 40"}`, 1)
		if err := os.WriteFile(path, []byte(strings.ReplaceAll(ruled, `\\"`, `\"`)), 0o600); err != nil {
			test.Fatal(err)
		}
		apply := &operator.Apply{Change: stage.change()}
		apply.Arguments.File = path
		if err := apply.Run(); err != nil {
			test.Fatal(err)
		}
		time.Sleep(time.Second)
		for number := range 12 {
			body := fmt.Sprintf(`{"tenant":"asociacion","kind":"reply","key":"ruled-%d","prompt":"x","tokens":4}`, number)
			if status, told := stage.post("http://"+stage.routPub[number%3]+"/v1/answer", body, nil); status != 200 {
				test.Errorf("%d %+v", status, told)
			}
		}
		for number := range 6 {
			name := fmt.Sprint("engine-", number)
			if begun := stage.begun(name); (begun > 0) != (number%3 == 1) {
				test.Errorf("%s has begun %d runs", name, begun)
			}
		}
	})
}

func TestWhatCannotBeServedIsDeclinedAsNotRun(test *testing.T) {
	play(test, func(stage *stage) {
		url := "http://" + stage.routPub[0] + "/v1/answer"
		ask := func(key string) (int, circuit.Decline) {
			return stage.post(url, `{"tenant":"asociacion","kind":"reply","key":"`+key+`","prompt":"x","tokens":48}`, nil)
		}
		text, err := os.ReadFile("../../../examples/asociacion.cue")
		if err != nil {
			test.Fatal(err)
		}
		path := filepath.Join(stage.folder, "narrow.cue")
		if err := os.WriteFile(path, []byte(strings.Replace(string(text), "queue: 512", "queue: 1", 1)), 0o600); err != nil {
			test.Fatal(err)
		}
		apply := &operator.Apply{Change: stage.change()}
		apply.Arguments.File = path
		if err := apply.Run(); err != nil {
			test.Fatal(err)
		}
		time.Sleep(time.Second)
		done := make(chan int)
		go func() { status, _ := ask("first"); done <- status }()
		time.Sleep(100 * time.Millisecond)
		if status, told := ask("second"); status != 503 || told.Code != mishap.QueueFull || told.Ending != "not run" {
			test.Errorf("a full queue: %d %+v", status, told)
		}
		if status := <-done; status != 200 {
			test.Errorf("the first got %d", status)
		}
		for name := range stage.observers {
			stage.kill(name)
		}
		time.Sleep(7 * time.Second)
		begun := time.Now()
		if status, told := ask("third"); status != 503 || told.Code != mishap.NoEngine || told.Ending != "not run" {
			test.Errorf("no engine: %d %+v", status, told)
		}
		if took := time.Since(begun); took > 600*time.Millisecond {
			test.Errorf("the decline took %v", took)
		}
		for _, name := range []string{"core-0", "core-1"} {
			stage.kill(name)
		}
		time.Sleep(2 * time.Second)
		if status, told := ask("fourth"); status != 503 || told.Code != mishap.RouterStale || told.Ending != "not run" {
			test.Errorf("a stale router: %d %+v", status, told)
		}
	})
}
