package simulation

import (
	"fmt"
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/faulttest/emulator"
)

// Soak is one seeded run of mixed faults over a cluster, its routers and an engine.
type Soak struct {
	*Cluster
	Routers  []*Router
	Observer *emulator.Observer
	// RecoveryTime is how long after the last fault the cluster served again. Run sets it.
	RecoveryTime clock.Microseconds
	healed       bool
	// settleTime is how long the cluster runs on before the logs are compared.
	settleTime clock.Microseconds
}

// RecoveryLimit is how long after the last fault the cluster may be unavailable.
const RecoveryLimit = 12 * clock.Second

// The size and the timing of a soak.
const (
	defaultServers = 3
	routerCount    = 3

	minLatency = 200 * clock.Microseconds(1)
	maxLatency = 3 * clock.Millisecond
	// maxClockDrift is the greatest relative error of a server's clock, in either direction.
	maxClockDrift = 1e-4

	requestInterval = 40 * clock.Millisecond
	startupTime     = 4 * clock.Second
	minFaultTime    = 100 * clock.Millisecond
	maxFaultTime    = 5 * clock.Second
	pollInterval    = 50 * clock.Millisecond

	settleTime = 5 * clock.Second
	// A disk stall that began before the last fault lasts up to maxStallTime.
	settleTimeWithStalledDisks = 10 * clock.Second

	maxFreezeTime    = 8 * clock.Second
	minSlowSyncTime  = 50 * clock.Millisecond
	maxSlowSyncTime  = 2 * clock.Second
	maxStallTime     = 9 * clock.Second
	maxLinkDelay     = 500 * clock.Millisecond
	maxLossRate      = 0.5
	eraseInterval    = 300 * clock.Millisecond
	eraseOneInChance = 3
	// maxLaggingEntries is how far behind a replica may be after the settle time.
	maxLaggingEntries = 5
)

// soakFault is a kind of fault of a soak.
type soakFault int

// The faults, and their end.
const (
	faultCrashServer soakFault = iota
	faultCrashAllServers
	faultEraseDisk
	faultFreezeServer
	faultIsolateHost
	faultPartitionLink
	faultSlowDisk
	faultStallDisk
	faultLossyLinks
	faultsHeal
)

// soakFaultDraws are what a random number is drawn from: kinds that stand twice are twice as likely.
// The order is part of what a seed leads to.
var soakFaultDraws = []soakFault{
	faultCrashServer,
	faultCrashServer,
	faultCrashAllServers,
	faultEraseDisk,
	faultFreezeServer,
	faultFreezeServer,
	faultIsolateHost,
	faultPartitionLink,
	faultSlowDisk,
	faultLossyLinks,
	faultStallDisk,
	faultsHeal,
	faultsHeal,
}

// NewSoak makes a soak of three servers and three routers.
func NewSoak(seed uint64) *Soak { return NewSoakWithServers(seed, defaultServers) }

// NewSoakWithServers makes a soak of so many servers, and three routers.
func NewSoakWithServers(seed uint64, slots int) *Soak {
	simulator := NewSimulator(seed)
	network := NewNetwork(simulator, minLatency, maxLatency)
	soak := &Soak{Cluster: NewCluster(network, slots), settleTime: settleTime}
	for number := range routerCount {
		soak.Routers = append(soak.Routers, soak.NewRouter(slots+number))
	}
	soak.Observer = soak.SendEngineCommands()
	for _, server := range soak.Servers {
		server.clockDrift = (2*simulator.Random.Float64() - 1) * maxClockDrift
	}
	soak.Every(requestInterval, func() bool {
		soak.Servers[simulator.Random.IntN(slots)].Propose()
		soak.Servers[simulator.Random.IntN(slots)].BeginRead()
		return true
	})
	return soak
}

// NewExtendedSoak makes a soak of three servers whose state machines have an extension each. It has neither routers nor
// an engine; the caller proposes. It serves again as soon as there is a leader, when a sync that stalled before the last
// fault may still go on, so that it takes the longer time to settle.
func NewExtendedSoak(seed uint64, newExtension func() consensus.StateMachine) *Soak {
	simulator := NewSimulator(seed)
	network := NewNetwork(simulator, minLatency, maxLatency)
	cluster := NewExtendedCluster(network, defaultServers, newExtension)
	soak := &Soak{Cluster: cluster, settleTime: settleTimeWithStalledDisks}
	soak.Observer = soak.SendEngineCommands()
	for _, server := range soak.Servers {
		server.clockDrift = (2*simulator.Random.Float64() - 1) * maxClockDrift
	}
	return soak
}

// Run injects faults for a duration of virtual time, heals all, checks the invariants and returns the
// violations.
func (s *Soak) Run(duration clock.Microseconds) []string {
	s.Simulator.Run(startupTime)
	end := s.Now() + duration
	for s.Now() < end {
		s.injectFault()
		s.Simulator.Run(s.RandomBetween(minFaultTime, maxFaultTime))
	}
	s.healAll()
	s.healed = true
	healed := s.Now()
	for s.Now()-healed < RecoveryLimit && !s.isServing() {
		s.Simulator.Run(pollInterval)
	}
	s.RecoveryTime = s.Now() - healed
	if !s.isServing() {
		s.ReportViolation("not serving %d ms after all faults have ended", s.RecoveryTime/clock.Millisecond)
	}
	s.Simulator.Run(s.settleTime)
	s.checkInvariants()
	return s.Violations
}

