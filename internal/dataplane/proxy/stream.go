package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"

	"coursepass/internal/clock"
)

const (
	// minStreamTimeout is the shortest pause of a stream after which it is resumed elsewhere.
	minStreamTimeout = 800 * clock.Millisecond
	// streamTimeoutFactor is how many times the route's target for pauses a pause must last.
	streamTimeoutFactor = 2
)

// eventSeparator ends an event of a text/event-stream.
var eventSeparator = []byte("\n\n")

// relayEvents relays a stream of events. A stream that may be resumed is relayed in complete events
// only, so that another run can continue after the last one.
func (f *forwardedRequest) relayEvents(ctx context.Context, body io.Reader, call runningCall) attemptOutcome {
	timeout := max(streamTimeoutFactor*f.route.EventTimeout, minStreamTimeout)
	if !f.route.Resume {
		call.watchdog.disableCancel()
	}
	call.watchdog.extend(timeout)
	pending := make([]byte, 0, bufferSize)
	buffer := make([]byte, bufferSize)
	for {
		count, err := body.Read(buffer)
		if count > 0 {
			call.watchdog.extend(timeout)
			now := f.now()
			f.timing.recordData(now)
			f.balancer.RecordActivity(now, call.decoder.Incarnation)
		}
		pending = append(pending, buffer[:count]...)
		rest, atEventEnd, writeErr := f.writePending(pending)
		if writeErr != nil {
			return outcomeEnded
		}
		pending = rest
		if err != nil {
			return f.endOfStream(ctx, call, pending, err)
		}
		if atEventEnd && f.lastEventID != "" && f.migrationDue(call.decoder) {
			if outcome, migrated := f.migrate(ctx, call); migrated {
				return outcome
			}
		}
	}
}

// writePending relays what may be relayed of the pending bytes, and returns the rest, which reuses
// their memory. It reports whether the stream may be resumed after what was relayed now.
func (f *forwardedRequest) writePending(pending []byte) (rest []byte, atEventEnd bool, err error) {
	if !f.route.Resume {
		// Nothing can continue an interrupted stream: its bytes are relayed as they come.
		if len(pending) == 0 {
			return pending, false, nil
		}
		return pending[:0], false, f.responseWriter.Write(pending)
	}
	lastSeparator := bytes.LastIndex(pending, eventSeparator)
	if lastSeparator < 0 {
		return pending, false, nil
	}
	complete := pending[:lastSeparator+len(eventSeparator)]
	if err = f.responseWriter.Write(complete); err != nil {
		return pending, false, err
	}
	if eventID := lastEventID(complete); eventID != "" {
		f.lastEventID = eventID
	}
	return append(pending[:0], pending[len(complete):]...), true, nil
}

// endOfStream handles the error that ended a stream, io.EOF at its regular end. Only there is an
// incomplete event relayed.
func (f *forwardedRequest) endOfStream(
	ctx context.Context,
	call runningCall,
	pending []byte,
	err error,
) attemptOutcome {
	if errors.Is(err, io.EOF) {
		if len(pending) > 0 && f.responseWriter.Write(pending) != nil {
			return outcomeEnded
		}
		return outcomeCompleted
	}
	f.recordTruncation(ctx, call.decoder)
	if ctx.Err() != nil {
		return outcomeEnded
	}
	return outcomeInterrupted
}

// lastEventID returns the ID of the last event that has one, "" if none has.
func lastEventID(events []byte) string {
	eventID := ""
	for line := range bytes.Lines(events) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			eventID = string(bytes.TrimSpace(value))
		}
	}
	return eventID
}
