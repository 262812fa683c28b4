package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/dataplane/proxy"
	"coursepass/internal/errcode"
	"coursepass/internal/platformport"
	"coursepass/internal/state/config"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
	"coursepass/internal/state/route"
)

// callResult is what a played engine does with one call.
type callResult struct {
	outcome platformport.Outcome
	status  int
	body    string
	// truncated has the body end with a mishap.
	truncated bool
}

// scriptedClient is a driver whose engines do as the play says, one act after another.
type scriptedClient struct {
	lock           sync.Mutex
	results        []callResult
	attempts       []platformport.Attempt
	prefills       []platformport.Attempt
	releasedKV     []string
	prefillOutcome platformport.Outcome
}

func (s *scriptedClient) Prefill(_ context.Context, attempt platformport.Attempt) (platformport.KVHandle, platformport.Outcome, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.prefills = append(s.prefills, attempt)
	return platformport.KVHandle{Name: "memory", ModelVersion: 3}, s.prefillOutcome, nil
}

func (s *scriptedClient) Generate(_ context.Context, attempt platformport.Attempt) (platformport.Response, platformport.Outcome, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.attempts = append(s.attempts, attempt)
	result := s.results[0]
	s.results = s.results[1:]
	if result.outcome != platformport.OutcomeAnswered {
		return platformport.Response{}, result.outcome, errors.New("played")
	}
	var body io.Reader = strings.NewReader(result.body)
	if result.truncated {
		body = io.MultiReader(body, truncatedReader{})
	}
	return platformport.Response{Status: result.status, Header: http.Header{"Stamp": {attempt.Incarnation}}, Body: io.NopCloser(body), Length: -1}, platformport.OutcomeAnswered, nil
}

func (s *scriptedClient) ReleaseKV(_ context.Context, _, kvHandle string) error {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.releasedKV = append(s.releasedKV, kvHandle)
	return nil
}

type truncatedReader struct{}

