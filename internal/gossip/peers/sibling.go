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
func (view *View) Members() []machine.Machine {
	view.lock.Lock()
	defer view.lock.Unlock()
	return view.pick(len(view.members), "")
}

// Some picks a few machines, those of the own hall first but always one of
// another hall, when there is one, so that news crosses halls.
func (view *View) Some(count int) []machine.Machine {
	all := view.Members()
	slices.SortStableFunc(all, func(left, right machine.Machine) int {
		return view.distance(left) - view.distance(right)
	})
	if len(all) <= count {
		return all
	}
	last := all[len(all)-1]
	return append(all[:count-1:count-1], last)
}

func (view *View) distance(other machine.Machine) int {
	if other.Hall == view.Self.Hall {
		return 0
	}
	return 1
}

func (view *View) pick(count int, without string) []machine.Machine {
	names := make([]string, 0, len(view.members))
	for name := range view.members {
		if name != without {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	view.chance.Shuffle(len(names), func(left, right int) { names[left], names[right] = names[right], names[left] })
	picked := make([]machine.Machine, 0, count)
	for _, name := range names[:min(count, len(names))] {
		picked = append(picked, view.members[name].Machine)
	}
	return picked
}

// Begin ages the view and picks its oldest machine to trade with; false while the
// view is empty and a seed must be asked.
func (view *View) Begin() (machine.Machine, Trade, bool) {
	view.lock.Lock()
	defer view.lock.Unlock()
	oldest, found := member{}, false
	for name, each := range view.members {
		each.age++
		view.members[name] = each
		if !found || each.age > oldest.age || each.age == oldest.age && each.Name < oldest.Name {
			oldest, found = each, true
		}
	}
	return oldest.Machine, Trade{From: view.Self, Offer: view.pick(view.swap-1, oldest.Name)}, found
}

// Answer takes a neighbour's trade and gives some of the own view for it.
func (view *View) Answer(trade Trade) Trade {
	view.lock.Lock()
	defer view.lock.Unlock()
	answer := Trade{From: view.Self, Offer: view.pick(view.swap, trade.From.Name)}
	view.merge(trade)
	return answer
}

// End takes what a neighbour gave in trade.
func (view *View) End(trade Trade) {
	view.lock.Lock()
	defer view.lock.Unlock()
	view.merge(trade)
}

// Drop forgets a machine that did not answer.
func (view *View) Drop(name string) {
	view.lock.Lock()
	defer view.lock.Unlock()
	delete(view.members, name)
}

func (view *View) merge(trade Trade) {
	view.take(trade.From, true)
	for _, each := range trade.Offer {
		view.take(each, false)
	}
}

func (view *View) take(found machine.Machine, fresh bool) {
	if found.Name == view.Self.Name || found.Name == "" || found.Inner == "" {
		return
	}
	held, known := view.members[found.Name]
	switch {
	case known && found.Incarnation < held.Incarnation:
	case known && found.Incarnation == held.Incarnation && !fresh:
	case known, len(view.members) < view.size:
		view.members[found.Name] = member{Machine: found}
	default:
		view.evict()
		view.members[found.Name] = member{Machine: found}
	}
}

func (view *View) evict() {
	oldest, found := member{}, false
	for _, each := range view.members {
		if !found || each.age > oldest.age || each.age == oldest.age && each.Name > oldest.Name {
			oldest, found = each, true
		}
	}
	delete(view.members, oldest.Name)
}
