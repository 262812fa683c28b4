package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
)

// hangingClient is a driver whose engines answer all calls at once but those named hung: the first
// read or run of these gets nothing until its caller gives up, or is answered late.
type hangingClient struct {
	lock         sync.Mutex
	delay        time.Duration
	incarnations []string
}

func (h *hangingClient) hang(ctx context.Context, attempt platformport.Attempt) bool {
	if attempt.RequestID != "hung" {
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

func (h *hangingClient) Prefill(ctx context.Context, attempt platformport.Attempt) (platformport.KVHandle, platformport.Outcome, error) {
	if h.hang(ctx, attempt) {
		return platformport.KVHandle{}, platformport.OutcomeUnknown, ctx.Err()
	}
	return platformport.KVHandle{Name: "memory"}, platformport.OutcomeAnswered, nil
}

func (h *hangingClient) Generate(ctx context.Context, attempt platformport.Attempt) (platformport.Response, platformport.Outcome, error) {
	if h.hang(ctx, attempt) {
		return platformport.Response{}, platformport.OutcomeUnknown, ctx.Err()
	}
	return platformport.Response{Status: 200, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("id: 1\n\n")), Length: -1}, platformport.OutcomeAnswered, nil
}

func (h *hangingClient) ReleaseKV(context.Context, string, string) error { return nil }

// forwardHangingRequest carries one call that hangs, while the engines answer others; it returns how long it
// took. The clock leaps by so much after a tenth of a second.
func forwardHangingRequest(t *testing.T, client *hangingClient, resumable bool, clockJump clock.Microseconds, onSuspect func(string)) (*responseRecorder, bool, time.Duration) {
	startedAt := time.Now()
	timeSource := clock.NewFromSource(func() clock.Microseconds {
		now := clock.FromDuration(time.Since(startedAt))
		if now >= 100*clock.Millisecond {
			now += clockJump
		}
		return now
	})
	maxAttempts := 1
	if resumable {
		maxAttempts = 2
	}
	forwarder := newTestProxyWithClock(timeSource, client, maxAttempts, resumable, pairing.RoleBoth, pairing.RoleBoth)
	forwarder.OnSuspect = func(_, incarnation string) { onSuspect(incarnation) }
	earnRetryTokens(forwarder, 19, singleRoute(maxAttempts, resumable))
	stop := make(chan struct{})
	var others sync.WaitGroup
	others.Go(func() {
		for index := 0; ; index++ {
			otherRequest := newRequest()
			otherRequest.RequestID = fmt.Sprint("other-", index)
			forward(forwarder, otherRequest)
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	hangingRequest := newRequest()
	hangingRequest.RequestID, hangingRequest.Timeout = "hung", 3*clock.Second
	sentAt := time.Now()
	recorder, completed := forward(forwarder, hangingRequest)
	elapsed := time.Since(sentAt)
	close(stop)
	others.Wait()
	return recorder, completed, elapsed
}

func TestHangingRequest_OnResponsiveEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &hangingClient{}
		_, completed, elapsed := forwardHangingRequest(t, client, true, 0, func(string) {})
		if !completed || elapsed > 800*time.Millisecond || len(client.incarnations) != 2 || client.incarnations[0] == client.incarnations[1] {
			t.Errorf("one that may be repeated: whole %v after %v, at %v", completed, elapsed, client.incarnations)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		var reports atomic.Int64
		client := &hangingClient{}
		recorder, _, elapsed := forwardHangingRequest(t, client, false, 0, func(string) { reports.Add(1) })
		if recorder.code != errcode.ExecutionUnknown && recorder.code != errcode.ExecutionTimeout || len(client.incarnations) != 1 {
			t.Errorf("one that may not be repeated ends with %v after %v, at %v", recorder.code, elapsed, client.incarnations)
		}
		if reports.Load() == 0 {
			t.Error("nobody was told of the engine that hangs")
		}
	})
	synctest.Test(t, func(t *testing.T) {
		client := &hangingClient{delay: 900 * time.Millisecond}
		_, completed, _ := forwardHangingRequest(t, client, true, 2*clock.Second, func(string) {})
		if !completed || len(client.incarnations) != 1 {
			t.Errorf("given up since this process stood still: whole %v, at %v", completed, client.incarnations)
		}
	})
}
