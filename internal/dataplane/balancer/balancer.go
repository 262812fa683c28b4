package balancer

import (
	"slices"
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/route"
)

const (
	// initialPrefillRate, in tokens per millisecond, and initialPromptTokens stand in for observations that
	// have not been made yet.
	initialPrefillRate  = 40
	initialPromptTokens = 1500
	// readmissionWarmup is how long the engines of a zone are treated as warming up after its
	// evacuation ends: they may have restarted shortly before, which the registry shows late.
	readmissionWarmup = 3 * clock.Second
)

// Balancer is one router's view of the engines of one service.
type Balancer struct {
	Options
	// lock guards all fields below.
	lock    sync.Mutex
	service route.Service
	// routerCount is how many routers share the engines, at least one.
	routerCount int
	// engines are the listed engines by incarnation.
	engines map[string]*engineState
	// affinityGroups are the groups that the leader has assigned to engines, by incarnation.
	affinityGroups map[string]string
	// unexpectedEnds are the crash histories of addresses.
	unexpectedEnds map[string]endHistory
	evacuatedZones map[string]bool
	// switchingRole holds the incarnations that are about to change their role.
	switchingRole map[string]bool
	// prefillRate is the observed rate of a prefill engine, in tokens per millisecond.
	prefillRate float64
	// meanPromptTokens is the observed mean of the uncached tokens of a prefill call.
	meanPromptTokens float64
	// prefillModel and decodeTime are learned from what all routers observe.
	prefillModel *PrefillModel
	decodeTime   decodeTimeModel
	// prefillBusyTime and decodeBusyTime are how long this router has kept engines busy.
	prefillBusyTime clock.Microseconds
	decodeBusyTime  clock.Microseconds
	// latencyEstimators estimate, by phase, how much longer than expected engines take.
	latencyEstimators [phaseCount]latencyEstimator
}

// New returns a balancer without engines.
func New(options Options) *Balancer {
	initialLatency := latencyEstimator{mean: initialLatencyEstimate, deviation: initialLatencyEstimate}
	return &Balancer{
		Options:           options,
		routerCount:       1,
		engines:           map[string]*engineState{},
		unexpectedEnds:    map[string]endHistory{},
		prefillRate:       initialPrefillRate,
		meanPromptTokens:  initialPromptTokens,
		prefillModel:      NewPrefillModel(),
		latencyEstimators: [phaseCount]latencyEstimator{initialLatency, initialLatency},
	}
}

// View is what a balancer is told of its service.
type View struct {
	Service route.Service
	// Engines are the listed engines of the service.
	Engines []platformport.Engine
	// Assignment is the leader's assignment for the engines.
	Assignment pairing.Assignment
	// EvacuatedZones are the zones whose engines get no new requests.
	EvacuatedZones []string
	// RouterCount is the number of routers that share engines which are warming up.
	RouterCount int
}

// Update replaces the view. Engines that stay listed keep what is known of them.
func (b *Balancer) Update(now clock.Microseconds, view View) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.service = view.Service
	// An assignment that lacks some routers for a while must not let each of the others send more.
	b.routerCount = max(view.RouterCount, b.routerCount)
	readmittedZones := map[string]bool{}
	for zone := range b.evacuatedZones {
		readmittedZones[zone] = !slices.Contains(view.EvacuatedZones, zone)
	}
	b.updateEngines(now, view.Engines, readmittedZones)
	b.affinityGroups = view.Assignment.AffinityGroups
	b.switchingRole = nameSet(view.Assignment.ChangingRole)
	b.evacuatedZones = nameSet(view.EvacuatedZones)
}

// updateEngines replaces the listed engines. The caller holds the lock.
func (b *Balancer) updateEngines(
	now clock.Microseconds,
	engines []platformport.Engine,
	readmittedZones map[string]bool,
) {
	listed := map[string]bool{}
	for _, engine := range engines {
		listed[engine.Incarnation] = true
		state, ok := b.engines[engine.Incarnation]
		if !ok {
			state = newEngineState()
			state.lastActivity = now
			state.warmupUntil = b.flapWarmupEnd(now, engine.Address)
			b.engines[engine.Incarnation] = state
		}
		// An incarnation that drains never stops to, even if a stale list says so.
		engine.Draining = engine.Draining || state.Draining
		state.Engine = engine
		if readmittedZones[engine.Zone] {
			state.warmupUntil = now + readmissionWarmup
		}
	}
	for incarnation := range b.engines {
		if !listed[incarnation] {
			b.recordUnexpectedEnd(now, b.engines[incarnation])
			delete(b.engines, incarnation)
		}
	}
}

// nameSet returns the set of some names.
func nameSet(names []string) map[string]bool {
	set := map[string]bool{}
	for _, name := range names {
		set[name] = true
	}
	return set
}

// engine returns what is known of an engine. If the engine is not listed any more, that is a new
// state which nothing refers to, so that what the caller records there is lost. The caller holds
// the lock.
func (b *Balancer) engine(incarnation string) *engineState {
	engine, ok := b.engines[incarnation]
	if !ok {
		return newEngineState()
	}
	return engine
}