// isServing reports whether exactly one server leads with a lease, and all routers accept requests.
func (s *Soak) isServing() bool {
	leaders := 0
	for _, server := range s.Servers {
		activeLease := server.replica.LeaderLease()
		if server.alive && server.replica.IsLeader() && activeLease.ExpiresAt() > server.LocalTime() {
			leaders++
		}
	}
	for _, router := range s.Routers {
		if !router.gate.IsOpen(router.now(), router.installedRevision) {
			return false
		}
	}
	return leaders == 1
}

// healAll ends all faults and starts the servers that are down.
func (s *Soak) healAll() {
	s.Heal()
	for _, server := range s.Servers {
		server.frozenUntil = 0
		server.maxSyncTime = normalMaxSyncTime
		server.stalledUntil = 0
		if !server.alive {
			server.Start(false)
		}
	}
	s.RecordTrace("healed")
}

// canEraseDisk reports whether a majority keeps its disks if one more is lost. A server that lost its
// disk counts as lost until it has caught up.
func (s *Soak) canEraseDisk(slot int) bool {
	incomplete := 0
	for _, server := range s.Servers {
		if server.slot != slot && !server.disk.Shard(0).HasPromise {
			incomplete++
		}
	}
	return incomplete < (len(s.Servers)-1)/2
}

// EraseDisksRepeatedly erases disks again and again besides the other faults, each as soon as the
// last one has caught up, so that memberships change in the middle of everything.
func (s *Soak) EraseDisksRepeatedly() {
	s.settleTime = settleTimeWithStalledDisks
	s.Every(eraseInterval, func() bool {
		if s.healed {
			return false
		}
		slot := s.Random.IntN(len(s.Servers))
		server := s.Servers[slot]
		switch {
		case !server.alive && s.Random.IntN(eraseOneInChance) > 0:
			server.Start(false)
		case server.alive && s.canEraseDisk(slot) && s.Random.IntN(eraseOneInChance) == 0:
			s.crashAndErase(server)
		}
		return true
	})
}

func (s *Soak) crashAndErase(server *Server) {
	s.RecordTrace("crash server %d and erase its disk", server.slot)
	server.Crash()
	server.EraseDisk()
}

// injectFault draws a server and a fault, and injects it.
func (s *Soak) injectFault() {
	slots := len(s.Servers)
	server := s.Servers[s.Random.IntN(slots)]
	switch soakFaultDraws[s.Random.IntN(len(soakFaultDraws))] {
	case faultCrashServer:
		s.RecordTrace("crash server %d", server.slot)
		server.Crash()
	case faultCrashAllServers:
		s.RecordTrace("crash all servers")
		for _, other := range s.Servers {
			other.Crash()
		}
	case faultEraseDisk:
		if s.canEraseDisk(server.slot) {
			s.crashAndErase(server)
		}
	case faultFreezeServer:
		duration := s.RandomBetween(minFaultTime, maxFreezeTime)
		s.RecordTrace("freeze server %d for %d ms", server.slot, duration/clock.Millisecond)
		server.Freeze(duration)
	case faultIsolateHost:
		host := s.Random.IntN(slots + routerCount)
		s.RecordTrace("isolate host %d", host)
		s.Isolate(host, slots+routerCount)
	case faultPartitionLink:
		to := (server.slot + 1 + s.Random.IntN(slots-1)) % slots
		s.RecordTrace("partition %d from %d", server.slot, to)
		s.Partition(server.slot, to)
	case faultSlowDisk:
		s.RecordTrace("slow disk of server %d", server.slot)
		server.maxSyncTime = s.RandomBetween(minSlowSyncTime, maxSlowSyncTime)
	case faultStallDisk:
		duration := s.RandomBetween(minFaultTime, maxStallTime)
		s.RecordTrace("stall disk of server %d for %d ms", server.slot, duration/clock.Millisecond)
		server.stalledUntil = s.Now() + duration
	case faultLossyLinks:
		s.RecordTrace("message loss and slow links")
		s.LossRate = s.Random.Float64() * maxLossRate
		s.DelayLink(server.slot, (server.slot+1)%slots, s.RandomBetween(0, maxLinkDelay))
	case faultsHeal:
		s.healAll()
	}
}

// checkInvariants checks that all logs are prefixes of the longest one, that no entry is there twice
// and that none that was acknowledged is missing.
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
		entries := server.stateMachine.Entries
		if !slices.Equal(entries, longest[:len(entries)]) {
			s.ReportViolation("server %d has another log", server.slot)
		}
		if lag := len(longest) - len(entries); lag > maxLaggingEntries {
			s.ReportViolation("server %d is %d entries behind", server.slot, lag)
		}
	}
	present := map[uint64]int{}
	for _, entry := range longest {
		present[entry]++
		if present[entry] > 1 {
			s.ReportViolation("entry %d is there twice", entry)
		}
	}
	for entry := range s.Acknowledged {
		if present[entry] == 0 {
			s.ReportViolation("acknowledged entry %d is missing", entry)
		}
	}
	if len(s.Acknowledged) == 0 {
		s.ReportViolation("nothing was ever acknowledged")
	}
}

// Report returns the totals, the trace and the violations, one a line.
func (s *Soak) Report() string {
	report := fmt.Sprintf("seed %d: proposed %d, acknowledged %d, commands %d, messages %d, expired %d, recovered in %d ms\n",
		s.Seed, s.Proposed, len(s.Acknowledged), s.Observer.CommandCount(),
		s.MessagesSent, s.ExpiredMessages, s.RecoveryTime/clock.Millisecond)
	for _, line := range append(slices.Clone(s.Trace), s.Violations...) {
		report += line + "\n"
	}
	return report
}
