package membership

import (
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/controlplane/replication"
)

const (
	// standbyReplacementDelay is how long a member must have been silent before a standby may replace it.
	standbyReplacementDelay = 2 * clock.Second
	// noSlot is the slot index that means "no slot".
	noSlot = replication.NoSlot
	// majorityDivisor divides the number of slots; a majority is any number greater than the quotient.
	majorityDivisor = 2
)

// slotState describes the member in a slot as the leader of the shard sees it.
type slotState struct {
	member    consensus.Member
	isLeader  bool
	silentFor clock.Microseconds
	caughtUp  bool
	// draining means that the member's zone is being drained for maintenance.
	draining bool
}

func (s slotState) isResponsive() bool { return s.silentFor < standbyReplacementDelay }

// isUnidentified reports whether a responsive member has not sent its name yet. The zone of such a member is not
// known either.
func (s slotState) isUnidentified() bool {
	return !s.member.Vacant() && s.member.Name == "" && s.isResponsive()
}

func (s slotState) isHealthy() bool {
	return !s.member.Vacant() && (s.isLeader || s.isResponsive() && s.caughtUp)
}

// unservedDuration returns how long no member has served the slot: clock.Never for a vacant slot, and 0 for a slot
// whose member is responsive.
func (s slotState) unservedDuration() clock.Microseconds {
	switch {
	case s.member.Vacant():
		return clock.Never
	case s.isResponsive():
		return 0
	default:
		return s.silentFor
	}
}

// replaceableSlot returns the slot that a standby in the given zone may take, or noSlot if there is none. This is
// a vacant slot or else the slot whose member has been silent longest. While all members are healthy, it is a
// slot whose member's zone is being drained. The loss of the standby's zone must leave a majority of the slots;
// therefore the standby gets no slot while the zone of a responsive member is not known yet.
func replaceableSlot(slots []slotState, zone string) int {
	if slices.ContainsFunc(slots, slotState.isUnidentified) {
		return noSlot
	}
	unservedSlot, drainingSlot := noSlot, noSlot
	longestUnserved := clock.Microseconds(0)
	allHealthy := true
	for slot, state := range slots {
		allHealthy = allHealthy && state.isHealthy()
		if state.isLeader || !zoneMayHoldSlot(slots, slot, zone) {
			continue
		}
		if state.draining {
			drainingSlot = slot
		}
		if duration := state.unservedDuration(); duration > longestUnserved {
			unservedSlot, longestUnserved = slot, duration
		}
	}
	if unservedSlot == noSlot && allHealthy {
		return drainingSlot
	}
	return unservedSlot
}

// zoneMayHoldSlot reports whether the loss of a zone would still leave a majority of the slots if the zone held the
// given slot in addition to its other slots.
func zoneMayHoldSlot(slots []slotState, slot int, zone string) bool {
	slotsInZone := 0
	for otherSlot, other := range slots {
		if otherSlot != slot && !other.member.Vacant() && other.member.Zone == zone {
			slotsInZone++
		}
	}
	return slotsInZone < len(slots)/majorityDivisor
}
