package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
	"coursepass/internal/topology"
)

// modelRegions are three regions of two zones each.
var modelRegions = topology.RegionMap{
	"north-1":  "north",
	"north-2":  "north",
	"centre-1": "centre",
	"centre-2": "centre",
	"south-1":  "south",
	"south-2":  "south",
}

const (
	interRegionLatency = 20 * time.Millisecond
	intraRegionLatency = time.Millisecond
	// prefillTokensPerMillisecond is the prefill rate of an engine without decoding.
	prefillTokensPerMillisecond = 60
	// localPrefillFactor is how many times longer a decoder takes for a prefill.
	localPrefillFactor = 2
	// kvRetention is how long an engine keeps a KV cache that is not fetched.
	kvRetention = 5 * time.Second
	// transferTime is how long a transfer of a KV cache takes inside a zone.
	transferTime = 4 * time.Millisecond
	// firstTokenTime is how long the first token takes after the prefill.
	firstTokenTime = 15 * time.Millisecond
)

// injectedFault is what a fleet does wrong on purpose, to show that the observer sees it.
type injectedFault string

const (
	faultNone injectedFault = ""
	// faultUnannounced: routers do not hear of the maintenance.
	faultUnannounced injectedFault = "unannounced"
	// faultRunTwice: engines run each request twice.
	faultRunTwice injectedFault = "run twice"
	// faultRepeatEvent and faultSkipEvent: engines resume streams one event too early or too late.
	faultRepeatEvent injectedFault = "repeat event"
	faultSkipEvent   injectedFault = "skip event"
	// faultSlow: engines start late; faultHang: so late that clients give up.
	faultSlow injectedFault = "slow"
	faultHang injectedFault = "hang"
	// faultTruncate: engines end streams one event early.
	faultTruncate injectedFault = "truncate"
	// faultWrongKV: engines return the KV cache of another request.
	faultWrongKV injectedFault = "wrong KV cache"
	// faultAllRegions: routers do not know the allowed regions.
	faultAllRegions injectedFault = "all regions"
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
	// lock guards the fields below but the channels.
	lock sync.Mutex
	// busyUntil is when the queued prefills are done.
	busyUntil    time.Time
	running      int
	cachedChunks map[string]bool
	kvHandles    map[string]storedKV
	// crashed is closed when the engine crashes, partitioned when the network loses it.
	crashed     chan struct{}
	partitioned chan struct{}
}

// storedKV is a KV cache that an engine keeps for a decoder.
type storedKV struct {
	requestID string
	zone      string
	expiresAt time.Time
}

// fleetModel is all engines, and the observer of them.
type fleetModel struct {
	*fleetObserver
	engines map[string]*modelEngine
	// lock guards kvCount.
	lock    sync.Mutex
	kvCount int
	fault   injectedFault
}

// modelClient is the engine client of a router in a zone.
type modelClient struct {
	*fleetModel
	zone string
}

// zoneRoles are the roles of the engines in each zone: once the north is drained, all prefills are in
// the centre, and most decoding is in the south.
var zoneRoles = map[string][]string{
	"north-1":  {pairing.RolePrefill, pairing.RoleDecode, pairing.RoleDecode},
	"north-2":  {pairing.RolePrefill, pairing.RoleDecode, pairing.RoleDecode},
	"centre-1": {pairing.RolePrefill, pairing.RolePrefill, pairing.RoleDecode, pairing.RoleDecode},
	"centre-2": {pairing.RolePrefill, pairing.RolePrefill, pairing.RoleDecode, pairing.RoleDecode},
	"south-1":  {pairing.RoleDecode, pairing.RoleDecode},
	"south-2":  {pairing.RoleDecode, pairing.RoleDecode},
}

var errEngineGone = errors.New("the engine is gone")

