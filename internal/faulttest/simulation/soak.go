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
	*Cluster
	Routers      []*Router
	Observer     *emulator.Observer
	RecoveryTime clock.Microseconds
	healed       bool
	// settleTime is how long the group runs on before its books are compared.
	settleTime clock.Microseconds
}

// RecoveryLimit is how long serving may be away after machines return.
const RecoveryLimit = 12 * clock.Second

// NewSoak founds three cores and three routers.
func NewSoak(seed uint64) *Soak { return NewSoakWithServers(seed, 3) }

// NewSoakWithServers founds so many cores, and three routers.
func NewSoakWithServers(seed uint64, slots int) *Soak {
	simulator := NewSimulator(seed)
	network := NewNetwork(simulator, 200, 3*clock.Millisecond)
	soak := &Soak{Cluster: NewCluster(network, slots), settleTime: 5 * clock.Second}
	for number := range 3 {
		soak.Routers = append(soak.Routers, soak.NewRouter(slots+number))
	}
	soak.Observer = soak.SendEngineCommands()
	for _, server := range soak.Servers {
		server.clockDrift = (simulator.Random.Float64() - 0.5) * 2e-4
	}
	soak.Every(40*clock.Millisecond, func() bool {
		soak.Servers[simulator.Random.IntN(slots)].Propose()
		soak.Servers[simulator.Random.IntN(slots)].BeginRead()
		return true
	})
	return soak
}

// Run causes failures for the span, heals all, and checks what must hold.
func (s *Soak) Run(duration clock.Microseconds) []string {
	s.Simulator.Run(4 * clock.Second)
	end := s.Now() + duration
	for s.Now() < end {
		s.injectFault()
		s.Simulator.Run(s.RandomBetween(100*clock.Millisecond, 5*clock.Second))
	}
	s.healAll()
	s.healed = true
	healed := s.Now()
	for s.Now()-healed < RecoveryLimit && !s.isServing() {
		s.Simulator.Run(50 * clock.Millisecond)
	}
	s.RecoveryTime = s.Now() - healed
	if !s.isServing() {
		s.ReportViolation("not serving %d ms after all machines returned", s.RecoveryTime/clock.Millisecond)
	}
	s.Simulator.Run(s.settleTime)
	s.checkInvariants()
	return s.Violations
}

// isServing tells whether one core owns the part, may order engines, and all routers
// take work.
func (s *Soak) isServing() bool {
	owners := 0
	for _, daemon := range s.Servers {
		if activeLease := daemon.replica.LeaderLease(); daemon.alive && daemon.replica.IsLeader() && activeLease.ExpiresAt() > daemon.LocalTime() {
			owners++
		}
	}
	for _, daemon := range s.Routers {
		if !daemon.gate.IsOpen(daemon.now(), daemon.installedRevision) {
			return false
		}
	}
	return owners == 1
}

func (s *Soak) healAll() {
	s.Heal()
	for _, server := range s.Servers {
		server.frozenUntil, server.maxSyncTime = 0, 2*clock.Millisecond
		server.stalledUntil = 0
		if !server.alive {
			server.Start(false)
		}
	}
	s.RecordTrace("healed")
}

// canEraseDisk allows as many lost disks at a time as leave a majority: the next only after
// an earlier one has caught up again.
func (s *Soak) canEraseDisk(slot int) bool {
	incomplete := 0
	for _, server := range s.Servers {
		if server.slot != slot && !server.disk.Shard(0).HasPromise {
			incomplete++
		}
	}
	return incomplete < (len(s.Servers)-1)/2
}

// EraseDisksRepeatedly has disks lost again and again, each as soon as the last one has caught up,
// beside the other failures, so that seats change hands in the middle of everything.
func (s *Soak) EraseDisksRepeatedly() {
	// A stall that an earlier life of a disk has begun lasts up to nine seconds.
	s.settleTime = 10 * clock.Second
	s.Every(300*clock.Millisecond, func() bool {
		if s.healed {
			return false
		}
		slot := s.Random.IntN(len(s.Servers))
		server := s.Servers[slot]
		switch {
		case !server.alive && s.Random.IntN(3) > 0:
			server.Start(false)
		case server.alive && s.canEraseDisk(slot) && s.Random.IntN(3) == 0:
			s.RecordTrace("kill core %d and lose its disk", slot)
			server.Crash()
			server.EraseDisk()
		}
		return true
	})
}

