package consensus

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/lease"
	"coursepass/internal/consensus/wal"
)

// learnerTimeout is how long a learner may be silent until the leader gives it up.
const learnerTimeout = 2 * clock.Second

// learner is a daemon without a vote that the leader gives a copy of the log. What it
// stores counts for nothing until a committed entry has given it the slot.
type learner struct {
	follower
	slot int
	// promotable says that the slot changes hands as soon as the learner has caught up.
	promotable bool
	// sentIncarnation is the life that the last Append was sent to: only what is sent to its present
	// life makes a learner a voter.
	sentIncarnation uint64
}

// StartLearner wakes a member that has no vote yet: the leader's entries are stored, and
// it becomes a voter once it knows a committed entry that gives its slot to this daemon.
func StartLearner(config Config, state StateMachine, stored wal.ShardState, now clock.Microseconds) (*Replica, Output) {
	replica, _ := StartReplica(config, state, stored, now, false)
	replica.startRecovery(now)
	replica.recovery.learner = true
	output := replica.takeOutput()
	output.Messages, output.MessagesAfterSync = nil, nil
	return replica, output
}

// IsLearner tells whether this member holds no slot and only takes a copy.
func (r *Replica) IsLearner() bool { return r.recovery != nil && r.recovery.learner }

// AddLearner has this leader give a daemon a copy, and the slot once it has caught up if it is
// entitled to it. One daemon at a time is taught; one that is entitled comes first.
func (r *Replica) AddLearner(now clock.Microseconds, slot int, daemon Member, promotable bool) Output {
	if !r.IsLeader() || slot < 0 || slot >= r.Slots || slot == r.Self {
		return Output{}
	}
	if currentSlot := r.membership.Slot(daemon); currentSlot >= 0 && currentSlot != slot {
		return Output{}
	}
	current := r.learner
	switch {
	case current != nil && current.member == daemon && current.slot == slot:
		current.promotable = promotable
	case current == nil || now-current.lastContact > learnerTimeout || promotable && !current.promotable:
		r.learner = &learner{slot: slot, promotable: promotable, follower: follower{nextIndex: r.Snapshot.Index + 1, member: daemon, lastContact: now}}
	}
	r.replicateToLearner(now)
	return r.takeOutput()
}

// RestoreMember has this leader teach a daemon that stands at the address of its seat and asks for
// it: it has lost its disk since, or was given the seat and has not heard so as a learner. A
// daemon that learns is silent by itself, so whoever leads next must be told of it so. To a
// voter that asks because it hears no leader this is one heartbeat more.
func (r *Replica) RestoreMember(now clock.Microseconds, slot int, daemon Member) Output {
	if r.membership.Seats[slot].Identity == "" {
		return Output{}
	}
	return r.AddLearner(now, slot, daemon, true)
}

// replicateToLearner sends the learner what it lacks, and hands the slot over when it has caught up.
func (r *Replica) replicateToLearner(now clock.Microseconds) {
	learner := r.learner
	if learner == nil {
		return
	}
	if now-learner.lastContact > learnerTimeout {
		r.learner = nil
		return
	}
	last, _ := r.LastPosition()
	upToDate := learner.nextIndex > last && learner.knownCommit >= r.commitIndex && learner.sentIncarnation == learner.incarnation
	switch {
	case learner.inFlight && now-learner.lastSent < r.responseTimeout(learner.inFlightBytes):
	case learner.fetchingSnapshot && now-learner.lastSent < r.LeaseDuration/3:
	case !learner.inFlight && upToDate && now-learner.lastSent < r.LeaseDuration/3:
	default:
		if learner.inFlight {
			learner.nextIndex = learner.matchIndex + 1
		}
		message := r.buildAppend(now, learner.slot, &learner.follower)
		learner.sentIncarnation = learner.incarnation
		message.Learner, message.Address = true, learner.member.Address
		r.output.Messages = append(r.output.Messages, message)
	}
	caughtUp := learner.incarnation > 0 && learner.matchIndex > 0 && learner.matchIndex+maxCatchUpLag >= r.commitIndex
	member := r.membership.Seats[learner.slot]
	alreadyMember := member.sameAddress(learner.member) && member.Identity == learner.member.Identity
	if caughtUp && learner.promotable && !alreadyMember {
		r.replaceMember(now, learner.slot, learner.member, r.LeaseDuration)
	}
}

// fromLearner tells whether a message is of the daemon that is taught here.
func (r *Replica) fromLearner(message Message) bool {
	learner := r.learner
	return learner != nil && learner.member == message.Sender && learner.slot == message.From
}

// handleLearnerResponse takes a learner's answer: it moves on what is sent next, and counts for nothing.
func (r *Replica) handleLearnerResponse(now clock.Microseconds, message Message) {
	if r.role != roleLeader || message.Round != r.ownTerm {
		return
	}
	if r.fromMember(message) {
		peer := &r.followers[message.From]
		peer.lastContact, peer.incarnation = now, message.Life
	}
	learner := r.learner
	if !r.fromLearner(message) {
		return
	}
	learner.lastContact = now
	if learner.incarnation != message.Life {
		learner.incarnation, learner.matchIndex, learner.knownCommit = message.Life, 0, 0
	}
	if message.Asked == learner.lastSent {
		learner.inFlight = false
	}
	if !message.Accepted {
		learner.nextIndex = min(learner.nextIndex, message.Index+1)
	} else {
		learner.fetchingSnapshot = false
		learner.matchIndex = max(learner.matchIndex, message.Index)
		learner.nextIndex = max(learner.nextIndex, learner.matchIndex+1)
		learner.knownCommit = max(learner.knownCommit, message.Commit)
	}
	r.replicateToLearner(now)
}

