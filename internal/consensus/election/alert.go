package election

import "coursepass/internal/clock"

// alertValidDeltas is how long an ALERT is valid, in δ: during this time, slots in lower terms
// adopt no leader (Fig. 4).
const alertValidDeltas = 6

// receivedAlert is the term of an ALERT and the time at which the ALERT arrived.
type receivedAlert struct {
	term       uint64
	receivedAt clock.Microseconds
}

// handleAlert records an ALERT. An ALERT for a term above the current one clears the leader; the
// current term stays (Fig. 4). Recorded ALERTs that have no effect any more are dropped: those that
// are no longer valid, and those for the same term or a lower one, which the new ALERT outlasts.
func (e *Elector) handleAlert(term uint64, now clock.Microseconds) {
	recent := e.alerts[:0]
	for _, alert := range e.alerts {
		if alert.term > term && e.alertValid(alert, now) {
			recent = append(recent, alert)
		}
	}
	recent = append(recent, receivedAlert{term: term, receivedAt: now})
	e.alerts = recent
	if term > e.term {
		e.leader = NoLeader
	}
}

// recentlyAlerted reports whether an ALERT for a term above the current one is valid.
func (e *Elector) recentlyAlerted(now clock.Microseconds) bool {
	for _, alert := range e.alerts {
		if alert.term > e.term && e.alertValid(alert, now) {
			return true
		}
	}
	return false
}

func (e *Elector) alertValid(alert receivedAlert, now clock.Microseconds) bool {
	return now-alert.receivedAt <= alertValidDeltas*e.Delta
}
