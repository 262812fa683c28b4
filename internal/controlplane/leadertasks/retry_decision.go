package leadertasks

import (
	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
)

const (
	// suspicionPeriod is how long an engine gets no new work after a failure.
	suspicionPeriod = 2 * clock.Second
	// maxAttempts is how often a request may be tried before it fails.
	maxAttempts = 3
)

// DecideRetry decides on a failure that a router reports: whether the request may be tried again, and
// which engine must be avoided. It never allows a retry that could run a one-shot request twice or
// repeat tokens that the caller has got.
func (l *ServiceLeader) DecideRetry(failure controlapi.FailureReport) *controlapi.RetryDecision {
	status := l.options.Shard.PublishedStatus()
	decision := &controlapi.RetryDecision{Owner: status != nil && status.Owner, Avoid: failure.Engine}
	if !decision.Owner {
		return decision
	}
	decision.Round = status.Term
	l.retryDecisions.Add(1)
	l.suspectEngine(failure)
	decision.Retry = mayRetry(failure)
	if decision.Retry {
		l.retries.Add(1)
	}
	return decision
}

// suspectEngine keeps new work from the engine for suspicionPeriod, unless the failure says nothing
// against it.
func (l *ServiceLeader) suspectEngine(failure controlapi.FailureReport) {
	l.lock.Lock()
	defer l.lock.Unlock()
	observation, exists := l.observations[failure.Engine]
	if exists && !failure.Proved && !failure.Blameless {
		observation.suspectedUntil = l.options.Clock.Now() + suspicionPeriod
	}
}

func mayRetry(failure controlapi.FailureReport) bool {
	if failure.Streamed || failure.Tries >= maxAttempts || failure.Left <= 0 {
		return false
	}
	return failure.Proved || failure.Repeats && !failure.OneShot
}
