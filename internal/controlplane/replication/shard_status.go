package replication

import (
	"context"
	"sync/atomic"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/enginecommand"
	"coursepass/internal/gossip"
)

// publishStatus publishes the values that other goroutines and servers read from the replica: its status,
// membership and lease. If entries were applied, it publishes the new state too.
func (r *ShardReplica) publishStatus(ctx context.Context, stateChanged bool) {
	now := r.options.Clock.Now()
	status, membership := r.replicaStatus(now)
	if status.Slot >= 0 || membership.Epoch >= r.membership.Load().Epoch {
		r.membership.Store(&membership)
	}
	leaseGuard := r.replicaLease()
	if leaseGuard != nil {
		status.LeaseRemaining = max(leaseGuard.NotAfter-now, 0)
		quietPeriod := max(leaseGuard.NotBefore-now, 0)
		status.QuietPeriodRemaining = min(quietPeriod, r.replica.LeaderLease().LeaseDuration)
	}
	r.leaseGuard.Store(leaseGuard)
	r.logStatusChange(r.status.Swap(status), status)
	if stateChanged {
		r.options.Server.StateApplied(r.options.Shard, now)
	}
	if stateChanged && status.CommitIndex > 0 {
		r.publishState(ctx, status)
	}
}

func (r *ShardReplica) replicaStatus(now clock.Microseconds) (*controlapi.ShardStatus, consensus.Membership) {
	replica := r.replica
	membership := replica.Membership()
	slot := replica.Self
	if replica.IsLearner() {
		slot = NoSlot
	}
	leader, term := replica.Leader()
	commitIndex, upToDate := replica.CommitIndex()
	status := &controlapi.ShardStatus{
		Shard:          r.options.Shard,
		Slot:           slot,
		Epoch:          membership.Epoch,
		Leader:         leader,
		Term:           term,
		PromisedTerm:   replica.Term(),
		CommitIndex:    commitIndex,
		Revision:       r.options.StateMachine.CurrentRevision(),
		Isolated:       replica.MembershipUncertain(now),
		Owner:          replica.LeadershipConfirmed(now),
		UpToDate:       upToDate && !replica.Isolated(now),
		CatchingUp:     replica.Recovering(),
		ConfirmedUntil: replica.LeadershipConfirmedUntil(now),
		Copies:         r.copyStatuses(now),
	}
	if replica.Recovering() {
		status.SinceProgress = replica.SinceProgress(now)
	}
	return status, membership
}

// replicaLease returns the lease under which this server may send commands to engines, or nil if this server
// does not lead the shard.
func (r *ShardReplica) replicaLease() *enginecommand.LeaseGuard {
	leaderLease := r.replica.LeaderLease()
	if leaderLease == nil || !r.replica.IsLeader() {
		return nil
	}
	return &enginecommand.LeaseGuard{
		Term:      leaderLease.Term,
		NotBefore: leaderLease.UsableFrom(),
		NotAfter:  leaderLease.ExpiresAt(),
	}
}

func (r *ShardReplica) logStatusChange(previous, current *controlapi.ShardStatus) {
	unchanged := previous != nil &&
		previous.Leader == current.Leader &&
		previous.Owner == current.Owner &&
		previous.CatchingUp == current.CatchingUp
	if unchanged {
		return
	}
	log.Info().Str("server", r.options.Self.Name).Int("shard", r.options.Shard).Int("leader", current.Leader).
		Uint64("term", current.Term).Bool("owner", current.Owner).Bool("catchingUp", current.CatchingUp).
		Msg("shard status changed")
}

// PublishedStatus returns the most recently published status, or nil before the replica has started.
func (r *ShardReplica) PublishedStatus() *controlapi.ShardStatus { return r.status.Load() }

// CurrentStatus returns the status as of now, or nil before the replica has started. A server that was the
// owner when the status was published remains the owner only until its confirmation by a majority expires.
func (r *ShardReplica) CurrentStatus() *controlapi.ShardStatus {
	status := r.status.Load()
	if status == nil || !status.Owner || r.options.Clock.Now() < status.ConfirmedUntil {
		return status
	}
	unconfirmed := *status
	unconfirmed.Owner, unconfirmed.UpToDate = false, false
	return &unconfirmed
}

// CurrentHead returns the shard's head on this server as of now. Before the replica has started, the head is
// not marked as current.
func (r *ShardReplica) CurrentHead() controlapi.ShardHead {
	head := controlapi.ShardHead{Head: gossip.Head{Shard: r.options.Shard}}
	if status := r.CurrentStatus(); status != nil {
		head.Slot, head.Epoch = status.Slot, status.Epoch
		head.Current, head.Recovering = status.UpToDate, status.CatchingUp
		head.Index, head.Revision = status.CommitIndex, status.Revision
		head.Offered = r.offeredIndex.Load()
	}
	if store := r.reservations.Load(); store != nil {
		head.ReservationStoreIncarnation = store.Incarnation()
		head.Forgetful = !store.IsComplete(r.options.Clock.Now())
	}
	return head
}

// LeaseGuard returns the pointer to the lease under which this server may send commands to engines. The
// pointer holds nil while this server does not lead the shard. Only the replica writes it.
func (r *ShardReplica) LeaseGuard() *atomic.Pointer[enginecommand.LeaseGuard] { return &r.leaseGuard }
