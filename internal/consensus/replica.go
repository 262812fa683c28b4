package consensus

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/lease"
	"coursepass/internal/consensus/wal"
)

type role uint8

const (
	roleFollower role = iota
	roleCandidate
	roleLeader
)

// Replica is one slot's share of a part.
type Replica struct {
	Config
	replicatedLog
	stateMachine         StateMachine
	election             *election.Elector
	leaseGranter         *lease.Granter
	leaderLease          *lease.Lease
	role                 role
	ownTerm              uint64
	upToDate             bool
	promises             map[int]Message
	followers            []follower
	firstTermIndex       uint64
	quorumCommitIndex    uint64
	replicationWaitSince clock.Microseconds
	preparedAt           clock.Microseconds
	recovery             *recovery
	readConfirmSentAt    clock.Microseconds
	// leaderContactAt is when the leader of the round has last sent this member entries or a heartbeat.
	leaderContactAt  clock.Microseconds
	readConfirmSent  bool
	fetch            *logFetch
	transferCounters TransferCounters
	snapshotChecksum snapshotChecksum
	learner          *learner
	pendingResults   []Result
	membership       Membership
	// appliedMembership are those of the applied part of the log.
	appliedMembership Membership
	output            Output
}

type follower struct {
	matchIndex, nextIndex, knownCommit uint64
	incarnation                        uint64
	member                             Member
	lastContact                        clock.Microseconds
	lastSent                           clock.Microseconds
	inFlight                           bool
	// inFlightBytes is of what waits for an answer; fetching says that it fetches the snapshot.
	inFlightBytes    int
	fetchingSnapshot bool
	// lagging says that an acknowledgement has waited for it in vain, and that it has not
	// caught up since.
	lagging bool
}

