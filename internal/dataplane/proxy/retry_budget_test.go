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

// outcomeClient is an engine client whose calls, prefill or generate, end with the next outcome of a
// script, and with a response once the script is over.
type outcomeClient struct {
	script          []platformport.Outcome
	prefills        int
	runs            int
	prefillAnswered bool
	// unknownRuns counts the runs that may have begun, as far as the router knows.
	unknownRuns int
	trace       []string
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

// oneEventResponse returns a successful response of a single event.
func oneEventResponse() platformport.Response {
	return platformport.Response{
		Status: http.StatusOK,
		Header: http.Header{},
		Body:   io.NopCloser(strings.NewReader("id: 1\n\n")),
		Length: -1,
	}
}

// extraArrivals returns how many arrivals past the first the retry budget must count: a prefill
// with an unknown outcome may have been rejected, and only one that was accepted is free.
func (o *outcomeClient) extraArrivals() int {
	arrived := o.prefills + o.runs
	if o.prefillAnswered {
		arrived--
	}
	return max(arrived-1, 0)
}

// requestsForTokens is how many requests, that under test included, earn as many retry tokens as
// the index says. A router earns 0.16 tokens by each.
var requestsForTokens = []int{1, 7, 13, 19}

// scriptedOutcomes are the outcomes of which scripts are made.
var scriptedOutcomes = []platformport.Outcome{
	platformport.OutcomeUnknown,
	platformport.OutcomeNotStarted,
	platformport.OutcomeMisdirected,
	platformport.OutcomeNotSent,
	platformport.OutcomeAnswered,
}

// outcomeScripts returns all scripts of a length.
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

// Whatever the outcomes of its calls, a request has no more arrivals past the first than it took
// tokens; one that may not be retried is not sent again after a run with an unknown outcome; and a
// client hears that nothing ran only if no run has an unknown outcome.
func TestEveryExtraArrivalCostsRetryToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		served := 0
		for _, script := range outcomeScripts(4) {
			for tokens := range requestsForTokens {
				served += checkOutcomeScript(t, script, tokens)
			}
		}
		if served < 3000 {
			t.Fatalf("only %d were served", served)
		}
	})
}

// checkOutcomeScript checks a script with so many retry tokens at all kinds of routes. It returns
// how many requests got a complete response.
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

// outcomeScenario is a request of a route, with so many retry tokens.
type outcomeScenario struct {
	tokens      int
	maxAttempts int
	resumable   bool
}

// check forwards the request to engines that follow a script. It reports whether the client got a
// complete response.
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
		t.Fatalf("%s with %d tokens, %d attempts, resumable %v, %v",
			violation, o.tokens, o.maxAttempts, o.resumable, client.trace)
	}
	return completed && recorder.status == http.StatusOK
}

// violation returns what a request did that it must not, "" if there is nothing.
func (o outcomeScenario) violation(
	client *outcomeClient,
	recorder *responseRecorder,
	forwarder *proxy.Proxy,
) string {
	sentAfterUnknown := client.unknownRuns > 1 || client.unknownRuns == 1 && recorder.status != 0
	reportedNotRun := recorder.code != 0 && recorder.code.Status() == http.StatusServiceUnavailable
	switch {
	case client.extraArrivals() > o.tokens:
		return fmt.Sprintf("%d arrivals past the first", client.extraArrivals())
	case client.runs > o.maxAttempts:
		return fmt.Sprintf("%d runs", client.runs)
	case !o.resumable && sentAfterUnknown:
		return "sent again after a run with an unknown outcome"
	case reportedNotRun && client.unknownRuns > 0:
		return "rejected as not run after a run with an unknown outcome"
	case recorder.status == 0 && recorder.code == errcode.OK:
		return "neither a response nor a rejection"
	case forwarder.InvalidTransitions.Load() > 0:
		return "invalid transition"
	}
	return ""
}