// appendAsLearner stores a leader's entries without a vote.
func (r *Replica) appendAsLearner(now clock.Microseconds, message Message) {
	recovery := r.recovery
	if message.Round < recovery.leaderTerm {
		return
	}
	recovery.leaderTerm, recovery.replicating = message.Round, true
	response := Message{
		To: message.From, Kind: MsgAppendResponse, Round: message.Round, Asked: message.Asked, Promised: message.Round, Life: r.Incarnation, Recovering: true,
	}
	if message.Base.Index > r.appliedIndex {
		r.installSnapshot(message.Base)
	}
	if !r.matches(message.Index, message.IndexRound) {
		if message.Snapshot > r.appliedIndex {
			r.startFetch(now, logFetch{fetchPurpose: fetchForLearner, source: message.From, term: message.Round, index: message.Snapshot, appendSentAt: message.Asked})
		}
		last, _ := r.LastPosition()
		response.Index = min(last, message.Index-1, max(r.commitIndex, r.Snapshot.Index))
		r.sendAfterSync(response)
		return
	}
	if records := r.merge(r.Shard, message.Entries); len(records) > 0 {
		r.persist(records...)
		r.refreshMembership()
	}
	response.Accepted, response.Index = true, message.Index+uint64(len(message.Entries))
	r.commitTo(min(message.Commit, response.Index))
	response.Commit = r.commitIndex
	if message.Established && message.Life == r.Incarnation && r.commitIndex >= message.Commit && r.isAppliedMember() {
		r.promoteToVoter(now, message)
		response.Recovering, response.Promised = false, r.PromisedTerm
	}
	r.sendAfterSync(response)
}

// isAppliedMember tells whether a committed entry has given the slot to this very daemon: to its
// address and to its data folder, so that what an earlier one promised is not asked of it.
func (r *Replica) isAppliedMember() bool {
	member := r.appliedMembership.Seats[r.Self]
	return member.sameAddress(r.LocalMember) && member.Identity != "" && member.Identity == r.LocalMember.Identity
}

// promoteToVoter makes a voter of a learner. It promises the leader's round at least, and grants
// nothing until the longest lease that an earlier holder may have granted is over.
func (r *Replica) promoteToVoter(now clock.Microseconds, message Message) {
	r.recovery = nil
	r.PromisedTerm = max(r.PromisedTerm, message.Round)
	r.persist(wal.Record{Kind: wal.RecordPromise, Shard: r.Shard, Entry: wal.Entry{Round: r.PromisedTerm}})
	r.leaseGranter = lease.NewGranter(r.Timing, now, false)
	r.election.LiftBar()
	r.election.BarTerm(r.PromisedTerm)
	r.observeHigherTerm(now, message.From, r.PromisedTerm)
	r.upToDate, r.leaderContactAt = true, now
}

// addRecoveringLearner has a leader that is asked by a daemon without its disk, at the address of a seat
// or for a vacant one, teach it. The seat's identity tells that the former holder's disk
// is gone; where it is not known, the daemon recovers as if there were no leader.
func (r *Replica) addRecoveringLearner(now clock.Microseconds, message Message) {
	member := r.membership.Seats[message.From]
	if !r.IsLeader() || message.Sender.Identity == "" || member.Identity == "" && !member.Vacant() || message.From == r.Self {
		return
	}
	if current := r.learner; current != nil && (current.member == message.Sender || now-current.lastContact <= learnerTimeout) {
		return
	}
	r.learner = &learner{slot: message.From, promotable: true, follower: follower{nextIndex: r.Snapshot.Index + 1, member: message.Sender, lastContact: now}}
	r.replicateToLearner(now)
}

// promisesFormQuorum tells whether promises are a majority under the bindings of the log that they
// make this candidate adopt: daemons that have lost their slot there count no more.
func (r *Replica) promisesFormQuorum(bestPromise Message) bool {
	membership := r.membership
	if bestPromise.From != r.Self {
		if adopted, ok := membershipOf(bestPromise); ok && adopted.Epoch > membership.Epoch {
			membership = adopted
		}
	}
	count := 0
	for slot, promise := range r.promises {
		if membership.isVoter(slot, promise.Sender) {
			count++
		}
	}
	return count >= r.majority() && membership.Slot(r.LocalMember) == r.Self
}

func membershipOf(message Message) (Membership, bool) {
	return LatestMembership(wal.ShardState{Snapshot: message.Base, Entries: message.Entries})
}

// filterLearnerMessages drops what a learner's election would say: it has no slot to speak for.
func (r *Replica) filterLearnerMessages(outgoing []election.OutgoingMessage) []election.OutgoingMessage {
	if r.IsLearner() {
		return nil
	}
	return outgoing
}
