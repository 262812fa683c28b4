package autoscale

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/state/registry"
	"coursepass/internal/state/route"
)

// disturb makes a random change in the fleet: engines crash or return, a zone is evacuated or lost, or a router stops
// reporting or restarts. In a quarter of the calls, nothing changes.
func (s *scenario) disturb(random *rand.Rand) {
	zone := &s.zones[random.IntN(len(s.zones))]
	router := &s.routers[random.IntN(len(s.routers))]
	switch random.IntN(8) {
	case 0:
		zone.Prefill = random.IntN(20)
	case 1:
		zone.Decode = random.IntN(20)
	case 2:
		zone.Unavailable = !zone.Unavailable
	case 3:
		zone.Prefill, zone.Decode = 0, 0
	case 4:
		s.silent[router.Router] = !s.silent[router.Router]
	case 5:
		router.BusyTimes = []registry.BusyTime{{Service: "s"}}
	}
}

func TestProperty_WantedIsWithinBounds(t *testing.T) {
	forSeeds(t, func(random *rand.Rand) error {
		s := newScenario(DefaultOptions())
		for range 60 {
			s.disturb(random)
			if random.IntN(10) == 0 {
				minimum := random.IntN(30)
				s.scaling = route.Scaling{Min: minimum, Max: minimum + random.IntN(30), StartUp: clock.Second}
			}
			for _, decision := range s.advance(1, randomLoad(random)) {
				if decision.Wanted < s.scaling.Min || decision.Wanted > s.scaling.Max {
					return fmt.Errorf("%d engines wanted, outside the limits %d to %d", decision.Wanted, s.scaling.Min, s.scaling.Max)
				}
			}
		}
		return nil
	})
}

// Two scalers observe the same fleet, one of them under a multiple of the load. The number of engines must not be
// lower under the higher load.
func TestProperty_MoreDemandNeverWantsFewer(t *testing.T) {
	forSeeds(t, func(random *rand.Rand) error {
		low, high := newScenario(DefaultOptions()), newScenario(DefaultOptions())
		factor := 1 + 3*random.Float64()
		for range 40 {
			disturbance := random.Uint64()
			low.disturb(rand.New(rand.NewPCG(disturbance, 2)))
			high.disturb(rand.New(rand.NewPCG(disturbance, 2)))
			load := randomLoad(random)
			less, more := low.decide(load), high.decide(load.Scale(factor))
			for index := range less {
				if less[index].Wanted > more[index].Wanted {
					return fmt.Errorf("decision %+v; with more demand %+v", less[index], more[index])
				}
			}
		}
		return nil
	})
}

func TestProperty_OrderOfReportsDoesNotMatter(t *testing.T) {
	forSeeds(t, func(random *rand.Rand) error {
		s, shuffled := newScenario(DefaultOptions()), NewScaler(DefaultOptions())
		for range 40 {
			s.disturb(random)
			decisions := s.decide(randomLoad(random))
			reports, state := s.reports(), s.state()
			state.Zones = append([]ZoneState{}, state.Zones...)
			random.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
			random.Shuffle(len(state.Zones), func(i, j int) {
				state.Zones[i], state.Zones[j] = state.Zones[j], state.Zones[i]
			})
			shuffled.RecordReports(s.now, reports)
			if other := shuffled.Decide(s.now, state); !reflect.DeepEqual(decisions, other) {
				return fmt.Errorf("decisions %+v; with reports and zones in another order %+v", decisions, other)
			}
		}
		return nil
	})
}

// A decrease must come at least a stable span after the last decrease, the last increase and the last change of the
// leader.
func TestProperty_StepsDownAreAStableSpanApart(t *testing.T) {
	steps := 0
	forSeeds(t, func(random *rand.Rand) error {
		s := newScenario(DefaultOptions())
		lastChange, load := s.now, lightLoad
		for range 200 {
			if random.IntN(25) == 0 {
				load = randomLoad(random)
			}
			if random.IntN(50) == 0 {
				s.Scaler, lastChange = NewScaler(DefaultOptions()), s.now
			}
			s.orders = nil
			s.advance(1, load)
			if s.hasDecrease() && s.now-lastChange < DefaultOptions().StableSpan {
				return fmt.Errorf("decrease %d us after the last change, less than the stable span", s.now-lastChange)
			}
			if s.hasDecrease() {
				steps++
			}
			if len(s.orders) > 0 {
				lastChange = s.now
			}
		}
		return nil
	})
	if steps < 60 {
		t.Errorf("only %d decreases, want at least 60 for the check to be meaningful", steps)
	}
}

// hasDecrease reports whether any of the recorded orders reduces the number of engines.
func (s *scenario) hasDecrease() bool {
	return slices.ContainsFunc(s.orders, func(order recordedOrder) bool { return order.Change() < 0 })
}

// The counters of a router restart at zero with it. The decrease of the counters must not lead to a negative load.
func TestProperty_RouterRestartsGiveNoNegativeDemand(t *testing.T) {
	forSeeds(t, func(random *rand.Rand) error {
		s := newScenario(DefaultOptions())
		for range 60 {
			if random.IntN(5) == 0 {
				s.routers[random.IntN(len(s.routers))].BusyTimes = []registry.BusyTime{{Service: "s"}}
			}
			s.decide(randomLoad(random))
			if demand := s.Demand(s.now, "s"); demand.Prefill < 0 || demand.Decode < 0 {
				return fmt.Errorf("negative load %+v after a router restart", demand)
			}
		}
		return nil
	})
}
