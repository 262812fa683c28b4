package part

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/lease"
	"coursepass/internal/consensus/wal"
)

// learnerPatience is how long a learner may be silent until the leader gives it up.
const learnerPatience = 2 * schedule.Second

// learner is a daemon without a vote that the leader gives a copy of the log. What it
// stores counts for nothing until a committed entry has given it the slot.
type learner struct {
	follower
	slot int
	// entitled says that the slot changes hands as soon as the learner has caught up.
	entitled bool
	// sentLife is the life that the last Append was sent to: only what is sent to its present
	// life makes a learner a voter.
	sentLife uint64
}

// StartLearner wakes a member that has no vote yet: the leader's entries are stored, and
// it becomes a voter once it knows a committed entry that gives its slot to this daemon.
func StartLearner(place Place, state State, past journal.Past, now schedule.Microseconds) (*Member, Output) {
	member, _ := Start(place, state, past, now, false)
	member.recover(now)
	member.recovery.learner = true
	output := member.take()
	output.Urgent, output.Held = nil, nil
	return member, output
}

// Learning tells whether this member holds no slot and only takes a copy.
func (r *Member) Learning() bool { return r.recovery != nil && r.recovery.learner }

// Teach has this leader give a daemon a copy, and the slot once it has caught up if it is
// entitled to it. One daemon at a time is taught; one that is entitled comes first.
func (r *Member) Teach(now schedule.Microseconds, slot int, daemon Seat, entitled bool) Output {
	if !r.Owns() || slot < 0 || slot >= r.Slots || slot == r.Self {
		return Output{}
	}
	if seated := r.bindings.Slot(daemon); seated >= 0 && seated != slot {
		return Output{}
	}
	current := r.learner
	switch {
	case current != nil && current.sender == daemon && current.slot == slot:
		current.entitled = entitled
	case current == nil || now-current.heard > learnerPatience || entitled && !current.entitled:
		r.learner = &learner{slot: slot, entitled: entitled, follower: follower{next: r.Base.Index + 1, sender: daemon, heard: now}}
	}
	r.teach(now)
	return r.take()
}

// Restore has this leader teach a daemon that stands at the address of its seat and asks for
// it: it has lost its disk since, or was given the seat and has not heard so as a learner. A
// daemon that learns is silent by itself, so whoever leads next must be told of it so. To a
// voter that asks because it hears no leader this is one heartbeat more.
func (r *Member) Restore(now schedule.Microseconds, slot int, daemon Seat) Output {
	if r.bindings.Seats[slot].Identity == "" {
		return Output{}
	}
	return r.Teach(now, slot, daemon, true)
}

// teach sends the learner what it lacks, and hands the slot over when it has caught up.
func (r *Member) teach(now schedule.Microseconds) {
	learner := r.learner
	if learner == nil {
		return
	}
	if now-learner.heard > learnerPatience {
		r.learner = nil
		return
	}
	last, _ := r.Last()
	current := learner.next > last && learner.knows >= r.commit && learner.sentLife == learner.life
	switch {
	case learner.waiting && now-learner.sent < r.patience(learner.size):
	case learner.fetching && now-learner.sent < r.Lease/3:
	case !learner.waiting && current && now-learner.sent < r.Lease/3:
	default:
		if learner.waiting {
			learner.next = learner.matched + 1
		}
		message := r.compose(now, learner.slot, &learner.follower)
		learner.sentLife = learner.life
		message.Learner, message.Address = true, learner.sender.Address
		r.output.Urgent = append(r.output.Urgent, message)
	}
	caught := learner.life > 0 && learner.matched > 0 && learner.matched+caughtSlack >= r.commit
	seat := r.bindings.Seats[learner.slot]
	held := seat.holds(learner.sender) && seat.Identity == learner.sender.Identity
	if caught && learner.entitled && !held {
		r.replace(now, learner.slot, learner.sender, r.Lease)
	}
}

// teaches tells whether a message is of the daemon that is taught here.
func (r *Member) teaches(message Message) bool {
	learner := r.learner
	return learner != nil && learner.sender == message.Sender && learner.slot == message.From
}

