package simulation_test

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"coursepass/internal/adminclient"
	"coursepass/internal/clock"
	"coursepass/internal/controlplane"
	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/state/config"
	"coursepass/internal/topology"
	"coursepass/internal/transport"
)

func (t *stage) post(url, body string, header http.Header) (int, circuit.Decline) {
	transport := circuit.NewTransport(circuit.Options{Network: simulation.Port{Fabric: t.Fabric, Machine: "stranger"}, Meter: hall.NewMeter("")})
	transport.DisableKeepAlives = true
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header = header
	answer, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return 0, circuit.Decline{Text: err.Error()}
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(answer.Body)
	var told circuit.Decline
	_ = json.Unmarshal(text, &told)
	return answer.StatusCode, told
}

func TestBadRequestsAreDeclinedAndProvedNotRun(test *testing.T) {
	play(test, func(stage *stage) {
		url := "http://" + stage.routPub[0] + "/v1/answer"
		good := `{"tenant":"asociacion","kind":"waiver","key":"good","prompt":"x","tokens":2}`
		if status, _ := stage.post(url, good, nil); status != 200 {
			test.Fatalf("a good request got %d", status)
		}
		before := 0
		for name := range stage.observers {
			before += stage.begun(name)
		}
		for _, each := range []struct {
			body string
			code mishap.Code
		}{
			{`{`, mishap.Malformed}, {``, mishap.Malformed}, {`[]`, mishap.Malformed}, {`{"tokens":"two"}`, mishap.Malformed}, {good + `{}`, mishap.Malformed},
			{`{"tenant":"asociacion","kind":"waiver","key":"a","prompt":"x","tokens":2,"more":1}`, mishap.UnknownField},
			{`{"tenant":"asociacion","kind":"waiver","key":"b","tokens":2,"prompt":"` + strings.Repeat("x", 5<<20) + `"}`, mishap.Oversized},
			{`{"tenant":"nobody","kind":"waiver","key":"c","prompt":"x","tokens":2}`, mishap.UnknownTenant},
			{`{"tenant":"asociacion","kind":"nothing","key":"d","prompt":"x","tokens":2}`, mishap.UnknownKind},
			{`{"tenant":"asociacion","kind":"waiver","key":"e","prompt":"x","tokens":0}`, mishap.BadBudget},
			{`{"tenant":"asociacion","kind":"waiver","key":"f","prompt":"x","tokens":999}`, mishap.BadBudget},
			{`{"tenant":"asociacion","kind":"waiver","key":"g","prompt":"x","tokens":2,"startMilliseconds":-1}`, mishap.BadBudget},
			{`{"tenant":"asociacion","kind":"waiver","key":"h","prompt":"x","tokens":2,"startMilliseconds":9999}`, mishap.BadBudget},
			{`{"tenant":"asociacion","kind":"waiver","key":"","prompt":"x","tokens":2}`, mishap.KeyMissing},
			{`{"tenant":"asociacion","kind":"waiver","key":"` + strings.Repeat("k", 129) + `","prompt":"x","tokens":2}`, mishap.KeyMissing},
			{good, mishap.KeyReused},
		} {
			status, told := stage.post(url, each.body, nil)
			ending := "not run"
			if each.code == mishap.KeyReused {
				ending = "run"
			}
			if status < 400 || status > 499 || told.Code != each.code || told.Ending != ending {
				test.Errorf("%.80s: status %d, told %+v", each.body, status, told)
			}
		}
		after := 0
		for name := range stage.observers {
			after += stage.begun(name)
		}
		if after != before {
			test.Errorf("%d runs began for bad requests", after-before)
		}
	})
}

