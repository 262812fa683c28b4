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
func (c *Group) NewRouter(machine int) *Router {
	found := &Router{group: c, machine: machine, gate: router.NewGate(gateBound, 1, c.Slots), clock: c.Now}
	c.Every(readEvery, func() bool { found.read(); return true })
	c.Every(50*schedule.Millisecond, func() bool { found.check(); return true })
	return found
}

func (r *Router) installed(int) (uint64, bool) { return r.sequence, true }

func (r *Router) read() {
	begun := r.clock()
	var answers []core.HeadsAnswer
	for _, each := range r.group.Cores {
		r.group.Send(r.machine, each.slot, func() {
			each.step(each.life, func() {
				_, current := each.member.Current()
				head := core.PartHead{Slot: each.slot, Head: news.Head{Index: each.member.Applied(), Sequence: uint64(len(each.book.Lines))}, Current: current, Recovering: each.member.Recovering()}
				state := journal.Entry{Index: each.member.Applied(), Round: each.member.AppliedRound(), Data: each.member.Capture()}
				life := each.life
				r.group.Send(each.slot, r.machine, func() {
					answers = append(answers, core.HeadsAnswer{Parts: []core.PartHead{head}})
					r.gate.Read(begun, answers)
					r.take(each, life, head, state)
				})
			})
		})
	}
}

func (r *Router) take(from *Core, life uint64, head core.PartHead, state journal.Entry) {
	if head.Recovering {
		offered := r.copy
		r.group.Send(r.machine, from.slot, func() {
			from.step(life, func() { from.member.Offer(offered) })
		})
		return
	}
	_, lines, _ := part.Unpack(state.Data)
	if state.Index <= r.copy.Index || uint64(len(lines)/8) < r.sequence {
		return
	}
	r.copy = state
	r.book.Restore(lines)
	r.sequence = uint64(len(r.book.Lines))
}

// check holds an open gate against what was acknowledged two seconds ago.
func (r *Router) check() {
	if !r.gate.Open(r.clock(), r.installed) {
		r.Shut++
		return
	}
	r.Open++
	for line, at := range r.group.AckedAt {
		if r.group.Now()-at > inForce && !slices.Contains(r.book.Lines, line) {
			r.group.Violate("router %d takes work without line %d, acknowledged %d ms ago", r.machine, line, (r.group.Now()-at)/schedule.Millisecond)
		}
	}
}
