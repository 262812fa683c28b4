package proxy_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/dataplane/proxy"
	"coursepass/internal/errcode"
	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
)

func TestRequestThatMayHaveRunIsNotRetried(t *testing.T) {
	Convey("a stream that may not be resumed is sent once and rejected with ExecutionUnknown", t, func() {
		client := &scriptedClient{results: []callResult{{outcome: platformport.OutcomeUnknown}, answered("")}}
		recorder, _ := forward(newTestProxy(client, 5, false, pairing.RoleBoth, pairing.RoleBoth), newRequest())
		So(len(client.attempts), ShouldEqual, 1)
		So(recorder.code, ShouldEqual, errcode.ExecutionUnknown)
		So(recorder.retryAfter, ShouldEqual, clock.Microseconds(0))
	})
	Convey("a status that guarantees that the request has not run is not relayed without proof", t, func() {
		for _, status := range []int{408, 421, 429, 503} {
			result := callResult{outcome: platformport.OutcomeAnswered, status: status, body: "full"}
			client := &scriptedClient{results: []callResult{result}}
			recorder, _ := forward(newTestProxy(client, 2, false, pairing.RoleBoth, pairing.RoleBoth), newRequest())
			So(recorder.status, ShouldEqual, 0)
			So(recorder.code, ShouldEqual, errcode.ExecutionUnknown)
			So(len(client.attempts), ShouldEqual, 1)
		}
	})
	Convey("a server error of the engine is relayed unchanged if the request may not run again", t, func() {
		result := callResult{outcome: platformport.OutcomeAnswered, status: 500, body: "broken"}
		client := &scriptedClient{results: []callResult{result}}
		recorder, completed := forward(newTestProxy(client, 2, false, pairing.RoleBoth), newRequest())
		So(completed, ShouldBeTrue)
		So(recorder.status, ShouldEqual, 500)
		So(recorder.body.String(), ShouldEqual, "broken")
	})
}

func TestRequestThatHasNotRunIsRetried(t *testing.T) {
	Convey("a request that is proven not to have started is sent to another engine", t, func() {
		client := &scriptedClient{results: []callResult{{outcome: platformport.OutcomeNotStarted}, answered("id: 1\n\n")}}
		forwarder := newTestProxy(client, 2, false, pairing.RoleBoth, pairing.RoleBoth)
		earnRetries(forwarder)
		recorder, completed := forward(forwarder, newRequest())
		So(completed, ShouldBeTrue)
		So(len(client.attempts), ShouldEqual, 2)
		So(client.attempts[0].Incarnation, ShouldNotEqual, client.attempts[1].Incarnation)
		So(recorder.body.String(), ShouldEqual, "id: 1\n\n")
	})
	Convey("a request with a single attempt is rejected at once as not run, with a retry delay", t, func() {
		client := &scriptedClient{results: []callResult{{outcome: platformport.OutcomeNotStarted}}}
		recorder, _ := forward(newTestProxy(client, 1, false, pairing.RoleBoth, pairing.RoleBoth), newRequest())
		So(len(client.attempts), ShouldEqual, 1)
		So(recorder.code.Status(), ShouldEqual, 503)
		So(recorder.retryAfter, ShouldBeGreaterThan, clock.Microseconds(0))
	})
	Convey("a call to an unreachable engine does not count as an attempt", t, func() {
		client := &scriptedClient{results: []callResult{{outcome: platformport.OutcomeNotSent}, answered("id: 1\n\n")}}
		_, completed := forward(newTestProxy(client, 1, false, pairing.RoleBoth, pairing.RoleBoth), newRequest())
		So(completed, ShouldBeTrue)
		So(len(client.attempts), ShouldEqual, 2)
	})
	Convey("a request is rejected as not run if all engines are unreachable", t, func() {
		notSent := callResult{outcome: platformport.OutcomeNotSent}
		client := &scriptedClient{results: []callResult{notSent, notSent}}
		recorder, _ := forward(newTestProxy(client, 1, false, pairing.RoleBoth, pairing.RoleBoth), newRequest())
		So(len(client.attempts), ShouldEqual, 2)
		So(recorder.code.Status(), ShouldEqual, 503)
		So(recorder.retryAfter, ShouldBeGreaterThan, clock.Microseconds(0))
	})
}

