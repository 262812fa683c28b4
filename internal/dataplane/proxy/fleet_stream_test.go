package proxy_test

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"coursepass/internal/platformport"
)

// simulatedEvent is an event, or the end of the stream, on its way from an engine to the router.
type simulatedEvent struct {
	text      string
	deliverAt time.Time
	err       error
}

// simulatedBody is the body of a response. Each event arrives one network latency after its generation.
type simulatedBody struct {
	events chan simulatedEvent
	// ctx is the context of the call.
	ctx context.Context
	// runCtx is the context of the engine's run.
	runCtx    context.Context
	cancelRun context.CancelFunc
	engine    *simulatedEngine
	latency   time.Duration
	unread    []byte
}

func newSimulatedBody(ctx context.Context, engine *simulatedEngine, latency time.Duration) *simulatedBody {
	body := &simulatedBody{
		events:  make(chan simulatedEvent, 64),
		ctx:     ctx,
		engine:  engine,
		latency: latency,
	}
	body.runCtx, body.cancelRun = context.WithCancel(ctx)
	return body
}

func formatEvent(key string, index int) string {
	return fmt.Sprintf("id: %d\ndata: %s event %d\n\n", index, key, index)
}

// generate generates the events after the last one that the client received.
func (m *simulatedBody) generate(attempt platformport.Attempt, fault injectedFault) {
	kind := kindOfTarget(attempt.Target)
	lastSent, _ := strconv.Atoi(attempt.LastEventID)
	switch {
	case fault == faultRepeatEvent && lastSent > 0:
		lastSent--
	case fault == faultSkipEvent && lastSent > 0:
		lastSent++
	}
	count := kind.eventCount
	if fault == faultTruncate {
		count--
	}
	for index := lastSent + 1; index <= count; index++ {
		if !m.waitForNextEvent(kind.eventInterval) {
			return
		}
		text := formatEvent(keyOfTarget(attempt.Target), index)
		if !m.send(simulatedEvent{text: text, deliverAt: time.Now().Add(m.latency)}) {
			return
		}
	}
	m.send(simulatedEvent{err: io.EOF, deliverAt: time.Now().Add(m.latency)})
}

// waitForNextEvent waits until the engine has generated the next event. It reports false if the run ends
// first.
func (m *simulatedBody) waitForNextEvent(interval time.Duration) bool {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-m.runCtx.Done():
		return false
	case <-m.engine.crashed:
		m.send(simulatedEvent{err: errEngineGone})
		return false
	case <-m.engine.partitioned:
		return false
	case <-timer.C:
		return true
	}
}

// send passes an event to the reader. It reports false if the run ends first.
func (m *simulatedBody) send(event simulatedEvent) bool {
	select {
	case m.events <- event:
		return true
	case <-m.runCtx.Done():
		return false
	}
}

// Read returns a part of the next event, and waits for that event if necessary.
func (m *simulatedBody) Read(buffer []byte) (int, error) {
	if len(m.unread) == 0 {
		select {
		case <-m.ctx.Done():
			return 0, m.ctx.Err()
		case event := <-m.events:
			if !sleep(m.ctx, time.Until(event.deliverAt)) {
				return 0, m.ctx.Err()
			}
			if event.err != nil {
				return 0, event.err
			}
			m.unread = []byte(event.text)
		}
	}
	// Return each event in several parts, so that the proxy has to reassemble it.
	count := copy(buffer[:min(len(buffer), 24)], m.unread)
	m.unread = m.unread[count:]
	return count, nil
}

// Close ends the run.
func (m *simulatedBody) Close() error {
	m.cancelRun()
	return nil
}
