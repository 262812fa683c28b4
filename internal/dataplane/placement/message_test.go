package placement_test

import (
	"math"
	"strings"
	"testing"

	"coursepass/internal/dataplane/placement"
	"coursepass/internal/errcode"
)

// validQuery returns a query within all limits.
func validQuery() placement.Query {
	return placement.Query{
		Router:  "router-1",
		Zone:    "norte",
		Service: "model",
		Prompt:  []placement.Chunk{{Name: "shared", Tokens: 6000}, {Name: "own", Tokens: 300}},
	}
}

func TestQueryCheck(t *testing.T) {
	long := strings.Repeat("x", 300)
	for name, change := range map[string]func(*placement.Query){
		"no router":                   func(query *placement.Query) { query.Router = "" },
		"no zone":                     func(query *placement.Query) { query.Zone = "" },
		"no service":                  func(query *placement.Query) { query.Service = "" },
		"a long key":                  func(query *placement.Query) { query.Key = long },
		"no prompt":                   func(query *placement.Query) { query.Prompt = nil },
		"many chunks":                 func(query *placement.Query) { query.Prompt = make([]placement.Chunk, 1000) },
		"a negative chunk":            func(query *placement.Query) { query.Prompt[0].Tokens = -1 },
		"a huge chunk":                func(query *placement.Query) { query.Prompt[0].Tokens = math.MaxInt },
		"chunks that are huge in sum": func(query *placement.Query) { query.Prompt[0].Tokens = 1 << 22 },
		"a long chunk name":           func(query *placement.Query) { query.Prompt[0].Name = long },
		"a negative body":             func(query *placement.Query) { query.BodyBytes = -1 },
		"a negative response":         func(query *placement.Query) { query.MaxTokens = -1 },
		"a negative KV cache":         func(query *placement.Query) { query.FetchedTokens = -1 },
		"a large KV cache":            func(query *placement.Query) { query.FetchedTokens = 1<<22 + 1 },
		"a negative urgency":          func(query *placement.Query) { query.Urgency = -1 },
		"a large urgency":             func(query *placement.Query) { query.Urgency = 10 },
		"a long excluded name":        func(query *placement.Query) { query.Excluded = []string{long} },
		"many excluded":               func(query *placement.Query) { query.Excluded = make([]string, 100) },
		"a negative pause":            func(query *placement.Query) { query.EventTimeoutMicros = -1 },
		"many samples":                func(query *placement.Query) { query.Prefills = make([]placement.PrefillSample, 17) },
		"many decode samples":         func(query *placement.Query) { query.Decodes = make([]placement.DecodeSample, 17) },
	} {
		query := validQuery()
		if err := query.Check(); err != nil {
			t.Fatal(err)
		}
		change(&query)
		if err := query.Check(); errcode.CodeOf(err, 0) != errcode.MalformedMessage {
			t.Errorf("query with %s: got error %v, want MalformedMessage", name, err)
		}
	}
}

// validAnswer returns an answer within all limits.
func validAnswer() placement.Answer {
	return placement.Answer{
		Placed:         true,
		Prefiller:      "engine-1",
		Decoder:        "engine-2",
		UncachedTokens: 300,
		WaitMicros:     100,
		PrefillTerms:   []float64{70, 30, 1},
	}
}

func TestAnswerCheck(t *testing.T) {
	for name, change := range map[string]func(*placement.Answer){
		"no decoder":              func(answer *placement.Answer) { answer.Decoder = "" },
		"negative tokens":         func(answer *placement.Answer) { answer.UncachedTokens = -1 },
		"a huge number of tokens": func(answer *placement.Answer) { answer.UncachedTokens = math.MaxInt },
		"a negative wait":         func(answer *placement.Answer) { answer.WaitMicros = -1 },
		"a huge wait":             func(answer *placement.Answer) { answer.WaitMicros = math.MaxInt64 },
		"a negative duration":     func(answer *placement.Answer) { answer.PrefillMicros = -1 },
		"negative paused runs":    func(answer *placement.Answer) { answer.PausedRuns = -1 },
		"no model":                func(answer *placement.Answer) { answer.PrefillTerms = nil },
		"a longer model":          func(answer *placement.Answer) { answer.PrefillTerms = make([]float64, 4) },
		"a negative term":         func(answer *placement.Answer) { answer.PrefillTerms[1] = -1 },
		"a term that is NaN":      func(answer *placement.Answer) { answer.PrefillTerms[1] = math.NaN() },
	} {
		answer := validAnswer()
		if err := answer.Check(); err != nil {
			t.Fatal(err)
		}
		change(&answer)
		if err := answer.Check(); errcode.CodeOf(err, 0) != errcode.MalformedMessage {
			t.Errorf("answer with %s: got error %v, want MalformedMessage", name, err)
		}
	}
	if err := (&placement.Answer{}).Check(); err != nil {
		t.Errorf("an answer without a placement is rejected: %v", err)
	}
}

func TestEngineReportCheck(t *testing.T) {
	valid := placement.EngineReport{Router: "router-1", Service: "model", Incarnation: "engine-1"}
	if err := valid.Check(); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(*placement.EngineReport){
		"no router":   func(report *placement.EngineReport) { report.Router = "" },
		"no service":  func(report *placement.EngineReport) { report.Service = "" },
		"no engine":   func(report *placement.EngineReport) { report.Incarnation = "" },
		"a long name": func(report *placement.EngineReport) { report.Incarnation = strings.Repeat("x", 300) },
	} {
		report := valid
		change(&report)
		if err := report.Check(); errcode.CodeOf(err, 0) != errcode.MalformedMessage {
			t.Errorf("engine report with %s: got error %v, want MalformedMessage", name, err)
		}
	}
}
