package modelcheck

import (
	"fmt"
	"strings"

	"coursepass/internal/clock"
)

// Describe is a line for each daemon, for whoever reads a failing path.
func (s *State) Describe() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d ms, %d messages under way\n", s.Now/clock.Millisecond, len(s.inFlight))
	for _, daemon := range s.daemons {
		fmt.Fprintf(&text, "  daemon %d: %s\n", daemon.number, s.describeDaemon(daemon))
	}
	return text.String()
}

func (s *State) describeDaemon(daemon *daemonState) string {
	var flags []string
	for flag, set := range map[string]bool{"down": daemon.crashed, "frozen": daemon.frozen, "stalled": daemon.diskStalled, "wiped": daemon.diskWiped} {
		if set {
			flags = append(flags, flag)
		}
	}
	if daemon.replica == nil {
		return fmt.Sprintf("%v no member, bindings %d, %d unsynced", flags, daemon.membership.Epoch, len(daemon.pendingWrites))
	}
	leader, term := daemon.replica.Leader()
	commit, current := daemon.replica.CommitIndex()
	index, last := daemon.replica.LastPosition()
	text := fmt.Sprintf("%v slot %d, leader %d of round %d, promised %d, log %d of round %d, base %d, commit %d, bindings %d, label %d, %d unsynced",
		flags, daemon.replica.Self, leader, term, daemon.replica.Term(), index, last, daemon.replica.Snapshot.Index, commit, daemon.membership.Epoch,
		daemon.stateMachine.version.state.Label, len(daemon.pendingWrites))
	for flag, set := range map[string]bool{"owner": daemon.replica.IsLeader(), "current": current, "recovering": daemon.replica.Recovering()} {
		if set {
			text += ", " + flag
		}
	}
	return text
}
