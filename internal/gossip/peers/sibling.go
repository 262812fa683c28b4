// Package sibling keeps a daemon's partial view of the others: a few machines,
// shuffled between neighbours.
package sibling

import (
	"math/rand/v2"
	"slices"
	"sync"

	"coursepass/internal/node"
)

// Trade is what neighbours swap: who asks, and a few machines it knows.
type Trade struct {
	From  machine.Machine
	Offer []machine.Machine
}

type member struct {
	machine.Machine
	age int
}

// View is the partial view.
type View struct {
	Self    machine.Machine
	size    int
	swap    int
	lock    sync.Mutex
	chance  *rand.Rand
	members map[string]member
}

// NewView keeps so many machines and swaps so many at a time.
func NewView(self machine.Machine, size, swap int, seed uint64) *View {
	return &View{Self: self, size: size, swap: swap, members: map[string]member{}, chance: rand.New(rand.NewPCG(seed, seed+1))}
}

// Members are the machines in view, in a random order.
func (v *View) Members() []machine.Machine {
	v.lock.Lock()
	defer v.lock.Unlock()
	return v.pick(len(v.members), "")
}

// Some picks a few machines, those of the own hall first but always one of
// another hall, when there is one, so that news crosses halls.
func (v *View) Some(count int) []machine.Machine {
	all := v.Members()
	slices.SortStableFunc(all, func(left, right machine.Machine) int {
		return v.distance(left) - v.distance(right)
	})
	if len(all) <= count {
		return all
	}
	last := all[len(all)-1]
	return append(all[:count-1:count-1], last)
}

func (v *View) distance(other machine.Machine) int {
	if other.Hall == v.Self.Hall {
		return 0
	}
	return 1
}

func (v *View) pick(count int, without string) []machine.Machine {
	names := make([]string, 0, len(v.members))
	for name := range v.members {
		if name != without {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	v.chance.Shuffle(len(names), func(left, right int) { names[left], names[right] = names[right], names[left] })
	picked := make([]machine.Machine, 0, count)
	for _, name := range names[:min(count, len(names))] {
		picked = append(picked, v.members[name].Machine)
	}
	return picked
}

// Begin ages the view and picks its oldest machine to trade with; false while the
// view is empty and a seed must be asked.
func (v *View) Begin() (machine.Machine, Trade, bool) {
	v.lock.Lock()
	defer v.lock.Unlock()
	oldest, found := member{}, false
	for name, each := range v.members {
		each.age++
		v.members[name] = each
		if !found || each.age > oldest.age || each.age == oldest.age && each.Name < oldest.Name {
			oldest, found = each, true
		}
	}
	return oldest.Machine, Trade{From: v.Self, Offer: v.pick(v.swap-1, oldest.Name)}, found
}

// Answer takes a neighbour's trade and gives some of the own view for it.
func (v *View) Answer(trade Trade) Trade {
	v.lock.Lock()
	defer v.lock.Unlock()
	answer := Trade{From: v.Self, Offer: v.pick(v.swap, trade.From.Name)}
	v.merge(trade)
	return answer
}

// End takes what a neighbour gave in trade.
func (v *View) End(trade Trade) {
	v.lock.Lock()
	defer v.lock.Unlock()
	v.merge(trade)
}

// Drop forgets a machine that did not answer.
func (v *View) Drop(name string) {
	v.lock.Lock()
	defer v.lock.Unlock()
	delete(v.members, name)
}

func (v *View) merge(trade Trade) {
	v.take(trade.From, true)
	for _, each := range trade.Offer {
		v.take(each, false)
	}
}

func (v *View) take(found machine.Machine, fresh bool) {
	if found.Name == v.Self.Name || found.Name == "" || found.Inner == "" {
		return
	}
	held, known := v.members[found.Name]
	switch {
	case known && found.Incarnation < held.Incarnation:
	case known && found.Incarnation == held.Incarnation && !fresh:
	case known, len(v.members) < v.size:
		v.members[found.Name] = member{Machine: found}
	default:
		v.evict()
		v.members[found.Name] = member{Machine: found}
	}
}

func (v *View) evict() {
	oldest, found := member{}, false
	for _, each := range v.members {
		if !found || each.age > oldest.age || each.age == oldest.age && each.Name > oldest.Name {
			oldest, found = each, true
		}
	}
	delete(v.members, oldest.Name)
}
