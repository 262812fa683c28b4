package scalebench

import (
	"fmt"
	"runtime"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/controlplane/shardstate"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/gossip"
	"coursepass/internal/platformport"
	"coursepass/internal/state/config"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
	"coursepass/internal/state/route"
)

// The load and the requests by which the choice of engines is measured.
const (
	selectCalls          = 20
	balancerEngineSlots  = 64
	runningPerEngine     = 20
	sharedPromptVariants = 10
	sharedPromptTokens   = 4000
	ownPromptTokens      = 2000
	selectBodyBytes      = 8000
)

// measureState measures what one router has and does for the state: its size, and the time and
// memory of one small change of each shard. The fleet must have ended, so that it does not count.
func (s Sizes) measureState(configured, engines []byte) Measurements {
	view, _ := registry.DecodeView(engines) // An undecodable view counts as empty.
	measurements := Measurements{
		{"configuration KB", float64(len(configured)) / bytesPerKB},
		{"engine list KB", float64(len(engines)) / bytesPerKB},
	}
	addAssignmentMeasurements(&measurements, view)
	if len(configured) == 0 || len(engines) == 0 {
		return measurements
	}
	configState := config.NewState()
	measurements.add("configuration held KB", retainedKilobytes(func() any {
		configState = config.NewState()
		configState.Restore(configured)
		return configState
	}))
	engineState := registry.NewState()
	measurements.add("engine list held KB", retainedKilobytes(func() any {
		engineState = registry.NewState()
		engineState.Restore(engines)
		return engineState
	}))
	for _, step := range s.stateSteps(configState, engineState, configured, engines) {
		step.addMeasurements(&measurements)
	}
	duration, _ := measureCost(func() { configState.Snapshot() })
	measurements.add("configuration capture ms", duration)
	duration, _ = measureCost(func() { engineState.Snapshot() })
	measurements.add("engine list capture ms", duration)
	return append(measurements, s.measureBalancing(engineState.View)...)
}

func addAssignmentMeasurements(measurements *Measurements, view registry.View) {
	pairs, grouped, transferring := 0, 0, 0
	for _, assignment := range view.Assignments {
		pairs += len(assignment.Pairs)
		grouped += len(assignment.AffinityGroups)
		transferring += len(assignment.ChangingRole)
	}
	measurements.add("pairs", float64(pairs))
	measurements.add("in teams", float64(grouped))
	measurements.add("on the way", float64(transferring))
}

// stateStep is one operation that a router applies to the state of a shard.
type stateStep struct {
	name      string
	shard     int
	snapshot  []byte
	revision  uint64
	operation []byte
}

// stateSteps returns a small change of each shard.
func (s Sizes) stateSteps(configState *config.State, engineState *registry.State, configured, engines []byte) []stateStep {
	routeChange := oneRouteRequest(s, configState.Label+1, configState.Label)
	changedEngine := registry.Engine{}
	for _, changedEngine = range engineState.Engines {
		break
	}
	changedEngine.Weights++
	engineChange := registry.Operation{
		Kind: registry.OperationSyncEndpoints,
		Put:  []registry.Engine{changedEngine},
	}
	return []stateStep{
		{
			name:      "configuration",
			shard:     0,
			snapshot:  consensus.EncodeSnapshot(consensus.Membership{}, configured),
			revision:  configState.Revision + 1,
			operation: config.Operation{Request: routeChange}.Encode(),
		},
		{
			name:      "engine list",
			shard:     1,
			snapshot:  consensus.EncodeSnapshot(consensus.Membership{}, engines),
			revision:  engineState.Revision + 1,
			operation: engineChange.Encode(),
		},
	}
}

func (s stateStep) addMeasurements(measurements *Measurements) {
	state, valid := shardstate.Decode(s.shard, s.snapshot)
	if !valid {
		return
	}
	duration, allocated := measureCost(func() {
		entries := []gossip.Entry{{Index: 1, Term: 1, Data: s.operation}}
		state.Apply(entries, s.revision)
	})
	measurements.add(s.name+" step ms", duration)
	measurements.add(s.name+" step allocates KB", allocated)
	measurements.add(s.name+" step bytes", float64(len(s.operation)))
}

// measureBalancing measures what it takes a router to choose the engines of one request under load,
// and to take over a new list of the engines of a service.
func (s Sizes) measureBalancing(view registry.View) Measurements {
	stopwatch := clock.New()
	name := serviceName(0)
	engines := enginesOfService(view, name)
	engineBalancer := balancer.New(balancer.Options{Router: "router-0", Zone: zoneNamePrefix + "aa"})
	update, _ := measureCost(func() {
		engineBalancer.Update(stopwatch.Now(), balancer.View{
			Service:     route.Service{Name: name},
			Engines:     engines,
			Assignment:  view.Assignments[name],
			RouterCount: s.Routers,
		})
	})
	// All decode engines are busy, so that a prompt is better read elsewhere.
	for _, engine := range engines {
		if engine.Role == pairing.RoleDecode {
			engineBalancer.AddRunning(stopwatch.Now(), engine.Incarnation, nil, runningPerEngine)
		}
	}
	number := 0
	duration, allocated := measureCost(func() {
		for range selectCalls {
			number++
			engineBalancer.Select(stopwatch.Now(), promptRequirements(number))
		}
	})
	return Measurements{
		{"engines of a service", float64(len(engines))},
		{"pool update ms", update},
		{"choice us", duration * microsPerMilli / selectCalls},
		{"choice allocates KB", allocated / selectCalls},
	}
}

func enginesOfService(view registry.View, service string) []platformport.Engine {
	var engines []platformport.Engine
	for _, engine := range view.Engines {
		if engine.Service != service {
			continue
		}
		engines = append(engines, platformport.Engine{
			Incarnation:  engine.Incarnation,
			Service:      service,
			Address:      engine.Address,
			Zone:         engine.Zone,
			Slots:        balancerEngineSlots,
			Role:         engine.Role,
			ModelVersion: engine.Weights,
		})
	}
	return engines
}

// promptRequirements returns a request whose prompt begins with a chunk that others share.
func promptRequirements(number int) balancer.Requirements {
	return balancer.Requirements{
		Prompt: []platformport.PromptChunk{
			{Name: fmt.Sprint("shared-", number%sharedPromptVariants), Tokens: sharedPromptTokens},
			{Name: fmt.Sprint("own-", number), Tokens: ownPromptTokens},
		},
		BodyBytes: selectBodyBytes,
	}
}

// retainedKilobytes returns the memory that a value retains, on average over a few of them.
func retainedKilobytes(create func() any) float64 {
	const copyCount = 4
	var retained [copyCount]any
	before := heapBytes()
	for index := range retained {
		retained[index] = create()
	}
	after := heapBytes()
	runtime.KeepAlive(retained)
	return (after - before) / copyCount / bytesPerKB
}

func heapBytes() float64 {
	var memory runtime.MemStats
	// The second collection frees what finalizers of the first have released.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&memory)
	return float64(memory.HeapAlloc)
}

// measureCost returns the least time and the average allocations of an action over a few attempts.
func measureCost(action func()) (milliseconds, kilobytes float64) {
	stopwatch := clock.New()
	fastest := clock.Never
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	const attempts = 5
	for range attempts {
		startedAt := stopwatch.Now()
		action()
		fastest = min(fastest, stopwatch.Now()-startedAt)
	}
	runtime.ReadMemStats(&after)
	allocated := float64(after.TotalAlloc - before.TotalAlloc)
	return float64(fastest) / microsPerMilli, allocated / attempts / bytesPerKB
}
