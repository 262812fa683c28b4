package autoscale

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/engineplan"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
	"coursepass/internal/state/route"
)

// The model simulates a day of one service: callers' requests, engines that each have a queue and a prefix cache,
// routers that report, a platform that carries out orders, and a policy that issues them. It is independent of
// the benchmark: its results only serve to compare policies with each other.

const (
	modelStep = 50 * clock.Millisecond
	// decisionInterval is the time between two decisions. orderDelay is the time from an order until the platform
	// receives it.
	decisionInterval = clock.Second
	orderDelay       = 400 * clock.Millisecond
	reportInterval   = 1500 * clock.Millisecond
	drainTime        = 4 * clock.Second
	warmUpTime       = 3 * clock.Second
	warmUpRate       = 12
	startUpTime      = 8 * clock.Second
	roleChangeTime   = 1500 * clock.Millisecond
	// leadTime is the time before the first request. dayLength is the simulated time after it.
	leadTime  = 14 * clock.Second
	dayLength = 34 * clock.Second

	modelRouters      = 30
	initialEngines    = 60
	tokensPerSecond   = 56_900
	decodePerToken    = 90 * clock.Microseconds(1)
	firstTokenTime    = 20 * clock.Millisecond
	sharedPrefixes    = 512
	prefixTokens      = 3780
	cachedPrefixes    = 50
	rereadingWeight   = 3
	meanPromptTokens  = 2890
	shortPromptTokens = 628
)

// requestKind holds the properties of the requests of one kind. A request earns worth if its first token comes by the
// target, and lateWorth if it comes by the deadline.
type requestKind struct {
	worth, lateWorth float64
	target, deadline clock.Microseconds
	promptTokens     float64
	outputTokens     int
	shares           bool
}

var (
	longKind = requestKind{
		worth: 3, lateWorth: 0.9, target: 500 * clock.Millisecond, deadline: 3 * clock.Second,
		promptTokens: meanPromptTokens, outputTokens: 4, shares: true,
	}
	shortKind = requestKind{
		worth: 2, lateWorth: 0.6, target: 600 * clock.Millisecond, deadline: 8 * clock.Second,
		promptTokens: shortPromptTokens, outputTokens: 21,
	}
)

// modelEngine is one engine.
type modelEngine struct {
	name    string
	zone    string
	prefill bool
	// changing is true while the role of the engine is changed and the assignment excludes it.
	changing bool
	// servesFrom is the time at which the engine starts to serve. warmUntil is the time until which it is warming up
	// and takes only a few requests.
	servesFrom clock.Microseconds
	warmUntil  clock.Microseconds
	// drainsUntil is the time at which a draining engine ends, 0 if the engine is not draining.
	drainsUntil clock.Microseconds
	// downUntil is the time until which the engine is down after a crash or the loss of its zone.
	downUntil  clock.Microseconds
	busyUntil  clock.Microseconds
	cache      map[int]bool
	admittedAt []clock.Microseconds
}

func (e *modelEngine) serves(now clock.Microseconds) bool {
	return e.isLive(now) && !e.changing
}

func (e *modelEngine) isLive(now clock.Microseconds) bool {
	return now >= e.servesFrom && now >= e.downUntil && e.drainsUntil == 0
}

// admits reports whether an engine may take one more request. The limit applies to engines that are warming up only.
func (e *modelEngine) admits(now clock.Microseconds) bool {
	if now >= e.warmUntil {
		return true
	}
	recent := 0
	for _, at := range e.admittedAt {
		if now-at < clock.Second {
			recent++
		}
	}
	return recent < warmUpRate
}

// order is an order that the platform carries out at a given time.
type order struct {
	zone   string
	wanted int
	at     clock.Microseconds
}

// model is the state of a simulated day.
type model struct {
	random  *rand.Rand
	zones   []string
	engines []*modelEngine
	now     clock.Microseconds
	scaling route.Scaling
	ordered map[string]int
	orders  []order
	// lostZone is the zone that is down until lostUntil.
	lostZone        string
	lostUntil       clock.Microseconds
	busy            [modelRouters]registry.BusyTime
	reports         [modelRouters]RouterReport
	offeredWorth    float64
	earnedWorth     float64
	rejected        int
	rereadSum       int
	engineTime      clock.Microseconds
	ups, downs      int
	lastName        int
	initialPerZone  int
	prefillFraction float64
	planner         *engineplan.Planner
	workloads       *engineplan.Workloads
}

