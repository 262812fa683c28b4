package modelcheck

import (
	"fmt"
	"strings"

	"coursepass/internal/clock"
)

// Describe returns a line on each daemon, for the reader of a failing path.
func (s *State) Describe() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d ms, %d messages in flight\n", s.Now/clock.Millisecond, len(s.inFlight))
	for _, daemon := range s.daemons {
		fmt.Fprintf(&text, "  daemon %d: %s\n", daemon.number, s.describeDaemon(daemon))
	}
	return text.String()
}

// flag is a condition that a description names if it holds.
type flag struct {
	name string
	set  bool
}

func namesOfSet(flags []flag) []string {
	var names []string
	for _, candidate := range flags {
		if candidate.set {
			names = append(names, candidate.name)
		}
	}
	return names
}

func (s *State) describeDaemon(daemon *daemonState) string {
	conditions := namesOfSet([]flag{
		{"down", daemon.crashed},
		{"frozen", daemon.frozen},
		{"stalled", daemon.diskStalled},
		{"wiped", daemon.diskWiped},
	})
	replica := daemon.replica
	if replica == nil {
		return fmt.Sprintf("%v no replica, membership %d, %d unsynced", conditions, daemon.membership.Epoch, len(daemon.pendingWrites))
	}
	leader, term := replica.Leader()
	commit, current := replica.CommitIndex()
	index, last := replica.LastPosition()
	var text strings.Builder
	fmt.Fprintf(&text, "%v slot %d, leader %d of term %d, promised %d, ", conditions, replica.Self, leader, term, replica.Term())
	fmt.Fprintf(&text, "log %d of term %d, snapshot %d, commit %d, ", index, last, replica.Snapshot.Index, commit)
	fmt.Fprintf(&text, "membership %d, label %d, ", daemon.membership.Epoch, daemon.stateMachine.version.state.Label)
	fmt.Fprintf(&text, "%d unsynced", len(daemon.pendingWrites))
	roles := namesOfSet([]flag{
		{"leader", replica.IsLeader()},
		{"current", current},
		{"recovering", replica.Recovering()},
	})
	for _, role := range roles {
		text.WriteString(", " + role)
	}
	return text.String()
}
