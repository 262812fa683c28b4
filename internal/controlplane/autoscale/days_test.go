package autoscale

import (
	"math"

	"coursepass/internal/clock"
	"coursepass/internal/state/route"
)

// day describes a simulated day: its load and its faults.
type day struct {
	name string
	// prefillPart is the fraction of the engines that have the prefill role at first.
	prefillPart float64
	zones       []string
	// rate returns the requests per second of each kind, in all zones together, at a time since the start of the day.
	rate func(at clock.Microseconds) (long, short float64)
	// event is called at each step of the simulation. It injects the faults.
	event func(m *model, at clock.Microseconds)
}

// scaling returns limits of 0.85 and 2 times the initial engines of a zone.
func (d day) scaling() route.Scaling {
	standing := standingEngines / len(d.zones)
	return route.Scaling{Min: standing * 85 / 100, Max: 2 * standing, StartUp: startUpTime}
}

// The usual rates of the two kinds of requests, per second in all zones together.
const (
	longRate  = 108.0
	shortRate = 137.0
)

// wave returns the factor of a load that oscillates by 15 % with a period of 11 s.
func wave(at clock.Microseconds) float64 {
	return 1 + 0.15*math.Sin(2*math.Pi*float64(at)/float64(11*clock.Second))
}

// scaledWave returns the usual rates times a factor, with the oscillation.
func scaledWave(factor float64) func(clock.Microseconds) (long, short float64) {
	return func(at clock.Microseconds) (long, short float64) {
		return factor * longRate * wave(at), factor * shortRate * wave(at)
	}
}

// atMoment returns an event that runs act once, at a time since the start of the day.
func atMoment(moment clock.Microseconds, act func(m *model)) func(*model, clock.Microseconds) {
	return func(m *model, at clock.Microseconds) {
		if at == moment {
			act(m)
		}
	}
}

func nothing(*model, clock.Microseconds) {}

// The factors of a low load, of the usual load, and of one that keeps the initial engines busy; and the fractions of
// engines with the prefill role at the usual and at the heavy load. The roles suit the heavy load.
const (
	calmLoad  = 0.6
	usualLoad = 1.0
	heavyLoad = 4.0

	usualPrefillPart = 0.4
	heavyPrefillPart = 0.85
)

// burst returns a load that is multiplied by 1.9 for 10 s.
func burst(factor float64) func(clock.Microseconds) (long, short float64) {
	return func(at clock.Microseconds) (long, short float64) {
		long, short = scaledWave(factor)(at)
		if at >= 9*clock.Second && at < 19*clock.Second {
			return 1.9 * long, 1.9 * short
		}
		return long, short
	}
}

// ramp returns a load that rises linearly to 1.8 times its initial value during the day.
func ramp(factor float64) func(clock.Microseconds) (long, short float64) {
	return func(at clock.Microseconds) (long, short float64) {
		return scaledWave(factor * (1 + 0.8*float64(at)/float64(dayLength)))(at)
	}
}

// days returns the days that are simulated with every policy.
func days() []day {
	zoneLoss := atMoment(14*clock.Second, func(m *model) { m.loseZone("b", 10*clock.Second) })
	crash := atMoment(12*clock.Second, func(m *model) { m.crash(0.17, 4500*clock.Millisecond) })
	three, two := []string{"a", "b", "c"}, []string{"a", "b"}
	return []day{
		{name: "calm", prefillPart: usualPrefillPart, zones: three, rate: scaledWave(calmLoad), event: nothing},
		{name: "wave", prefillPart: usualPrefillPart, zones: three, rate: scaledWave(usualLoad), event: nothing},
		{name: "burst", prefillPart: usualPrefillPart, zones: three, rate: burst(usualLoad), event: nothing},
		{name: "ramp", prefillPart: usualPrefillPart, zones: three, rate: ramp(usualLoad), event: nothing},
		{name: "zone loss", prefillPart: usualPrefillPart, zones: three, rate: scaledWave(usualLoad), event: zoneLoss},
		{name: "crash", prefillPart: usualPrefillPart, zones: three, rate: scaledWave(usualLoad), event: crash},
		{name: "heavy: wave", prefillPart: heavyPrefillPart, zones: three, rate: scaledWave(heavyLoad), event: nothing},
		{name: "heavy: burst", prefillPart: heavyPrefillPart, zones: three, rate: burst(heavyLoad), event: nothing},
		{name: "heavy: ramp", prefillPart: heavyPrefillPart, zones: three, rate: ramp(heavyLoad), event: nothing},
		{name: "heavy: zone loss", prefillPart: heavyPrefillPart, zones: three, rate: scaledWave(heavyLoad), event: zoneLoss},
		{name: "heavy: loss of one zone of two", prefillPart: heavyPrefillPart, zones: two, rate: scaledWave(heavyLoad), event: zoneLoss},
		{name: "heavy: crash", prefillPart: heavyPrefillPart, zones: three, rate: scaledWave(heavyLoad), event: crash},
	}
}

// playDay simulates a day with a policy, and returns the final state of the model.
func playDay(seed uint64, played day, decide policy) *model {
	m := newModel(seed, played)
	for m.now < clock.Second+leadTime+dayLength {
		at := m.now - clock.Second - leadTime
		m.carryOutOrders()
		if at >= 0 {
			played.event(m, at)
			long, short := played.rate(at)
			m.arrive(longKind, long)
			m.arrive(shortKind, short)
		}
		m.report()
		if m.now%decisionInterval == 0 {
			m.planRoles()
			decide(m)
		}
		m.payEngines()
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
