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
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
	"coursepass/internal/transport"
)

// postJSON posts a body and returns the status, 0 if there is no response, and the rejection.
func (t *testFleet) postJSON(url, body string, header http.Header) (int, transport.ErrorResponse) {
	request := t.newPost(url, strings.NewReader(body))
	request.Header = header
	response, err := t.newHTTPClient("stranger").Do(request)
	if err != nil {
		return 0, transport.ErrorResponse{Message: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	var rejection transport.ErrorResponse
	_ = json.Unmarshal(text, &rejection)
	return response.StatusCode, rejection
}

func TestInvalidRequests_AreRejectedAndNotRun(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		url := "http://" + fleet.routerAddresses[0] + "/v1/answer"
		good := `{"tenant":"asociacion","kind":"waiver","key":"good","prompt":"x","tokens":2}`
		if status, _ := fleet.postJSON(url, good, nil); status != 200 {
			t.Fatalf("a valid request was answered with %d", status)
		}
		before := 0
		for name := range fleet.observers {
			before += fleet.countEngineRuns(name)
		}
		for _, testCase := range []struct {
			body string
			code errcode.Code
		}{
			{`{`, errcode.Malformed}, {``, errcode.Malformed}, {`[]`, errcode.Malformed}, {`{"tokens":"two"}`, errcode.Malformed}, {good + `{}`, errcode.Malformed},
			{`{"tenant":"asociacion","kind":"waiver","key":"a","prompt":"x","tokens":2,"more":1}`, errcode.UnknownField},
			{`{"tenant":"asociacion","kind":"waiver","key":"b","tokens":2,"prompt":"` + strings.Repeat("x", 5<<20) + `"}`, errcode.Oversized},
			{`{"tenant":"nobody","kind":"waiver","key":"c","prompt":"x","tokens":2}`, errcode.UnknownTenant},
			{`{"tenant":"asociacion","kind":"nothing","key":"d","prompt":"x","tokens":2}`, errcode.UnknownRequestKind},
			{`{"tenant":"asociacion","kind":"waiver","key":"e","prompt":"x","tokens":0}`, errcode.InvalidTimeout},
			{`{"tenant":"asociacion","kind":"waiver","key":"f","prompt":"x","tokens":999}`, errcode.InvalidTimeout},
			{`{"tenant":"asociacion","kind":"waiver","key":"g","prompt":"x","tokens":2,"startMilliseconds":-1}`, errcode.InvalidTimeout},
			{`{"tenant":"asociacion","kind":"waiver","key":"h","prompt":"x","tokens":2,"startMilliseconds":9999}`, errcode.InvalidTimeout},
			{`{"tenant":"asociacion","kind":"waiver","key":"","prompt":"x","tokens":2}`, errcode.KeyMissing},
			{`{"tenant":"asociacion","kind":"waiver","key":"` + strings.Repeat("k", 129) + `","prompt":"x","tokens":2}`, errcode.KeyMissing},
			{good, errcode.KeyReused},
		} {
			status, rejection := fleet.postJSON(url, testCase.body, nil)
			execution := "not run"
			if testCase.code == errcode.KeyReused {
				execution = "run"
			}
			if status < 400 || status > 499 || rejection.Code != testCase.code || rejection.Execution != execution {
				t.Errorf("%.80s: status %d, answered %+v", testCase.body, status, rejection)
			}
		}
		after := 0
		for name := range fleet.observers {
			after += fleet.countEngineRuns(name)
		}
		if after != before {
			t.Errorf("%d runs were started for invalid requests", after-before)
		}
	})
}

