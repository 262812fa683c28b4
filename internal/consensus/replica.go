package consensus

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/lease"
	"coursepass/internal/consensus/wal"
)

// Replica is one slot's replica of a shard. StartReplica and StartLearner make one.
type Replica struct {
	Config
	replicatedLog
	stateMachine StateMachine
	election     *election.Elector
	leaseGranter *lease.Granter

	role role
	// ownTerm is the last term for which this replica has prepared as candidate.
	ownTerm    uint64
	candidacy  candidacy
	leadership leadership
	// upToDate is set once the log here is known to contain all that was acknowledged before.
	upToDate bool
	// leaderContactAt is when the leader of the term has last sent entries or a heartbeat.
	leaderContactAt clock.Microseconds

	// membership is the last one in the log, committed or not: it is the one that counts.
	membership Membership
	// appliedMembership is the last one in the applied part of the log.
	appliedMembership Membership

	// recovery is nil for a replica that may vote.
	recovery         *recovery
	transfer         logTransfer
	readConfirmation readConfirmation
	output           Output
}

// StartOptions is what a replica starts from.
type StartOptions struct {
	// StateMachine is empty; the replica applies to it what is committed.
	StateMachine StateMachine
	// Stored is what the disk holds of the shard.
	Stored wal.ShardState
	// Now is the time of the start.
	Now clock.Microseconds
	// NewCluster means that the cluster is new, so that a replica without a recorded promise has
	// nothing to recover.
	NewCluster bool
}

// StartReplica starts a replica from what its disk holds. If no promise is recorded, the disk
// was lost, and the replica recovers before it votes, unless the cluster is new.
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

// restoreStored brings state and membership up to what the disk holds.
func (r *Replica) restoreStored() {
	r.commitIndex = r.Snapshot.Index
	r.appliedIndex = r.Snapshot.Index
	if r.Snapshot.Index > 0 {
		r.restoreSnapshot(r.Snapshot.Data)
	}
	// An index beyond the log was recorded before entries were lost, and says nothing of the rest.
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

// Receive handles a message. Messages of other shards or to other slots are ignored.
func (r *Replica) Receive(now clock.Microseconds, message Message) Output {
	if message.Shard != r.Shard || message.To != r.Self || message.From < 0 || message.From >= r.Slots {
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
		// The transport's Echo is the whole answer.
	}
}

// Tick lets time pass. It must be called at NextTick at the latest, and may be called earlier.
func (r *Replica) Tick(now clock.Microseconds) Output {
	r.sendElection(r.election.Tick(now))
	r.updateRole(now)
	return r.takeOutput()
}

// NextTick returns when Tick has to be called next.
func (r *Replica) NextTick() clock.Microseconds {
	return r.election.NextTick()
}

// SetDiskStalled tells the replica whether its own disk has stopped to complete writes. As long
// as it has, the replica does not lead.
func (r *Replica) SetDiskStalled(stalled bool) {
	r.election.SetDiskStalled(stalled)
}

// Leader returns the slot that the election outputs as leader, or election.NoLeader, and the
// term.
func (r *Replica) Leader() (leader int, term uint64) {
	return r.election.Leader()
}

// IsLeader reports whether this replica is the elected leader and has committed an entry of its
// term.
func (r *Replica) IsLeader() bool {
	leader, term := r.election.Leader()
	return r.committedInOwnTerm() && leader == r.Self && term == r.ownTerm
}

// LeaderLease returns the lease of this leader; nil if this replica is none.
func (r *Replica) LeaderLease() *lease.Lease {
	return r.leadership.lease
}

// Term returns the highest term that was promised here.
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

// Entry returns an entry that the log still holds.
func (r *Replica) Entry(index uint64) (wal.Entry, bool) {
	return r.entryAt(index)
}

// CommitIndex returns up to which index entries are known here to be committed. upToDate
// reports whether that covers what was acknowledged before now, as far as a majority knows it:
// of a majority of replicas that are up to date, one has it all, while a single one may miss the
// latest.
func (r *Replica) CommitIndex() (index uint64, upToDate bool) {
	return r.commitIndex, r.upToDate && r.recovery == nil
}

// Recovering reports whether the replica may not vote yet.
func (r *Replica) Recovering() bool {
	return r.recovery != nil
}
