package singleton

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/platformport"
	"coursepass/internal/state/outbox"
)

// callTimeout is the timeout of a call, including the wait for its response. It may exceed the remaining time of
// the lease: only bytes of the call that reach the platform after the lease ended are harmful, a late response is
// not.
const callTimeout = 2 * clock.Second

// sendCalls makes calls one after the other until the context ends. It runs in a single goroutine, so calls never
// overlap, even if they belong to different terms.
func (r *Runner) sendCalls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		for r.sendNext(ctx) {
		}
	}
}

// sendNext waits until the rate limit allows a call and makes the next call that is ready. It reports whether it
// made a call.
func (r *Runner) sendNext(ctx context.Context) bool {
	if !r.awaitRate(ctx) {
		return false
	}
	term, entry, ready := r.beginCall()
	if !ready {
		return false
	}
	r.Sent.Add(1)
	callContext, cancel := context.WithTimeout(term.callContext, callTimeout.Duration())
	defer cancel()
	//nolint:contextcheck // A call ends with its term, whose context is derived from the sender's context.
	judgement, err := r.assignment.Calls.Send(callContext, term.client, platformport.SingletonCall{
		Kind:        entry.Kind,
		LeaseHolder: r.options.Server,
		Term:        term.term,
		Body:        entry.Payload,
	})
	r.finishCall(term, entry, judgement, err)
	return true
}

// awaitRate waits until the rate limit allows a call. It returns false if no entry needs a call or the context ends
// first.
func (r *Runner) awaitRate(ctx context.Context) bool {
	r.lock.Lock()
	wait := r.nextCallAt - r.options.Clock.Now()
	waiting := r.term != nil && len(r.term.undelivered(r.view)) > 0
	r.lock.Unlock()
	if !waiting || wait <= 0 {
		return waiting
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait.Duration()):
		return true
	}
}

// beginCall starts the next call that is ready, and returns its term and entry. The last result reports whether
// there is one.
func (r *Runner) beginCall() (*runningTerm, outbox.Entry, bool) {
	guard := r.options.Shard.LeaseGuard().Load()
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.term == nil || !r.term.active {
		return nil, outbox.Entry{}, false
	}
	now := r.options.Clock.Now()
	entry, state := r.term.next(now, guard, r.view)
	if state == readinessBlocked {
		r.Blocked.Add(1)
	}
	if state != readinessReady {
		return nil, outbox.Entry{}, false
	}
	r.term.begin()
	r.nextCallAt = now + callSpacing(r.assignment.CallsPerSecond)
	return r.term, entry, true
}

// finishCall records the outcome of a call.
func (r *Runner) finishCall(term *runningTerm, entry outbox.Entry, judgement platformport.Judgement, err error) {
	outcome := callOutcome{
		judgement: judgement,
		blocked:   errcode.CodeOf(err, errcode.OK) == errcode.LeaseExpired,
	}
	if err != nil {
		outcome.reason = errcode.Text(err)
	}
	r.countCall(entry, outcome)
	r.lock.Lock()
	defer r.lock.Unlock()
	now := r.options.Clock.Now()
	if judgement == platformport.JudgementAccepted {
		r.lastSuccessAt[entry.Kind] = now
	}
	term.finish(now, entry, outcome, jitter())
}

// countCall counts a call by its outcome, and logs a call whose body the platform will never accept.
func (r *Runner) countCall(entry outbox.Entry, outcome callOutcome) {
	switch {
	case outcome.judgement == platformport.JudgementAccepted:
		r.Acknowledged.Add(1)
	case outcome.judgement == platformport.JudgementRefused:
		r.Refused.Add(1)
		log.Error().Str("server", r.options.Server).Str("kind", entry.Kind).Str("subject", entry.Name).
			Uint64("number", entry.Number).Str("reason", outcome.reason).Msg("call refused by the platform")
	case !outcome.blocked:
		r.Failed.Add(1)
	}
}
