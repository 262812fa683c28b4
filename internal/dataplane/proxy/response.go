package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"

	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/platformport"
	"coursepass/internal/state/route"
)

// bufferSize is the size in bytes of the buffers for relaying responses.
const bufferSize = 16 << 10

// relayResponse relays an engine's response as it arrives, unless the status of the response means that
// the request fails or is sent to another engine.
func (f *forwardedRequest) relayResponse(
	ctx context.Context,
	response platformport.Response,
	call runningCall,
) attemptOutcome {
	incarnation := call.decoder.Incarnation
	success := isSuccess(response.Status)
	if impliesNotRun(response.Status) {
		// Clients take such a status as a guarantee that the request has not run. The engine has
		// not given that guarantee, so that the status must not be relayed.
		f.balancer.RecordFailure(f.now(), incarnation)
		f.excluded[incarnation] = true
		f.tryTransition(lifecycle.StateUnknown)
		return f.unknownRunOutcome()
	}
	if f.headWritten && !success {
		// The engine refused to continue the stream. Its status cannot be relayed, because the
		// client has already received a response head.
		f.balancer.RecordFailure(f.now(), incarnation)
		f.excluded[incarnation] = true
		return outcomeInterrupted
	}
	serverError := !success && response.Status >= http.StatusInternalServerError
	if serverError && f.mayRetryResponse(ctx) {
		f.balancer.RecordError(f.now(), incarnation)
		f.excluded[incarnation] = true
		return outcomeMayHaveRun
	}
	if !f.startRelay(response) {
		return outcomeInterrupted
	}
	if serverError {
		f.balancer.RecordError(f.now(), incarnation)
	}
	var body io.Reader = response.Body
	if success {
		body = f.meterBody(body)
	}
	if success && f.route.Kind == route.KindStream {
		return f.relayEvents(ctx, body, call)
	}
	// A response that is not a stream cannot be continued by another engine.
	call.watchdog.disableCancel()
	return f.copyBody(ctx, call.decoder, body)
}

// mayRetryResponse reports whether the request may be sent again after a server error.
func (f *forwardedRequest) mayRetryResponse(ctx context.Context) bool {
	return !f.headWritten && f.route.IsRetryable() && f.attempts < f.route.MaxAttempts && ctx.Err() == nil
}

// startRelay selects a response for relaying to the client. If the stream is migrating, it ends the
// call to the old engine. It writes the response head unless one was written before. It reports false
// if the migration has timed out.
func (f *forwardedRequest) startRelay(response platformport.Response) bool {
	if abortPrevious := f.abortPrevious; abortPrevious != nil {
		f.abortPrevious = nil
		if !abortPrevious() {
			return false
		}
	}
	f.tryTransition(lifecycle.StateStreaming)
	f.relayStarted = true
	if !f.headWritten {
		f.headWritten = true
		f.timing.timeToHead = f.now() - f.startedAt
		f.proxy.startLatency.Record(f.timing.timeToHead)
		f.responseWriter.WriteHead(response.Status, response.Header, response.Length)
	}
	return true
}

// isSuccess reports whether an HTTP status is 2xx.
func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// impliesNotRun reports whether clients take an HTTP status as a guarantee that their request has not
// run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable,
		http.StatusTooManyRequests,
		http.StatusRequestTimeout,
		http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// copyBody relays the body of a response that is not a stream or not a success. Such a body cannot be
// resumed.
func (f *forwardedRequest) copyBody(
	ctx context.Context,
	decoder platformport.Engine,
	body io.Reader,
) attemptOutcome {
	buffer := make([]byte, bufferSize)
	for {
		count, err := body.Read(buffer)
		if count > 0 && f.responseWriter.Write(buffer[:count]) != nil {
			return outcomeEnded
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return outcomeCompleted
		default:
			f.recordTruncation(ctx, decoder)
			return outcomeEnded
		}
	}
}

// recordTruncation records that an engine ended a response early, unless the whole request has ended.
func (f *forwardedRequest) recordTruncation(ctx context.Context, decoder platformport.Engine) {
	if ctx.Err() == nil {
		f.reportEngineFailure(ctx, f.now(), decoder.Incarnation, false)
		f.excluded[decoder.Incarnation] = true
	}
}
