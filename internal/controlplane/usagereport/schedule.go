package usagereport

import (
	"coursepass/internal/clock"
	"coursepass/internal/timesync"
	"coursepass/internal/usage"
)

const (
	// percent is the whole of the delay.
	percent = 100
	// collectPercent is when a window is collected, in percent of the delay after its end: late enough that what
	// routers reported after a freeze or a lost call has arrived, and early enough that another server can still
	// collect it in time, after an election and a quiet lease, if the leader is killed.
	collectPercent = 30
	// giveUpPercent is when a window is reported without the servers that do not answer.
	giveUpPercent = 50
	// maxBacklog is how many windows may wait to be reported after an outage; older ones are given up. Routers and
	// servers have forgotten most of what they had of them.
	maxBacklog = 12
)

// schedule says which window is reported when. It is pure: all times are true times.
type schedule struct {
	windows usage.Windows
	delay   clock.Microseconds
}

// collectAt is when a window may be collected.
func (s schedule) collectAt(window uint64) clock.Microseconds {
	return s.windows.End(window) + s.delay*collectPercent/percent
}

// giveUpAt is until when servers are waited for.
func (s schedule) giveUpAt(window uint64) clock.Microseconds {
	return s.windows.End(window) + s.delay*giveUpPercent/percent
}

// dueAt is when the report of a window is due.
func (s schedule) dueAt(window uint64) clock.Microseconds { return s.windows.End(window) + s.delay }

// mayCollect reports whether a window may be collected now. An estimate of the time that one wrong machine may have
// caused is not relied on before servers would be given up anyway: a report can't be taken back, and one that is
// late can.
func (s schedule) mayCollect(window uint64, now clock.Microseconds, estimate timesync.Estimate) bool {
	if estimate.Reliable() {
		return now >= s.collectAt(window)
	}
	return now >= s.giveUpAt(window)
}

// first returns the first window that a fleet reports which has reported none: the current one.
func (s schedule) first(now clock.Microseconds) uint64 { return s.windows.At(now) }

// next returns the window to report after another one, and how many are skipped since too many would wait.
func (s schedule) next(reported uint64, now clock.Microseconds) (window, skipped uint64) {
	window = reported + 1
	if current := s.windows.At(now); current > window+maxBacklog {
		skipped = current - window - maxBacklog
	}
	return window + skipped, skipped
}

// lastDrafted returns the last window that any leader can have drafted by now.
func (s schedule) lastDrafted(now clock.Microseconds) uint64 {
	return max(s.windows.At(now), 1) - 1
}
