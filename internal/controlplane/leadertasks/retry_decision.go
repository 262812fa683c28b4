package leadertasks

import (
	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
)

const (
	// suspicionPeriod is how long an engine gets no new work after a reported failure.
	suspicionPeriod = 2 * clock.Second
	// maxAttempts is the maximum number of attempts of a request before it fails.
	maxAttempts = 3
)

// DecideRetry answers a router that reports a failed request. The decision says whether the request may be
// retried and which engine the retry must avoid. DecideRetry never allows a retry that could run a one-shot
// request twice or repeat tokens that the caller has already received.
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

// suspectEngine excludes the failed engine from new work for suspicionPeriod, unless the failure does not
// indicate a fault of the engine.
func (l *ServiceLeader) suspectEngine(failure controlapi.FailureReport) {
	l.lock.Lock()
	defer l.lock.Unlock()
	observation, exists := l.observations[failure.Engine]
	if exists && !failure.Proved && !failure.Blameless {
		observation.suspectedUntil = l.options.Clock.Now() + suspicionPeriod
	}
}

// mayRetry reports whether a failed request may be retried: no tokens were streamed, attempts and time are left,
// and the request did not start or is safe to run again.
func mayRetry(failure controlapi.FailureReport) bool {
	if failure.Streamed || failure.Tries >= maxAttempts || failure.Left <= 0 {
		return false
	}
	return failure.Proved || failure.Repeats && !failure.OneShot
}
