package explore

import (
	"fmt"

	"coursepass/internal/consensus"
)

// fail lets a failure happen to a daemon, or end.
func (world *World) fail(event Event, daemon *daemon) bool {
	switch event.Kind {
	case Crash:
		if daemon.down || !spend(&world.left.Crashes) {
			return false
		}
		world.crash(daemon, event.Other)
	case Restart:
		if !daemon.down {
			return false
		}
		daemon.down = false
		world.begin(daemon, world.founding(), false)
	case Wipe:
		return world.wipe(daemon)
	case Freeze:
		if !daemon.running() || !spend(&world.left.Freezes) {
			return false
		}
		daemon.frozen = true
	case Thaw:
		if !daemon.frozen {
			return false
		}
		daemon.frozen = false
	case Stall:
		if !daemon.running() || daemon.stalled || !spend(&world.left.Stalls) {
			return false
		}
		daemon.stalled = true
	case Unstall:
		if !daemon.stalled {
			return false
		}
		daemon.stalled = false
	case Cut, Isolate, Heal:
		return world.cut(event)
	case Seek, Override:
		return world.seek(event, daemon)
	default:
		return false
	}
	return true
}

// wipe loses the disk of a daemon that is down. It happens only while all others that
// have seats hold what was acknowledged: more at once is outside of what is promised.
func (world *World) wipe(daemon *daemon) bool {
	if !daemon.down || daemon.wiped {
		return false
	}
	for _, seat := range world.newest().Seats {
		for _, other := range world.daemons {
			if other != daemon && other.seat.Address == seat.Address && world.lacks(other) {
				return false
			}
		}
	}
	if !spend(&world.left.Wipes) {
		return false
	}
	daemon.wiped = true
	daemon.seat.Identity = fmt.Sprintf("%s-%d", daemon.seat.Name, daemon.life)
	clear(daemon.disk.Parts)
	return true
}

// newest are the latest bindings that any daemon knows.
func (world *World) newest() part.Bindings {
	newest := world.daemons[0].known
	for _, each := range world.daemons {
		if each.known.Epoch > newest.Epoch {
			newest = each.known
		}
	}
	return newest
}

// lacks tells whether a daemon's disk is without something that was acknowledged.
func (world *World) lacks(daemon *daemon) bool {
	past := daemon.disk.Past(0)
	last, _ := past.Last()
	joined := daemon.down || daemon.member != nil && !daemon.member.Recovering()
	if daemon.wiped || !past.Whole || !joined {
		return true
	}
	for _, acknowledged := range world.watch.acknowledged {
		if acknowledged.index > last {
			return true
		}
	}
	return false
}

func (world *World) cut(event Event) bool {
	if event.Kind == Heal {
		if len(world.cuts) == 0 {
			return false
		}
		clear(world.cuts)
		return true
	}
	if event.Kind == Cut && (event.Daemon == event.Other || world.cuts[[2]int{event.Daemon, event.Other}]) || !spend(&world.left.Cuts) {
		return false
	}
	if event.Kind == Cut {
		world.cuts[[2]int{event.Daemon, event.Other}] = true
		return true
	}
	// Isolated is a daemon both ways (0), only in what it hears (1) or in what it says (2).
	for other := range world.daemons {
		if other != event.Daemon && event.Other != 1 {
			world.cuts[[2]int{event.Daemon, other}] = true
		}
		if other != event.Daemon && event.Other != 2 {
			world.cuts[[2]int{other, event.Daemon}] = true
		}
	}
	return true
}

// seek has a daemon without a seat look for that of another; with an override it takes
// the seat also of one that answers.
func (world *World) seek(event Event, daemon *daemon) bool {
	if daemon.down || daemon.member != nil || daemon.seeks != "" || event.Other < 0 || event.Other >= len(world.daemons) || !spend(&world.left.Seeks) {
		return false
	}
	daemon.seeks, daemon.override = world.daemons[event.Other].seat.Name, event.Kind == Override
	return true
}

// calm lets so many δ pass in which all that can be delivered and synced is.
func (world *World) calm(deltas int) {
	for range 2 * deltas {
		world.quiesce()
		world.check()
		world.Now += world.options.Delta / 2
		world.wake()
		for _, each := range world.daemons {
			if each.running() && (each.member == nil || each.member.Alone(world.Now)) {
				world.askAll(each)
			}
		}
	}
	world.quiesce()
}

func (world *World) askAll(daemon *daemon) {
	for _, other := range world.daemons {
		if world.asks(daemon, other) {
			world.ask(daemon, other)
		}
	}
}

// longest bounds the messages and syncs of one moment in a calm.
const longest = 400

func (world *World) quiesce() {
	for range longest {
		if !world.syncOne() && !world.deliverOne() {
			return
		}
	}
}

func (world *World) syncOne() bool {
	for _, each := range world.daemons {
		if world.syncable(each) {
			world.sync(each)
			return true
		}
	}
	return false
}

// deliverOne delivers the oldest message; what is cut off is lost.
func (world *World) deliverOne() bool {
	for place, each := range world.network {
		if world.daemons[each.to].frozen {
			continue
		}
		world.network = append(world.network[:place:place], world.network[place+1:]...)
		if world.deliverable(each) {
			world.receive(each)
		}
		return true
	}
	return false
}
