package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"

	"coursepass/internal/clock"
)

const (
	// minStreamTimeout is the minimum timeout between two reads of data from a stream. After the timeout,
	// the stream is resumed at another engine.
	minStreamTimeout = 800 * clock.Millisecond
	// streamTimeoutFactor is the ratio of that timeout to the route's target for the time between two
	// events.
	streamTimeoutFactor = 2
)

// eventSeparator terminates each event of a text/event-stream body.
var eventSeparator = []byte("\n\n")

// relayEvents relays a stream of events. If the stream may be resumed, only complete events are relayed,
// so that another run can continue after the last one.
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

// writePending relays pending bytes of a stream: all of them if the stream may not be resumed, otherwise
// those of complete events. It returns the remaining bytes, which reuse the memory of pending, and
// reports whether the relayed bytes end with a complete event of a stream that may be resumed.
func (f *forwardedRequest) writePending(pending []byte) (rest []byte, atEventEnd bool, err error) {
	if !f.route.Resume {
		// An interrupted stream cannot be continued, so that its bytes are relayed as they arrive.
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

// endOfStream handles the read error that ended a stream. At io.EOF, the regular end, it relays the
// pending bytes even if they are not a complete event. After any other error it discards them.
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

// lastEventID returns the ID of the last event that has an ID, "" if no event has one.
func lastEventID(events []byte) string {
	eventID := ""
	for line := range bytes.Lines(events) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			eventID = string(bytes.TrimSpace(value))
		}
	}
	return eventID
}
