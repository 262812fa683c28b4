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
func (s *Soak) Run(span schedule.Microseconds) []string {
	s.World.Run(4 * schedule.Second)
	end := s.Now() + span
	for s.Now() < end {
		s.fail()
		s.World.Run(s.Between(100*schedule.Millisecond, 5*schedule.Second))
	}
	s.heal()
	s.healed = true
	healed := s.Now()
	for s.Now()-healed < RecoverySpan && !s.serves() {
		s.World.Run(50 * schedule.Millisecond)
	}
	s.Stable = s.Now() - healed
	if !s.serves() {
		s.Violate("not serving %d ms after all machines returned", s.Stable/schedule.Millisecond)
	}
	s.World.Run(s.rest)
	s.verify()
	return s.Violations
}

// serves tells whether one core owns the part, may order engines, and all routers
// take work.
func (s *Soak) serves() bool {
	owners := 0
	for _, each := range s.Cores {
		if holder := each.member.Holder(); each.alive && each.member.Owns() && holder.Until() > each.Clock() {
			owners++
		}
	}
	for _, each := range s.Routers {
		if !each.gate.Open(each.clock(), each.installed) {
			return false
		}
	}
	return owners == 1
}

func (s *Soak) heal() {
	s.Heal()
	for _, each := range s.Cores {
		each.frozen, each.syncSpan = 0, 2*schedule.Millisecond
		each.stallEnds = 0
		if !each.alive {
			each.Start(false)
		}
	}
	s.Note("healed")
}

// mayWipe allows as many lost disks at a time as leave a majority: the next only after
// an earlier one has caught up again.
func (s *Soak) mayWipe(slot int) bool {
	lost := 0
	for _, each := range s.Cores {
		if each.slot != slot && !each.disk.Past(0).Whole {
			lost++
		}
	}
	return lost < (len(s.Cores)-1)/2
}

// FailDisks has disks lost again and again, each as soon as the last one has caught up,
// beside the other failures, so that seats change hands in the middle of everything.
func (s *Soak) FailDisks() {
	// A stall that an earlier life of a disk has begun lasts up to nine seconds.
	s.rest = 10 * schedule.Second
	s.Every(300*schedule.Millisecond, func() bool {
		if s.healed {
			return false
		}
		slot := s.Chance.IntN(len(s.Cores))
		each := s.Cores[slot]
		switch {
		case !each.alive && s.Chance.IntN(3) > 0:
			each.Start(false)
		case each.alive && s.mayWipe(slot) && s.Chance.IntN(3) == 0:
			s.Note("kill core %d and lose its disk", slot)
			each.Kill()
			each.Wipe()
		}
		return true
	})
}

func (s *Soak) fail() {
	slots := len(s.Cores)
	slot := s.Chance.IntN(slots)
	each := s.Cores[slot]
	switch choice := s.Chance.IntN(13); choice {
	case 0, 1:
		s.Note("kill core %d", slot)
		each.Kill()
	case 2:
		s.Note("kill all cores")
		for _, other := range s.Cores {
			other.Kill()
		}
	case 3:
		if s.mayWipe(slot) {
			s.Note("kill core %d and lose its disk", slot)
			each.Kill()
			each.Wipe()
		}
	case 4, 5:
		span := s.Between(100*schedule.Millisecond, 8*schedule.Second)
		s.Note("freeze core %d for %d ms", slot, span/schedule.Millisecond)
		each.Freeze(span)
	case 6:
		s.Note("isolate machine %d", slot)
		s.Isolate(s.Chance.IntN(slots+3), slots+3)
	case 7:
		to := (slot + 1 + s.Chance.IntN(slots-1)) % slots
		s.Note("cut %d to %d", slot, to)
		s.Cut(slot, to)
	case 8:
		s.Note("slow disk of core %d", slot)
		each.syncSpan = s.Between(50*schedule.Millisecond, 2*schedule.Second)
	case 10:
		span := s.Between(100*schedule.Millisecond, 9*schedule.Second)
		s.Note("stall disk of core %d for %d ms", slot, span/schedule.Millisecond)
		each.stallEnds = s.Now() + span
	case 9:
		s.Note("loss and slow links")
		s.Loss = s.Chance.Float64() / 2
		s.Slow(slot, (slot+1)%slots, s.Between(0, 500*schedule.Millisecond))
	default:
		s.heal()
	}
}

func (s *Soak) verify() {
	for _, violation := range s.Observer.Violations() {
		s.Violate("engine: %s", violation)
	}
	longest := s.Cores[0].book.Lines
	for _, each := range s.Cores {
		if len(each.book.Lines) > len(longest) {
			longest = each.book.Lines
		}
	}
	for _, each := range s.Cores {
		if !slices.Equal(each.book.Lines, longest[:len(each.book.Lines)]) {
			s.Violate("core %d has another book", each.slot)
		}
		if len(longest)-len(each.book.Lines) > 5 {
			s.Violate("core %d is %d lines behind", each.slot, len(longest)-len(each.book.Lines))
		}
	}
	present := map[uint64]int{}
	for _, line := range longest {
		if present[line]++; present[line] > 1 {
			s.Violate("line %d stands twice", line)
		}
	}
	for line := range s.Acked {
		if present[line] == 0 {
			s.Violate("acknowledged line %d is missing", line)
		}
	}
	if len(s.Acked) == 0 {
		s.Violate("nothing was ever acknowledged")
	}
}

// Report is the run in lines, for a replay.
func (s *Soak) Report() string {
	report := fmt.Sprintf("seed %d: asked %d, acknowledged %d, orders %d, messages %d, late %d, recovered in %d ms\n",
		s.Seed, s.Asked, len(s.Acked), s.Observer.Orders(), s.Sent, s.Late, s.Stable/schedule.Millisecond)
	for _, line := range append(slices.Clone(s.Trace), s.Violations...) {
		report += line + "\n"
	}
	return report
}