// newModel returns the initial state of a day, with the initial engines.
func newModel(seed uint64, simulated day) *model {
	m := &model{
		prefillFraction: simulated.prefillFraction,
		initialPerZone:  initialEngines / len(simulated.zones),
		random:          rand.New(rand.NewPCG(seed, seed)),
		zones:           simulated.zones,
		now:             clock.Second,
		scaling:         simulated.scaling(),
		ordered:         map[string]int{},
		planner:         engineplan.NewPlanner(),
		workloads:       engineplan.NewWorkloads(),
	}
	for _, zone := range m.zones {
		for range m.initialPerZone {
			m.addEngine(zone, m.now, m.now)
		}
	}
	return m
}

// addEngine adds an engine. It gets the prefill role if the fraction of prefill engines in its zone would be
// below prefillPart otherwise.
func (m *model) addEngine(zone string, servesFrom, warmUntil clock.Microseconds) {
	total, prefill := 1, 0
	for _, engine := range m.engines {
		if engine.zone == zone && engine.drainsUntil == 0 {
			total++
			if engine.prefill {
				prefill++
			}
		}
	}
	m.lastName++
	m.engines = append(m.engines, &modelEngine{
		name:       fmt.Sprint("engine-", m.lastName),
		zone:       zone,
		prefill:    float64(prefill) < m.prefillFraction*float64(total),
		servesFrom: servesFrom,
		warmUntil:  warmUntil,
		cache:      map[int]bool{},
	})
}

// carryOutOrders carries out the orders that have arrived, and removes engines that have finished draining.
func (m *model) carryOutOrders() {
	var waiting []order
	for _, next := range m.orders {
		if next.at > m.now {
			waiting = append(waiting, next)
			continue
		}
		m.carryOut(next)
	}
	m.orders = waiting
	var left []*modelEngine
	for _, engine := range m.engines {
		if engine.drainsUntil == 0 || m.now < engine.drainsUntil {
			left = append(left, engine)
		}
	}
	m.engines = left
}

// carryOut starts or drains engines of a zone until it has the ordered number.
func (m *model) carryOut(next order) {
	var staying []*modelEngine
	for _, engine := range m.engines {
		if engine.zone == next.zone && engine.drainsUntil == 0 {
			staying = append(staying, engine)
		}
	}
	for count := len(staying); count < next.wanted; count++ {
		m.addEngine(next.zone, m.now+startUpTime, m.now+startUpTime+warmUpTime)
	}
	m.random.Shuffle(len(staying), func(i, j int) { staying[i], staying[j] = staying[j], staying[i] })
	for _, engine := range staying[min(next.wanted, len(staying)):] {
		engine.drainsUntil = m.now + drainTime
	}
}

// zoneStates returns the zones as the engine directory shows them.
func (m *model) zoneStates() []ZoneState {
	var states []ZoneState
	for _, zone := range m.zones {
		state := ZoneState{Zone: zone}
		state.Ordered, state.HasOrder = m.ordered[zone]
		for _, engine := range m.engines {
			switch {
			case engine.zone != zone || m.now < engine.servesFrom || m.now < engine.downUntil:
			case engine.drainsUntil > 0:
				state.Draining++
			case engine.prefill:
				state.Prefill++
			default:
				state.Decode++
			}
		}
		states = append(states, state)
	}
	return states
}

// placeOrder issues an order and counts it.
func (m *model) placeOrder(zone string, wanted int) {
	if wanted > m.ordered[zone] && m.ordered[zone] > 0 || wanted > m.initialPerZone {
		m.ups++
	} else {
		m.downs++
	}
	m.ordered[zone] = wanted
	m.orders = append(m.orders, order{zone: zone, wanted: wanted, at: m.now + orderDelay})
}

// crash takes each engine down with a probability. Engines that are down lose their caches and their queued work.
func (m *model) crash(part float64, duration clock.Microseconds) {
	for _, engine := range m.engines {
		if m.random.Float64() < part {
			m.takeDown(engine, duration)
		}
	}
}

// takeDown takes an engine down for a duration, after which it warms up with an empty cache.
func (m *model) takeDown(engine *modelEngine, duration clock.Microseconds) {
	engine.downUntil = m.now + duration
	engine.warmUntil = engine.downUntil + warmUpTime
	engine.busyUntil = engine.downUntil
	engine.cache = map[int]bool{}
}

// loseZone takes all engines of a zone down for a duration.
func (m *model) loseZone(zone string, duration clock.Microseconds) {
	m.lostZone, m.lostUntil = zone, m.now+duration
	for _, engine := range m.engines {
		if engine.zone == zone {
			m.takeDown(engine, duration)
		}
	}
}

