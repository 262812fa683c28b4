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
func (core *Core) seek(ctx context.Context) {
	lone := make([]schedule.Microseconds, len(core.shards))
	schedule.Every(ctx, seekSpan, func() {
		now, wanting := core.clock.Now(), false
		for index, shard := range core.shards {
			status := shard.status.Load()
			if status != nil && status.Slot >= 0 && !status.Alone {
				lone[index] = now
			}
			wanting = wanting || status == nil || status.Slot < 0 || now-lone[index] > loneSpan
		}
		if wanting {
			core.join(ctx)
		}
	})
}

func (core *Core) addresses() map[string]bool {
	known := map[string]bool{}
	for _, seed := range core.gossip.Seeds() {
		known[seed] = true
	}
	for _, each := range core.gossip.Members() {
		if each.Role == core.Role {
			known[each.Inner] = true
		}
	}
	for _, shard := range core.shards {
		if seats := shard.seats.Load(); seats != nil {
			for _, seat := range seats.Seats {
				known[seat.Address] = true
			}
		}
	}
	delete(known, "")
	delete(known, core.seat.Address)
	return known
}

// asking is who wants a seat: nobody, if this core only passes errands on.
func (core *Core) asking() part.Seat {
	if core.Seatless {
		return part.Seat{}
	}
	return core.seat
}

func (core *Core) join(ctx context.Context) {
	question := &Joining{Daemon: core.asking(), Replaces: core.Replaces, Override: core.Override, Reserve: core.Reserve}
	if question.Replaces == "" {
		question.Replaces = core.Machine.Name
	}
	var group sync.WaitGroup
	for address := range core.addresses() {
		group.Go(func() {
			answer, err := circuit.Call[Joining, Seats](ctx, core.inner, address, joinPath, seekSpan, question)
			if err != nil {
				return
			}
			for index, bindings := range answer.Parts {
				if index < len(core.shards) && len(bindings.Seats) == core.Group() {
					core.shards[index].learn(ctx, bindings)
				}
			}
		})
	}
	group.Wait()
}

// learn takes later bindings: they may give this daemon a seat, or show that its own
// has gone to another while it was away.
func (shard *shard) learn(ctx context.Context, bindings part.Bindings) {
	shard.Put(ctx, func() {
		slot := bindings.Slot(shard.core.seat)
		switch {
		case bindings.Epoch < shard.seats.Load().Epoch:
			// Older bindings may still give this daemon a seat that it has lost.
		case bindings.Epoch <= shard.seats.Load().Epoch && (shard.member != nil || slot < 0):
		case shard.member != nil && shard.member.Learning():
			// The leader's entries tell it.
		case shard.member == nil && slot >= 0:
			log.Info().Str("core", shard.core.Machine.Name).Int("part", shard.index).Int("slot", slot).Uint64("epoch", bindings.Epoch).Msg("seat found")
			shard.begin(ctx, bindings, false)
		case shard.member == nil:
			shard.seats.Store(&bindings)
		case slot < 0:
			shard.end(bindings)
		}
	})
}

// enrol gives a seat to a daemon that has none, if this core owns the part: the seat
// of the daemon it replaces, once its holder has been silent for a whole lease.
func (shard *shard) enrol(ctx context.Context, joining Joining) {
	member := shard.member
	if member == nil || !member.Owns() || joining.Daemon.Identity == "" || joining.Daemon.Address == "" {
		return
	}
	bindings, now := member.Bindings(), shard.Clock.Now()
	slot := -1
	for place, seat := range bindings.Seats {
		if !joining.Reserve && (seat.Vacant() || seat.Name == joining.Replaces) {
			slot = place
		}
	}
	if joining.Reserve {
		slot = shard.spare(now, bindings, joining.Daemon.Hall)
	}
	if seated := bindings.Slot(joining.Daemon); seated >= 0 {
		shard.carry(ctx, member.Restore(now, seated, joining.Daemon))
		return
	}
	if slot < 0 {
		return
	}
	leaving := joining.Reserve && shard.core.drained(bindings.Seats[slot].Hall)
	entitled := bindings.Seats[slot].Vacant() || joining.Override || leaving || member.Absent(now, slot) >= shard.core.patience(joining)
	shard.carry(ctx, member.Teach(now, slot, joining.Daemon, entitled))
}

// reservePatience is how long a seat's holder must be silent for a reserve to have it.
const reservePatience = 2 * schedule.Second

func (core *Core) patience(joining Joining) schedule.Microseconds {
	if joining.Reserve {
		return min(reservePatience, core.LeaseSpan())
	}
	return core.LeaseSpan()
}

// spare is a seat that a reserve in a hall may have: a vacant one, or the one whose holder
// has been silent longest. The loss of a hall must leave a majority of seats. While all
// seats answer and have caught up, one in a region that is drained may be had, too.
func (shard *shard) spare(now schedule.Microseconds, bindings part.Bindings, hall string) int {
	best, longest, leaving, well := -1, schedule.Microseconds(0), -1, true
	if shard.core.drained(hall) {
		return -1
	}
	for slot, seat := range bindings.Seats {
		silent := shard.member.Absent(now, slot)
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
		well = well && !seat.Vacant() && (slot == shard.member.Self || silent < reservePatience && shard.member.Caught(slot))
		if room && slot != shard.member.Self && shard.core.drained(seat.Hall) {
			leaving = slot
		}
		switch {
		case slot == shard.member.Self || !seat.Vacant() && silent < reservePatience:
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

func (core *Core) serveJoins() {
	circuit.Answer(core.inner, joinPath, func(ctx context.Context, joining *Joining) (*Seats, error) {
		answer := &Seats{Parts: make([]part.Bindings, len(core.shards))}
		for index, shard := range core.shards {
			var found part.Bindings
			if shard.ask(ctx, func() {
				shard.enrol(core.running, *joining)
				found = *shard.seats.Load()
			}) {
				answer.Parts[index] = found
			}
		}
		return answer, nil
	})
}
