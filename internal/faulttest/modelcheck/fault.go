package modelcheck

import (
	"fmt"

	"coursepass/internal/consensus"
)

// injectFault lets a failure happen to a daemon, or end.
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

// wipeDisk loses the disk of a daemon that is down. It happens only while all others that
// have seats hold what was acknowledged: more at once is outside of what is promised.
func (s *State) wipeDisk(daemon *daemonState) bool {
	if !daemon.crashed || daemon.diskWiped {
		return false
	}
	for _, member := range s.latestMembership().Seats {
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

// latestMembership are the latest bindings that any daemon knows.
func (s *State) latestMembership() consensus.Membership {
	latest := s.daemons[0].membership
	for _, daemon := range s.daemons {
		if daemon.membership.Epoch > latest.Epoch {
			latest = daemon.membership
		}
	}
	return latest
}

// lacksAcknowledgedEntry tells whether a daemon's disk is without something that was acknowledged.
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
	if action.Kind == ActionPartition && (action.Daemon == action.Other || s.partitions[[2]int{action.Daemon, action.Other}]) || !spendBudget(&s.remainingBudget.Partitions) {
		return false
	}
	if action.Kind == ActionPartition {
		s.partitions[[2]int{action.Daemon, action.Other}] = true
		return true
	}
	// Isolated is a daemon both ways (0), only in what it hears (1) or in what it says (2).
	for other := range s.daemons {
		if other != action.Daemon && action.Other != 1 {
			s.partitions[[2]int{action.Daemon, other}] = true
		}
		if other != action.Daemon && action.Other != 2 {
			s.partitions[[2]int{other, action.Daemon}] = true
		}
	}
	return true
}

// startReplacement has a daemon without a seat look for that of another; with an override it takes
// the seat also of one that answers.
func (s *State) startReplacement(action Action, daemon *daemonState) bool {
	if daemon.crashed || daemon.replica != nil || daemon.replaces != "" || action.Other < 0 || action.Other >= len(s.daemons) || !spendBudget(&s.remainingBudget.Replacements) {
		return false
	}
	daemon.replaces, daemon.forceReplace = s.daemons[action.Other].member.Name, action.Kind == ActionForceReplace
	return true
}

// stabilize lets so many δ pass in which all that can be delivered and synced is.
func (s *State) stabilize(intervals int) {
	for range 2 * intervals {
		s.quiesce()
		s.checkInvariants()
		s.Now += s.options.Delta / 2
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

// maxQuiesceSteps bounds the messages and syncs of one moment in a calm.
const maxQuiesceSteps = 400

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

// deliverOne delivers the oldest message; what is cut off is lost.
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
