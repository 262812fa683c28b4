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
	"coursepass/internal/state/config"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/route"
)

// outcomeClient is a driver whose engines end each call, read or run, with the next outcome of a
// script, and with an answer once the script is over.
type outcomeClient struct {
	script          []platformport.Outcome
	prefills        int
	runs            int
	prefillAnswered bool
	// unknownRuns counts the runs that may have begun for all that the router was told.
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

func (o *outcomeClient) Prefill(context.Context, platformport.Attempt) (platformport.KVHandle, platformport.Outcome, error) {
	outcome := o.nextOutcome("read")
	if outcome != platformport.OutcomeNotSent {
		o.prefills++
	}
	if outcome != platformport.OutcomeAnswered {
		return platformport.KVHandle{}, outcome, errors.New("scripted")
	}
	o.prefillAnswered = true
	return platformport.KVHandle{Name: "memory"}, outcome, nil
}

func (o *outcomeClient) Generate(context.Context, platformport.Attempt) (platformport.Response, platformport.Outcome, error) {
	outcome := o.nextOutcome("run")
	if outcome != platformport.OutcomeNotSent {
		o.runs++
	}
	if outcome != platformport.OutcomeAnswered {
		if outcome == platformport.OutcomeUnknown {
			o.unknownRuns++
		}
		return platformport.Response{}, outcome, errors.New("scripted")
	}
	return platformport.Response{Status: 200, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("id: 1\n\n")), Length: -1}, outcome, nil
}

func (o *outcomeClient) ReleaseKV(context.Context, string, string) error { return nil }

// extraArrivals is how many arrivals past the first the retry budget counts at worst: a read of
// unknown fate may have been turned away, and only one that was taken up is free.
func (o *outcomeClient) extraArrivals() int {
	arrived := o.prefills + o.runs
	if o.prefillAnswered {
		arrived--
	}
	return max(arrived-1, 0)
}

// requestsForTokens is how many requests earn so many tokens, the one under test included,
// where a router earns sixteen hundredths of one by each.
var requestsForTokens = []int{1, 7, 13, 19}

// earnRetryTokens has the carrier see so many requests for which nothing is sent.
func earnRetryTokens(forwarder *proxy.Proxy, requests int, routes route.Table) {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	forwarder.Configure(config.View{Book: route.Table{Routes: map[string]route.Route{"none": {Host: "host", Prefix: "/", Kind: route.KindStream, GiveUp: 1}}}})
	for range requests {
		unserved := newRequest()
		unserved.Path, unserved.Timeout = "/flag/none", 1
		forwarder.Forward(canceled, unserved, &responseRecorder{})
	}
	forwarder.Configure(config.View{Book: routes})
}

func singleRoute(maxAttempts int, resumable bool) route.Table {
	return route.Table{
		Routes: map[string]route.Route{"flag": {
			Name: "flag", Host: "host", Prefix: "/flag/", Kind: route.KindStream, Resume: resumable, Tries: maxAttempts, GiveUp: 3 * clock.Second,
			Start: 400 * clock.Millisecond, Shares: []route.WeightedService{{Service: "model", Weight: 1}},
		}},
		Services: map[string]route.Service{"model": {Name: "model"}},
	}
}

// outcomeScripts are all scripts of a length.
func outcomeScripts(length int) [][]platformport.Outcome {
	scripts := [][]platformport.Outcome{{}}
	for range length {
		var extended [][]platformport.Outcome
		for _, script := range scripts {
			for _, outcome := range []platformport.Outcome{platformport.OutcomeUnknown, platformport.OutcomeNotStarted, platformport.OutcomeMisdirected, platformport.OutcomeNotSent, platformport.OutcomeAnswered} {
				extended = append(extended, append(script[:len(script):len(script)], outcome))
			}
		}
		scripts = extended
	}
	return scripts
}

// Whatever becomes of its reads and runs, a request has no more arrivals past the first than
// it took tokens; what may not be repeated is not sent on after a run of unknown fate; and a
// promise that nothing ran is given only if no run is of unknown fate.
func TestEveryExtraArrivalCostsRetryToken(t *testing.T) {
	synctest.Test(t, checkOutcomeScripts)
}

func checkOutcomeScripts(t *testing.T) {
	served := 0
	for _, script := range outcomeScripts(4) {
		for tokens, requests := range requestsForTokens {
			for _, maxAttempts := range []int{1, 2, 3} {
				for _, resumable := range []bool{false, true} {
					client := &outcomeClient{script: script}
					roles := []string{pairing.RolePrefill, pairing.RolePrefill, pairing.RolePrefill, pairing.RoleDecode, pairing.RoleDecode, pairing.RoleDecode}
					forwarder := newTestProxyWithClock(clock.New(), client, maxAttempts, resumable, roles...)
					earnRetryTokens(forwarder, requests-1, singleRoute(maxAttempts, resumable))
					recorder, completed := forward(forwarder, newLongPromptRequest())
					description := fmt.Sprintf("%d tokens, %d tries, resume %v, %v", tokens, maxAttempts, resumable, client.trace)
					if extra := client.extraArrivals(); extra > tokens {
						t.Fatalf("%d arrivals past the first with %s", extra, description)
					}
					if client.runs > maxAttempts {
						t.Fatalf("%d runs with %s", client.runs, description)
					}
					if !resumable && client.unknownRuns > 1 || !resumable && client.unknownRuns == 1 && recorder.status != 0 {
						t.Fatalf("sent on after a run of unknown fate with %s", description)
					}
					if notRun := recorder.code.Status() == 503 && recorder.code != 0; notRun && client.unknownRuns > 0 {
						t.Fatalf("promised not to have run with %s", description)
					}
					if recorder.status == 0 && recorder.code == errcode.OK || forwarder.InvalidTransitions.Load() > 0 {
						t.Fatalf("no clear end with %s", description)
					}
					if completed && recorder.status == 200 {
						served++
					}
				}
			}
		}
	}
	if served < 3000 {
		t.Fatalf("only %d were served", served)
	}
}
