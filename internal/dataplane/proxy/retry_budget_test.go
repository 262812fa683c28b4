package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/proxy"
	"coursepass/internal/errcode"
	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
)

// outcomeClient is an engine client whose prefill and generate calls take their outcomes from a script.
// After the end of the script, all calls are answered.
type outcomeClient struct {
	script          []platformport.Outcome
	prefills        int
	runs            int
	prefillAnswered bool
	// unknownRuns counts the generate calls with an unknown outcome.
	unknownRuns int
	// trace lists all calls with their outcomes.
	trace []string
}

func (o *outcomeClient) nextOutcome(operation string) platformport.Outcome {
	outcome := platformport.OutcomeAnswered
	if len(o.script) > 0 {
		outcome, o.script = o.script[0], o.script[1:]
	}
	o.trace = append(o.trace, fmt.Sprint(operation, " ", outcome))
	return outcome
}

func (o *outcomeClient) Prefill(
	context.Context,
	platformport.Attempt,
) (platformport.KVHandle, platformport.Outcome, error) {
	outcome := o.nextOutcome("prefill")
	if outcome != platformport.OutcomeNotSent {
		o.prefills++
	}
	if outcome != platformport.OutcomeAnswered {
		return platformport.KVHandle{}, outcome, errors.New("scripted failure")
	}
	o.prefillAnswered = true
	return platformport.KVHandle{Name: "memory"}, outcome, nil
}

func (o *outcomeClient) Generate(
	context.Context,
	platformport.Attempt,
) (platformport.Response, platformport.Outcome, error) {
	outcome := o.nextOutcome("generate")
	if outcome != platformport.OutcomeNotSent {
		o.runs++
	}
	if outcome != platformport.OutcomeAnswered {
		if outcome == platformport.OutcomeUnknown {
			o.unknownRuns++
		}
		return platformport.Response{}, outcome, errors.New("scripted failure")
	}
	return oneEventResponse(), outcome, nil
}

func (o *outcomeClient) ReleaseKV(context.Context, string, string) error { return nil }

// oneEventResponse returns a successful response with a single event.
func oneEventResponse() platformport.Response {
	return platformport.Response{
		Status: http.StatusOK,
		Header: http.Header{},
		Body:   io.NopCloser(strings.NewReader("id: 1\n\n")),
		Length: -1,
	}
}

// extraArrivals returns the number of arrivals that must each have cost a retry token. The first arrival
// and one accepted prefill are free. A prefill with an unknown outcome may have been rejected and is not
// free.
func (o *outcomeClient) extraArrivals() int {
	arrived := o.prefills + o.runs
	if o.prefillAnswered {
		arrived--
	}
	return max(arrived-1, 0)
}

// requestsForTokens is, for each number of retry tokens (the index), the number of requests that earn
// them, including the request under test. Each request earns 0.16 tokens.
var requestsForTokens = []int{1, 7, 13, 19}

// scriptedOutcomes lists the outcomes that scripts consist of.
var scriptedOutcomes = []platformport.Outcome{
	platformport.OutcomeUnknown,
	platformport.OutcomeNotStarted,
	platformport.OutcomeMisdirected,
	platformport.OutcomeNotSent,
	platformport.OutcomeAnswered,
}

// outcomeScripts returns all scripts of the given length.
func outcomeScripts(length int) [][]platformport.Outcome {
	scripts := [][]platformport.Outcome{{}}
	for range length {
		var extended [][]platformport.Outcome
		for _, script := range scripts {
			for _, outcome := range scriptedOutcomes {
				extended = append(extended, append(script[:len(script):len(script)], outcome))
			}
		}
		scripts = extended
	}
	return scripts
}

// For every sequence of call outcomes, the test guards against three failures: a request arrives at
// engines more often than its retry tokens allow; a request that may not be retried is sent again after
// a generate call with an unknown outcome; a client is told that its request has not run although a
// generate call had an unknown outcome.
func TestEveryExtraArrivalCostsRetryToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		served := 0
		for _, script := range outcomeScripts(4) {
			for tokens := range requestsForTokens {
				served += checkOutcomeScript(t, script, tokens)
			}
		}
		if served < 3000 {
			t.Fatalf("only %d requests were served", served)
		}
	})
}

// checkOutcomeScript checks a script with the given number of retry tokens on all kinds of routes. It
// returns the number of requests that got a complete response.
func checkOutcomeScript(t *testing.T, script []platformport.Outcome, tokens int) int {
	t.Helper()
	served := 0
	for _, maxAttempts := range []int{1, 2, 3} {
		for _, resumable := range []bool{false, true} {
			scenario := outcomeScenario{tokens: tokens, maxAttempts: maxAttempts, resumable: resumable}
			if scenario.check(t, script) {
				served++
			}
		}
	}
	return served
}

// outcomeScenario describes the route of a request and the number of available retry tokens.
type outcomeScenario struct {
	tokens      int
	maxAttempts int
	resumable   bool
}

// check forwards a request to engines that follow a script, and fails the test on a violation. It reports
// whether the client got a complete response.
func (o outcomeScenario) check(t *testing.T, script []platformport.Outcome) bool {
	t.Helper()
	client := &outcomeClient{script: script}
	forwarder := newTestProxyWithClock(clock.New(), client, o.maxAttempts, o.resumable,
		pairing.RolePrefill, pairing.RolePrefill, pairing.RolePrefill,
		pairing.RoleDecode, pairing.RoleDecode, pairing.RoleDecode)
	routes := singleRoute(o.maxAttempts, o.resumable)
	earnRetryTokens(forwarder, requestsForTokens[o.tokens]-1, routes)
	recorder, completed := forward(forwarder, newLongPromptRequest())
	if violation := o.violation(client, recorder, forwarder); violation != "" {
		t.Fatalf("%s: %d retry tokens, at most %d attempts, resumable %v, calls %v",
			violation, o.tokens, o.maxAttempts, o.resumable, client.trace)
	}
	return completed && recorder.status == http.StatusOK
}

// violation describes the first violated rule, or returns "" if there is none.
func (o outcomeScenario) violation(
	client *outcomeClient,
	recorder *responseRecorder,
	forwarder *proxy.Proxy,
) string {
	sentAfterUnknown := client.unknownRuns > 1 || client.unknownRuns == 1 && recorder.status != 0
	reportedNotRun := recorder.code != 0 && recorder.code.Status() == http.StatusServiceUnavailable
	switch {
	case client.extraArrivals() > o.tokens:
		return fmt.Sprintf("%d arrivals that need a retry token", client.extraArrivals())
	case client.runs > o.maxAttempts:
		return fmt.Sprintf("%d generate calls", client.runs)
	case !o.resumable && sentAfterUnknown:
		return "sent again after a generate call with an unknown outcome"
	case reportedNotRun && client.unknownRuns > 0:
		return "rejected as not run after a generate call with an unknown outcome"
	case recorder.status == 0 && recorder.code == errcode.OK:
		return "neither a response nor a rejection"
	case forwarder.InvalidTransitions.Load() > 0:
		return "invalid transition"
	}
	return ""
}
