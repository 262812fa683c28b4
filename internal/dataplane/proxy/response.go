package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/platformport"
	"coursepass/internal/state/route"
)

const bufferSize = 16 << 10

// relayResponse passes an engine's answer on, as it comes.
func (way *forwardedRequest) relayResponse(ctx context.Context, decoder platformport.Engine, response platformport.Response, watchdog *attemptWatchdog, detach func()) attemptOutcome {
	success := response.Status >= 200 && response.Status < 300
	if impliesNotRun(response.Status) {
		// Such a status would promise a caller that nothing ran; the engine did not say so.
		way.balancer.RecordFailure(way.now(), decoder.Incarnation)
		way.excluded[decoder.Incarnation] = true
		way.mustTransition(lifecycle.StateUnknown)
		return way.unknownOutcome()
	}
	if way.headWritten && !success {
		// The engine declined to go on; its own words can't be told any more.
		way.balancer.RecordFailure(way.now(), decoder.Incarnation)
		way.excluded[decoder.Incarnation] = true
		return outcomeInterrupted
	}
	if !success && response.Status >= 500 && !way.headWritten && way.route.IsRetryable() && way.attempts < way.route.Tries && ctx.Err() == nil {
		way.balancer.RecordError(way.now(), decoder.Incarnation)
		way.excluded[decoder.Incarnation] = true
		return outcomeMayHaveRun
	}
	if detachPrevious := way.detachPrevious; detachPrevious != nil {
		if way.detachPrevious = nil; !detachPrevious() {
			return outcomeInterrupted
		}
	}
	way.mustTransition(lifecycle.StateStreaming)
	way.adopted = true
	if !way.headWritten {
		way.headWritten = true
		way.proxy.startLatency.Record(way.now() - way.startedAt)
		way.responseWriter.WriteHead(response.Status, response.Header, response.Length)
	}
	if !success && response.Status >= 500 {
		way.balancer.RecordError(way.now(), decoder.Incarnation)
	}
	if success && way.route.Kind == route.KindStream {
		return way.relayEvents(ctx, decoder, response.Body, watchdog, detach)
	}
	// Nothing can go on behind what has been passed on.
	watchdog.disableCancel()
	return way.copyBody(ctx, decoder, response.Body)
}

// impliesNotRun tells whether a status promises that a request has not run.
func impliesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

func (way *forwardedRequest) copyBody(ctx context.Context, decoder platformport.Engine, body io.Reader) attemptOutcome {
	buffer := make([]byte, bufferSize)
	for {
		count, err := body.Read(buffer)
		if count > 0 && way.responseWriter.Write(buffer[:count]) != nil {
			return outcomeEnded
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return outcomeCompleted
		default:
			way.recordTruncation(ctx, decoder)
			return outcomeEnded
		}
	}
}

func (way *forwardedRequest) recordTruncation(ctx context.Context, decoder platformport.Engine) {
	if ctx.Err() == nil {
		way.reportEngineFailure(way.now(), decoder.Incarnation, false)
		way.excluded[decoder.Incarnation] = true
	}
}

var eventSeparator = []byte("\n\n")

// relayEvents passes whole events on, so that another run can go on behind the last one.
func (way *forwardedRequest) relayEvents(ctx context.Context, decoder platformport.Engine, body io.Reader, watchdog *attemptWatchdog, detach func()) attemptOutcome {
	timeout := max(2*way.route.Gap, minStreamTimeout)
	if !way.route.Resume {
		watchdog.disableCancel()
	}
	watchdog.extend(timeout)
	pending := make([]byte, 0, bufferSize)
	buffer := make([]byte, bufferSize)
	for {
		count, err := body.Read(buffer)
		if count > 0 {
			watchdog.extend(timeout)
			way.balancer.RecordActivity(way.now(), decoder.Incarnation)
		}
		pending = append(pending, buffer[:count]...)
		if !way.route.Resume {
			// Nothing can go on behind a cut: what has come is passed on as it is.
			if len(pending) > 0 && way.responseWriter.Write(pending) != nil {
				return outcomeEnded
			}
			pending = pending[:0]
		} else if lastSeparator := bytes.LastIndex(pending, eventSeparator); lastSeparator >= 0 {
			complete := pending[:lastSeparator+len(eventSeparator)]
			if way.responseWriter.Write(complete) != nil {
				return outcomeEnded
			}
			if eventID := lastEventID(complete); eventID != "" {
				way.lastEventID = eventID
			}
			pending = append(pending[:0], pending[lastSeparator+len(eventSeparator):]...)
			if err == nil && way.lastEventID != "" && way.migrationDue(decoder) {
				if result, migrated := way.migrate(ctx, decoder, detach); migrated {
					return result
				}
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			if len(pending) > 0 && way.responseWriter.Write(pending) != nil {
				return outcomeEnded
			}
			return outcomeCompleted
		default:
			way.recordTruncation(ctx, decoder)
			if ctx.Err() != nil {
				return outcomeEnded
			}
			return outcomeInterrupted
		}
	}
}

// lastEventID is the id of the last event that has one.
func lastEventID(events []byte) string {
	eventID := ""
	for line := range bytes.Lines(events) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			eventID = string(bytes.TrimSpace(value))
		}
	}
	return eventID
}
