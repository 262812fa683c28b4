package simulation

import (
	"fmt"
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/faulttest/emulator"
)

// Soak is one seeded run of mixed failures over a group of cores, its routers and
// an engine.
type Soak struct {
	*Group
	Routers  []*Router
	Observer *engine.Observer
	Stable   schedule.Microseconds
	healed   bool
	// rest is how long the group runs on before its books are compared.
	rest schedule.Microseconds
}

// RecoverySpan is how long serving may be away after machines return.
const RecoverySpan = 12 * schedule.Second

// NewSoak founds three cores and three routers.
func NewSoak(seed uint64) *Soak { return NewSoakOf(seed, 3) }

// NewSoakOf founds so many cores, and three routers.
func NewSoakOf(seed uint64, slots int) *Soak {
	world := NewWorld(seed)
	network := NewNetwork(world, 200, 3*schedule.Millisecond)
	soak := &Soak{Group: NewGroup(network, slots), rest: 5 * schedule.Second}
	for number := range 3 {
		soak.Routers = append(soak.Routers, soak.NewRouter(slots+number))
	}
	soak.Observer = soak.Orders()
	for _, each := range soak.Cores {
		each.drift = (world.Chance.Float64() - 0.5) * 2e-4
	}
	soak.Every(40*schedule.Millisecond, func() bool {
		soak.Cores[world.Chance.IntN(slots)].Propose()
		soak.Cores[world.Chance.IntN(slots)].BeginRead()
		return true
	})
	return soak
}

// Run causes failures for the span, heals all, and checks what must hold.
func (soak *Soak) Run(span schedule.Microseconds) []string {
	soak.World.Run(4 * schedule.Second)
	end := soak.Now() + span
	for soak.Now() < end {
		soak.fail()
		soak.World.Run(soak.Between(100*schedule.Millisecond, 5*schedule.Second))
	}
	soak.heal()
	soak.healed = true
	healed := soak.Now()
	for soak.Now()-healed < RecoverySpan && !soak.serves() {
		soak.World.Run(50 * schedule.Millisecond)
	}
	soak.Stable = soak.Now() - healed
	if !soak.serves() {
		soak.Violate("not serving %d ms after all machines returned", soak.Stable/schedule.Millisecond)
	}
	soak.World.Run(soak.rest)
	soak.verify()
	return soak.Violations
}

// serves tells whether one core owns the part, may order engines, and all routers
// take work.
func (soak *Soak) serves() bool {
	owners := 0
	for _, each := range soak.Cores {
		if holder := each.member.Holder(); each.alive && each.member.Owns() && holder.Until() > each.Clock() {
			owners++
		}
	}
	for _, each := range soak.Routers {
		if !each.gate.Open(each.clock(), each.installed) {
			return false
		}
	}
	return owners == 1
}

func (soak *Soak) heal() {
	soak.Heal()
	for _, each := range soak.Cores {
		each.frozen, each.syncSpan = 0, 2*schedule.Millisecond
		each.stallEnds = 0
		if !each.alive {
			each.Start(false)
		}
	}
	soak.Note("healed")
}

// mayWipe allows as many lost disks at a time as leave a majority: the next only after
// an earlier one has caught up again.
func (soak *Soak) mayWipe(slot int) bool {
	lost := 0
	for _, each := range soak.Cores {
		if each.slot != slot && !each.disk.Past(0).Whole {
			lost++
		}
	}
	return lost < (len(soak.Cores)-1)/2
}

// FailDisks has disks lost again and again, each as soon as the last one has caught up,
// beside the other failures, so that seats change hands in the middle of everything.
func (soak *Soak) FailDisks() {
	// A stall that an earlier life of a disk has begun lasts up to nine seconds.
	soak.rest = 10 * schedule.Second
	soak.Every(300*schedule.Millisecond, func() bool {
		if soak.healed {
			return false
		}
		slot := soak.Chance.IntN(len(soak.Cores))
		each := soak.Cores[slot]
		switch {
		case !each.alive && soak.Chance.IntN(3) > 0:
			each.Start(false)
		case each.alive && soak.mayWipe(slot) && soak.Chance.IntN(3) == 0:
			soak.Note("kill core %d and lose its disk", slot)
			each.Kill()
			each.Wipe()
		}
		return true
	})
}

func (soak *Soak) fail() {
	slots := len(soak.Cores)
	slot := soak.Chance.IntN(slots)
	each := soak.Cores[slot]
	switch choice := soak.Chance.IntN(13); choice {
	case 0, 1:
		soak.Note("kill core %d", slot)
		each.Kill()
	case 2:
		soak.Note("kill all cores")
		for _, other := range soak.Cores {
			other.Kill()
		}
	case 3:
		if soak.mayWipe(slot) {
			soak.Note("kill core %d and lose its disk", slot)
			each.Kill()
			each.Wipe()
		}
	case 4, 5:
		span := soak.Between(100*schedule.Millisecond, 8*schedule.Second)
		soak.Note("freeze core %d for %d ms", slot, span/schedule.Millisecond)
		each.Freeze(span)
	case 6:
		soak.Note("isolate machine %d", slot)
		soak.Isolate(soak.Chance.IntN(slots+3), slots+3)
	case 7:
		to := (slot + 1 + soak.Chance.IntN(slots-1)) % slots
		soak.Note("cut %d to %d", slot, to)
		soak.Cut(slot, to)
	case 8:
		soak.Note("slow disk of core %d", slot)
		each.syncSpan = soak.Between(50*schedule.Millisecond, 2*schedule.Second)
	case 10:
		span := soak.Between(100*schedule.Millisecond, 9*schedule.Second)
		soak.Note("stall disk of core %d for %d ms", slot, span/schedule.Millisecond)
		each.stallEnds = soak.Now() + span
	case 9:
		soak.Note("loss and slow links")
		soak.Loss = soak.Chance.Float64() / 2
		soak.Slow(slot, (slot+1)%slots, soak.Between(0, 500*schedule.Millisecond))
	default:
		soak.heal()
	}
}

func (soak *Soak) verify() {
	for _, violation := range soak.Observer.Violations() {
		soak.Violate("engine: %s", violation)
	}
	longest := soak.Cores[0].book.Lines
	for _, each := range soak.Cores {
		if len(each.book.Lines) > len(longest) {
			longest = each.book.Lines
		}
	}
	for _, each := range soak.Cores {
		if !slices.Equal(each.book.Lines, longest[:len(each.book.Lines)]) {
			soak.Violate("core %d has another book", each.slot)
		}
		if len(longest)-len(each.book.Lines) > 5 {
			soak.Violate("core %d is %d lines behind", each.slot, len(longest)-len(each.book.Lines))
		}
	}
	present := map[uint64]int{}
	for _, line := range longest {
		if present[line]++; present[line] > 1 {
			soak.Violate("line %d stands twice", line)
		}
	}
	for line := range soak.Acked {
		if present[line] == 0 {
			soak.Violate("acknowledged line %d is missing", line)
		}
	}
	if len(soak.Acked) == 0 {
		soak.Violate("nothing was ever acknowledged")
	}
}

// Report is the run in lines, for a replay.
func (soak *Soak) Report() string {
	report := fmt.Sprintf("seed %d: asked %d, acknowledged %d, orders %d, messages %d, late %d, recovered in %d ms\n",
		soak.Seed, soak.Asked, len(soak.Acked), soak.Observer.Orders(), soak.Sent, soak.Late, soak.Stable/schedule.Millisecond)
	for _, line := range append(slices.Clone(soak.Trace), soak.Violations...) {
		report += line + "\n"
	}
	return report
}
