package consensus

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus/lease"
	"coursepass/internal/consensus/wal"
)

// StartLearner starts a replica for a daemon that holds no slot. The replica stores the entries
// that a leader sends, and becomes a voter once it has a committed entry that gives the configured
// slot to its daemon.
func StartLearner(
	config Config, state StateMachine, stored wal.ShardState, now clock.Microseconds,
) (*Replica, Output) {
	replica, _ := StartReplica(config, StartOptions{StateMachine: state, Stored: stored, Now: now})
	replica.startRecovery(now)
	replica.recovery.learner = true
	output := replica.takeOutput()
	output.Messages = nil
	output.MessagesAfterSync = nil
	return replica, output
}

// IsLearner reports whether this replica was started by StartLearner and has not become a voter
// yet.
func (r *Replica) IsLearner() bool {
	return r.recovery != nil && r.recovery.learner
}

// SinceProgress returns how long ago a replica without a vote last stored something that a leader
// sent, or was shown that it lacks nothing; 0 for a voter.
func (r *Replica) SinceProgress(now clock.Microseconds) clock.Microseconds {
	if r.recovery == nil {
		return 0
	}
	return now - r.recovery.progressAt
}

// appendAsLearner stores the entries that a leader sends to a replica without a vote.
func (r *Replica) appendAsLearner(now clock.Microseconds, message Message) {
	if message.Term < r.recovery.leaderTerm {
		return
	}
	r.recovery.leaderTerm = message.Term
	r.recovery.replicating = true
	response := r.newAppendResponse(message)
	response.PromisedTerm = message.Term
	response.Recovering = true
	lastBefore, _ := r.LastPosition()
	if !r.storeAppend(now, message, &response, fetchForLearner) {
		r.reply(message, response)
		return
	}
	last, _ := r.LastPosition()
	if last > lastBefore || last >= message.Commit {
		r.recovery.progressAt = now
	}
	r.commitTo(min(message.Commit, response.Index))
	response.Commit = r.commitIndex
	if r.hasAllAcknowledged(message) && r.isAppliedMember() {
		r.promoteToVoter(now, message)
		response.Recovering = false
		response.PromisedTerm = r.PromisedTerm
	}
	r.reply(message, response)
}

// isAppliedMember reports whether a committed entry has given the slot to this daemon, by its
// address and by the identity of its data directory. Requiring both prevents other slots from
// relying on this replica for promises of an earlier holder.
func (r *Replica) isAppliedMember() bool {
	member := r.appliedMembership.Members[r.Self]
	return member.sameAddress(r.LocalMember) && member.Identity != "" && member.Identity == r.LocalMember.Identity
}

// promoteToVoter makes a learner a voter. The replica promises at least the leader's term, and
// grants no lease until the last lease that an earlier holder of the slot may have granted has
// expired.
func (r *Replica) promoteToVoter(now clock.Microseconds, message Message) {
	r.recovery = nil
	r.PromisedTerm = max(r.PromisedTerm, message.Term)
	r.persistPromise()
	r.leaseGranter = lease.NewGranter(lease.GranterOptions{Timing: r.Timing, StartedAt: now})
	r.election.LiftBar()
	r.election.BarTerm(r.PromisedTerm)
	r.observeHigherTerm(now, message.From, r.PromisedTerm)
	r.upToDate = true
	r.leaderContactAt = now
}