// StartReplica wakes a member with what its disk held. A member that never recorded a
// promise recovers before it votes, however often it is started; founding says
// that the fleet is new, so that there is nothing to recover.
func StartReplica(config Config, state StateMachine, stored wal.ShardState, now clock.Microseconds, newCluster bool) (*Replica, Output) {
	newCluster = newCluster && !stored.HasPromise
	config.Quorum = config.majority()
	replica := &Replica{Config: config, stateMachine: state, replicatedLog: replicatedLog{ShardState: stored}}
	replica.commitIndex, replica.appliedIndex = stored.Snapshot.Index, stored.Snapshot.Index
	replica.appliedMembership = config.InitialMembership
	if stored.Snapshot.Index > 0 {
		replica.restoreSnapshot(stored.Snapshot.Data)
	}
	// What was noted as committed stays so: it can be shown before there is a leader again.
	if last, _ := replica.LastPosition(); stored.RecordedCommit <= last {
		replica.commitIndex = max(replica.commitIndex, stored.RecordedCommit)
	}
	replica.applyCommitted()
	replica.output.StateChanged = replica.appliedIndex > 0
	replica.refreshMembership()
	if config.InitialMembership.Epoch > replica.membership.Epoch {
		replica.membership = config.InitialMembership
	}
	replica.leaseGranter = lease.NewGranter(config.Timing, now, newCluster)
	elector, outgoing := election.Start(config.Config, now, stored.PromisedTerm, !newCluster)
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

// Leader is the election's output.
func (r *Replica) Leader() (int, uint64) { return r.election.Leader() }

// IsLeader tells whether this member is the elected leader of the part now and has
// committed in its round.
func (r *Replica) IsLeader() bool {
	leader, term := r.election.Leader()
	return r.committedInOwnTerm() && leader == r.Self && term == r.ownTerm
}

func (r *Replica) committedInOwnTerm() bool {
	return r.role == roleLeader && r.commitIndex >= r.firstTermIndex
}

// LeaderLease is the leader's grant, nil elsewhere.
func (r *Replica) LeaderLease() *lease.Lease { return r.leaderLease }

// Term is the highest round promised here.
func (r *Replica) Term() uint64 { return r.PromisedTerm }

// AppliedIndex is the last applied index.
func (r *Replica) AppliedIndex() uint64 { return r.appliedIndex }

// AppliedTerm is the round of the last applied entry.
func (r *Replica) AppliedTerm() uint64 {
	if entry, ok := r.entryAt(r.appliedIndex); ok {
		return entry.Round
	}
	return r.Snapshot.Round
}

// CommitIndex tells whether everything that was acknowledged before this moment and
// that a majority must know is known here, and up to which index. It holds for whoever
// reads a majority; one member alone may have missed the latest.
func (r *Replica) CommitIndex() (uint64, bool) {
	return r.commitIndex, r.upToDate && r.recovery == nil
}

// Recovering tells whether the member may not vote yet.
func (r *Replica) Recovering() bool { return r.recovery != nil }

func (r *Replica) takeOutput() Output {
	output := r.output
	r.output = Output{}
	return output
}

func (r *Replica) sendElection(outgoing []election.OutgoingMessage) {
	for _, message := range r.filterLearnerMessages(outgoing) {
		r.output.Messages = append(r.output.Messages, Message{
			Part: r.Shard, From: r.Self, To: message.To, Kind: MsgElection, Election: message.Message, Epoch: r.membership.Epoch,
		})
	}
}

func (r *Replica) sendAfterSync(message Message) {
	message.Part, message.From, message.Epoch = r.Shard, r.Self, r.membership.Epoch
	if message.To == r.Self {
		message.Sender = r.LocalMember
	}
	r.output.MessagesAfterSync = append(r.output.MessagesAfterSync, message)
}

func (r *Replica) persist(records ...wal.Record) {
	r.output.Records = append(r.output.Records, records...)
}

// Receive takes one message.
func (r *Replica) Receive(now clock.Microseconds, message Message) Output {
	if message.Part != r.Shard || message.To != r.Self || message.From < 0 || message.From >= r.Slots {
		return Output{}
	}
	switch message.Kind {
	case MsgElection:
		if r.fromNonMember(message) {
			return Output{}
		}
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
	}
	r.updateRole(now)
	return r.takeOutput()
}

// Tick lets time pass. It is due at Next.
func (r *Replica) Tick(now clock.Microseconds) Output {
	r.sendElection(r.election.Tick(now))
	r.updateRole(now)
	return r.takeOutput()
}

// SetDiskStalled tells the member whether its own disk has stalled.
func (r *Replica) SetDiskStalled(stalled bool) { r.election.SetDiskStalled(stalled) }

// NextTick is when the member wants to be woken.
func (r *Replica) NextTick() clock.Microseconds {
	return r.election.NextTick()
}

// updateRole brings the log's role in line with the election's output.
func (r *Replica) updateRole(now clock.Microseconds) {
	leader, term := r.election.Leader()
	r.retryFetch(now)
	if r.recovery != nil {
		r.continueRecovery(now)
		return
	}
	elected := leader == r.Self && term >= r.PromisedTerm
	switch {
	case r.role != roleFollower && (term != r.ownTerm || r.PromisedTerm > r.ownTerm):
		r.becomeFollower(now)
		fallthrough
	case r.role == roleFollower:
		if elected {
			r.prepare(now, term)
		}
	case r.role == roleCandidate:
		if r.fetch == nil && now-r.preparedAt > 2*r.Delta {
			r.prepare(now, term)
		}
	case r.election.Isolated():
		// Whoever hears it is to wait for another leader, and must not renew its lease.
	case r.role == roleLeader:
		r.replicate(now)
		r.replicateToLearner(now)
		r.releaseResults(now)
	}
}

func (r *Replica) restoreSnapshot(encoded []byte) {
	membership, stateSnapshot, ok := DecodeSnapshot(encoded)
	if !ok {
		return
	}
	if len(membership.Seats) == r.Slots {
		r.appliedMembership = membership
	}
	r.stateMachine.Restore(stateSnapshot)
}

// becomeFollower goes back to following.
func (r *Replica) becomeFollower(clock.Microseconds) {
	r.output.ProposalsDropped = r.role == roleLeader
	r.role, r.leaderLease, r.promises = roleFollower, nil, nil
	r.learner = nil
}

// observeHigherTerm hears of a higher promise: the election moves to that round.
func (r *Replica) observeHigherTerm(now clock.Microseconds, from int, term uint64) {
	r.sendElection(r.election.Receive(now, from, election.Message{Kind: election.START, Round: term}))
}

func (r *Replica) commitTo(commit uint64) {
	if last, _ := r.LastPosition(); commit > last {
		commit = last
	}
	if commit > r.commitIndex {
		r.commitIndex = commit
		if commit > r.Snapshot.Index {
			r.output.DeferredRecords = append(r.output.DeferredRecords, wal.Record{Kind: wal.RecordCommit, Shard: r.Shard, Entry: wal.Entry{Index: commit}})
		}
	}
	r.applyCommitted()
}

// applyCommitted brings the state up to what is committed.
func (r *Replica) applyCommitted() {
	for r.appliedIndex < r.commitIndex {
		entry, ok := r.entryAt(r.appliedIndex + 1)
		if !ok {
			break
		}
		response := ApplyEntry(r.stateMachine, &r.appliedMembership, entry)
		r.appliedIndex++
		r.output.StateChanged = true
		if r.role == roleLeader {
			r.pendingResults = append(r.pendingResults, Result{entry.Index, entry.Round, response})
		}
	}
	if retained := r.appliedIndex - r.Snapshot.Index; r.appliedIndex > r.Snapshot.Index && retained > uint64(r.RetainedEntries) {
		entry, _ := r.entryAt(r.appliedIndex)
		r.persist(r.compact(r.Shard, wal.Entry{
			Index: r.appliedIndex, Round: entry.Round, Data: r.TakeSnapshot(),
		}))
	}
}
