package peers

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"coursepass/internal/node"
)

const (
	// fleetSize is the number of simulated daemons. warmupRounds is the number of shuffles that each daemon
	// begins before the measurement.
	fleetSize    = 300
	warmupRounds = 60
	// measuredRounds is the number of shuffles that each daemon begins during the measurement.
	measuredRounds = 30
	// maxLoadFactor is the maximum load of a daemon, as a multiple of the mean.
	maxLoadFactor = 4
)

// simulatedFleet simulates the views of a fleet whose daemons shuffle in random order.
type simulatedFleet struct {
	names  []string
	views  map[string]*View
	random *rand.Rand
	// answered counts the shuffles that each daemon answered since the last call of runShuffles.
	answered map[string]int
}

func newSimulatedFleet(seed uint64) *simulatedFleet {
	fleet := &simulatedFleet{views: map[string]*View{}, random: rand.New(rand.NewPCG(seed, seed))}
	for number := range fleetSize {
		name := fmt.Sprintf("daemon-%03d", number)
		self := node.Node{Name: name, Zone: fmt.Sprint("zone-", number%6), InternalAddress: name, Incarnation: 1}
		fleet.names = append(fleet.names, name)
		fleet.views[name] = NewView(self, 8, 4, seed<<16+uint64(number))
	}
	return fleet
}

// runShuffles makes each daemon begin one shuffle per round. A daemon with an empty view shuffles with one of
// three seeds.
func (f *simulatedFleet) runShuffles(rounds int) {
	f.answered = map[string]int{}
	order := slices.Clone(f.names)
	for range rounds {
		f.random.Shuffle(len(order), func(left, right int) { order[left], order[right] = order[right], order[left] })
		for _, name := range order {
			view := f.views[name]
			peer, message, hasPeer := view.BeginShuffle()
			if !hasPeer {
				peer = f.views[f.names[f.random.IntN(3)]].Self
			}
			if peer.Name == name {
				continue
			}
			f.answered[peer.Name]++
			view.FinishShuffle(f.views[peer.Name].AnswerShuffle(message))
		}
	}
}

// references returns the number of views that contain each daemon.
func (f *simulatedFleet) references() map[string]int {
	counts := map[string]int{}
	for _, view := range f.views {
		for _, member := range view.Members() {
			counts[member.Name]++
		}
	}
	return counts
}

// maxCount returns the maximum of the counts.
func maxCount(counts map[string]int) int {
	most := 0
	for _, count := range counts {
		most = max(most, count)
	}
	return most
}

// If one daemon is in a large part of all views, the messages that daemons send to random peers overload it. Shuffles
// must spread the references evenly, and must not drop daemons from all views.
func TestView_SpreadsReferences(t *testing.T) {
	for seed := range uint64(3) {
		fleet := newSimulatedFleet(seed + 1)
		fleet.runShuffles(warmupRounds)
		references := fleet.references()
		fleet.runShuffles(measuredRounds)
		if most := maxCount(references); most > maxLoadFactor*8 {
			t.Errorf("seed %d: a daemon is in %d of %d views", seed, most, fleetSize)
		}
		if unknown := fleetSize - len(references); unknown > fleetSize/50 {
			t.Errorf("seed %d: %d daemons are in no view", seed, unknown)
		}
		if most := maxCount(fleet.answered); most > maxLoadFactor*measuredRounds {
			t.Errorf("seed %d: a daemon answered %d shuffles in %d rounds", seed, most, measuredRounds)
		}
	}
}
