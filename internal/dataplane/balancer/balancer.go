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
	// initialPrefillRate, in tokens per millisecond, and initialPromptTokens are the estimates before the
	// first observation.
	initialPrefillRate  = 40
	initialPromptTokens = 1500
	// readmissionWarmup is how long engines are treated as warming up after the evacuation of their zone
	// ends. They may have restarted shortly before, and the registry lists a restart late.
	readmissionWarmup = 3 * clock.Second
)

// Balancer is one router's view of the engines of one service.
type Balancer struct {
	Options
	// lock guards all fields below.
	lock    sync.Mutex
	service route.Service
	// routerCount is the number of routers that share the engines, at least one.
	routerCount int
	// engines holds the state of the listed engines by incarnation.
	engines map[string]*engineState
	// affinityGroups holds the groups that the leader has assigned to engines, by incarnation.
	affinityGroups map[string]string
	// unexpectedEnds holds the history of incarnations that ended without draining, by address.
	unexpectedEnds map[string]endHistory
	evacuatedZones map[string]bool
	// changingRole is the set of incarnations that are about to change their role and get no requests.
	changingRole map[string]bool
	// prefillRate is the observed prefill rate of a dedicated prefill engine, in tokens per millisecond.
	prefillRate float64
	// meanPromptTokens is the moving average of the uncached tokens of a prefill call.
	meanPromptTokens float64
	// prefillModel and decodeTime are fitted to the observations of all routers.
	prefillModel *PrefillModel
	decodeTime   decodeTimeModel
	// prefillBusyTime and decodeBusyTime are the total times for which this router has kept engines busy.
	prefillBusyTime clock.Microseconds
	decodeBusyTime  clock.Microseconds
	// latencyEstimators estimate, by phase, how much longer than expected engines take to respond.
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

// View is the input of Update: the engines of a service and the configuration that applies to them.
type View struct {
	Service route.Service
	// Engines are the listed engines of the service.
	Engines []platformport.Engine
	// Assignment is the leader's assignment for the engines.
	Assignment pairing.Assignment
	// EvacuatedZones are the zones whose engines get no new requests.
	EvacuatedZones []string
	// RouterCount is the number of routers that share the request rate of engines that are warming up.
	RouterCount int
}

// Update replaces the view. Engines that stay listed keep their state.
func (b *Balancer) Update(now clock.Microseconds, view View) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.service = view.Service
	// The count never decreases: if an assignment temporarily lacks some routers, the others must not
	// send more to engines that are warming up.
	b.routerCount = max(view.RouterCount, b.routerCount)
	readmittedZones := map[string]bool{}
	for zone := range b.evacuatedZones {
		readmittedZones[zone] = !slices.Contains(view.EvacuatedZones, zone)
	}
	b.updateEngines(now, view.Engines, readmittedZones)
	b.affinityGroups = view.Assignment.AffinityGroups
	b.changingRole = nameSet(view.Assignment.ChangingRole)
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
		// A draining incarnation stays draining, even if a stale list shows it as not draining.
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

// nameSet returns a set that holds the names.
func nameSet(names []string) map[string]bool {
	set := map[string]bool{}
	for _, name := range names {
		set[name] = true
	}
	return set
}

// engine returns the state of an engine. For an engine that is not listed, it returns a new state that is
// not stored, so that changes to it are discarded. The caller holds the lock.
func (b *Balancer) engine(incarnation string) *engineState {
	engine, ok := b.engines[incarnation]
	if !ok {
		return newEngineState()
	}
	return engine
}
