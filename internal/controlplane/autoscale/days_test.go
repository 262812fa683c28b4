package autoscale

import (
	"math"

	"coursepass/internal/clock"
	"coursepass/internal/state/route"
)

// day describes a simulated day: its load and its faults.
type day struct {
	name string
	// prefillFraction is the fraction of the engines that have the prefill role at first.
	prefillFraction float64
	zones           []string
	// rate returns the requests per second of each kind, in all zones together, at a time since the start of the day.
	rate func(at clock.Microseconds) (long, short float64)
	// event is called at each step of the simulation. It injects the faults.
	event func(m *model, at clock.Microseconds)
}

// scaling returns limits of 0.85 and 2 times the initial engines of a zone.
func (d day) scaling() route.Scaling {
	standing := initialEngines / len(d.zones)
	return route.Scaling{Min: standing * 85 / 100, Max: 2 * standing, StartUp: startUpTime}
}

// The usual rates of the two kinds of requests, per second in all zones together.
const (
	longRate  = 108.0
	shortRate = 137.0
)

// oscillation returns the factor of a load that oscillates by 15 % with a period of 11 s.
func oscillation(at clock.Microseconds) float64 {
	return 1 + 0.15*math.Sin(2*math.Pi*float64(at)/float64(11*clock.Second))
}

// oscillatingRate returns the usual rates times a factor, with the oscillation.
func oscillatingRate(factor float64) func(clock.Microseconds) (long, short float64) {
	return func(at clock.Microseconds) (long, short float64) {
		return factor * longRate * oscillation(at), factor * shortRate * oscillation(at)
	}
}

// onceAt returns an event that runs act once, at a time since the start of the day.
func onceAt(moment clock.Microseconds, act func(m *model)) func(*model, clock.Microseconds) {
	return func(m *model, at clock.Microseconds) {
		if at == moment {
			act(m)
		}
	}
}

func noEvent(*model, clock.Microseconds) {}

// The factors of a low load, of the usual load, and of one that keeps the initial engines busy; and the fractions of
// engines with the prefill role at the usual and at the heavy load. The roles suit the heavy load.
const (
	calmLoad  = 0.6
	usualLoad = 1.0
	heavyLoad = 4.0

	usualPrefillFraction = 0.4
	heavyPrefillFraction = 0.85
)

// burst returns a load that is multiplied by 1.9 for 10 s.
func burst(factor float64) func(clock.Microseconds) (long, short float64) {
	return func(at clock.Microseconds) (long, short float64) {
		long, short = oscillatingRate(factor)(at)
		if at >= 9*clock.Second && at < 19*clock.Second {
			return 1.9 * long, 1.9 * short
		}
		return long, short
	}
}

// ramp returns a load that rises linearly to 1.8 times its initial value during the day.
func ramp(factor float64) func(clock.Microseconds) (long, short float64) {
	return func(at clock.Microseconds) (long, short float64) {
		return oscillatingRate(factor * (1 + 0.8*float64(at)/float64(dayLength)))(at)
	}
}

// days returns the days that are simulated with every policy.
func days() []day {
	zoneLoss := onceAt(14*clock.Second, func(m *model) { m.loseZone("b", 10*clock.Second) })
	crash := onceAt(12*clock.Second, func(m *model) { m.crash(0.17, 4500*clock.Millisecond) })
	three, two := []string{"a", "b", "c"}, []string{"a", "b"}
	return []day{
		{name: "calm", prefillFraction: usualPrefillFraction, zones: three, rate: oscillatingRate(calmLoad), event: noEvent},
		{name: "wave", prefillFraction: usualPrefillFraction, zones: three, rate: oscillatingRate(usualLoad), event: noEvent},
		{name: "burst", prefillFraction: usualPrefillFraction, zones: three, rate: burst(usualLoad), event: noEvent},
		{name: "ramp", prefillFraction: usualPrefillFraction, zones: three, rate: ramp(usualLoad), event: noEvent},
		{name: "zone loss", prefillFraction: usualPrefillFraction, zones: three, rate: oscillatingRate(usualLoad), event: zoneLoss},
		{name: "crash", prefillFraction: usualPrefillFraction, zones: three, rate: oscillatingRate(usualLoad), event: crash},
		{name: "heavy: wave", prefillFraction: heavyPrefillFraction, zones: three, rate: oscillatingRate(heavyLoad), event: noEvent},
		{name: "heavy: burst", prefillFraction: heavyPrefillFraction, zones: three, rate: burst(heavyLoad), event: noEvent},
		{name: "heavy: ramp", prefillFraction: heavyPrefillFraction, zones: three, rate: ramp(heavyLoad), event: noEvent},
		{name: "heavy: zone loss", prefillFraction: heavyPrefillFraction, zones: three, rate: oscillatingRate(heavyLoad), event: zoneLoss},
		{name: "heavy: loss of one zone of two", prefillFraction: heavyPrefillFraction, zones: two, rate: oscillatingRate(heavyLoad), event: zoneLoss},
		{name: "heavy: crash", prefillFraction: heavyPrefillFraction, zones: three, rate: oscillatingRate(heavyLoad), event: crash},
	}
}

// simulateDay simulates a day with a policy, and returns the final state of the model.
func simulateDay(seed uint64, simulated day, decide policy) *model {
	m := newModel(seed, simulated)
	for m.now < clock.Second+leadTime+dayLength {
		at := m.now - clock.Second - leadTime
		m.carryOutOrders()
		if at >= 0 {
			simulated.event(m, at)
			long, short := simulated.rate(at)
			m.arrive(longKind, long)
			m.arrive(shortKind, short)
		}
		m.report()
		if m.now%decisionInterval == 0 {
			m.planRoles()
			decide(m)
		}
		m.addEngineTime()
		m.now += modelStep
	}
	return m
}

// arrive simulates the requests of one step. Their number has a Poisson distribution, sampled by Knuth's method.
func (m *model) arrive(kind requestKind, rate float64) {
	mean := rate * float64(modelStep) / float64(clock.Second)
	limit, product := math.Exp(-mean), m.random.Float64()
	for product > limit {
		m.request(kind)
		product *= m.random.Float64()
	}
}
