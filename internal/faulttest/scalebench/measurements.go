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

// Measurement is one number of a run.
type Measurement struct {
	Name  string
	Value float64
}

// Measurements are the numbers of a run, in the order of the table.
type Measurements []Measurement

// ValueOf is a figure by its name.
func (m Measurements) ValueOf(name string) float64 {
	for _, measurement := range m {
		if measurement.Name == name {
			return measurement.Value
		}
	}
	return 0
}

func ratio(part, total float64) float64 {
	if total == 0 {
		return 0
	}
	return part / total
}

func (b *benchFleet) collectMeasurements(before, after counterSnapshot, duration, total float64, seconds map[string]float64, acknowledged, propagated, restarted *latencies) Measurements {
	sizes := b.Sizes
	measurements := Measurements{
		{"daemons", float64(sizes.Routers)}, {"engines", float64(sizes.Engines)}, {"services", float64(sizes.Services)}, {"tenants", float64(sizes.Tenants)},
		{"changes a second", sizes.ChangesPerSecond}, {"restarts a minute", sizes.RouterRestartsPerMinute}, {"engine-restarts a minute", sizes.EngineRestartsPerMinute},
	}
	add := func(name string, value float64) { measurements = append(measurements, Measurement{name, value}) }
	changed := 0.0
	if after.leader != before.leader {
		changed = 1
	}
	add("leader changed", changed)
	followerCount := float64(b.Settings.Servers)
	if after.leader != "" {
		followerCount--
	}
	leadingBefore, serversBefore := before.splitByLeader(after.leader)
	leading, servers := after.splitByLeader(after.leader)
	for _, group := range []struct {
		name       string
		traffic    trafficCounts
		count      float64
		cpuSeconds float64
	}{
		{"leader", leading.minus(leadingBefore), 1, seconds[after.leader]},
		{"core", servers.minus(serversBefore), followerCount, cpuSecondsOfOthers(seconds, "core-", after.leader)},
		{"router", after.routers.minus(before.routers), float64(b.RealRouters), seconds["routers"]},
		{"hollow", after.simulatedRouters.minus(before.simulatedRouters), float64(sizes.Routers - b.RealRouters), seconds["hollow"]},
	} {
		rate := group.count * duration
		ownBytes := group.traffic.sameZone + group.traffic.crossZone + group.traffic.unknownZone
		add(group.name+" processor %", 100*ratio(group.cpuSeconds, rate))
		add(group.name+" calls/s", ratio(group.traffic.calls, rate))
		add(group.name+" own KB/s", ratio(ownBytes, rate)/1000)
		add(group.name+" served KB/s", ratio(group.traffic.served, rate)/1000)
		add(group.name+" across KB/s", ratio(group.traffic.crossZone, rate)/1000)
	}
	add("all across KB/s", (leading.crossZone+servers.crossZone+after.routers.crossZone+after.simulatedRouters.crossZone-leadingBefore.crossZone-serversBefore.crossZone-before.routers.crossZone-before.simulatedRouters.crossZone)/duration/1000)
	add("engines processor %", 100*seconds["engines"]/duration)
	add("operator processor %", 100*seconds["operator"]/duration)
	add("runtime processor %", 100*seconds["runtime"]/duration)
	add("process processor %", 100*total/duration)
	add("heads/s", (after.headsRead-before.headsRead)/duration)
	add("soft reports/s", (after.softReports-before.softReports)/duration)
	add("lists/s", (after.listCalls-before.listCalls)/duration)
	add("reports/s", (after.reports-before.reports)/duration)
	add("orders/s", (after.commands-before.commands)/duration)
	add("list KB", float64(b.directory.listBytes)/1000)
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	add("heap MB", float64(memory.HeapAlloc)/1e6)
	add("system MB", float64(memory.Sys)/1e6)
	add("changes acknowledged", float64(len(acknowledged.values)))
	add("changes missed", float64(acknowledged.missed))
	add("acknowledged p50 ms", acknowledged.quantile(0.5))
	add("acknowledged worst ms", acknowledged.quantile(1))
	add("everywhere p50 ms", propagated.quantile(0.5))
	add("everywhere worst ms", propagated.quantile(1))
	add("restarts seen", float64(len(restarted.values)))
	add("restart to state worst ms", restarted.quantile(1))
	return measurements
}

