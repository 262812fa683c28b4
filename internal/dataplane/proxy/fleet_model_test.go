package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
	"coursepass/internal/topology"
)

// modelRegions are three regions of two halls each.
var modelRegions = topology.RegionMap{"north-1": "north", "north-2": "north", "centre-1": "centre", "centre-2": "centre", "south-1": "south", "south-2": "south"}

const (
	interRegionLatency = 20 * time.Millisecond
	intraRegionLatency = time.Millisecond
	// prefillTokensPerMillisecond is how many tokens a reader reads in a millisecond.
	prefillTokensPerMillisecond = 60
	kvRetention                 = 5 * time.Second
)

func latencyBetween(left, right string) time.Duration {
	if modelRegions.RegionOf(left) == modelRegions.RegionOf(right) {
		return intraRegionLatency
	}
	return interRegionLatency
}

// modelEngine is one engine of the model.
type modelEngine struct {
	platformport.Engine
	lock         sync.Mutex
	busyUntil    time.Time
	running      int
	cachedChunks map[string]bool
	kvHandles    map[string]storedKV
	crashed      chan struct{}
	partitioned  chan struct{}
}

type storedKV struct {
	requestID string
	zone      string
	expiresAt time.Time
}

// fleetModel is all engines, and what observers at them saw.
type fleetModel struct {
	*fleetObserver
	engines map[string]*modelEngine
	lock    sync.Mutex
	kvCount int
	// fault is what a play does wrong on purpose, to show that observers see it.
	fault string
}

// modelClient is one router's way to the engines.
type modelClient struct {
	*fleetModel
	zone string
}

// zoneRoles is what stands in each hall: once the north is drained, all that is read is read
// in the centre, and most is written in the south.
var zoneRoles = map[string][]string{
	"north-1": {pairing.RolePrefill, pairing.RoleDecode, pairing.RoleDecode}, "north-2": {pairing.RolePrefill, pairing.RoleDecode, pairing.RoleDecode},
	"centre-1": {pairing.RolePrefill, pairing.RolePrefill, pairing.RoleDecode, pairing.RoleDecode}, "centre-2": {pairing.RolePrefill, pairing.RolePrefill, pairing.RoleDecode, pairing.RoleDecode},
	"south-1": {pairing.RoleDecode, pairing.RoleDecode}, "south-2": {pairing.RoleDecode, pairing.RoleDecode},
}

var errEngineGone = errors.New("the engine is gone")

func newFleetModel(observer *fleetObserver) *fleetModel {
	fleet := &fleetModel{fleetObserver: observer, engines: map[string]*modelEngine{}}
	for _, zone := range []string{"north-1", "north-2", "centre-1", "centre-2", "south-1", "south-2"} {
		for index, role := range zoneRoles[zone] {
			incarnation := fmt.Sprint(zone, "-", index)
			fleet.engines[incarnation] = &modelEngine{
				Engine:       platformport.Engine{Incarnation: incarnation, Service: "model", Address: incarnation, Zone: zone, Slots: 32, Role: role},
				cachedChunks: map[string]bool{}, kvHandles: map[string]storedKV{}, crashed: make(chan struct{}), partitioned: make(chan struct{}),
			}
		}
	}
	return fleet
}

func isClosed(signal chan struct{}) bool {
	select {
	case <-signal:
		return true
	default:
		return false
	}
}

// sleep waits for a span. No timer is made for none: under the race detector and the virtual
// clock a channel timer that is due at once has crashed the runtime.
func sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// deliver takes a call to an engine; an engine behind a cut says nothing.
func (m *modelClient) deliver(ctx context.Context, attempt platformport.Attempt) (*modelEngine, platformport.Outcome, error) {
	engine := m.engines[attempt.Incarnation]
	if !sleep(ctx, latencyBetween(m.zone, engine.Zone)) {
		return engine, platformport.OutcomeUnknown, ctx.Err()
	}
	if isClosed(engine.partitioned) {
		<-ctx.Done()
		return engine, platformport.OutcomeUnknown, ctx.Err()
	}
	if isClosed(engine.crashed) {
		return engine, platformport.OutcomeNotStarted, errEngineGone
	}
	m.observeArrival(engine, attempt)
	return engine, platformport.OutcomeAnswered, nil
}

