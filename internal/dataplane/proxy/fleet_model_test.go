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

// simulatedRegions maps the zones of the simulation to three regions of two zones each.
var simulatedRegions = topology.RegionMap{
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
	// prefillTokensPerMillisecond is the prefill rate of a prefill engine.
	prefillTokensPerMillisecond = 60
	// localPrefillFactor is the ratio of a decode engine's prefill time to that of a prefill engine.
	localPrefillFactor = 2
	// kvRetention is the time after which an engine drops a KV cache that was not fetched.
	kvRetention = 5 * time.Second
	// transferTime is the duration of a KV cache transfer inside a zone.
	transferTime = 4 * time.Millisecond
	// firstTokenTime is the time from the end of the prefill to the first token.
	firstTokenTime = 15 * time.Millisecond
)

// injectedFault is a deliberate fault of the simulated fleet. The tests of the observer use it to check
// that the observer reports the fault.
type injectedFault string

const (
	faultNone injectedFault = ""
	// faultUnannounced: routers are not told of the maintenance window.
	faultUnannounced injectedFault = "unannounced"
	// faultRunTwice: engines run each request twice.
	faultRunTwice injectedFault = "run twice"
	// faultRepeatEvent: engines resume streams one event too early.
	faultRepeatEvent injectedFault = "repeat event"
	// faultSkipEvent: engines resume streams one event too late.
	faultSkipEvent injectedFault = "skip event"
	// faultSlow: engines start runs late.
	faultSlow injectedFault = "slow"
	// faultHang: engines start runs so late that clients give up.
	faultHang injectedFault = "hang"
	// faultTruncate: engines end streams one event early.
	faultTruncate injectedFault = "truncate"
	// faultWrongKV: engines return the KV cache of another request.
	faultWrongKV injectedFault = "wrong KV cache"
	// faultAllRegions: routers do not know the allowed regions of requests.
	faultAllRegions injectedFault = "all regions"
)

func latencyBetween(left, right string) time.Duration {
	if simulatedRegions.RegionOf(left) == simulatedRegions.RegionOf(right) {
		return intraRegionLatency
	}
	return interRegionLatency
}

// simulatedEngine is a simulated engine.
type simulatedEngine struct {
	platformport.Engine
	// lock guards the fields below, except for the channels.
	lock sync.Mutex
	// busyUntil is the time at which all queued prefills are finished.
	busyUntil    time.Time
	running      int
	cachedChunks map[string]bool
	kvHandles    map[string]storedKV
	// crashed is closed when the engine crashes.
	crashed chan struct{}
	// partitioned is closed when the engine becomes unreachable over the network.
	partitioned chan struct{}
}

// storedKV is a KV cache that a prefill engine keeps for a decode engine.
type storedKV struct {
	requestID string
	zone      string
	expiresAt time.Time
}

// simulatedFleet is a fleet of simulated engines with an observer.
type simulatedFleet struct {
	*fleetObserver
	engines map[string]*simulatedEngine
	// lock guards kvCount.
	lock sync.Mutex
	// kvCount is the number of KV caches that were ever stored.
	kvCount int
	fault   injectedFault
}

// simulatedEngineClient is the engine client of a router in a zone. It calls the simulated engines.
type simulatedEngineClient struct {
	*simulatedFleet
	zone string
}

// zoneRoles lists the roles of the engines in each zone. After the north is drained, all prefill engines
// are in the centre, and half of the decode engines are in the south, which has no prefill engines.
var zoneRoles = map[string][]string{
	"north-1":  {pairing.RolePrefill, pairing.RoleDecode, pairing.RoleDecode},
	"north-2":  {pairing.RolePrefill, pairing.RoleDecode, pairing.RoleDecode},
	"centre-1": {pairing.RolePrefill, pairing.RolePrefill, pairing.RoleDecode, pairing.RoleDecode},
	"centre-2": {pairing.RolePrefill, pairing.RolePrefill, pairing.RoleDecode, pairing.RoleDecode},
	"south-1":  {pairing.RoleDecode, pairing.RoleDecode},
	"south-2":  {pairing.RoleDecode, pairing.RoleDecode},
}

var errEngineGone = errors.New("the engine is gone")

func newSimulatedFleet(observer *fleetObserver) *simulatedFleet {
	fleet := &simulatedFleet{fleetObserver: observer, engines: map[string]*simulatedEngine{}}
	for zone, roles := range zoneRoles {
		for index, role := range roles {
			incarnation := fmt.Sprint(zone, "-", index)
			fleet.engines[incarnation] = &simulatedEngine{
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

// sleep waits for a duration. It reports false if the context ends first. It creates no timer for a
// duration of zero: with the race detector and a virtual clock, a channel timer that fired at once
// has crashed the Go runtime.
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

// deliver simulates the delivery of a call to an engine. A call to a partitioned engine blocks until its
// context ends.
func (m *simulatedEngineClient) deliver(
	ctx context.Context,
	attempt platformport.Attempt,
) (*simulatedEngine, platformport.Outcome, error) {
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

// prefill simulates the prefill of the part of a prompt that the engine has not cached. It waits for the
// prefills that are queued before. It reports false if the context ends first.
func (m *simulatedEngine) prefill(ctx context.Context, prompt []platformport.PromptChunk, costFactor int) bool {
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

// Prefill simulates a prefill call, after which the engine keeps the KV cache of the prompt.
func (m *simulatedEngineClient) Prefill(
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

// ReleaseKV removes a KV cache from an engine.
func (m *simulatedEngineClient) ReleaseKV(_ context.Context, address, handle string) error {
	engine := m.engines[address]
	engine.lock.Lock()
	defer engine.lock.Unlock()
	delete(engine.kvHandles, handle)
	return nil
}

// transferKV simulates the transfer of a KV cache to a decode engine. A transfer between regions takes
// ten times as long as inside a zone, and one between zones of a region twice as long. It reports
// whether the transfer succeeded.
func (m *simulatedEngineClient) transferKV(ctx context.Context, decoder *simulatedEngine, attempt platformport.Attempt) bool {
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
	if simulatedRegions.RegionOf(prefiller.Zone) != simulatedRegions.RegionOf(decoder.Zone) {
		duration *= 10
	} else if prefiller.Zone != decoder.Zone {
		duration *= 2
	}
	return sleep(ctx, duration)
}

// Generate simulates a generate call.
func (m *simulatedEngineClient) Generate(
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
	body := newSimulatedBody(ctx, engine, latencyBetween(m.zone, engine.Zone))
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

// takeSlot takes a slot of the engine. It returns the number of slots in use and a function that frees
// the slot. The function is nil if there was no free slot.
func (m *simulatedEngine) takeSlot() (running int, finish func()) {
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

// obtainKV simulates how a decode engine gets the KV cache of the prompt: by a transfer if the call names
// a source, otherwise by a prefill of its own.
func (m *simulatedEngineClient) obtainKV(
	ctx context.Context,
	engine *simulatedEngine,
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

// startRun reports the start of a run to the observer, with the injected fault if there is one.
func (m *simulatedEngineClient) startRun(ctx context.Context, engine *simulatedEngine, attempt platformport.Attempt) {
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
