package scale

import (
	"fmt"
	"runtime"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/controlplane"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/gossip"
	"coursepass/internal/platformport"
	"coursepass/internal/state/config"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
	"coursepass/internal/state/route"
)

// Figure is one number of a run.
type Figure struct {
	Name  string
	Value float64
}

// Figures are the numbers of a run, in the order of the table.
type Figures []Figure

// Of is a figure by its name.
func (m Figures) Of(name string) float64 {
	for _, figure := range m {
		if figure.Name == name {
			return figure.Value
		}
	}
	return 0
}

func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

func (b *stand) figures(before, after snapshot, span, total float64, seconds map[string]float64, acknowledged, everywhere, restarted *spans) Figures {
	sizes := b.Sizes
	found := Figures{
		{"daemons", float64(sizes.Daemons)}, {"engines", float64(sizes.Engines)}, {"services", float64(sizes.Services)}, {"tenants", float64(sizes.Tenants)},
		{"changes a second", sizes.Changes}, {"restarts a minute", sizes.Restarts}, {"lives a minute", sizes.Lives},
	}
	add := func(name string, value float64) { found = append(found, Figure{name, value}) }
	changed := 0.0
	if after.leader != before.leader {
		changed = 1
	}
	add("leader changed", changed)
	others := float64(b.Settings.Cores)
	if after.leader != "" {
		others--
	}
	leadingBefore, coresBefore := before.parted(after.leader)
	leading, cores := after.parted(after.leader)
	for _, each := range []struct {
		name  string
		taken counts
		count float64
		spent float64
	}{
		{"leader", leading.less(leadingBefore), 1, seconds[after.leader]},
		{"core", cores.less(coresBefore), others, roleShare(seconds, "core-", after.leader)},
		{"router", after.routers.less(before.routers), float64(b.Real), seconds["routers"]},
		{"hollow", after.hollow.less(before.hollow), float64(sizes.Daemons - b.Real), seconds["hollow"]},
	} {
		rate := each.count * span
		own := each.taken.inside + each.taken.across + each.taken.unknown
		add(each.name+" processor %", 100*ratio(each.spent, rate))
		add(each.name+" calls/s", ratio(each.taken.calls, rate))
		add(each.name+" own KB/s", ratio(own, rate)/1000)
		add(each.name+" served KB/s", ratio(each.taken.served, rate)/1000)
		add(each.name+" across KB/s", ratio(each.taken.across, rate)/1000)
	}
	add("all across KB/s", (leading.across+cores.across+after.routers.across+after.hollow.across-leadingBefore.across-coresBefore.across-before.routers.across-before.hollow.across)/span/1000)
	add("engines processor %", 100*seconds["engines"]/span)
	add("operator processor %", 100*seconds["operator"]/span)
	add("runtime processor %", 100*seconds["runtime"]/span)
	add("process processor %", 100*total/span)
	add("heads/s", (after.heads-before.heads)/span)
	add("soft reports/s", (after.soft-before.soft)/span)
	add("lists/s", (after.lists-before.lists)/span)
	add("reports/s", (after.reports-before.reports)/span)
	add("orders/s", (after.orders-before.orders)/span)
	add("list KB", float64(b.registry.length)/1000)
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	add("heap MB", float64(memory.HeapAlloc)/1e6)
	add("system MB", float64(memory.Sys)/1e6)
	add("changes acknowledged", float64(len(acknowledged.values)))
	add("changes missed", float64(acknowledged.missed))
	add("acknowledged p50 ms", acknowledged.at(0.5))
	add("acknowledged worst ms", acknowledged.at(1))
	add("everywhere p50 ms", everywhere.at(0.5))
	add("everywhere worst ms", everywhere.at(1))
	add("restarts seen", float64(len(restarted.values)))
	add("restart to state worst ms", restarted.at(1))
	return found
}

