package election

import "coursepass/internal/clock"

// alertValidDeltas is for how many δ an ALERT keeps slots of lower terms from adopting a
// leader (Fig. 4).
const alertValidDeltas = 6

// receivedAlert is an ALERT with its time of arrival.
type receivedAlert struct {
	term       uint64
	receivedAt clock.Microseconds
}

// handleAlert records an ALERT, and clears the leader if it is for a higher term; the term
// stays (Fig. 4). Alerts that can't matter any more are dropped: expired ones, and earlier ones
// for the same term or a lower one.
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

// recentlyAlerted reports whether an ALERT for a higher term than the current one is valid.
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
