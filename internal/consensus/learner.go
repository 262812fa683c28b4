package consensus

import "coursepass/internal/clock"

// learnerTimeout is the time without an answer after which the leader abandons a learner.
const learnerTimeout = 2 * clock.Second

// learner is a daemon without a vote to which the leader replicates its log. What the learner
// stores does not count towards a majority until a committed entry has given it the slot.
type learner struct {
	progress
	slot int
	// promotable is set if the learner is to be given the slot once it has caught up.
	promotable bool
	// sentIncarnation is the incarnation to which the last MsgAppend was sent. Only a MsgAppend to
	// its present incarnation makes a learner a voter.
	sentIncarnation uint64
}

// LearnerRequest asks a leader to replicate its log to a daemon without a vote.
type LearnerRequest struct {
	// Slot is the slot that the daemon may be given.
	Slot   int
	Daemon Member
	// Promotable is set if the daemon is to be given the slot once it has caught up.
	Promotable bool
}

func (r *Replica) newLearner(now clock.Microseconds, request LearnerRequest) *learner {
	return &learner{
		slot:       request.Slot,
		promotable: request.Promotable,
		progress:   r.newProgress(now, request.Daemon),
	}
}

// timedOut reports whether a learner has not answered for longer than learnerTimeout.
func (l *learner) timedOut(now clock.Microseconds) bool {
	return now-l.lastContact > learnerTimeout
}

// AddLearner makes a leader replicate its log to a daemon and, if the request is promotable, give
// the daemon the slot once it has caught up. A leader has at most one learner at a time. A
// promotable learner replaces one that is not promotable.
func (r *Replica) AddLearner(now clock.Microseconds, request LearnerRequest) Output {
	slot := request.Slot
	daemon := request.Daemon
	if !r.IsLeader() || slot < 0 || slot >= r.Slots || slot == r.Self {
		return Output{}
	}
	if currentSlot := r.membership.Slot(daemon); currentSlot >= 0 && currentSlot != slot {
		return Output{}
	}
	current := r.leadership.learner
	switch {
	case current != nil && current.member == daemon && current.slot == slot:
		current.promotable = request.Promotable
	case current == nil || current.timedOut(now) || request.Promotable && !current.promotable,
		current.member.hasOtherDisk(daemon):
		r.leadership.learner = r.newLearner(now, request)
	}
	r.replicateToLearner(now)
	return r.takeOutput()
}

// RestoreMember makes a leader replicate its log to a daemon that asks for this from the address of
// its own slot. Such a daemon has lost its disk, or was given the slot and does not know this yet.
// For a voter that asks because it hears no leader, the result is only one more heartbeat.
func (r *Replica) RestoreMember(now clock.Microseconds, slot int, daemon Member) Output {
	if r.membership.Members[slot].Identity == "" {
		return Output{}
	}
	return r.AddLearner(now, LearnerRequest{Slot: slot, Daemon: daemon, Promotable: true})
}

// addRecoveringLearner makes a learner of a daemon that asks for recovery, from the address of its
// slot or for a vacant slot. The identity of the recorded member shows that the daemon's former
// disk is gone. If that identity is not known, the daemon recovers as it would without a leader.
func (r *Replica) addRecoveringLearner(now clock.Microseconds, message Message) {
	if !r.IsLeader() || message.Sender.Identity == "" || message.From == r.Self {
		return
	}
	member := r.membership.Members[message.From]
	if member.Identity == "" && !member.Vacant() {
		return
	}
	current := r.leadership.learner
	replaceable := current == nil || current.timedOut(now) || current.member.hasOtherDisk(message.Sender)
	if !replaceable || current != nil && current.member == message.Sender {
		return
	}
	r.leadership.learner = r.newLearner(now, LearnerRequest{
		Slot:       message.From,
		Daemon:     message.Sender,
		Promotable: true,
	})
	r.replicateToLearner(now)
}