func (s *Soak) injectFault() {
	slots := len(s.Servers)
	slot := s.Random.IntN(slots)
	server := s.Servers[slot]
	switch choice := s.Random.IntN(13); choice {
	case 0, 1:
		s.RecordTrace("kill core %d", slot)
		server.Crash()
	case 2:
		s.RecordTrace("kill all cores")
		for _, other := range s.Servers {
			other.Crash()
		}
	case 3:
		if s.canEraseDisk(slot) {
			s.RecordTrace("kill core %d and lose its disk", slot)
			server.Crash()
			server.EraseDisk()
		}
	case 4, 5:
		duration := s.RandomBetween(100*clock.Millisecond, 8*clock.Second)
		s.RecordTrace("freeze core %d for %d ms", slot, duration/clock.Millisecond)
		server.Freeze(duration)
	case 6:
		s.RecordTrace("isolate machine %d", slot)
		s.Isolate(s.Random.IntN(slots+3), slots+3)
	case 7:
		to := (slot + 1 + s.Random.IntN(slots-1)) % slots
		s.RecordTrace("cut %d to %d", slot, to)
		s.Partition(slot, to)
	case 8:
		s.RecordTrace("slow disk of core %d", slot)
		server.maxSyncTime = s.RandomBetween(50*clock.Millisecond, 2*clock.Second)
	case 10:
		duration := s.RandomBetween(100*clock.Millisecond, 9*clock.Second)
		s.RecordTrace("stall disk of core %d for %d ms", slot, duration/clock.Millisecond)
		server.stalledUntil = s.Now() + duration
	case 9:
		s.RecordTrace("loss and slow links")
		s.LossRate = s.Random.Float64() / 2
		s.DelayLink(slot, (slot+1)%slots, s.RandomBetween(0, 500*clock.Millisecond))
	default:
		s.healAll()
	}
}

func (s *Soak) checkInvariants() {
	for _, violation := range s.Observer.Violations() {
		s.ReportViolation("engine: %s", violation)
	}
	longest := s.Servers[0].stateMachine.Entries
	for _, server := range s.Servers {
		if len(server.stateMachine.Entries) > len(longest) {
			longest = server.stateMachine.Entries
		}
	}
	for _, server := range s.Servers {
		if !slices.Equal(server.stateMachine.Entries, longest[:len(server.stateMachine.Entries)]) {
			s.ReportViolation("core %d has another book", server.slot)
		}
		if len(longest)-len(server.stateMachine.Entries) > 5 {
			s.ReportViolation("core %d is %d lines behind", server.slot, len(longest)-len(server.stateMachine.Entries))
		}
	}
	present := map[uint64]int{}
	for _, entry := range longest {
		if present[entry]++; present[entry] > 1 {
			s.ReportViolation("line %d stands twice", entry)
		}
	}
	for entry := range s.Acknowledged {
		if present[entry] == 0 {
			s.ReportViolation("acknowledged line %d is missing", entry)
		}
	}
	if len(s.Acknowledged) == 0 {
		s.ReportViolation("nothing was ever acknowledged")
	}
}

// Report is the run in lines, for a replay.
func (s *Soak) Report() string {
	report := fmt.Sprintf("seed %d: asked %d, acknowledged %d, orders %d, messages %d, late %d, recovered in %d ms\n",
		s.Seed, s.Proposed, len(s.Acknowledged), s.Observer.CommandCount(), s.MessagesSent, s.ExpiredMessages, s.RecoveryTime/clock.Millisecond)
	for _, line := range append(slices.Clone(s.Trace), s.Violations...) {
		report += line + "\n"
	}
	return report
}
