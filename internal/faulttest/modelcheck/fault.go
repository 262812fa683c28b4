package modelcheck

import (
	"fmt"

	"coursepass/internal/consensus"
)

// injectFault begins or ends a fault of a daemon; it returns false if that is not enabled now.
func (s *State) injectFault(action Action, daemon *daemonState) bool {
	switch action.Kind {
	case ActionCrash:
		if daemon.crashed || !spendBudget(&s.remainingBudget.Crashes) {
			return false
		}
		s.crash(daemon, action.Other)
	case ActionRestart:
		if !daemon.crashed {
			return false
		}
		daemon.crashed = false
		s.startReplica(daemon, s.initialMembership(), false)
	case ActionWipe:
		return s.wipeDisk(daemon)
	case ActionFreeze:
		if !daemon.isRunning() || !spendBudget(&s.remainingBudget.Freezes) {
			return false
		}
		daemon.frozen = true
	case ActionThaw:
		if !daemon.frozen {
			return false
		}
		daemon.frozen = false
	case ActionStallDisk:
		if !daemon.isRunning() || daemon.diskStalled || !spendBudget(&s.remainingBudget.DiskStalls) {
			return false
		}
		daemon.diskStalled = true
	case ActionUnstallDisk:
		if !daemon.diskStalled {
			return false
		}
		daemon.diskStalled = false
	case ActionPartition, ActionIsolate, ActionHeal:
		return s.changePartitions(action)
	case ActionReplace, ActionForceReplace:
		return s.startReplacement(action, daemon)
	default:
		return false
	}
	return true
}

// wipeDisk loses the disk of a daemon that is down. It is enabled only while all other members
// have all acknowledged entries: more lost disks at once are outside of the guarantees.
func (s *State) wipeDisk(daemon *daemonState) bool {
	if !daemon.crashed || daemon.diskWiped {
		return false
	}
	for _, member := range s.latestMembership().Members {
		for _, other := range s.daemons {
			if other != daemon && other.member.Address == member.Address && s.lacksAcknowledgedEntry(other) {
				return false
			}
		}
	}
	if !spendBudget(&s.remainingBudget.Wipes) {
		return false
	}
	daemon.diskWiped = true
	daemon.member.Identity = fmt.Sprintf("%s-%d", daemon.member.Name, daemon.incarnation)
	clear(daemon.disk.Shards)
	return true
}

// latestMembership returns the membership of the highest epoch that any daemon knows.
func (s *State) latestMembership() consensus.Membership {
	latest := s.daemons[0].membership
	for _, daemon := range s.daemons {
		if daemon.membership.Epoch > latest.Epoch {
			latest = daemon.membership
		}
	}
	return latest
}

// lacksAcknowledgedEntry reports whether a daemon's disk may be without an acknowledged entry.
func (s *State) lacksAcknowledgedEntry(daemon *daemonState) bool {
	history := daemon.disk.Shard(0)
	last, _ := history.LastPosition()
	isMember := daemon.crashed || daemon.replica != nil && !daemon.replica.Recovering()
	if daemon.diskWiped || !history.HasPromise || !isMember {
		return true
	}
	for _, acknowledged := range s.checker.acknowledgements {
		if acknowledged.index > last {
			return true
		}
	}
	return false
}

func (s *State) changePartitions(action Action) bool {
	if action.Kind == ActionHeal {
		if len(s.partitions) == 0 {
			return false
		}
		clear(s.partitions)
		return true
	}
	link := [2]int{action.Daemon, action.Other}
	if action.Kind == ActionPartition && (action.Daemon == action.Other || s.partitions[link]) {
		return false
	}
	if !spendBudget(&s.remainingBudget.Partitions) {
		return false
	}
	if action.Kind == ActionPartition {
		s.partitions[link] = true
		return true
	}
	s.isolate(action.Daemon, isolation(action.Other))
	return true
}

// isolation is the direction in which a daemon is isolated from all others.
type isolation int

// The directions, as numbers of the replay format.
const (
	isolateBoth isolation = iota
	isolateInbound
	isolateOutbound
	isolationCount
)

func (s *State) isolate(daemon int, direction isolation) {
	for other := range s.daemons {
		if other == daemon {
			continue
		}
		if direction != isolateInbound {
			s.partitions[[2]int{daemon, other}] = true
		}
		if direction != isolateOutbound {
			s.partitions[[2]int{other, daemon}] = true
		}
	}
}

// startReplacement has a daemon that is no member ask to replace a member; ActionForceReplace does
// so also if that member is alive.
func (s *State) startReplacement(action Action, daemon *daemonState) bool {
	if daemon.crashed || daemon.replica != nil || daemon.replaces != "" {
		return false
	}
	if action.Other < 0 || action.Other >= len(s.daemons) {
		return false
	}
	if !spendBudget(&s.remainingBudget.Replacements) {
		return false
	}
	daemon.replaces = s.daemons[action.Other].member.Name
	daemon.forceReplace = action.Kind == ActionForceReplace
	return true
}

// wakesPerDelta is how often the timers fire within one δ of a stable period.
const wakesPerDelta = 2

// stabilize lets a number of δ pass in which everything is delivered and synced that can be.
func (s *State) stabilize(intervals int) {
	for range wakesPerDelta * intervals {
		s.quiesce()
		s.checkInvariants()
		s.Now += s.options.Delta / wakesPerDelta
		s.wakeReplicas()
		for _, daemon := range s.daemons {
			if daemon.isRunning() && (daemon.replica == nil || daemon.replica.MembershipUncertain(s.Now)) {
				s.queryAllMemberships(daemon)
			}
		}
	}
	s.quiesce()
}

func (s *State) queryAllMemberships(daemon *daemonState) {
	for _, other := range s.daemons {
		if s.canQueryMembership(daemon, other) {
			s.queryMembership(daemon, other)
		}
	}
}

// maxQuiesceSteps bounds the deliveries and syncs at one time of a stable period.
const maxQuiesceSteps = 400

// quiesce delivers and syncs until there is nothing left to do, or maxQuiesceSteps are done.
func (s *State) quiesce() {
	for range maxQuiesceSteps {
		if !s.syncOne() && !s.deliverOne() {
			return
		}
	}
}

func (s *State) syncOne() bool {
	for _, daemon := range s.daemons {
		if s.canSync(daemon) {
			s.syncDisk(daemon)
			return true
		}
	}
	return false
}

// deliverOne delivers the oldest message; one that a partition stops is lost.
func (s *State) deliverOne() bool {
	for index, packet := range s.inFlight {
		if s.daemons[packet.to].frozen {
			continue
		}
		s.inFlight = append(s.inFlight[:index:index], s.inFlight[index+1:]...)
		if s.isDeliverable(packet) {
			s.receiveMessage(packet)
		}
		return true
	}
	return false
}
