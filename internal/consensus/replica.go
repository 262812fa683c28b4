package consensus

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/lease"
	"coursepass/internal/consensus/wal"
)

// Replica is the replica of a shard that one slot runs. StartReplica and StartLearner create it.
type Replica struct {
	Config
	replicatedLog
	stateMachine StateMachine
	election     *election.Elector
	leaseGranter *lease.Granter

	role role
	// ownTerm is the latest term for which this replica has sent MsgPrepare as candidate.
	ownTerm    uint64
	candidacy  candidacy
	leadership leadership
	// upToDate is set once this replica, in its present incarnation, has all entries that an
	// established leader knew to be committed (see hasAllAcknowledged).
	upToDate bool
	// leaderContactAt is when the leader of the term last sent entries or a heartbeat.
	leaderContactAt clock.Microseconds

	// membership is the membership in effect: the last one in the log, committed or not, or
	// InitialMembership if that has a later epoch.
	membership Membership
	// appliedMembership is the last membership in the applied part of the log.
	appliedMembership Membership

	// recovery is nil if the replica may vote.
	recovery         *recovery
	transfer         logTransfer
	readConfirmation readConfirmation
	output           Output
}

// StartOptions are the options of StartReplica.
type StartOptions struct {
	// StateMachine is the state machine to which the replica applies committed entries. It must be
	// empty.
	StateMachine StateMachine
	// Stored is the state of the shard as read from disk.
	Stored wal.ShardState
	// Now is the time of the start.
	Now clock.Microseconds
	// NewCluster is set if the cluster is new, so that a replica without a recorded promise has
	// nothing to recover.
	NewCluster bool
}

// StartReplica starts a replica from its stored state. If the state has no recorded promise, the
// disk was lost, and the replica recovers before it votes, unless the cluster is new. It also
// recovers if the stored log was written for another slot.
func StartReplica(config Config, options StartOptions) (*Replica, Output) {
	stored := options.Stored
	now := options.Now
	newCluster := options.NewCluster && !stored.HasPromise
	config.Quorum = config.majority()
	replica := &Replica{
		Config:            config,
		stateMachine:      options.StateMachine,
		replicatedLog:     replicatedLog{ShardState: stored},
		appliedMembership: config.InitialMembership,
	}
	replica.restoreStored()
	replica.leaseGranter = lease.NewGranter(lease.GranterOptions{
		Timing:     config.Timing,
		StartedAt:  now,
		NewCluster: newCluster,
	})
	elector, outgoing := election.Start(config.Config, election.StartOptions{
		Now:       now,
		FirstTerm: stored.PromisedTerm,
		Restarted: !newCluster,
	})
	replica.election = elector
	replica.sendElection(outgoing)
	switch {
	case newCluster:
		replica.persist(wal.Record{Kind: wal.RecordPromise, Shard: config.Shard})
	case !stored.HasPromise || !logBelongsToSlot(stored, config):
		replica.startRecovery(now)
	}
	replica.updateRole(now)
	return replica, replica.takeOutput()
}

// restoreStored restores the state machine and the membership from the stored state.
func (r *Replica) restoreStored() {
	r.commitIndex = r.Snapshot.Index
	r.appliedIndex = r.Snapshot.Index
	if r.Snapshot.Index > 0 {
		r.restoreSnapshot(r.Snapshot.Data)
	}
	// A recorded commit index beyond the end of the log was recorded before entries were lost, and
	// does not show which of the remaining entries are committed.
	if last, _ := r.LastPosition(); r.RecordedCommit <= last {
		r.commitIndex = max(r.commitIndex, r.RecordedCommit)
	}
	r.applyCommitted()
	r.output.StateChanged = r.appliedIndex > 0
	r.refreshMembership()
	if r.InitialMembership.Epoch > r.membership.Epoch {
		r.membership = r.InitialMembership
	}
}