// measureState measures what one router holds and does for the state: its size, and the time and
// memory of one small change of each part. The fleet has ended by then.
func (s Sizes) measureState(configured, engines []byte) Measurements {
	view, _ := registry.DecodeView(engines)
	pairs, grouped, transferring := 0, 0, 0
	for _, assignment := range view.Contracts {
		pairs += len(assignment.Pairs)
		grouped += len(assignment.Teams)
		transferring += len(assignment.Away)
	}
	measurements := Measurements{{"configuration KB", float64(len(configured)) / 1000}, {"engine list KB", float64(len(engines)) / 1000}, {"pairs", float64(pairs)}, {"in teams", float64(grouped)}, {"on the way", float64(transferring)}}
	if len(configured) == 0 || len(engines) == 0 {
		return measurements
	}
	state, engineState := config.NewState(), registry.NewState()
	measurements = append(measurements,
		Measurement{"configuration held KB", retainedKilobytes(func() any {
			state = config.NewState()
			state.Restore(configured)
			return state
		})},
		Measurement{"engine list held KB", retainedKilobytes(func() any {
			engineState = registry.NewState()
			engineState.Restore(engines)
			return engineState
		})})
	encoded := [2][]byte{consensus.EncodeSnapshot(consensus.Membership{}, configured), consensus.EncodeSnapshot(consensus.Membership{}, engines)}
	routeChange := oneRouteRequest(s, state.Label+1, state.Label)
	changedEngine := registry.Engine{}
	for _, changedEngine = range engineState.Engines {
		break
	}
	changedEngine.Weights++
	for index, testCase := range []struct {
		name      string
		revision  uint64
		operation []byte
	}{
		{"configuration", state.Sequence + 1, config.Operation{Request: routeChange}.Encode()},
		{"engine list", engineState.Sequence + 1, registry.Operation{Kind: registry.OperationSyncEndpoints, Put: []registry.Engine{changedEngine}}.Encode()},
	} {
		duration, allocated := measureCost(func() {
			shardstate.ApplyEntries(index, encoded[index], []gossip.Entry{{Index: 1, Round: 1, Data: testCase.operation}}, testCase.revision)
		})
		measurements = append(measurements, Measurement{testCase.name + " step ms", duration}, Measurement{testCase.name + " step allocates KB", allocated}, Measurement{testCase.name + " step bytes", float64(len(testCase.operation))})
	}
	duration, _ := measureCost(func() { state.Snapshot() })
	measurements = append(measurements, Measurement{"configuration capture ms", duration})
	duration, _ = measureCost(func() { engineState.Snapshot() })
	measurements = append(measurements, Measurement{"engine list capture ms", duration})
	return append(measurements, s.measureBalancing(engineState.View)...)
}

// measureBalancing is what it takes a router to choose the engines of one request under load, and to take over
// a new list, for the services one by one.
func (s Sizes) measureBalancing(view registry.View) Measurements {
	stopwatch := clock.New()
	name := serviceName(0)
	var engines []platformport.Engine
	for _, engine := range view.Engines {
		if engine.Service == name {
			engines = append(engines, platformport.Engine{Incarnation: engine.Incarnation, Service: name, Address: engine.Address, Zone: engine.Hall, Slots: 64, Role: engine.Part, ModelVersion: engine.Weights})
		}
	}
	engineBalancer := balancer.New(balancer.Options{Router: "router-0", Zone: "hall-aa"})
	update, _ := measureCost(func() {
		engineBalancer.Update(stopwatch.Now(), balancer.View{
			Service:     route.Service{Name: name},
			Engines:     engines,
			Assignment:  view.Contracts[name],
			RouterCount: s.Routers,
		})
	})
	// All makers are under way with answers, so that a prompt is better read elsewhere.
	for _, engine := range engines {
		if engine.Role == pairing.RoleDecode {
			engineBalancer.AddRunning(stopwatch.Now(), engine.Incarnation, nil, 20)
		}
	}
	const calls = 20
	number := 0
	duration, allocated := measureCost(func() {
		for range calls {
			number++
			engineBalancer.Select(stopwatch.Now(), balancer.Requirements{Prompt: []platformport.PromptChunk{{Name: fmt.Sprint("shared-", number%10), Tokens: 4000}, {Name: fmt.Sprint("own-", number), Tokens: 2000}}, BodyBytes: 8000})
		}
	})
	return Measurements{{"engines of a service", float64(len(engines))}, {"pool update ms", update}, {"choice us", duration * 1000 / calls}, {"choice allocates KB", allocated / calls}}
}

// retainedKilobytes is what one of the made values keeps in memory, of a few that are kept at once.
func retainedKilobytes(create func() any) float64 {
	const copyCount = 4
	var retained [copyCount]any
	before := heapBytes()
	for index := range retained {
		retained[index] = create()
	}
	after := heapBytes()
	runtime.KeepAlive(retained)
	return (after - before) / copyCount / 1000
}

func heapBytes() float64 {
	var memory runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&memory)
	return float64(memory.HeapAlloc)
}

// measureCost is the least time and the allocations of an action, of a few tries.
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
	return float64(fastest) / 1000, float64(after.TotalAlloc-before.TotalAlloc) / attempts / 1000
}
