package peers

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"coursepass/internal/node"
)

const (
	// balanceDaemons is the size of the fleet whose views are played, and balanceRounds how often each daemon
	// shuffles before it is measured.
	balanceDaemons = 300
	balanceRounds  = 60
	// measuredRounds is how many rounds are measured.
	measuredRounds = 30
	// maxLoadFactor is how many times the mean one daemon may have to answer.
	maxLoadFactor = 4
)

// viewFleet has the views of a fleet whose daemons shuffle in a random order.
type viewFleet struct {
	names  []string
	views  map[string]*View
	random *rand.Rand
	// answered counts the shuffles that each daemon has answered.
	answered map[string]int
}

func newViewFleet(seed uint64) *viewFleet {
	fleet := &viewFleet{views: map[string]*View{}, random: rand.New(rand.NewPCG(seed, seed))}
	for number := range balanceDaemons {
		name := fmt.Sprintf("daemon-%03d", number)
		self := node.Node{Name: name, Zone: fmt.Sprint("zone-", number%6), InternalAddress: name, Incarnation: 1}
		fleet.names = append(fleet.names, name)
		fleet.views[name] = NewView(self, 8, 4, seed<<16+uint64(number))
	}
	return fleet
}

// play has each daemon shuffle so many times. One with an empty view asks one of three seeds.
func (f *viewFleet) play(rounds int) {
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

// references counts in how many views each daemon is.
func (f *viewFleet) references() map[string]int {
	counts := map[string]int{}
	for _, view := range f.views {
		for _, member := range view.Members() {
			counts[member.Name]++
		}
	}
	return counts
}

// greatest returns the greatest count.
func greatest(counts map[string]int) int {
	most := 0
	for _, count := range counts {
		most = max(most, count)
	}
	return most
}

// No daemon is known to so many others that what all send to their peers comes together there.
func TestView_SpreadsReferences(t *testing.T) {
	for seed := range uint64(3) {
		fleet := newViewFleet(seed + 1)
		fleet.play(balanceRounds)
		references := fleet.references()
		fleet.play(measuredRounds)
		if most := greatest(references); most > maxLoadFactor*8 {
			t.Errorf("seed %d: one daemon is in %d of %d views", seed, most, balanceDaemons)
		}
		if unknown := balanceDaemons - len(references); unknown > balanceDaemons/50 {
			t.Errorf("seed %d: %d daemons are in no view", seed, unknown)
		}
		if most := greatest(fleet.answered); most > maxLoadFactor*measuredRounds {
			t.Errorf("seed %d: one daemon answered %d shuffles in %d rounds", seed, most, measuredRounds)
		}
	}
}
