package controlplane

import (
	"context"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/enginecommand"
)

// publishStatus publishes what other goroutines and servers read of the replica: its status, membership
// and lease and, after entries were applied, the new state.
func (r *shardReplica) publishStatus(ctx context.Context, applied bool) {
	now := r.Clock.Now()
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
	if applied && r.index == 0 {
		r.server.maintenance.Update(now, r.server.configuration.Notices)
	}
	if applied && status.CommitIndex > 0 {
		r.publishState(ctx, status)
	}
}

func (r *shardReplica) replicaStatus(now clock.Microseconds) (*controlapi.ShardStatus, consensus.Membership) {
	replica := r.replica
	membership := replica.Membership()
	slot := replica.Self
	if replica.IsLearner() {
		slot = noSlot
	}
	leader, term := replica.Leader()
	commitIndex, upToDate := replica.CommitIndex()
	status := &controlapi.ShardStatus{
		Shard:          r.index,
		Slot:           slot,
		Epoch:          membership.Epoch,
		Leader:         leader,
		Term:           term,
		PromisedTerm:   replica.Term(),
		CommitIndex:    commitIndex,
		Revision:       r.stateMachine.Revision(),
		Isolated:       replica.MembershipUncertain(now),
		Owner:          replica.LeadershipConfirmed(now),
		UpToDate:       upToDate && !replica.Isolated(now),
		CatchingUp:     replica.Recovering(),
		ConfirmedUntil: replica.LeadershipConfirmedUntil(now),
	}
	return status, membership
}

// replicaLease returns the lease under which this server may command engines, nil if it does not lead.
func (r *shardReplica) replicaLease() *enginecommand.LeaseGuard {
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

func (r *shardReplica) logStatusChange(previous, current *controlapi.ShardStatus) {
	unchanged := previous != nil &&
		previous.Leader == current.Leader &&
		previous.Owner == current.Owner &&
		previous.CatchingUp == current.CatchingUp
	if unchanged {
		return
	}
	log.Info().Str("server", r.server.Name).Int("shard", r.index).Int("leader", current.Leader).
		Uint64("term", current.Term).Bool("owner", current.Owner).Bool("catchingUp", current.CatchingUp).
		Msg("shard status changed")
}

// currentStatus returns the status as of now: the owner of the time of publication counts as such only
// until its confirmation by a majority expires. It is nil before the replica has started.
func (r *shardReplica) currentStatus() *controlapi.ShardStatus {
	status := r.status.Load()
	if status == nil || !status.Owner || r.Clock.Now() < status.ConfirmedUntil {
		return status
	}
	unconfirmed := *status
	unconfirmed.Owner, unconfirmed.UpToDate = false, false
	return &unconfirmed
}
