package explore

import (
	"fmt"

	"coursepass/internal/consensus"
)

// fail lets a failure happen to a daemon, or end.
func (s *World) fail(event Event, daemon *daemon) bool {
	switch event.Kind {
	case Crash:
		if daemon.down || !spend(&s.left.Crashes) {
			return false
		}
		s.crash(daemon, event.Other)
	case Restart:
		if !daemon.down {
			return false
		}
		daemon.down = false
		s.begin(daemon, s.founding(), false)
	case Wipe:
		return s.wipe(daemon)
	case Freeze:
		if !daemon.running() || !spend(&s.left.Freezes) {
			return false
		}
		daemon.frozen = true
	case Thaw:
		if !daemon.frozen {
			return false
		}
		daemon.frozen = false
	case Stall:
		if !daemon.running() || daemon.stalled || !spend(&s.left.Stalls) {
			return false
		}
		daemon.stalled = true
	case Unstall:
		if !daemon.stalled {
			return false
		}
		daemon.stalled = false
	case Cut, Isolate, Heal:
		return s.cut(event)
	case Seek, Override:
		return s.seek(event, daemon)
	default:
		return false
	}
	return true
}

// wipe loses the disk of a daemon that is down. It happens only while all others that
// have seats hold what was acknowledged: more at once is outside of what is promised.
func (s *World) wipe(daemon *daemon) bool {
	if !daemon.down || daemon.wiped {
		return false
	}
	for _, seat := range s.newest().Seats {
		for _, other := range s.daemons {
			if other != daemon && other.seat.Address == seat.Address && s.lacks(other) {
				return false
			}
		}
	}
	if !spend(&s.left.Wipes) {
		return false
	}
	daemon.wiped = true
	daemon.seat.Identity = fmt.Sprintf("%s-%d", daemon.seat.Name, daemon.life)
	clear(daemon.disk.Parts)
	return true
}

// newest are the latest bindings that any daemon knows.
func (s *World) newest() part.Bindings {
	newest := s.daemons[0].known
	for _, each := range s.daemons {
		if each.known.Epoch > newest.Epoch {
			newest = each.known
		}
	}
	return newest
}

// lacks tells whether a daemon's disk is without something that was acknowledged.
func (s *World) lacks(daemon *daemon) bool {
	past := daemon.disk.Past(0)
	last, _ := past.Last()
	joined := daemon.down || daemon.member != nil && !daemon.member.Recovering()
	if daemon.wiped || !past.Whole || !joined {
		return true
	}
	for _, acknowledged := range s.watch.acknowledged {
		if acknowledged.index > last {
			return true
		}
	}
	return false
}

func (s *World) cut(event Event) bool {
	if event.Kind == Heal {
		if len(s.cuts) == 0 {
			return false
		}
		clear(s.cuts)
		return true
	}
	if event.Kind == Cut && (event.Daemon == event.Other || s.cuts[[2]int{event.Daemon, event.Other}]) || !spend(&s.left.Cuts) {
		return false
	}
	if event.Kind == Cut {
		s.cuts[[2]int{event.Daemon, event.Other}] = true
		return true
	}
	// Isolated is a daemon both ways (0), only in what it hears (1) or in what it says (2).
	for other := range s.daemons {
		if other != event.Daemon && event.Other != 1 {
			s.cuts[[2]int{event.Daemon, other}] = true
		}
		if other != event.Daemon && event.Other != 2 {
			s.cuts[[2]int{other, event.Daemon}] = true
		}
	}
	return true
}

// seek has a daemon without a seat look for that of another; with an override it takes
// the seat also of one that answers.
func (s *World) seek(event Event, daemon *daemon) bool {
	if daemon.down || daemon.member != nil || daemon.seeks != "" || event.Other < 0 || event.Other >= len(s.daemons) || !spend(&s.left.Seeks) {
		return false
	}
	daemon.seeks, daemon.override = s.daemons[event.Other].seat.Name, event.Kind == Override
	return true
}

// calm lets so many δ pass in which all that can be delivered and synced is.
func (s *World) calm(deltas int) {
	for range 2 * deltas {
		s.quiesce()
		s.check()
		s.Now += s.options.Delta / 2
		s.wake()
		for _, each := range s.daemons {
			if each.running() && (each.member == nil || each.member.Alone(s.Now)) {
				s.askAll(each)
			}
		}
	}
	s.quiesce()
}

func (s *World) askAll(daemon *daemon) {
	for _, other := range s.daemons {
		if s.asks(daemon, other) {
			s.ask(daemon, other)
		}
	}
}

// longest bounds the messages and syncs of one moment in a calm.
const longest = 400

func (s *World) quiesce() {
	for range longest {
		if !s.syncOne() && !s.deliverOne() {
			return
		}
	}
}

func (s *World) syncOne() bool {
	for _, each := range s.daemons {
		if s.syncable(each) {
			s.sync(each)
			return true
		}
	}
	return false
}

// deliverOne delivers the oldest message; what is cut off is lost.
func (s *World) deliverOne() bool {
	for place, each := range s.network {
		if s.daemons[each.to].frozen {
			continue
		}
		s.network = append(s.network[:place:place], s.network[place+1:]...)
		if s.deliverable(each) {
			s.receive(each)
		}
		return true
	}
	return false
}