// prefill occupies an engine for the part of a prompt that it lacks.
func (m *modelEngine) prefill(ctx context.Context, prompt []platformport.PromptChunk, costFactor int) bool {
	m.lock.Lock()
	uncached, prefixCached := 0, true
	for _, chunk := range prompt {
		if prefixCached = prefixCached && m.cachedChunks[chunk.Name]; !prefixCached {
			uncached += chunk.Tokens
		}
		m.cachedChunks[chunk.Name] = true
	}
	start := time.Now()
	if m.busyUntil.After(start) {
		start = m.busyUntil
	}
	m.busyUntil = start.Add(time.Duration(uncached*costFactor/prefillTokensPerMillisecond) * time.Millisecond)
	busyUntil := m.busyUntil
	m.lock.Unlock()
	return sleep(ctx, time.Until(busyUntil))
}

// Prefill has an engine read a prompt and keep its memory.
func (m *modelClient) Prefill(ctx context.Context, attempt platformport.Attempt) (platformport.KVHandle, platformport.Outcome, error) {
	engine, outcome, err := m.deliver(ctx, attempt)
	if outcome != platformport.OutcomeAnswered {
		return platformport.KVHandle{}, outcome, err
	}
	if !engine.prefill(ctx, attempt.Prompt, 1) || !sleep(ctx, latencyBetween(m.zone, engine.Zone)) {
		return platformport.KVHandle{}, platformport.OutcomeUnknown, ctx.Err()
	}
	m.lock.Lock()
	m.kvCount++
	handle := fmt.Sprint("memory-", m.kvCount)
	m.lock.Unlock()
	engine.lock.Lock()
	defer engine.lock.Unlock()
	engine.kvHandles[handle] = storedKV{attempt.RequestID, engine.Zone, time.Now().Add(kvRetention)}
	return platformport.KVHandle{Name: handle}, platformport.OutcomeAnswered, nil
}

// ReleaseKV gives memory back.
func (m *modelClient) ReleaseKV(_ context.Context, address, handle string) error {
	engine := m.engines[address]
	engine.lock.Lock()
	defer engine.lock.Unlock()
	delete(engine.kvHandles, handle)
	return nil
}

// transferKV takes prompt memory over; its bytes take ten times as long between regions.
func (m *modelClient) transferKV(ctx context.Context, decoder *modelEngine, attempt platformport.Attempt) bool {
	incarnation, handle, _ := splitLast(attempt.KVSource)
	prefiller := m.engines[incarnation]
	prefiller.lock.Lock()
	stored, ok := prefiller.kvHandles[handle]
	delete(prefiller.kvHandles, handle)
	prefiller.lock.Unlock()
	if !ok || time.Now().After(stored.expiresAt) {
		return false
	}
	if m.fault == "mixed" {
		stored.requestID = "another"
	}
	m.observeTransfer(attempt, stored, decoder)
	duration := 4 * time.Millisecond
	if modelRegions.RegionOf(prefiller.Zone) != modelRegions.RegionOf(decoder.Zone) {
		duration *= 10
	} else if prefiller.Zone != decoder.Zone {
		duration *= 2
	}
	return sleep(ctx, duration)
}

func splitLast(source string) (string, string, bool) {
	for index := len(source) - 1; index >= 0; index-- {
		if source[index] == '/' {
			return source[:index], source[index+1:], true
		}
	}
	return source, "", false
}

