package proxy_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/proxy"
	"coursepass/internal/errcode"
	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
)

// hangingRequestID is the ID of the request that hangs.
const hangingRequestID = "hanging"

// hangingClient is an engine client that answers all requests at once, except for the request with
// hangingRequestID. The first call of that request is answered after a delay or hangs until it is
// canceled. Its later calls are answered at once.
type hangingClient struct {
	lock sync.Mutex
	// delay is the time after which the hanging call is answered. With 0, it hangs until it is canceled.
	delay time.Duration
	// incarnations lists the engines of the hanging request's calls.
	incarnations []string
}

// hang waits if the call is the first one of the hanging request. It reports whether the call was
// canceled.
func (h *hangingClient) hang(ctx context.Context, attempt platformport.Attempt) bool {
	if attempt.RequestID != hangingRequestID {
		return false
	}
	h.lock.Lock()
	h.incarnations = append(h.incarnations, attempt.Incarnation)
	first := len(h.incarnations) == 1
	h.lock.Unlock()
	if !first {
		return false
	}
	if h.delay > 0 {
		return !sleep(ctx, h.delay)
	}
	<-ctx.Done()
	return true
}

func (h *hangingClient) Prefill(
	ctx context.Context,
	attempt platformport.Attempt,
) (platformport.KVHandle, platformport.Outcome, error) {
	if h.hang(ctx, attempt) {
		return platformport.KVHandle{}, platformport.OutcomeUnknown, ctx.Err()
	}
	return platformport.KVHandle{Name: "memory"}, platformport.OutcomeAnswered, nil
}

func (h *hangingClient) Generate(
	ctx context.Context,
	attempt platformport.Attempt,
) (platformport.Response, platformport.Outcome, error) {
	if h.hang(ctx, attempt) {
		return platformport.Response{}, platformport.OutcomeUnknown, ctx.Err()
	}
	return oneEventResponse(), platformport.OutcomeAnswered, nil
}

func (h *hangingClient) ReleaseKV(context.Context, string, string) error { return nil }

// hangingScenario forwards a request that hangs while the engines respond to other requests.
type hangingScenario struct {
	client    *hangingClient
	resumable bool
	// clockJump is added to the proxy's clock after a tenth of a second.
	clockJump clock.Microseconds
	// suspectReports counts the calls of OnSuspect.
	suspectReports atomic.Int64
}

// hangingResult is the result of the hanging request.
type hangingResult struct {
	recorder  *responseRecorder
	completed bool
	elapsed   time.Duration
}

// run forwards the hanging request until it has ended.
func (h *hangingScenario) run() hangingResult {
	maxAttempts := 1
	if h.resumable {
		maxAttempts = 2
	}
	forwarder := newTestProxyWithClock(h.jumpingClock(), h.client, maxAttempts, h.resumable,
		pairing.RoleBoth, pairing.RoleBoth)
	forwarder.OnSuspect = func(_, _ string) { h.suspectReports.Add(1) }
	earnRetryTokens(forwarder, 19, singleRoute(maxAttempts, h.resumable))
	stop := make(chan struct{})
	var others sync.WaitGroup
	others.Go(func() { forwardUntil(stop, forwarder) })
	request := newRequest()
	request.RequestID, request.Timeout = hangingRequestID, 3*clock.Second
	sentAt := time.Now()
	recorder, completed := forward(forwarder, request)
	elapsed := time.Since(sentAt)
	close(stop)
	others.Wait()
	return hangingResult{recorder, completed, elapsed}
}

// jumpingClock returns a clock that jumps forward once, by clockJump.
func (h *hangingScenario) jumpingClock() *clock.Clock {
	startedAt := time.Now()
	return clock.NewFromSource(func() clock.Microseconds {
		now := clock.FromDuration(time.Since(startedAt))
		if now >= 100*clock.Millisecond {
			now += h.clockJump
		}
		return now
	})
}

// forwardUntil forwards one request after another until the channel is closed.
func forwardUntil(stop chan struct{}, forwarder *proxy.Proxy) {
	for number := 0; ; number++ {
		request := newRequest()
		request.RequestID = fmt.Sprint("other-", number)
		forward(forwarder, request)
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func TestHangingRequest_OnResponsiveEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scenario := &hangingScenario{client: &hangingClient{}, resumable: true}
		result := scenario.run()
		engines := scenario.client.incarnations
		if !result.completed || result.elapsed > 800*time.Millisecond || len(engines) != 2 || engines[0] == engines[1] {
			t.Errorf("a retryable request must complete at a second engine: complete %v after %v, engines %v",
				result.completed, result.elapsed, engines)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		scenario := &hangingScenario{client: &hangingClient{}}
		result := scenario.run()
		code, engines := result.recorder.code, scenario.client.incarnations
		if code != errcode.ExecutionUnknown && code != errcode.ExecutionTimeout || len(engines) != 1 {
			t.Errorf("a non-retryable request ended with %v after %v, engines %v", code, result.elapsed, engines)
		}
		if scenario.suspectReports.Load() == 0 {
			t.Error("the hanging engine was not reported")
		}
	})
	synctest.Test(t, func(t *testing.T) {
		client := &hangingClient{delay: 900 * time.Millisecond}
		scenario := &hangingScenario{client: client, resumable: true, clockJump: 2 * clock.Second}
		result := scenario.run()
		if !result.completed || len(client.incarnations) != 1 {
			t.Errorf("a stall of this process canceled the call: complete %v, engines %v",
				result.completed, client.incarnations)
		}
	})
}