// Receive handles a message. It ignores messages of other shards, messages to other slots, and
// messages that are meant for an earlier disk of this daemon.
func (r *Replica) Receive(now clock.Microseconds, message Message) Output {
	if message.Shard != r.Shard || message.To != r.Self || message.From < 0 || message.From >= r.Slots {
		return Output{}
	}
	if !message.IsFor(r.LocalMember) {
		return Output{}
	}
	if message.Kind == MsgElection && r.fromNonMember(message) {
		return Output{}
	}
	r.handleMessage(now, message)
	r.updateRole(now)
	return r.takeOutput()
}

func (r *Replica) handleMessage(now clock.Microseconds, message Message) {
	switch message.Kind {
	case MsgElection:
		r.sendElection(r.election.Receive(now, message.From, message.Election))
	case MsgPrepare:
		r.handlePrepare(message)
	case MsgPromise, MsgPromisePositionOnly:
		r.handlePromise(now, message)
	case MsgAppend:
		r.handleAppend(now, message)
	case MsgAppendResponse:
		r.handleAppendResponse(now, message)
	case MsgRecoveryRequest:
		r.handleRecoveryRequest(now, message)
	case MsgRecoveryResponse, MsgRecoveryPositionOnly:
		r.handleRecoveryResponse(now, message)
	case MsgFetchRequest:
		r.handleFetchRequest(message)
	case MsgFetchResponse:
		r.handleFetchResponse(now, message)
	case MsgConfirmLeadership:
		// The transport answers with an Echo; the replica has nothing to do.
	}
}

// Tick performs the work that is due at now. It must be called at NextTick at the latest, and may
// be called earlier.
func (r *Replica) Tick(now clock.Microseconds) Output {
	r.sendElection(r.election.Tick(now))
	r.updateRole(now)
	return r.takeOutput()
}

// NextTick returns the time at which Tick must be called next at the latest.
func (r *Replica) NextTick() clock.Microseconds {
	return r.election.NextTick()
}

// SetDiskStalled tells the replica whether its disk has stopped completing writes. A replica with a
// stalled disk does not lead.
func (r *Replica) SetDiskStalled(stalled bool) {
	r.election.SetDiskStalled(stalled)
}

// Leader returns the slot that the election currently gives as leader, or election.NoLeader, and
// the term of the election.
func (r *Replica) Leader() (leader int, term uint64) {
	return r.election.Leader()
}

// IsLeader reports whether this replica is the elected leader and has committed an entry of its own
// term.
func (r *Replica) IsLeader() bool {
	leader, term := r.election.Leader()
	return r.committedInOwnTerm() && leader == r.Self && term == r.ownTerm
}

// LeaderLease returns the lease of this leader, or nil if this replica is not leader.
func (r *Replica) LeaderLease() *lease.Lease {
	return r.leadership.lease
}

// Term returns the highest term that this replica has promised.
func (r *Replica) Term() uint64 {
	return r.PromisedTerm
}

// AppliedIndex returns the index of the last applied entry.
func (r *Replica) AppliedIndex() uint64 {
	return r.appliedIndex
}

// AppliedTerm returns the term of the last applied entry.
func (r *Replica) AppliedTerm() uint64 {
	if entry, ok := r.entryAt(r.appliedIndex); ok {
		return entry.Term
	}
	return r.Snapshot.Term
}

// Entry returns the entry at an index, and false if the log does not hold it.
func (r *Replica) Entry(index uint64) (wal.Entry, bool) {
	return r.entryAt(index)
}

// CommitIndex returns the highest index that this replica knows to be committed. upToDate reports
// whether the replica counts towards a majority that knows all entries acknowledged before now: in
// a majority of up-to-date replicas, at least one knows all of these entries, while a single
// up-to-date replica may miss the latest.
func (r *Replica) CommitIndex() (index uint64, upToDate bool) {
	return r.commitIndex, r.upToDate && r.recovery == nil
}

// Recovering reports whether the replica has no vote because it recovers or is a learner.
func (r *Replica) Recovering() bool {
	return r.recovery != nil
}