// weigh measures what one router holds and does for the state: its size, and the time and
// memory of one small change of each part. The fleet has ended by then.
func (s Sizes) weigh(configured, engines []byte) Figures {
	view, _ := catalogue.Read(engines)
	pairs, teams, away := 0, 0, 0
	for _, signed := range view.Contracts {
		pairs += len(signed.Pairs)
		teams += len(signed.Teams)
		away += len(signed.Away)
	}
	found := Figures{{"configuration KB", float64(len(configured)) / 1000}, {"engine list KB", float64(len(engines)) / 1000}, {"pairs", float64(pairs)}, {"in teams", float64(teams)}, {"on the way", float64(away)}}
	if len(configured) == 0 || len(engines) == 0 {
		return found
	}
	state, listed := configuration.NewState(), catalogue.NewState()
	found = append(found,
		Figure{"configuration held KB", held(func() any {
			state = configuration.NewState()
			state.Restore(configured)
			return state
		})},
		Figure{"engine list held KB", held(func() any {
			listed = catalogue.NewState()
			listed.Restore(engines)
			return listed
		})})
	packed := [2][]byte{part.Pack(part.Bindings{}, configured), part.Pack(part.Bindings{}, engines)}
	small := smallRequest(s, state.Label+1, state.Label)
	some := catalogue.Engine{}
	for _, some = range listed.Engines {
		break
	}
	some.Weights++
	for index, each := range []struct {
		name     string
		sequence uint64
		step     []byte
	}{
		{"configuration", state.Sequence + 1, configuration.Encode(configuration.Operation{Request: small})},
		{"engine list", listed.Sequence + 1, catalogue.Operation{Kind: catalogue.Mirror, Put: []catalogue.Engine{some}}.Encode()},
	} {
		span, allocated := cost(func() {
			core.Advance(index, packed[index], []news.Step{{Index: 1, Round: 1, Data: each.step}}, each.sequence)
		})
		found = append(found, Figure{each.name + " step ms", span}, Figure{each.name + " step allocates KB", allocated}, Figure{each.name + " step bytes", float64(len(each.step))})
	}
	span, _ := cost(func() { state.Snapshot() })
	found = append(found, Figure{"configuration capture ms", span})
	span, _ = cost(func() { listed.Snapshot() })
	found = append(found, Figure{"engine list capture ms", span})
	return append(found, s.placing(listed.View)...)
}

// placing is what it takes a router to choose the engines of one request under load, and to take over
// a new list, for the services one by one.
func (s Sizes) placing(view catalogue.View) Figures {
	clock := schedule.NewClock()
	name := serviceName(0)
	var listed []port.Engine
	for _, engine := range view.Engines {
		if engine.Service == name {
			listed = append(listed, port.Engine{Life: engine.Incarnation, Service: name, Address: engine.Address, Hall: engine.Hall, Slots: 64, Part: engine.Part, Weights: engine.Weights})
		}
	}
	placed := pool.New(pool.Terms{Router: "router-0", Hall: "hall-aa"})
	update, _ := cost(func() {
		placed.Update(clock.Now(), route.Service{Name: name}, listed, view.Contracts[name], nil, s.Daemons)
	})
	// All makers are under way with answers, so that a prompt is better read elsewhere.
	for _, engine := range listed {
		if engine.Part == contract.Decode {
			placed.Running(clock.Now(), engine.Life, nil, 20)
		}
	}
	const calls = 20
	number := 0
	span, allocated := cost(func() {
		for range calls {
			number++
			placed.Choose(clock.Now(), pool.Wish{Prompt: []port.Piece{{Name: fmt.Sprint("shared-", number%10), Tokens: 4000}, {Name: fmt.Sprint("own-", number), Tokens: 2000}}, Length: 8000})
		}
	})
	return Figures{{"engines of a service", float64(len(listed))}, {"pool update ms", update}, {"choice us", span * 1000 / calls}, {"choice allocates KB", allocated / calls}}
}

// held is what one of the made values keeps in memory, of a few that are kept at once.
func held(made func() any) float64 {
	const copies = 4
	var kept [copies]any
	before := heap()
	for place := range kept {
		kept[place] = made()
	}
	after := heap()
	runtime.KeepAlive(kept)
	return (after - before) / copies / 1000
}

func heap() float64 {
	var memory runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&memory)
	return float64(memory.HeapAlloc)
}

// cost is the least time and the allocations of an action, of a few tries.
func cost(act func()) (milliseconds, kilobytes float64) {
	clock := schedule.NewClock()
	best := schedule.Never
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	const tries = 5
	for range tries {
		begun := clock.Now()
		act()
		best = min(best, clock.Now()-begun)
	}
	runtime.ReadMemStats(&after)
	return float64(best) / 1000, float64(after.TotalAlloc-before.TotalAlloc) / tries / 1000
}
