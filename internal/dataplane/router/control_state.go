package router

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/dataplane/httpapi"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
)

// staleRetryDivisor divides the time for which the router has been stale; the quotient is how long a
// rejected caller should wait. A router that has been stale for long thus gets fewer retries.
const staleRetryDivisor = 2

// A Router provides the control state of its own HTTP interface.
var _ httpapi.ControlState = (*Router)(nil)

// ConfigView returns the active configuration, or nil if there is none yet.
func (r *Router) ConfigView() *config.View { return r.configView.Load() }

// Membership returns the membership of a shard, or nil if it is not known yet.
func (r *Router) Membership(shard int) *consensus.Membership { return r.memberships[shard].Load() }

// RouterCount returns the number of routers that this router knows, including itself.
func (r *Router) RouterCount() int {
	count := 1
	for _, peer := range r.gossip.Members() {
		if peer.Role == r.Role {
			count++
		}
	}
	return count
}

// CheckAcceptsWork returns nil if the router accepts new requests now, and otherwise an error with
// the reason.
func (r *Router) CheckAcceptsWork() error {
	if r.draining.Load() {
		return errcode.New(errcode.RouterDraining, "router %q is draining", r.Name)
	}
	if !r.IsFresh() {
		return errcode.New(errcode.RouterStale, "the state of router %q is not fresh", r.Name)
	}
	return nil
}

// RetryAfter returns how long a caller that CheckAcceptsWork rejected with this code should wait
// before it retries, or zero for any other code.
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