func TestInterruptedStreamResumesAfterLastEvent(t *testing.T) {
	Convey("no event is skipped, repeated or merged with a partial one", t, func() {
		client := &scriptedClient{results: []callResult{
			interrupted("id: 1\ndata: a\n\nid: 2\nda"),
			answered("id: 2\ndata: b\n\nid: 3\ndata: c\n\n"),
		}}
		forwarder := newTestProxy(client, 2, true, pairing.RoleBoth, pairing.RoleBoth)
		earnRetries(forwarder)
		recorder, completed := forward(forwarder, newRequest())
		So(completed, ShouldBeTrue)
		So(client.attempts[1].LastEventID, ShouldEqual, "1")
		So(recorder.body.String(), ShouldEqual, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n")
		So(recorder.header.Get("Stamp"), ShouldEqual, client.attempts[0].Incarnation)
	})
	Convey("a stream that may not be resumed is truncated", t, func() {
		client := &scriptedClient{results: []callResult{interrupted("id: 1\ndata: a\n\n")}}
		_, completed := forward(newTestProxy(client, 2, false, pairing.RoleBoth, pairing.RoleBoth), newRequest())
		So(completed, ShouldBeFalse)
		So(len(client.attempts), ShouldEqual, 1)
	})
	Convey("a stream is truncated if there is no retry token", t, func() {
		client := &scriptedClient{results: []callResult{interrupted("id: 1\ndata: a\n\n")}}
		_, completed := forward(newTestProxy(client, 2, true, pairing.RoleBoth, pairing.RoleBoth), newRequest())
		So(completed, ShouldBeFalse)
	})
}

func TestLongPromptIsPrefilledOnSeparateEngine(t *testing.T) {
	Convey("the decode engine gets the address of the KV cache and the model version", t, func() {
		client := &scriptedClient{
			prefillOutcome: platformport.OutcomeAnswered,
			results:        []callResult{answered("id: 1\n\n")},
		}
		forwarder := newTestProxy(client, 2, true, pairing.RolePrefill, pairing.RoleDecode)
		_, completed := forward(forwarder, newLongPromptRequest())
		So(completed, ShouldBeTrue)
		So(len(client.prefills), ShouldEqual, 1)
		So(client.attempts[0].KVSource, ShouldEqual, "10.0.0.1:1/memory")
		So(client.attempts[0].ModelVersion, ShouldEqual, 3)
	})
	Convey("after a rejected generate call, the request is sent again without a second prefill call", t, func() {
		client := &scriptedClient{
			prefillOutcome: platformport.OutcomeAnswered,
			results:        []callResult{{outcome: platformport.OutcomeNotStarted}, answered("id: 1\n\n")},
		}
		forwarder := newTestProxy(client, 2, true, pairing.RolePrefill, pairing.RoleDecode, pairing.RoleDecode)
		earnRetries(forwarder)
		_, completed := forward(forwarder, newLongPromptRequest())
		So(completed, ShouldBeTrue)
		So(len(client.prefills), ShouldEqual, 1)
		So(len(client.attempts), ShouldEqual, 2)
		So(client.attempts[1].KVSource, ShouldBeEmpty)
	})
}

func TestFailedPrefill(t *testing.T) {
	Convey("a prefill without an answer costs a token but no attempt, and the decode engine prefills", t, func() {
		client := &scriptedClient{
			prefillOutcome: platformport.OutcomeUnknown,
			results:        []callResult{answered("id: 1\n\n")},
		}
		forwarder := newTestProxy(client, 1, false, pairing.RolePrefill, pairing.RoleDecode)
		earnRetryTokens(forwarder, 19, singleRoute(1, false))
		_, completed := forward(forwarder, newLongPromptRequest())
		So(completed, ShouldBeTrue)
		So(len(client.prefills), ShouldEqual, 1)
		So(len(client.attempts), ShouldEqual, 1)
		So(client.attempts[0].KVSource, ShouldBeEmpty)
	})
	Convey("without a token, a prefill that may have arrived at an engine ends the request as not run", t, func() {
		client := &scriptedClient{prefillOutcome: platformport.OutcomeUnknown}
		forwarder := newTestProxy(client, 1, false, pairing.RolePrefill, pairing.RoleDecode)
		recorder, _ := forward(forwarder, newLongPromptRequest())
		So(len(client.prefills), ShouldEqual, 1)
		So(len(client.attempts), ShouldEqual, 0)
		So(recorder.code.Status(), ShouldEqual, 503)
		So(recorder.retryAfter, ShouldBeGreaterThan, clock.Microseconds(0))
	})
	Convey("with an attempt and a token left, a prefill is repeated at another engine, but only once", t, func() {
		client := &scriptedClient{
			prefillOutcome: platformport.OutcomeUnknown,
			results:        []callResult{answered("id: 1\n\n")},
		}
		forwarder := newTestProxy(client, 2, true,
			pairing.RolePrefill, pairing.RolePrefill, pairing.RolePrefill, pairing.RoleDecode)
		earnRetries(forwarder)
		recorder, _ := forward(forwarder, newLongPromptRequest())
		So(len(client.prefills), ShouldEqual, 2)
		So(len(client.attempts), ShouldBeLessThanOrEqualTo, 1)
		So(recorder.code, ShouldNotEqual, errcode.ExecutionUnknown)
	})
	Convey("a rejected prefill counts as an attempt, and the request has not run", t, func() {
		client := &scriptedClient{prefillOutcome: platformport.OutcomeNotStarted, results: []callResult{}}
		forwarder := newTestProxy(client, 2, true, pairing.RolePrefill, pairing.RoleDecode)
		recorder, _ := forward(forwarder, newLongPromptRequest())
		So(recorder.code.Status(), ShouldEqual, 503)
		So(len(client.attempts), ShouldEqual, 0)
	})
}

func TestTransitionsAreComplete(t *testing.T) {
	Convey("final states have no successors, and all other states have some", t, func() {
		terminal := map[lifecycle.State]bool{
			lifecycle.StateFinished:  true,
			lifecycle.StateTruncated: true,
			lifecycle.StateRejected:  true,
		}
		for state, successors := range proxy.Transitions {
			So(terminal[state], ShouldBeFalse)
			So(successors, ShouldNotBeEmpty)
			for _, successor := range successors {
				_, known := proxy.Transitions[successor]
				So(known || terminal[successor], ShouldBeTrue)
			}
		}
	})
	Convey("an interrupted stream with a retry that may have run makes no invalid transition", t, func() {
		client := &scriptedClient{results: []callResult{
			interrupted("id: 1\n\n"),
			{outcome: platformport.OutcomeUnknown},
		}}
		forwarder := newTestProxy(client, 2, true, pairing.RoleBoth, pairing.RoleBoth)
		earnRetries(forwarder)
		forward(forwarder, newRequest())
		So(forwarder.InvalidTransitions.Load(), ShouldEqual, int64(0))
	})
}
