package explore

import (
	"fmt"
	"strings"

	"coursepass/internal/clock"
)

// Describe is a line for each daemon, for whoever reads a failing path.
func (s *World) Describe() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d ms, %d messages under way\n", s.Now/schedule.Millisecond, len(s.network))
	for _, each := range s.daemons {
		fmt.Fprintf(&text, "  daemon %d: %s\n", each.number, s.describe(each))
	}
	return text.String()
}

func (s *World) describe(each *daemon) string {
	var marks []string
	for mark, set := range map[string]bool{"down": each.down, "frozen": each.frozen, "stalled": each.stalled, "wiped": each.wiped} {
		if set {
			marks = append(marks, mark)
		}
	}
	if each.member == nil {
		return fmt.Sprintf("%v no member, bindings %d, %d unsynced", marks, each.known.Epoch, len(each.pending))
	}
	leader, round := each.member.Leader()
	commit, current := each.member.Current()
	index, last := each.member.Last()
	text := fmt.Sprintf("%v slot %d, leader %d of round %d, promised %d, log %d of round %d, base %d, commit %d, bindings %d, label %d, %d unsynced",
		marks, each.member.Self, leader, round, each.member.Round(), index, last, each.member.Base.Index, commit, each.known.Epoch,
		each.replica.present.state.Label, len(each.pending))
	for mark, set := range map[string]bool{"owner": each.member.Owns(), "current": current, "recovering": each.member.Recovering()} {
		if set {
			text += ", " + mark
		}
	}
	return text
}
