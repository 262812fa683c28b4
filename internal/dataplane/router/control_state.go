package router

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/dataplane/httpapi"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
)

// staleRetryDivisor has a caller return after this fraction of the time for which the router has
// been stale, so that one that was stale for long is not asked as often.
const staleRetryDivisor = 2

// A Router is the control state of its own interface.
var _ httpapi.ControlState = (*Router)(nil)

// ConfigView is the active configuration, nil if there is none yet.
func (r *Router) ConfigView() *config.View { return r.configView.Load() }

// Membership is the membership of a shard, nil if it is not known yet.
func (r *Router) Membership(shard int) *consensus.Membership { return r.memberships[shard].Load() }

// RouterCount is how many routers there are, this one included, as far as is known here.
func (r *Router) RouterCount() int {
	count := 1
	for _, peer := range r.gossip.Members() {
		if peer.Role == r.Role {
			count++
		}
	}
	return count
}

// CheckAcceptsWork returns an error that says why no new work is taken now, if so.
func (r *Router) CheckAcceptsWork() error {
	if r.draining.Load() {
		return errcode.New(errcode.RouterDraining, "%s", r.Name)
	}
	if !r.IsFresh() {
		return errcode.New(errcode.RouterStale, "%s", r.Name)
	}
	return nil
}

// RetryAfter is when a caller rejected by CheckAcceptsWork should retry; zero for any other code.
func (r *Router) RetryAfter(code errcode.Code) clock.Microseconds {
	switch code {
	case errcode.RouterStale:
		staleness := r.freshnessGate.Staleness(r.clock.Now())
		return min(max(staleness/staleRetryDivisor, readInterval), httpapi.MaxRetryAfter)
	case errcode.RouterDraining:
		return readInterval
	default:
		return 0
	}
}
