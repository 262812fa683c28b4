package replication

import (
	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/controlplane/controlapi"
)

// copyWarningDelay is the time for which a copy may be incomplete before it is logged, and the time between two such
// log lines.
const copyWarningDelay = recoveryLimit / 2

// copyTracker records since when each copy of a shard's log has been in its state, as long as this server leads the
// shard. Only the shard's loop uses it.
type copyTracker struct {
	states []trackedCopy
	// incompleteSince is the time since which some copy has been incomplete, or 0 if none is. warnedAt is the time of the
	// last log line about it.
	incompleteSince, warnedAt clock.Microseconds
}

type trackedCopy struct {
	state consensus.CopyState
	since clock.Microseconds
}

// update records the present copies, which are none if this server does not lead the shard.
func (c *copyTracker) update(now clock.Microseconds, copies []consensus.Copy) {
	if len(c.states) != len(copies) {
		*c = copyTracker{states: make([]trackedCopy, len(copies))}
		for slot := range c.states {
			c.states[slot].since = now
		}
	}
	complete := true
	for slot, current := range copies {
		if c.states[slot].state != current.State {
			c.states[slot] = trackedCopy{current.State, now}
		}
		complete = complete && current.State == consensus.CopyComplete
	}
	if complete {
		c.incompleteSince, c.warnedAt = 0, 0
	} else if c.incompleteSince == 0 {
		c.incompleteSince, c.warnedAt = now, now
	}
}

// warningDue reports whether an incomplete copy must be logged now.
func (c *copyTracker) warningDue(now clock.Microseconds) bool {
	if c.incompleteSince == 0 || now-c.warnedAt < copyWarningDelay {
		return false
	}
	c.warnedAt = now
	return true
}

// copyStatuses returns the copies of the shard's log as operators see them, or nil if this server does not lead the
// shard. It logs copies that have been incomplete for long.
func (r *ShardReplica) copyStatuses(now clock.Microseconds) []controlapi.CopyStatus {
	copies := r.replica.Copies(now)
	r.copies.update(now, copies)
	if copies == nil {
		return nil
	}
	warn := r.copies.warningDue(now)
	statuses := make([]controlapi.CopyStatus, len(copies))
	for slot, current := range copies {
		since := now - r.copies.states[slot].since
		statuses[slot] = controlapi.CopyStatus{
			Slot:           slot,
			Server:         current.Member.Name,
			Address:        current.Member.Address,
			State:          current.State.String(),
			MissingEntries: current.MissingEntries,
			Since:          since,
		}
		if warn && current.State != consensus.CopyComplete {
			log.Warn().Str("server", r.options.Self.Name).Int("shard", r.options.Shard).Int("slot", slot).
				Str("member", current.Member.Address).Str("state", current.State.String()).
				Uint64("missingEntries", current.MissingEntries).Int64("sinceMicroseconds", int64(since)).
				Msg("incomplete copy of the log")
		}
	}
	return statuses
}