func (truncatedReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// responseRecorder is what a caller was told.
type responseRecorder struct {
	status     int
	header     http.Header
	body       strings.Builder
	code       errcode.Code
	retryAfter clock.Microseconds
}

func (r *responseRecorder) WriteHead(status int, header http.Header, _ int64) {
	r.status, r.header = status, header
}
func (r *responseRecorder) Write(data []byte) error {
	r.body.Write(data)
	return nil
}
func (r *responseRecorder) Reject(err error, retryAfter clock.Microseconds) {
	r.code, r.retryAfter = errcode.CodeOf(err, 0), retryAfter
}

func newTestProxy(client platformport.EngineClient, maxAttempts int, resumable bool, roles ...string) *proxy.Proxy {
	return newTestProxyWithClock(clock.NewFromSource(func() clock.Microseconds { return clock.Second }), client, maxAttempts, resumable, roles...)
}

// newTestProxyWithClock makes a carrier on a clock.
func newTestProxyWithClock(timeSource *clock.Clock, client platformport.EngineClient, maxAttempts int, resumable bool, roles ...string) *proxy.Proxy {
	forwarder := proxy.New(proxy.Options{Options: balancer.Options{Router: "r", Zone: "norte"}, RetryRatio: 0.2, RetryBurst: 60}, timeSource, client)
	forwarder.Configure(config.View{Book: route.Table{
		Routes: map[string]route.Route{"flag": {
			Name: "flag", Host: "host", Prefix: "/flag/", Kind: route.KindStream, Resume: resumable, Tries: maxAttempts, GiveUp: 3 * clock.Second,
			Start: 400 * clock.Millisecond, Shares: []route.WeightedService{{Service: "model", Weight: 1}},
		}},
		Services: map[string]route.Service{"model": {Name: "model"}},
	}})
	engines := map[string]registry.Engine{}
	for index, role := range roles {
		incarnation := fmt.Sprintf("life-%d", index)
		engines[incarnation] = registry.Engine{Name: incarnation, Incarnation: incarnation, Service: "model", Hall: "norte", Address: "10.0.0.1:1", Part: role, Slots: 8}
	}
	forwarder.UpdateEngines(registry.View{Engines: engines}, 1)
	return forwarder
}

func newRequest() platformport.Request {
	return platformport.Request{Method: "POST", Target: "/flag/1", Host: "host", Path: "/flag/1", RequestID: "one", Timeout: clock.Second}
}

// newLongPromptRequest is a call with a prompt that is worth reading elsewhere.
func newLongPromptRequest() platformport.Request {
	request := newRequest()
	request.Prompt = []platformport.PromptChunk{{Name: "shared", Tokens: 6000}, {Name: "own", Tokens: 6000}}
	return request
}

func forward(forwarder *proxy.Proxy, request platformport.Request) (*responseRecorder, bool) {
	recorder := &responseRecorder{}
	return recorder, forwarder.Forward(context.Background(), request, recorder)
}

func TestRequestThatMayHaveRunIsNotRetried(t *testing.T) {
	Convey("a stream that may not be resumed is sent once, and told as unknown", t, func() {
		client := &scriptedClient{results: []callResult{{outcome: platformport.OutcomeUnknown}, {outcome: platformport.OutcomeAnswered, status: 200}}}
		recorder, _ := forward(newTestProxy(client, 5, false, pairing.RoleBoth, pairing.RoleBoth), newRequest())
		So(len(client.attempts), ShouldEqual, 1)
		So(recorder.code, ShouldEqual, errcode.ExecutionUnknown)
		So(recorder.retryAfter, ShouldEqual, clock.Microseconds(0))
	})
	Convey("after a proof that it did not start another engine is asked, within the tries", t, func() {
		client := &scriptedClient{results: []callResult{{outcome: platformport.OutcomeNotStarted}, {outcome: platformport.OutcomeAnswered, status: 200, body: "id: 1\n\n"}}}
		forwarder := newTestProxy(client, 2, false, pairing.RoleBoth, pairing.RoleBoth)
		earnRetries(forwarder)
		recorder, completed := forward(forwarder, newRequest())
		So(completed, ShouldBeTrue)
		So(len(client.attempts), ShouldEqual, 2)
		So(client.attempts[0].Incarnation, ShouldNotEqual, client.attempts[1].Incarnation)
		So(recorder.body.String(), ShouldEqual, "id: 1\n\n")
	})
	Convey("with a single try it is declined at once as not run, with a time to come back", t, func() {
		client := &scriptedClient{results: []callResult{{outcome: platformport.OutcomeNotStarted}}}
		recorder, _ := forward(newTestProxy(client, 1, false, pairing.RoleBoth, pairing.RoleBoth), newRequest())
		So(len(client.attempts), ShouldEqual, 1)
		So(recorder.code.Status(), ShouldEqual, 503)
		So(recorder.retryAfter, ShouldBeGreaterThan, clock.Microseconds(0))
	})
	Convey("an engine that can't be reached counts as no try", t, func() {
		client := &scriptedClient{results: []callResult{{outcome: platformport.OutcomeNotSent}, {outcome: platformport.OutcomeAnswered, status: 200, body: "id: 1\n\n"}}}
		_, completed := forward(newTestProxy(client, 1, false, pairing.RoleBoth, pairing.RoleBoth), newRequest())
		So(completed, ShouldBeTrue)
		So(len(client.attempts), ShouldEqual, 2)
	})
	Convey("with no engine that can be reached it is declined as not run", t, func() {
		client := &scriptedClient{results: []callResult{{outcome: platformport.OutcomeNotSent}, {outcome: platformport.OutcomeNotSent}}}
		recorder, _ := forward(newTestProxy(client, 1, false, pairing.RoleBoth, pairing.RoleBoth), newRequest())
		So(len(client.attempts), ShouldEqual, 2)
		So(recorder.code.Status(), ShouldEqual, 503)
		So(recorder.retryAfter, ShouldBeGreaterThan, clock.Microseconds(0))
	})
	Convey("a status that promises that nothing ran is not passed on without the engine's word", t, func() {
		for _, status := range []int{408, 421, 429, 503} {
			client := &scriptedClient{results: []callResult{{outcome: platformport.OutcomeAnswered, status: status, body: "full"}}}
			recorder, _ := forward(newTestProxy(client, 2, false, pairing.RoleBoth, pairing.RoleBoth), newRequest())
			So(recorder.status, ShouldEqual, 0)
			So(recorder.code, ShouldEqual, errcode.ExecutionUnknown)
			So(len(client.attempts), ShouldEqual, 1)
		}
	})
	Convey("an engine's own failure is passed on unchanged where it may not run again", t, func() {
		client := &scriptedClient{results: []callResult{{outcome: platformport.OutcomeAnswered, status: 500, body: "broken"}}}
		recorder, completed := forward(newTestProxy(client, 2, false, pairing.RoleBoth), newRequest())
		So(completed, ShouldBeTrue)
		So(recorder.status, ShouldEqual, 500)
		So(recorder.body.String(), ShouldEqual, "broken")
	})
}

// earnRetries earns repeats by requests that no engine is asked for.
func earnRetries(forwarder *proxy.Proxy) {
	for range 20 {
		canceled, cancel := context.WithCancel(context.Background())
		cancel()
		unserved := newRequest()
		unserved.Path, unserved.Timeout = "/flag/none", 1
		forwarder.Configure(config.View{Book: route.Table{Routes: map[string]route.Route{"none": {Host: "host", Prefix: "/", Kind: route.KindStream, GiveUp: 1}}}})
		forwarder.Forward(canceled, unserved, &responseRecorder{})
	}
	forwarder.Configure(config.View{Book: route.Table{
		Routes: map[string]route.Route{"flag": {
			Name: "flag", Host: "host", Prefix: "/flag/", Kind: route.KindStream, Resume: true, Tries: 2, GiveUp: 3 * clock.Second,
			Start: 400 * clock.Millisecond, Shares: []route.WeightedService{{Service: "model", Weight: 1}},
		}},
		Services: map[string]route.Service{"model": {Name: "model"}},
	}})
}

func TestTruncatedStreamResumesAfterLastEvent(t *testing.T) {
	Convey("nothing is skipped, repeated or spliced", t, func() {
		client := &scriptedClient{results: []callResult{
			{outcome: platformport.OutcomeAnswered, status: 200, body: "id: 1\ndata: a\n\nid: 2\nda", truncated: true},
			{outcome: platformport.OutcomeAnswered, status: 200, body: "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"},
		}}
		forwarder := newTestProxy(client, 2, true, pairing.RoleBoth, pairing.RoleBoth)
		earnRetries(forwarder)
		recorder, completed := forward(forwarder, newRequest())
		So(completed, ShouldBeTrue)
		So(client.attempts[1].LastEventID, ShouldEqual, "1")
		So(recorder.body.String(), ShouldEqual, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n")
		So(recorder.header.Get("Stamp"), ShouldEqual, client.attempts[0].Incarnation)
	})
	Convey("one that may not be resumed ends as cut", t, func() {
		client := &scriptedClient{results: []callResult{{outcome: platformport.OutcomeAnswered, status: 200, body: "id: 1\ndata: a\n\n", truncated: true}}}
		_, completed := forward(newTestProxy(client, 2, false, pairing.RoleBoth, pairing.RoleBoth), newRequest())
		So(completed, ShouldBeFalse)
		So(len(client.attempts), ShouldEqual, 1)
	})
	Convey("without repeats left it ends as cut", t, func() {
		client := &scriptedClient{results: []callResult{{outcome: platformport.OutcomeAnswered, status: 200, body: "id: 1\ndata: a\n\n", truncated: true}}}
		_, completed := forward(newTestProxy(client, 2, true, pairing.RoleBoth, pairing.RoleBoth), newRequest())
		So(completed, ShouldBeFalse)
	})
}

func TestLongPromptIsPrefilledOnSeparateEngine(t *testing.T) {
	Convey("the writer is told whose memory it takes, and of which weights", t, func() {
		client := &scriptedClient{prefillOutcome: platformport.OutcomeAnswered, results: []callResult{{outcome: platformport.OutcomeAnswered, status: 200, body: "id: 1\n\n"}}}
		_, completed := forward(newTestProxy(client, 2, true, pairing.RolePrefill, pairing.RoleDecode), newLongPromptRequest())
		So(completed, ShouldBeTrue)
		So(len(client.prefills), ShouldEqual, 1)
		So(client.attempts[0].KVSource, ShouldEqual, "10.0.0.1:1/memory")
		So(client.attempts[0].ModelVersion, ShouldEqual, 3)
	})
	Convey("memory that is not taken is given back, and the request reads anew only as an attempt", t, func() {
		client := &scriptedClient{prefillOutcome: platformport.OutcomeAnswered, results: []callResult{{outcome: platformport.OutcomeNotStarted}, {outcome: platformport.OutcomeAnswered, status: 200, body: "id: 1\n\n"}}}
		forwarder := newTestProxy(client, 2, true, pairing.RolePrefill, pairing.RoleDecode, pairing.RoleDecode)
		earnRetries(forwarder)
		_, completed := forward(forwarder, newLongPromptRequest())
		So(completed, ShouldBeTrue)
		So(len(client.prefills), ShouldEqual, 1)
		So(len(client.attempts), ShouldEqual, 2)
		So(client.attempts[1].KVSource, ShouldBeEmpty)
	})
	Convey("a reader that falls silent costs no attempt but a token: the answer is made by an engine that reads by itself", t, func() {
		client := &scriptedClient{prefillOutcome: platformport.OutcomeUnknown, results: []callResult{{outcome: platformport.OutcomeAnswered, status: 200, body: "id: 1\n\n"}}}
		forwarder := newTestProxy(client, 1, false, pairing.RolePrefill, pairing.RoleDecode)
		earnRetryTokens(forwarder, 19, singleRoute(1, false))
		_, completed := forward(forwarder, newLongPromptRequest())
		So(completed, ShouldBeTrue)
		So(len(client.prefills), ShouldEqual, 1)
		So(len(client.attempts), ShouldEqual, 1)
		So(client.attempts[0].KVSource, ShouldBeEmpty)
	})
	Convey("without a token it ends at once as not run, since the silent reader may have counted as an arrival", t, func() {
		client := &scriptedClient{prefillOutcome: platformport.OutcomeUnknown}
		recorder, _ := forward(newTestProxy(client, 1, false, pairing.RolePrefill, pairing.RoleDecode), newLongPromptRequest())
		So(len(client.prefills), ShouldEqual, 1)
		So(len(client.attempts), ShouldEqual, 0)
		So(recorder.code.Status(), ShouldEqual, 503)
		So(recorder.retryAfter, ShouldBeGreaterThan, clock.Microseconds(0))
	})
	Convey("with more tries and a repeat to spend it is read once more elsewhere, and no third time", t, func() {
		client := &scriptedClient{prefillOutcome: platformport.OutcomeUnknown, results: []callResult{{outcome: platformport.OutcomeAnswered, status: 200, body: "id: 1\n\n"}}}
		forwarder := newTestProxy(client, 2, true, pairing.RolePrefill, pairing.RolePrefill, pairing.RolePrefill, pairing.RoleDecode)
		earnRetries(forwarder)
		recorder, _ := forward(forwarder, newLongPromptRequest())
		So(len(client.prefills), ShouldEqual, 2)
		So(len(client.attempts), ShouldBeLessThanOrEqualTo, 1)
		So(recorder.code, ShouldNotEqual, errcode.ExecutionUnknown)
	})
	Convey("a reader that turns the prompt away counts as an attempt, and nothing has run", t, func() {
		client := &scriptedClient{prefillOutcome: platformport.OutcomeNotStarted, results: []callResult{}}
		recorder, _ := forward(newTestProxy(client, 2, true, pairing.RolePrefill, pairing.RoleDecode), newLongPromptRequest())
		So(recorder.code.Status(), ShouldEqual, 503)
		So(len(client.attempts), ShouldEqual, 0)
	})
}

// Every way through the table ends honestly: not run is told only if nothing left or all
// that left is proved not to have started.
func TestTransitionsAreComplete(t *testing.T) {
	Convey("no state leads out of an end, and all others lead on", t, func() {
		terminal := map[lifecycle.State]bool{lifecycle.StateFinished: true, lifecycle.StateTruncated: true, lifecycle.StateRejected: true}
		for state, successors := range proxy.Transitions {
			So(terminal[state], ShouldBeFalse)
			So(successors, ShouldNotBeEmpty)
			for _, successor := range successors {
				_, known := proxy.Transitions[successor]
				So(known || terminal[successor], ShouldBeTrue)
			}
		}
	})
	Convey("the plays above never stepped beside the table", t, func() {
		client := &scriptedClient{results: []callResult{{outcome: platformport.OutcomeAnswered, status: 200, body: "id: 1\n\n", truncated: true}, {outcome: platformport.OutcomeUnknown}}}
		forwarder := newTestProxy(client, 2, true, pairing.RoleBoth, pairing.RoleBoth)
		earnRetries(forwarder)
		forward(forwarder, newRequest())
		So(forwarder.InvalidTransitions.Load(), ShouldEqual, int64(0))
	})
}