func newFleetModel(observer *fleetObserver) *fleetModel {
	fleet := &fleetModel{fleetObserver: observer, engines: map[string]*modelEngine{}}
	for zone, roles := range zoneRoles {
		for index, role := range roles {
			incarnation := fmt.Sprint(zone, "-", index)
			fleet.engines[incarnation] = &modelEngine{
				Engine: platformport.Engine{
					Incarnation: incarnation,
					Service:     "model",
					Address:     incarnation,
					Zone:        zone,
					Slots:       32,
					Role:        role,
				},
				cachedChunks: map[string]bool{},
				kvHandles:    map[string]storedKV{},
				crashed:      make(chan struct{}),
				partitioned:  make(chan struct{}),
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

// sleep waits for a duration; it reports false if the context ends first. It makes no timer for a
// duration of zero: with the race detector and a virtual clock, a channel timer that fires at once
// has crashed the runtime.
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

// deliver takes a call to an engine. A partitioned engine does not respond.
func (m *modelClient) deliver(
	ctx context.Context,
	attempt platformport.Attempt,
) (*modelEngine, platformport.Outcome, error) {
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

// prefill occupies an engine for the part of a prompt that it has not cached.
func (m *modelEngine) prefill(ctx context.Context, prompt []platformport.PromptChunk, costFactor int) bool {
	m.lock.Lock()
	uncached, prefixCached := 0, true
	for _, chunk := range prompt {
		prefixCached = prefixCached && m.cachedChunks[chunk.Name]
		if !prefixCached {
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

// Prefill has an engine compute the KV cache of a prompt and keep it.
func (m *modelClient) Prefill(
	ctx context.Context,
	attempt platformport.Attempt,
) (platformport.KVHandle, platformport.Outcome, error) {
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

// ReleaseKV has an engine drop a KV cache.
func (m *modelClient) ReleaseKV(_ context.Context, address, handle string) error {
	engine := m.engines[address]
	engine.lock.Lock()
	defer engine.lock.Unlock()
	delete(engine.kvHandles, handle)
	return nil
}

// transferKV has a decoder fetch a KV cache, which takes ten times as long between regions. It
// reports whether the decoder has it.
func (m *modelClient) transferKV(ctx context.Context, decoder *modelEngine, attempt platformport.Attempt) bool {
	separator := strings.LastIndexByte(attempt.KVSource, '/')
	incarnation, handle := attempt.KVSource[:separator], attempt.KVSource[separator+1:]
	prefiller := m.engines[incarnation]
	prefiller.lock.Lock()
	stored, ok := prefiller.kvHandles[handle]
	delete(prefiller.kvHandles, handle)
	prefiller.lock.Unlock()
	if !ok || time.Now().After(stored.expiresAt) {
		return false
	}
	if m.fault == faultWrongKV {
		stored.requestID = "another"
	}
	m.observeTransfer(attempt, stored, decoder)
	duration := transferTime
	if modelRegions.RegionOf(prefiller.Zone) != modelRegions.RegionOf(decoder.Zone) {
		duration *= 10
	} else if prefiller.Zone != decoder.Zone {
		duration *= 2
	}
	return sleep(ctx, duration)
}

// Generate has an engine generate a response.
func (m *modelClient) Generate(
	ctx context.Context,
	attempt platformport.Attempt,
) (platformport.Response, platformport.Outcome, error) {
	engine, outcome, err := m.deliver(ctx, attempt)
	if outcome != platformport.OutcomeAnswered {
		return platformport.Response{}, outcome, err
	}
	running, finish := engine.takeSlot()
	if finish == nil {
		return platformport.Response{Busy: true}, platformport.OutcomeNotStarted, nil
	}
	outcome, err = m.obtainKV(ctx, engine, attempt)
	if outcome != platformport.OutcomeAnswered {
		finish()
		return platformport.Response{}, outcome, err
	}
	m.startRun(ctx, engine, attempt)
	body := newModelBody(ctx, engine, latencyBetween(m.zone, engine.Zone))
	go func() {
		defer finish()
		body.generate(attempt, m.fault)
	}()
	if !sleep(ctx, firstTokenTime+body.latency) {
		return platformport.Response{}, platformport.OutcomeUnknown, ctx.Err()
	}
	if isClosed(engine.crashed) {
		return platformport.Response{}, platformport.OutcomeUnknown, errEngineGone
	}
	if isClosed(engine.partitioned) {
		<-ctx.Done()
		return platformport.Response{}, platformport.OutcomeUnknown, ctx.Err()
	}
	response := platformport.Response{
		Status: http.StatusOK,
		Header: http.Header{"Stamp": {engine.Incarnation}},
		Body:   body,
		Length: -1,
		Load:   platformport.Load{Running: running, Slots: engine.Slots, Reported: true},
	}
	return response, platformport.OutcomeAnswered, nil
}

// takeSlot takes a slot of the engine. It returns how many are taken, and a function that frees the
// slot, which is nil if all are taken already.
func (m *modelEngine) takeSlot() (running int, finish func()) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.running >= m.Slots {
		return m.running, nil
	}
	m.running++
	return m.running, sync.OnceFunc(func() {
		m.lock.Lock()
		m.running--
		m.lock.Unlock()
	})
}

// obtainKV has the engine fetch or compute the KV cache of the prompt.
func (m *modelClient) obtainKV(
	ctx context.Context,
	engine *modelEngine,
	attempt platformport.Attempt,
) (platformport.Outcome, error) {
	if attempt.KVSource != "" {
		if !m.transferKV(ctx, engine, attempt) {
			return platformport.OutcomeNotStarted, nil
		}
		return platformport.OutcomeAnswered, nil
	}
	if !engine.prefill(ctx, attempt.Prompt, localPrefillFactor) {
		return platformport.OutcomeUnknown, ctx.Err()
	}
	return platformport.OutcomeAnswered, nil
}

// startRun has the observer see a run begin.
func (m *modelClient) startRun(ctx context.Context, engine *modelEngine, attempt platformport.Attempt) {
	switch m.fault {
	case faultSlow:
		sleep(ctx, 600*time.Millisecond)
	case faultHang:
		sleep(ctx, 2700*time.Millisecond)
	default:
	}
	m.observeRunStart(engine, attempt)
	if m.fault == faultRunTwice {
		m.observeRunStart(engine, attempt)
	}
}
