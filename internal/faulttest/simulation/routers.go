package simulation

import (
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/controlplane"
	"coursepass/internal/dataplane/router"
	"coursepass/internal/gossip"
)

const (
	gateBound  = 1600 * schedule.Millisecond
	inForce    = 2 * schedule.Second
	readEvery  = 300 * schedule.Millisecond
	orderEvery = 250 * schedule.Millisecond
	// OrderBudget is how long an order may take until the kernel gives it up.
	OrderBudget = 600 * schedule.Millisecond
)

// Router is a simulated data-plane daemon: the real gate over a copy of the part.
type Router struct {
	group    *Group
	machine  int
	gate     *router.Gate
	copy     journal.Entry
	book     Book
	clock    func() schedule.Microseconds
	Open     int
	Shut     int
	sequence uint64
}

// NewRouter reads the heads of all cores every 300 ms.
func (group *Group) NewRouter(machine int) *Router {
	found := &Router{group: group, machine: machine, gate: router.NewGate(gateBound, 1, group.Slots), clock: group.Now}
	group.Every(readEvery, func() bool { found.read(); return true })
	group.Every(50*schedule.Millisecond, func() bool { found.check(); return true })
	return found
}

func (found *Router) installed(int) (uint64, bool) { return found.sequence, true }

func (found *Router) read() {
	begun := found.clock()
	var answers []core.HeadsAnswer
	for _, each := range found.group.Cores {
		found.group.Send(found.machine, each.slot, func() {
			each.step(each.life, func() {
				_, current := each.member.Current()
				head := core.PartHead{Slot: each.slot, Head: news.Head{Index: each.member.Applied(), Sequence: uint64(len(each.book.Lines))}, Current: current, Recovering: each.member.Recovering()}
				state := journal.Entry{Index: each.member.Applied(), Round: each.member.AppliedRound(), Data: each.member.Capture()}
				life := each.life
				found.group.Send(each.slot, found.machine, func() {
					answers = append(answers, core.HeadsAnswer{Parts: []core.PartHead{head}})
					found.gate.Read(begun, answers)
					found.take(each, life, head, state)
				})
			})
		})
	}
}

func (found *Router) take(from *Core, life uint64, head core.PartHead, state journal.Entry) {
	if head.Recovering {
		offered := found.copy
		found.group.Send(found.machine, from.slot, func() {
			from.step(life, func() { from.member.Offer(offered) })
		})
		return
	}
	_, lines, _ := part.Unpack(state.Data)
	if state.Index <= found.copy.Index || uint64(len(lines)/8) < found.sequence {
		return
	}
	found.copy = state
	found.book.Restore(lines)
	found.sequence = uint64(len(found.book.Lines))
}

// check holds an open gate against what was acknowledged two seconds ago.
func (found *Router) check() {
	if !found.gate.Open(found.clock(), found.installed) {
		found.Shut++
		return
	}
	found.Open++
	for line, at := range found.group.AckedAt {
		if found.group.Now()-at > inForce && !slices.Contains(found.book.Lines, line) {
			found.group.Violate("router %d takes work without line %d, acknowledged %d ms ago", found.machine, line, (found.group.Now()-at)/schedule.Millisecond)
		}
	}
}