// replicateToLearner sends the learner the entries that it lacks, and gives it the slot once it has
// caught up.
func (r *Replica) replicateToLearner(now clock.Microseconds) {
	learner := r.leadership.learner
	if learner == nil {
		return
	}
	if learner.timedOut(now) {
		r.leadership.learner = nil
		return
	}
	if r.learnerAppendDue(now, learner) {
		r.sendLearnerAppend(now, learner)
	}
	if learner.promotable && r.learnerCaughtUp(learner) && !r.holdsSlot(learner) {
		r.replaceMember(now, learner.slot, learner.member, r.LeaseDuration)
	}
}

// learnerAppendDue reports whether the leader must send a MsgAppend to the learner, because the
// learner lacks something or a heartbeat is due.
func (r *Replica) learnerAppendDue(now clock.Microseconds, learner *learner) bool {
	if r.sendBlocked(now, &learner.progress) {
		return false
	}
	last, _ := r.LastPosition()
	upToDate := learner.nextIndex > last &&
		learner.knownCommit >= r.commitIndex &&
		learner.sentIncarnation == learner.incarnation
	return learner.inFlight || !upToDate || now-learner.lastSent >= r.heartbeatInterval()
}

func (r *Replica) sendLearnerAppend(now clock.Microseconds, learner *learner) {
	if learner.inFlight {
		// The last MsgAppend or its response was lost.
		learner.nextIndex = learner.matchIndex + 1
	}
	message := r.buildAppend(now, learner.slot, &learner.progress)
	message.Learner = true
	message.Address = learner.member.Address
	learner.sentIncarnation = learner.incarnation
	r.send(message)
}

func (r *Replica) learnerCaughtUp(learner *learner) bool {
	return learner.incarnation > 0 && learner.matchIndex > 0 && r.hasCaughtUp(&learner.progress)
}

// ObserveIdentity informs a leader of the identity of the daemon at an address. What the leader knows
// of the log of an earlier disk at that address does not apply to that daemon.
func (r *Replica) ObserveIdentity(now clock.Microseconds, address, identity string) {
	if r.role != roleLeader || identity == "" {
		return
	}
	daemon := Member{Address: address, Identity: identity}
	if learner := r.leadership.learner; learner != nil && learner.member.hasOtherDisk(daemon) {
		r.leadership.learner = nil
	}
	if slot := r.membership.Slot(daemon); slot >= 0 && slot != r.Self {
		r.observeFollower(now, slot, daemon)
	}
}

// observeFollower forgets the progress of a follower if another disk answers at its address.
func (r *Replica) observeFollower(now clock.Microseconds, slot int, daemon Member) {
	if peer := &r.leadership.followers[slot]; peer.member.hasOtherDisk(daemon) {
		*peer = r.newProgress(now, daemon)
	}
}

// holdsSlot reports whether the slot has been given to the learner with its present data directory.
func (r *Replica) holdsSlot(learner *learner) bool {
	member := r.membership.Members[learner.slot]
	return member.sameAddress(learner.member) && member.Identity == learner.member.Identity
}

// fromLearner reports whether a message comes from this leader's learner.
func (r *Replica) fromLearner(message Message) bool {
	learner := r.leadership.learner
	return learner != nil && learner.member == message.Sender && learner.slot == message.From
}

// handleLearnerResponse records what a learner's response shows of its log.
func (r *Replica) handleLearnerResponse(now clock.Microseconds, message Message) {
	if r.role != roleLeader || message.Term != r.ownTerm {
		return
	}
	if r.fromMember(message) {
		r.observeFollower(now, message.From, message.Sender)
		peer := &r.leadership.followers[message.From]
		peer.lastContact = now
		peer.incarnation = message.Incarnation
	}
	if !r.fromLearner(message) {
		return
	}
	learner := r.leadership.learner
	learner.lastContact = now
	if learner.incarnation != message.Incarnation {
		learner.incarnation = message.Incarnation
		learner.matchIndex = 0
		learner.knownCommit = 0
	}
	learner.recordResponse(message)
	r.replicateToLearner(now)
}
