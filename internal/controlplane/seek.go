package core

import (
	"context"
	"sync"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/transport"
)

const (
	joinPath = "/core/join"
	seekSpan = 500 * schedule.Millisecond
	loneSpan = 2 * schedule.Second
)

// Joining is a daemon that looks for its seat in the parts.
type Joining struct {
	Daemon   part.Seat
	Replaces string
	Override bool
	// Reserve asks for any seat that nobody holds or answers for.
	Reserve bool
}

// Seats are the bindings of all parts as one core knows them.
type Seats struct{ Parts []part.Bindings }

// seek asks the cores that are known for the bindings of all parts, as long as this
// one has no seat or hears too little to trust in it. Whoever owns a part may give it a seat there.
func (s *Core) seek(ctx context.Context) {
	lone := make([]schedule.Microseconds, len(s.shards))
	schedule.Every(ctx, seekSpan, func() {
		now, wanting := s.clock.Now(), false
		for index, shard := range s.shards {
			status := shard.status.Load()
			if status != nil && status.Slot >= 0 && !status.Alone {
				lone[index] = now
			}
			wanting = wanting || status == nil || status.Slot < 0 || now-lone[index] > loneSpan
		}
		if wanting {
			s.join(ctx)
		}
	})
}

func (s *Core) addresses() map[string]bool {
	known := map[string]bool{}
	for _, seed := range s.gossip.Seeds() {
		known[seed] = true
	}
	for _, each := range s.gossip.Members() {
		if each.Role == s.Role {
			known[each.Inner] = true
		}
	}
	for _, shard := range s.shards {
		if seats := shard.seats.Load(); seats != nil {
			for _, seat := range seats.Seats {
				known[seat.Address] = true
			}
		}
	}
	delete(known, "")
	delete(known, s.seat.Address)
	return known
}

// asking is who wants a seat: nobody, if this core only passes errands on.
func (s *Core) asking() part.Seat {
	if s.Seatless {
		return part.Seat{}
	}
	return s.seat
}

func (s *Core) join(ctx context.Context) {
	question := &Joining{Daemon: s.asking(), Replaces: s.Replaces, Override: s.Override, Reserve: s.Reserve}
	if question.Replaces == "" {
		question.Replaces = s.Machine.Name
	}
	var group sync.WaitGroup
	for address := range s.addresses() {
		group.Go(func() {
			answer, err := circuit.Call[Joining, Seats](ctx, s.inner, address, joinPath, seekSpan, question)
			if err != nil {
				return
			}
			for index, bindings := range answer.Parts {
				if index < len(s.shards) && len(bindings.Seats) == s.Group() {
					s.shards[index].learn(ctx, bindings)
				}
			}
		})
	}
	group.Wait()
}

// learn takes later bindings: they may give this daemon a seat, or show that its own
// has gone to another while it was away.
func (s *shard) learn(ctx context.Context, bindings part.Bindings) {
	s.Put(ctx, func() {
		slot := bindings.Slot(s.core.seat)
		switch {
		case bindings.Epoch < s.seats.Load().Epoch:
			// Older bindings may still give this daemon a seat that it has lost.
		case bindings.Epoch <= s.seats.Load().Epoch && (s.member != nil || slot < 0):
		case s.member != nil && s.member.Learning():
			// The leader's entries tell it.
		case s.member == nil && slot >= 0:
			log.Info().Str("core", s.core.Machine.Name).Int("part", s.index).Int("slot", slot).Uint64("epoch", bindings.Epoch).Msg("seat found")
			s.begin(ctx, bindings, false)
		case s.member == nil:
			s.seats.Store(&bindings)
		case slot < 0:
			s.end(bindings)
		}
	})
}

// enrol gives a seat to a daemon that has none, if this core owns the part: the seat
// of the daemon it replaces, once its holder has been silent for a whole lease.
func (s *shard) enrol(ctx context.Context, joining Joining) {
	member := s.member
	if member == nil || !member.Owns() || joining.Daemon.Identity == "" || joining.Daemon.Address == "" {
		return
	}
	bindings, now := member.Bindings(), s.Clock.Now()
	slot := -1
	for place, seat := range bindings.Seats {
		if !joining.Reserve && (seat.Vacant() || seat.Name == joining.Replaces) {
			slot = place
		}
	}
	if joining.Reserve {
		slot = s.spare(now, bindings, joining.Daemon.Hall)
	}
	if seated := bindings.Slot(joining.Daemon); seated >= 0 {
		s.carry(ctx, member.Restore(now, seated, joining.Daemon))
		return
	}
	if slot < 0 {
		return
	}
	leaving := joining.Reserve && s.core.drained(bindings.Seats[slot].Hall)
	entitled := bindings.Seats[slot].Vacant() || joining.Override || leaving || member.Absent(now, slot) >= s.core.patience(joining)
	s.carry(ctx, member.Teach(now, slot, joining.Daemon, entitled))
}

// reservePatience is how long a seat's holder must be silent for a reserve to have it.
const reservePatience = 2 * schedule.Second

func (s *Core) patience(joining Joining) schedule.Microseconds {
	if joining.Reserve {
		return min(reservePatience, s.LeaseSpan())
	}
	return s.LeaseSpan()
}

// spare is a seat that a reserve in a hall may have: a vacant one, or the one whose holder
// has been silent longest. The loss of a hall must leave a majority of seats. While all
// seats answer and have caught up, one in a region that is drained may be had, too.
func (s *shard) spare(now schedule.Microseconds, bindings part.Bindings, hall string) int {
	best, longest, leaving, well := -1, schedule.Microseconds(0), -1, true
	if s.core.drained(hall) {
		return -1
	}
	for slot, seat := range bindings.Seats {
		silent := s.member.Absent(now, slot)
		if !seat.Vacant() && seat.Name == "" && silent < reservePatience {
			// Where its holder stands is about to be known.
			return -1
		}
		together := 0
		for other, each := range bindings.Seats {
			if other != slot && !each.Vacant() && each.Hall == hall {
				together++
			}
		}
		room := together < len(bindings.Seats)/2
		well = well && !seat.Vacant() && (slot == s.member.Self || silent < reservePatience && s.member.Caught(slot))
		if room && slot != s.member.Self && s.core.drained(seat.Hall) {
			leaving = slot
		}
		switch {
		case slot == s.member.Self || !seat.Vacant() && silent < reservePatience:
			continue
		case seat.Vacant():
			silent = schedule.Never
		}
		if room && silent > longest {
			best, longest = slot, silent
		}
	}
	if best < 0 && well {
		return leaving
	}
	return best
}

func (s *Core) serveJoins() {
	circuit.Answer(s.inner, joinPath, func(ctx context.Context, joining *Joining) (*Seats, error) {
		answer := &Seats{Parts: make([]part.Bindings, len(s.shards))}
		for index, shard := range s.shards {
			var found part.Bindings
			if shard.ask(ctx, func() {
				shard.enrol(s.running, *joining)
				found = *shard.seats.Load()
			}) {
				answer.Parts[index] = found
			}
		}
		return answer, nil
	})
}