// request simulates one request: it is sent to the engine with the lowest cost of queueing and prefill, and is
// rejected if no engine admits it or its deadline would be missed.
func (m *model) request(kind requestKind) {
	prefix := m.random.IntN(sharedPrefixes)
	own := kind.promptTokens * math.Min(math.Exp(m.random.NormFloat64()*0.9-0.4), 10)
	m.offeredWorth += kind.worth
	best, bestCost, bestMissing := (*modelEngine)(nil), math.Inf(1), 0.0
	for _, engine := range m.engines {
		if !engine.prefill || !engine.serves(m.now) || !engine.admits(m.now) {
			continue
		}
		missing := 0.0
		if kind.shares && !engine.cache[prefix] {
			missing = prefixTokens
		}
		wait := max(engine.busyUntil-m.now, 0)
		cost := float64(wait) + (own+missing*rereadingWeight)/tokensPerSecond*float64(clock.Second)
		if cost < bestCost {
			best, bestCost, bestMissing = engine, cost, missing
		}
	}
	if best == nil {
		m.rejected++
		return
	}
	work := clock.Microseconds((own + bestMissing) / tokensPerSecond * float64(clock.Second))
	firstToken := max(best.busyUntil-m.now, 0) + work + firstTokenTime
	if firstToken > kind.deadline {
		m.rejected++
		return
	}
	m.enqueue(best, kind, prefix, work, bestMissing, firstToken)
}

// enqueue adds a request to an engine's queue and cache, and records its worth and its busy times.
func (m *model) enqueue(
	engine *modelEngine, kind requestKind, prefix int, work clock.Microseconds, missing float64, firstToken clock.Microseconds,
) {
	engine.busyUntil = max(engine.busyUntil, m.now) + work
	engine.admittedAt = append(engine.admittedAt, m.now)
	if kind.shares {
		if len(engine.cache) >= cachedPrefixes {
			clear(engine.cache)
		}
		engine.cache[prefix] = true
		m.rereadSum += int(missing)
	}
	if firstToken <= kind.target {
		m.earnedWorth += kind.worth
	} else {
		m.earnedWorth += kind.lateWorth
	}
	router := m.random.IntN(modelRouters)
	m.busy[router].Prefill += work
	m.busy[router].Decode += decodePerToken * clock.Microseconds(kind.outputTokens)
}

// report updates the reports of the routers that are due. Their reports are spread over the report interval.
func (m *model) report() {
	for index := range m.busy {
		phase := clock.Microseconds(index) * reportInterval / modelRouters / modelStep * modelStep
		if (m.now-phase)%reportInterval == 0 {
			m.busy[index].Service = "s"
			m.reports[index] = RouterReport{
				Router:     fmt.Sprint("router-", index),
				ReportedAt: m.now,
				BusyTimes:  []registry.BusyTime{m.busy[index]},
			}
		}
	}
}

// planRoles changes the roles of engines with the production role planner, according to the reported work. An engine
// that changes its role gets no requests from the decision until the change is complete.
func (m *model) planRoles() {
	reports := map[string][]registry.BusyTime{}
	for _, report := range m.reports {
		reports[report.Router] = report.BusyTimes
	}
	m.workloads.Record(m.now, reports)
	byName := map[string]*modelEngine{}
	var live []registry.Engine
	for _, engine := range m.engines {
		if engine.isLive(m.now) {
			byName[engine.name] = engine
			live = append(live, registry.Engine{Name: engine.name, Service: "s", Zone: engine.zone, Role: engine.role()})
		}
	}
	m.planner.Plan(m.now, "s", live, m.workloads.PrefillShare("s", 0))
	committed := pairing.Assignment{Roles: map[string]string{}}
	for _, candidate := range m.planner.Candidates(live) {
		committed.Roles[candidate.Name] = candidate.Role
	}
	changing := m.planner.ChangingNames(live)
	for _, engine := range live {
		byName[engine.Name].changing = slices.Contains(changing, engine.Name)
	}
	for _, command := range m.planner.ReadyCommands(m.now, live, committed) {
		engine := byName[command.Name]
		engine.prefill = command.Role == pairing.RolePrefill
		engine.busyUntil = max(engine.busyUntil, m.now) + roleChangeTime
	}
}

func (e *modelEngine) role() string {
	if e.prefill {
		return pairing.RolePrefill
	}
	return pairing.RoleDecode
}

// addEngineTime adds the time of all engines since the start of the day, including those that are starting or
// draining.
func (m *model) addEngineTime() {
	if m.now >= clock.Second+leadTime {
		m.engineTime += modelStep * clock.Microseconds(len(m.engines))
	}
}