func TestInvalidOperations_HaveNoEffect(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		url := "http://" + fleet.serverAddresses[1] + "/v1/operations"
		for _, testCase := range []struct {
			request  config.Request
			code     errcode.Code
			wantText string
		}{
			{config.Request{Kind: config.OperationApply, Key: "a", Expected: 1, Document: "halls: 3"}, errcode.ConfigurationInvalid, "halls"},
			{config.Request{Kind: config.OperationPatch, Key: "b", Expected: 1, Changes: map[string]string{"nothing": "1"}}, errcode.ConfigurationInvalid, "nothing"},
			{config.Request{Kind: config.OperationPatch, Key: "c", Expected: 7, Changes: map[string]string{"startMilliseconds": "400"}}, errcode.RevisionStale, "7"},
			{config.Request{Kind: config.OperationEvacuate, Key: "d", Expected: 1, Zone: "nowhere"}, errcode.UnknownZone, "nowhere"},
			{config.Request{Kind: "other", Key: "e", Expected: 1}, errcode.Malformed, "other"},
			{config.Request{Kind: config.OperationEvacuate, Expected: 1, Zone: "sur"}, errcode.KeyMissing, ""},
		} {
			body, _ := json.Marshal(testCase.request)
			status, rejection := fleet.postJSON(url, string(body), nil)
			if status < 400 || status > 499 || rejection.Code != testCase.code || !strings.Contains(rejection.Message, testCase.wantText) {
				t.Errorf("%+v: status %d, answered %+v", testCase.request, status, rejection)
			}
		}
		var configuration controlapi.ConfigurationResponse
		err := fleet.newChange().Get("/v1/configuration", &configuration)
		if err != nil || configuration.Revision != 1 || len(configuration.EvacuatedZones) > 0 {
			t.Errorf("revision %d, evacuated %v (%v)", configuration.Revision, configuration.EvacuatedZones, err)
		}
		smallChange := adminclient.SetParameters{ChangeCommand: fleet.newChange()}
		smallChange.Arguments.Pairs = []string{"startMilliseconds=nothing"}
		if errcode.CodeOf(smallChange.Run(), 0) != errcode.InvalidSetting {
			t.Error("a value that is not JSON was sent")
		}
	})
}

// TestInternalPorts_RejectMalformedMessages sends garbage, messages of another fleet, gobs of another
// type and gobs that claim to be huge: they are dropped and counted, and the daemons go on serving.
func TestInternalPorts_RejectMalformedMessages(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		var other bytes.Buffer
		_ = gob.NewEncoder(&other).Encode(map[string][]float64{"x": {1, 2}})
		oversizedGob := append([]byte{0xf8}, binary.BigEndian.AppendUint64(nil, 1<<40)...)
		bodies := []string{"", "nonsense", other.String(), string(oversizedGob), strings.Repeat("\xff", 1<<16)}
		paths := []string{
			"/core/deliver", "/core/heads", "/core/operate", "/core/mishap", "/core/copy",
			"/sibling/shuffle", "/news/push", "/news/compare", "/nothing",
		}
		home, foreign := http.Header{}, http.Header{}
		home.Set("Coursepass-Fleet", "stage")
		foreign.Set("Coursepass-Fleet", "other")
		sent := int64(0)
		for _, path := range paths {
			for _, body := range bodies {
				for _, header := range []http.Header{home, foreign, {}} {
					header = header.Clone()
					header.Set("Content-Type", "application/gob")
					fleet.postJSON("http://"+fleet.seeds[0]+path, body, header)
					sent++
				}
			}
		}
		var counters map[string]int64
		target := adminclient.Client{Cores: fleet.serverAddresses[:1], Network: fleet.newChange().Network}
		if err := target.Get("/counters", &counters); err != nil {
			t.Fatal(err)
		}
		if counters["foreign"] != sent*2/3 {
			t.Errorf("%d foreign messages were counted, not %d", counters["foreign"], sent*2/3)
		}
		if counters["garbage"] < sent/6 {
			t.Errorf("only %d malformed messages of %d were counted", counters["garbage"], sent/3)
		}
		checkCompleteShare(t, fleet.loadDuring(4, func() {}), 1)
	})
}

// TestRouter_IsStaleAfterSuspend suspends an isolated router for a time that its timers do not count:
// when it resumes, its last majority read is too old for it to be ready.
func TestRouter_IsStaleAfterSuspend(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		target := adminclient.Client{Cores: fleet.routerAddresses[1:2], Network: fleet.newChange().Network}
		var text string
		if err := target.Get("/ready", &text); err != nil {
			t.Fatal(err)
		}
		fleet.Isolate("router-1", []string{"core-0", "core-1", "core-2", "router-0", "router-2"})
		fleet.Suspend("router-1", 2*clock.Second)
		if err := target.Get("/ready", &text); errcode.CodeOf(err, 0) != errcode.RouterStale {
			t.Errorf("right after a suspend of two seconds: %v", err)
		}
	})
}