// Generate has an engine make an answer.
func (m *modelClient) Generate(ctx context.Context, attempt platformport.Attempt) (platformport.Response, platformport.Outcome, error) {
	engine, outcome, err := m.deliver(ctx, attempt)
	if outcome != platformport.OutcomeAnswered {
		return platformport.Response{}, outcome, err
	}
	engine.lock.Lock()
	if engine.running >= engine.Slots {
		engine.lock.Unlock()
		return platformport.Response{Busy: true}, platformport.OutcomeNotStarted, nil
	}
	engine.running++
	running := engine.running
	engine.lock.Unlock()
	finish := sync.OnceFunc(func() {
		engine.lock.Lock()
		engine.running--
		engine.lock.Unlock()
	})
	if attempt.KVSource != "" {
		if !m.transferKV(ctx, engine, attempt) {
			finish()
			return platformport.Response{}, platformport.OutcomeNotStarted, nil
		}
	} else if !engine.prefill(ctx, attempt.Prompt, 2) {
		finish()
		return platformport.Response{}, platformport.OutcomeUnknown, ctx.Err()
	}
	switch m.fault {
	case "slow":
		sleep(ctx, 600*time.Millisecond)
	case "hang":
		sleep(ctx, 2700*time.Millisecond)
	}
	m.observeRunStart(engine, attempt)
	if m.fault == "twice" {
		m.observeRunStart(engine, attempt)
	}
	body := &modelBody{events: make(chan modelEvent, 64), ctx: ctx, engine: engine, latency: latencyBetween(m.zone, engine.Zone)}
	body.runCtx, body.cancelRun = context.WithCancel(ctx)
	go func() {
		defer finish()
		body.generate(attempt, m.fault)
	}()
	if !sleep(ctx, 15*time.Millisecond+body.latency) {
		return platformport.Response{}, platformport.OutcomeUnknown, ctx.Err()
	}
	if isClosed(engine.crashed) {
		return platformport.Response{}, platformport.OutcomeUnknown, errEngineGone
	}
	if isClosed(engine.partitioned) {
		<-ctx.Done()
		return platformport.Response{}, platformport.OutcomeUnknown, ctx.Err()
	}
	load := platformport.Load{Running: running, Slots: engine.Slots, Reported: true}
	return platformport.Response{Status: 200, Header: http.Header{"Stamp": {engine.Incarnation}}, Body: body, Length: -1, Load: load}, platformport.OutcomeAnswered, nil
}

type modelEvent struct {
	text      string
	deliverAt time.Time
	err       error
}

// modelBody is an answer on its way: events come a while after they were made.
type modelBody struct {
	events    chan modelEvent
	ctx       context.Context
	runCtx    context.Context
	cancelRun context.CancelFunc
	engine    *modelEngine
	latency   time.Duration
	unread    []byte
}

func formatEvent(key string, index int) string {
	return fmt.Sprintf("id: %d\ndata: %s event %d\n\n", index, key, index)
}

func (m *modelBody) generate(attempt platformport.Attempt, fault string) {
	lastSent, _ := strconv.Atoi(attempt.LastEventID)
	switch {
	case fault == "repeats" && lastSent > 0:
		lastSent--
	case fault == "skips" && lastSent > 0:
		lastSent++
	}
	key, count, step := responseShape(attempt.Target)
	if fault == "cuts" {
		count--
	}
	for index := lastSent + 1; index <= count; index++ {
		timer := time.NewTimer(step)
		select {
		case <-m.runCtx.Done():
			timer.Stop()
			return
		case <-m.engine.crashed:
			timer.Stop()
			select {
			case m.events <- modelEvent{err: errEngineGone}:
			case <-m.runCtx.Done():
			}
			return
		case <-m.engine.partitioned:
			timer.Stop()
			return
		case <-timer.C:
		}
		select {
		case m.events <- modelEvent{text: formatEvent(key, index), deliverAt: time.Now().Add(m.latency)}:
		case <-m.runCtx.Done():
			return
		}
	}
	select {
	case m.events <- modelEvent{err: io.EOF, deliverAt: time.Now().Add(m.latency)}:
	case <-m.runCtx.Done():
	}
}

// Read waits for the next event.
func (m *modelBody) Read(buffer []byte) (int, error) {
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
	// Half an event at a time, so that whole ones have to be found.
	count := copy(buffer[:min(len(buffer), 24)], m.unread)
	m.unread = m.unread[count:]
	return count, nil
}

// Close ends the run.
func (m *modelBody) Close() error {
	m.cancelRun()
	return nil
}
