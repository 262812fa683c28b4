package membership

import (
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/controlplane/replication"
)

const (
	// standbyReplacementDelay is how long a member must be silent until a standby may replace it.
	standbyReplacementDelay = 2 * clock.Second
	// noSlot is the index that stands for no slot at all.
	noSlot = replication.NoSlot
	// majorityDivisor divides a number of slots: more than the quotient is a majority.
	majorityDivisor = 2
)

// slotState is what a leader knows of the member in a slot.
type slotState struct {
	member    consensus.Member
	isLeader  bool
	silentFor clock.Microseconds
	caughtUp  bool
	// draining says that the member's zone is being drained for maintenance.
	draining bool
}

func (s slotState) isResponsive() bool { return s.silentFor < standbyReplacementDelay }

// isUnidentified tells whether a responsive member has not sent its name yet, and so its zone is not known either.
func (s slotState) isUnidentified() bool {
	return !s.member.Vacant() && s.member.Name == "" && s.isResponsive()
}

func (s slotState) isHealthy() bool {
	return !s.member.Vacant() && (s.isLeader || s.isResponsive() && s.caughtUp)
}

// unservedFor returns how long nobody has served the slot: clock.Never for a vacant one, 0 for one
// whose member is responsive.
func (s slotState) unservedFor() clock.Microseconds {
	switch {
	case s.member.Vacant():
		return clock.Never
	case s.isResponsive():
		return 0
	default:
		return s.silentFor
	}
}

// replaceableSlot returns the slot that a standby in a zone may take, or noSlot: a vacant one, or the
// one whose member has been silent longest. While all members are healthy, it may take one whose zone
// is being drained. The loss of the standby's zone must leave a majority of the slots; so nothing is taken
// while a responsive member's zone is not known yet.
func replaceableSlot(slots []slotState, zone string) int {
	if slices.ContainsFunc(slots, slotState.isUnidentified) {
		return noSlot
	}
	best, drainingSlot := noSlot, noSlot
	longest := clock.Microseconds(0)
	allHealthy := true
	for slot, state := range slots {
		allHealthy = allHealthy && state.isHealthy()
		if state.isLeader || !zoneHasCapacity(slots, slot, zone) {
			continue
		}
		if state.draining {
			drainingSlot = slot
		}
		if unservedFor := state.unservedFor(); unservedFor > longest {
			best, longest = slot, unservedFor
		}
	}
	if best == noSlot && allHealthy {
		return drainingSlot
	}
	return best
}

// zoneHasCapacity tells whether a zone may have the slot besides those it has already.
func zoneHasCapacity(slots []slotState, slot int, zone string) bool {
	sameZone := 0
	for otherSlot, other := range slots {
		if otherSlot != slot && !other.member.Vacant() && other.member.Zone == zone {
			sameZone++
		}
	}
	return sameZone < len(slots)/majorityDivisor
}
