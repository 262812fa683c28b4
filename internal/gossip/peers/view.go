// Package peers keeps a daemon's partial view of the others: a few machines,
// shuffled between neighbours.
package peers

import (
	"math/rand/v2"
	"slices"
	"sync"

	"coursepass/internal/node"
)

// ShuffleMessage is what neighbours swap: who asks, and a few machines it knows.
type ShuffleMessage struct {
	From  node.Node
	Offer []node.Node
}

type viewEntry struct {
	node.Node
	age int
}

// View is the partial view.
type View struct {
	Self        node.Node
	capacity    int
	shuffleSize int
	lock        sync.Mutex
	random      *rand.Rand
	entries     map[string]viewEntry
}

// NewView keeps so many machines and swaps so many at a time.
func NewView(self node.Node, capacity, shuffleSize int, seed uint64) *View {
	return &View{Self: self, capacity: capacity, shuffleSize: shuffleSize, entries: map[string]viewEntry{}, random: rand.New(rand.NewPCG(seed, seed+1))}
}

// Members are the machines in view, in a random order.
func (v *View) Members() []node.Node {
	v.lock.Lock()
	defer v.lock.Unlock()
	return v.sampleRandom(len(v.entries), "")
}

// Sample picks a few machines, those of the own hall first but always one of
// another hall, when there is one, so that news crosses halls.
func (v *View) Sample(count int) []node.Node {
	members := v.Members()
	slices.SortStableFunc(members, func(left, right node.Node) int {
		return v.zoneDistance(left) - v.zoneDistance(right)
	})
	if len(members) <= count {
		return members
	}
	farthest := members[len(members)-1]
	return append(members[:count-1:count-1], farthest)
}

func (v *View) zoneDistance(peer node.Node) int {
	if peer.Hall == v.Self.Hall {
		return 0
	}
	return 1
}

func (v *View) sampleRandom(count int, excluded string) []node.Node {
	names := make([]string, 0, len(v.entries))
	for name := range v.entries {
		if name != excluded {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	v.random.Shuffle(len(names), func(left, right int) { names[left], names[right] = names[right], names[left] })
	picked := make([]node.Node, 0, count)
	for _, name := range names[:min(count, len(names))] {
		picked = append(picked, v.entries[name].Node)
	}
	return picked
}

// BeginShuffle ages the view and picks its oldest machine to trade with; false while the
// view is empty and a seed must be asked.
func (v *View) BeginShuffle() (node.Node, ShuffleMessage, bool) {
	v.lock.Lock()
	defer v.lock.Unlock()
	oldest, hasPeer := viewEntry{}, false
	for name, candidate := range v.entries {
		candidate.age++
		v.entries[name] = candidate
		if !hasPeer || candidate.age > oldest.age || candidate.age == oldest.age && candidate.Name < oldest.Name {
			oldest, hasPeer = candidate, true
		}
	}
	return oldest.Node, ShuffleMessage{From: v.Self, Offer: v.sampleRandom(v.shuffleSize-1, oldest.Name)}, hasPeer
}

// AnswerShuffle takes a neighbour's trade and gives some of the own view for it.
func (v *View) AnswerShuffle(message ShuffleMessage) ShuffleMessage {
	v.lock.Lock()
	defer v.lock.Unlock()
	response := ShuffleMessage{From: v.Self, Offer: v.sampleRandom(v.shuffleSize, message.From.Name)}
	v.merge(message)
	return response
}

// FinishShuffle takes what a neighbour gave in trade.
func (v *View) FinishShuffle(message ShuffleMessage) {
	v.lock.Lock()
	defer v.lock.Unlock()
	v.merge(message)
}

// Remove forgets a machine that did not answer.
func (v *View) Remove(name string) {
	v.lock.Lock()
	defer v.lock.Unlock()
	delete(v.entries, name)
}

func (v *View) merge(message ShuffleMessage) {
	v.insert(message.From, true)
	for _, offered := range message.Offer {
		v.insert(offered, false)
	}
}

func (v *View) insert(candidate node.Node, direct bool) {
	if candidate.Name == v.Self.Name || candidate.Name == "" || candidate.Inner == "" {
		return
	}
	existing, exists := v.entries[candidate.Name]
	switch {
	case exists && candidate.Incarnation < existing.Incarnation:
	case exists && candidate.Incarnation == existing.Incarnation && !direct:
	case exists, len(v.entries) < v.capacity:
		v.entries[candidate.Name] = viewEntry{Node: candidate}
	default:
		v.evict()
		v.entries[candidate.Name] = viewEntry{Node: candidate}
	}
}

func (v *View) evict() {
	oldest, hasCandidate := viewEntry{}, false
	for _, candidate := range v.entries {
		if !hasCandidate || candidate.age > oldest.age || candidate.age == oldest.age && candidate.Name > oldest.Name {
			oldest, hasCandidate = candidate, true
		}
	}
	delete(v.entries, oldest.Name)
}
