package usagereport

import (
	"coursepass/internal/clock"
	"coursepass/internal/timesync"
	"coursepass/internal/usage"
)

const (
	// percent is the divisor of percentages.
	percent = 100
	// collectPercent is the time after the end of a window at which its collection starts, in percent of the delay.
	// It is late enough for reports that routers send after a freeze or a lost call. It is early enough for another
	// server to collect the window in time if the leader is killed, which takes an election and a lease without
	// activity first.
	collectPercent = 30
	// giveUpPercent is the time after the end of a window at which it is reported without the servers that have not
	// answered, in percent of the delay.
	giveUpPercent = 50
	// maxBacklog is the maximum number of windows that wait to be reported after an outage. Older ones are skipped,
	// since routers and servers have dropped most of their usage by then.
	maxBacklog = 12
)

// schedule computes which window is reported next, and when. Its methods are pure functions. All times are true times.
type schedule struct {
	windows usage.Windows
	delay   clock.Microseconds
}

// collectAt returns the time from which on a window may be collected.
func (s schedule) collectAt(window uint64) clock.Microseconds {
	return s.windows.End(window) + s.delay*collectPercent/percent
}

// giveUpAt returns the time until which the task waits for servers that have not answered.
func (s schedule) giveUpAt(window uint64) clock.Microseconds {
	return s.windows.End(window) + s.delay*giveUpPercent/percent
}

// dueAt returns the time at which the report of a window is due.
func (s schedule) dueAt(window uint64) clock.Microseconds { return s.windows.End(window) + s.delay }

// mayCollect reports whether a window may be collected now. An estimate of the true time is unreliable if a single
// machine with a wrong clock may have caused it. With such an estimate, a window is collected only from the time on
// at which servers would be given up anyway: a wrong report can't be withdrawn, whereas a delay can be made up.
func (s schedule) mayCollect(window uint64, now clock.Microseconds, estimate timesync.Estimate) bool {
	if estimate.Reliable() {
		return now >= s.collectAt(window)
	}
	return now >= s.giveUpAt(window)
}

// firstWindow returns the first window to report if none has been reported before: the current one.
func (s schedule) firstWindow(now clock.Microseconds) uint64 { return s.windows.At(now) }

// nextWindow returns the window to report after the last reported one, and the number of windows that are skipped
// because the backlog would exceed maxBacklog.
func (s schedule) nextWindow(reported uint64, now clock.Microseconds) (window, skipped uint64) {
	window = reported + 1
	if current := s.windows.At(now); current > window+maxBacklog {
		skipped = current - window - maxBacklog
	}
	return window + skipped, skipped
}

// lastDraftable returns the highest window that any leader can have drafted by now: the last one that has ended.
func (s schedule) lastDraftable(now clock.Microseconds) uint64 {
	return max(s.windows.At(now), 1) - 1
}
