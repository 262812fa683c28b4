package autoscale

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/state/registry"
	"coursepass/internal/state/route"
)

// scenario runs a Scaler in steps of one second, with routers that cause a load and zones in which orders are carried
// out immediately. Tests change the zones directly to simulate missing engines.
type scenario struct {
	*Scaler
	now     clock.Microseconds
	scaling route.Scaling
	routers []RouterReport
	zones   []ZoneState
	// silent holds the names of the routers that don't report.
	silent map[string]bool
	// orders holds all decisions that change a number, in the order in which they were made.
	orders []recordedOrder
}

type recordedOrder struct {
	Decision
	at clock.Microseconds
}

const scenarioRouters = 6

// newScenario returns a scenario of three zones with 20 engines each, 10 of each role, and without orders.
func newScenario(options Options) *scenario {
	s := &scenario{
		Scaler:  NewScaler(options),
		now:     clock.Second,
		scaling: route.Scaling{Min: 10, Max: 40, StartUp: 8 * clock.Second},
		silent:  map[string]bool{},
	}
	for _, zone := range []string{"a", "b", "c"} {
		s.zones = append(s.zones, ZoneState{Zone: zone, Prefill: 10, Decode: 10})
	}
	for number := range scenarioRouters {
		s.routers = append(s.routers, RouterReport{
			Router:    fmt.Sprint("router-", number),
			BusyTimes: []registry.BusyTime{{Service: "s"}},
		})
	}
	return s
}

// generateLoad adds one second of a load to the routers' busy times, and updates the reports of routers that are not
// silent.
func (s *scenario) generateLoad(load Load) {
	for index := range s.routers {
		busyTime := s.routers[index].BusyTimes[0]
		busyTime.Prefill += clock.Microseconds(load.Prefill * float64(clock.Second) / scenarioRouters)
		busyTime.Decode += clock.Microseconds(load.Decode * float64(clock.Second) / scenarioRouters)
		s.routers[index].BusyTimes = []registry.BusyTime{busyTime}
		if !s.silent[s.routers[index].Router] {
			s.routers[index].ReportedAt = s.now
		}
	}
}

// reports returns the reports of the routers that are not silent.
func (s *scenario) reports() []RouterReport {
	var reports []RouterReport
	for _, report := range s.routers {
		if !s.silent[report.Router] {
			reports = append(reports, report)
		}
	}
	return reports
}

func (s *scenario) state() ServiceState {
	return ServiceState{Service: "s", Scaling: s.scaling, WarmUp: 3 * clock.Second, Zones: s.zones}
}

// decide advances the time by one second under a load, and returns the decisions without carrying them out.
func (s *scenario) decide(load Load) []Decision {
	s.now += clock.Second
	s.generateLoad(load)
	s.RecordReports(s.now, s.reports())
	return s.Decide(s.now, s.state())
}

// advance moves the time forward by some seconds under a load, and returns the last decisions. Orders are committed
// and carried out immediately.
func (s *scenario) advance(seconds int, load Load) []Decision {
	var decisions []Decision
	for range seconds {
		decisions = s.decide(load)
		for _, decision := range decisions {
			s.carryOut(decision)
		}
	}
	return decisions
}

// carryOut records and commits the order of a decision, and gives the zone the ordered engines unless the zone is
// unavailable or lost.
func (s *scenario) carryOut(decision Decision) {
	if decision.Change() == 0 {
		return
	}
	s.orders = append(s.orders, recordedOrder{decision, s.now})
	for index := range s.zones {
		zone := &s.zones[index]
		if zone.Zone != decision.Zone {
			continue
		}
		zone.Ordered, zone.HasOrder = decision.Wanted, true
		if !zone.Unavailable && zone.Serving() > 0 {
			zone.Prefill = decision.Wanted / 2
			zone.Decode = decision.Wanted - zone.Prefill
		}
	}
}

// wanted returns the wanted number of engines of each zone.
func wanted(decisions []Decision) []int {
	var numbers []int
	for _, decision := range decisions {
		numbers = append(numbers, decision.Wanted)
	}
	return numbers
}

// lightLoad is much lower than the initial engines of a scenario can carry at their target utilization. heavyDemand is
// higher.
var (
	lightLoad   = Load{Prefill: 4, Decode: 1}
	heavyDemand = Load{Prefill: 30, Decode: 5}
)

// randomLoad returns a random load of the magnitude that a scenario's engines can carry.
func randomLoad(random *rand.Rand) Load {
	return Load{Prefill: random.Float64() * 40, Decode: random.Float64() * 20}
}

// forSeeds runs a check with 60 seeded random number generators, and reports the seeds that fail.
func forSeeds(t *testing.T, check func(random *rand.Rand) error) {
	t.Helper()
	for seed := range uint64(60) {
		if err := check(rand.New(rand.NewPCG(seed, 1))); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}