// learned takes a learner's answer: it moves on what is sent next, and counts for nothing.
func (r *Member) learned(now schedule.Microseconds, message Message) {
	if r.stage != leading || message.Round != r.mine {
		return
	}
	if r.sits(message) {
		other := &r.others[message.From]
		other.heard, other.life = now, message.Life
	}
	learner := r.learner
	if !r.teaches(message) {
		return
	}
	learner.heard = now
	if learner.life != message.Life {
		learner.life, learner.matched, learner.knows = message.Life, 0, 0
	}
	if message.Asked == learner.sent {
		learner.waiting = false
	}
	if !message.Accepted {
		learner.next = min(learner.next, message.Index+1)
	} else {
		learner.fetching = false
		learner.matched = max(learner.matched, message.Index)
		learner.next = max(learner.next, learner.matched+1)
		learner.knows = max(learner.knows, message.Commit)
	}
	r.teach(now)
}

// study stores a leader's entries without a vote.
func (r *Member) study(now schedule.Microseconds, message Message) {
	recovery := r.recovery
	if message.Round < recovery.studied {
		return
	}
	recovery.studied, recovery.taught = message.Round, true
	answer := Message{
		To: message.From, Kind: Appended, Round: message.Round, Asked: message.Asked, Promised: message.Round, Life: r.Life, Recovering: true,
	}
	if message.Base.Index > r.applied {
		r.install(message.Base)
	}
	if !r.matches(message.Index, message.IndexRound) {
		if message.Snapshot > r.applied {
			r.pull(now, fetch{purpose: forLearning, from: message.From, round: message.Round, index: message.Snapshot, answering: message.Asked})
		}
		last, _ := r.Last()
		answer.Index = min(last, message.Index-1, max(r.commit, r.Base.Index))
		r.hold(answer)
		return
	}
	if records := r.merge(r.Part, message.Entries); len(records) > 0 {
		r.record(records...)
		r.rebind()
	}
	answer.Accepted, answer.Index = true, message.Index+uint64(len(message.Entries))
	r.advance(min(message.Commit, answer.Index))
	answer.Commit = r.commit
	if message.Established && message.Life == r.Life && r.commit >= message.Commit && r.elected() {
		r.graduate(now, message)
		answer.Recovering, answer.Promised = false, r.Promised
	}
	r.hold(answer)
}

// elected tells whether a committed entry has given the slot to this very daemon: to its
// address and to its data folder, so that what an earlier one promised is not asked of it.
func (r *Member) elected() bool {
	seat := r.settledBindings.Seats[r.Self]
	return seat.holds(r.Me) && seat.Identity != "" && seat.Identity == r.Me.Identity
}

// graduate makes a voter of a learner. It promises the leader's round at least, and grants
// nothing until the longest lease that an earlier holder may have granted is over.
func (r *Member) graduate(now schedule.Microseconds, message Message) {
	r.recovery = nil
	r.Promised = max(r.Promised, message.Round)
	r.record(journal.Record{Kind: journal.Promise, Part: r.Part, Entry: journal.Entry{Round: r.Promised}})
	r.voter = grant.NewVoter(r.Terms, now, false)
	r.election.Lift()
	r.election.Bar(r.Promised)
	r.overtaken(now, message.From, r.Promised)
	r.current, r.shownAt = true, now
}

// admit has a leader that is asked by a daemon without its disk, at the address of a seat
// or for a vacant one, teach it. The seat's identity tells that the former holder's disk
// is gone; where it is not known, the daemon recovers as if there were no leader.
func (r *Member) admit(now schedule.Microseconds, message Message) {
	seat := r.bindings.Seats[message.From]
	if !r.Owns() || message.Sender.Identity == "" || seat.Identity == "" && !seat.Vacant() || message.From == r.Self {
		return
	}
	if current := r.learner; current != nil && (current.sender == message.Sender || now-current.heard <= learnerPatience) {
		return
	}
	r.learner = &learner{slot: message.From, entitled: true, follower: follower{next: r.Base.Index + 1, sender: message.Sender, heard: now}}
	r.teach(now)
}

// quorate tells whether promises are a majority under the bindings of the log that they
// make this candidate adopt: daemons that have lost their slot there count no more.
func (r *Member) quorate(best Message) bool {
	bindings := r.bindings
	if best.From != r.Self {
		if found, read := bindingsOf(best); read && found.Epoch > bindings.Epoch {
			bindings = found
		}
	}
	count := 0
	for slot, promise := range r.promises {
		if bindings.sits(slot, promise.Sender) {
			count++
		}
	}
	return count >= r.majority() && bindings.Slot(r.Me) == r.Self
}

func bindingsOf(message Message) (Bindings, bool) {
	return LastBindings(journal.Past{Base: message.Base, Entries: message.Entries})
}

// quiet drops what a learner's election would say: it has no slot to speak for.
func (r *Member) quiet(sends []election.Send) []election.Send {
	if r.Learning() {
		return nil
	}
	return sends
}