func TestBadOperationsHaveNoEffect(test *testing.T) {
	play(test, func(stage *stage) {
		url := "http://" + stage.corePub[1] + "/v1/operations"
		for _, each := range []struct {
			request configuration.Request
			code    mishap.Code
			place   string
		}{
			{configuration.Request{Kind: configuration.Whole, Key: "a", Expected: 1, Document: "halls: 3"}, mishap.ConfigurationInvalid, "halls"},
			{configuration.Request{Kind: configuration.Small, Key: "b", Expected: 1, Changes: map[string]string{"nothing": "1"}}, mishap.ConfigurationInvalid, "nothing"},
			{configuration.Request{Kind: configuration.Small, Key: "c", Expected: 7, Changes: map[string]string{"startMilliseconds": "400"}}, mishap.SequenceStale, "7"},
			{configuration.Request{Kind: configuration.Evacuate, Key: "d", Expected: 1, Hall: "nowhere"}, mishap.UnknownHall, "nowhere"},
			{configuration.Request{Kind: "other", Key: "e", Expected: 1}, mishap.Malformed, "other"},
			{configuration.Request{Kind: configuration.Evacuate, Expected: 1, Hall: "sur"}, mishap.KeyMissing, ""},
		} {
			body, _ := json.Marshal(each.request)
			status, told := stage.post(url, string(body), nil)
			if status < 400 || status > 499 || told.Code != each.code || !strings.Contains(told.Text, each.place) {
				test.Errorf("%+v: status %d, told %+v", each.request, status, told)
			}
		}
		var shown core.Shown
		if err := stage.change().Get("/v1/configuration", &shown); err != nil || shown.Sequence != 1 || len(shown.Evacuated) > 0 {
			test.Errorf("sequence %d, evacuated %v (%v)", shown.Sequence, shown.Evacuated, err)
		}
		again := operator.Small{Change: stage.change()}
		again.Arguments.Pairs = []string{"startMilliseconds=nothing"}
		if mishap.CodeOf(again.Run(), 0) != mishap.SettingBad {
			test.Error("a value that is no JSON was sent")
		}
	})
}

// Garbage, messages of a foreign fleet, gobs of another type and gobs that claim to
// be huge are dropped and counted, and the daemons go on.
func TestGarbageOnInnerPorts(test *testing.T) {
	play(test, func(stage *stage) {
		var other bytes.Buffer
		_ = gob.NewEncoder(&other).Encode(map[string][]float64{"x": {1, 2}})
		bomb := append([]byte{0xf8}, binary.BigEndian.AppendUint64(nil, 1<<40)...)
		bodies := []string{"", "nonsense", other.String(), string(bomb), strings.Repeat("\xff", 1<<16)}
		paths := []string{"/core/deliver", "/core/heads", "/core/operate", "/core/mishap", "/core/copy", "/sibling/shuffle", "/news/push", "/news/compare", "/nothing"}
		home, foreign := http.Header{}, http.Header{}
		home.Set("Coursepass-Fleet", "stage")
		foreign.Set("Coursepass-Fleet", "other")
		sent := int64(0)
		for _, path := range paths {
			for _, body := range bodies {
				for _, header := range []http.Header{home, foreign, {}} {
					header = header.Clone()
					header.Set("Content-Type", "application/gob")
					stage.post("http://"+stage.seeds[0]+path, body, header)
					sent++
				}
			}
		}
		var counters map[string]int64
		alone := operator.Target{Cores: stage.corePub[:1], Network: stage.change().Network}
		if err := alone.Get("/counters", &counters); err != nil {
			test.Fatal(err)
		}
		if counters["foreign"] != sent*2/3 {
			test.Errorf("%d foreign messages were counted, not %d", counters["foreign"], sent*2/3)
		}
		if counters["garbage"] < sent/6 {
			test.Errorf("only %d pieces of garbage were counted of %d", counters["garbage"], sent/3)
		}
		most(test, stage.during(4, func() {}), 1)
	})
}

// A router sleeps through a suspend that its timers do not count, while the configuration
// changes and it is cut off: when it wakes, its last majority read is too old to take work.
func TestASuspendedRouterIsNotFresh(test *testing.T) {
	play(test, func(stage *stage) {
		alone := operator.Target{Cores: stage.routPub[1:2], Network: stage.change().Network}
		var text string
		if err := alone.Get("/ready", &text); err != nil {
			test.Fatal(err)
		}
		stage.Isolate("router-1", []string{"core-0", "core-1", "core-2", "router-0", "router-2"})
		stage.Suspend("router-1", 2*schedule.Second)
		if err := alone.Get("/ready", &text); mishap.CodeOf(err, 0) != mishap.RouterStale {
			test.Errorf("right after a suspend of two seconds: %v", err)
		}
	})
}
