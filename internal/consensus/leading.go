package part

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus/lease"
	"coursepass/internal/consensus/wal"
)

const (
	piece = 64
	// wideSpan is how long an acknowledgement waits for a slot that is in good touch.
	wideSpan = 300 * schedule.Millisecond
)

func (member *Member) prepare(now schedule.Microseconds, round uint64) {
	member.stage, member.mine, member.heartbeat = preparing, round, now
	member.promises = map[int]Message{}
	for slot := range member.Slots {
		message := Message{
			Part: member.Part, From: member.Self, To: slot, Kind: Prepare, Round: round, Index: member.commit,
			Epoch: member.bindings.Epoch,
		}
		if slot != member.Self {
			member.output.Urgent = append(member.output.Urgent, message)
			continue
		}
		member.promise(message)
	}
}

func (member *Member) promised(now schedule.Microseconds, message Message) {
	if message.Promised > max(message.Round, member.Promised) {
		member.overtaken(now, message.From, message.Promised)
	}
	if member.stage != preparing || message.Round != member.mine || !message.Accepted || !member.sits(message) {
		return
	}
	member.promises[message.From] = message
	if _, own := member.promises[member.Self]; !own || len(member.promises) < member.majority() {
		return
	}
	best := message
	for _, other := range member.promises {
		if other.IndexRound > best.IndexRound || other.IndexRound == best.IndexRound && other.Index > best.Index {
			best = other
		}
	}
	if best.From != member.Self && !member.supplied(best) {
		member.pull(now, fetch{purpose: forLeading, from: best.From, round: member.mine, index: best.Index, indexRound: best.IndexRound})
		return
	}
	if !member.quorate(best) {
		return
	}
	if best.From != member.Self {
		member.adopt(best)
	}
	member.lead(now)
}

// adopt takes over the log of the slot that is furthest among a majority.
func (member *Member) adopt(best Message) {
	if best.Base.Index > member.applied {
		member.install(best.Base)
	}
	member.record(member.merge(member.Part, best.Entries)...)
	if last, _ := member.Last(); last > best.Index {
		member.Entries = member.Entries[:best.Index-member.Base.Index]
	}
	member.rebind()
}

func (member *Member) install(base journal.Entry) {
	member.record(member.rebase(member.Part, base))
	member.restore(base.Data)
	member.rebind()
	member.applied = base.Index
	member.output.Applied = true
}

func (member *Member) lead(now schedule.Microseconds) {
	member.stage, member.promises = leading, nil
	member.holder = grant.NewHolder(member.Terms, member.mine, member.Slots)
	member.others = make([]follower, member.Slots)
	member.answers = nil
	last, _ := member.Last()
	member.first, member.settled = last+1, member.commit
	for slot := range member.others {
		member.others[slot].next, member.others[slot].heard = last+1, now
	}
	member.write(nil)
	member.replicate(now)
}

func (member *Member) write(data []byte) uint64 {
	last, _ := member.Last()
	entry := journal.Entry{Index: last + 1, Round: member.mine, Data: data}
	member.record(member.merge(member.Part, []journal.Entry{entry})...)
	return entry.Index
}

// Propose puts an operation into the log; false where this member does not own
// the part. Its result comes with the same index and round, or Lost does.
func (member *Member) Propose(now schedule.Microseconds, operation []byte) (index, round uint64, accepted bool, output Output) {
	if !member.Owns() {
		return 0, 0, false, Output{}
	}
	if len(operation) > 0 {
		operation = OperationData(operation)
	}
	index = member.write(operation)
	member.replicate(now)
	return index, member.mine, true, member.take()
}

// replicate sends what a follower lacks, and at each third of a lease a heartbeat
// that also asks for the grant.
func (member *Member) replicate(now schedule.Microseconds) {
	last, _ := member.Last()
	for slot := range member.others {
		other := &member.others[slot]
		due := now-other.sent >= member.Lease/3 || other.knows < member.commit && !other.waiting
		switch {
		case other.waiting && now-other.sent < member.patience(other.size):
			continue
		case other.fetching && now-other.sent < member.Lease/3:
			continue
		case other.waiting:
			other.next = other.matched + 1
		case other.next > last && !due:
			continue
		}
		member.send(now, slot)
	}
}

func (member *Member) send(now schedule.Microseconds, slot int) {
	message := member.compose(now, slot, &member.others[slot])
	if slot == member.Self {
		member.append(now, message)
		return
	}
	member.output.Urgent = append(member.output.Urgent, message)
}

// compose makes the next Append for a follower, and notes what is on its way to it.
func (member *Member) compose(now schedule.Microseconds, slot int, other *follower) Message {
	message := Message{
		To: slot, Kind: Append, Round: member.mine, Commit: member.commit,
		Established: member.established(), Asked: now, Life: other.life, Part: member.Part, From: member.Self, Epoch: member.bindings.Epoch,
	}
	entries, round, held := member.span(other.next - 1)
	if !held {
		other.fetching = len(member.Base.Data) > member.pieceSize()
		if other.fetching {
			message.Snapshot = member.Base.Index
		} else {
			message.Base = member.Base
		}
		other.next = member.Base.Index + 1
		entries, round = member.Entries, member.Base.Round
	}
	message.Index, message.IndexRound = other.next-1, round
	if !other.fetching {
		message.Entries = bounded(entries, member.pieceSize())
	}
	other.next += uint64(len(message.Entries))
	other.sent, other.waiting, other.size = now, true, message.Size()
	return message
}

func (member *Member) appended(now schedule.Microseconds, message Message) {
	if message.Recovering {
		member.learned(now, message)
		return
	}
	if message.Promised > max(message.Round, member.Promised) {
		member.overtaken(now, message.From, message.Promised)
	}
	if member.stage != leading || message.Round != member.mine || !member.sits(message) {
		return
	}
	other := &member.others[message.From]
	if other.sender != message.Sender {
		*other = follower{next: member.Base.Index + 1, sender: message.Sender}
	}
	other.life, other.heard = message.Life, now
	if message.Granted {
		member.holder.Gain(now, message.From, message.Asked)
	}
	if member.teaches(message) {
		// It is a voter now; another may be taught.
		member.learner = nil
	}
	if message.Promised <= message.Round {
		member.election.Answered(message.From, message.Asked)
	}
	if message.Asked == other.sent {
		other.waiting = false
	}
	if !message.Accepted {
		other.next = min(other.next, message.Index+1)
		return
	}
	other.fetching = false
	other.matched = max(other.matched, message.Index)
	other.next = max(other.next, other.matched+1)
	other.knows = max(other.knows, message.Commit)
	member.settle(now)
	member.replicate(now)
}

// settle commits what a majority holds, and answers what a majority knows to be
// committed.
func (member *Member) settle(now schedule.Microseconds) {
	held := member.commonest(func(other follower) uint64 { return other.matched })
	if held >= member.first {
		member.advance(held)
		member.current = true
	}
	if known := member.commonest(func(other follower) uint64 { return other.knows }); known > member.settled {
		if len(member.answers) == 0 || member.answers[0].Index > member.settled {
			member.widening = now
		}
		member.settled = known
	}
	member.release(now)
}

// release answers what a majority knows. While the rest are in good touch it waits a
// little for them to know it too, so that an entry is not lost with the few who hold it.
func (member *Member) release(now schedule.Microseconds) {
	if len(member.answers) == 0 || member.answers[0].Index > member.settled {
		return
	}
	all := member.settled
	for slot := range member.others {
		other := &member.others[slot]
		switch {
		case other.knows >= member.settled:
			other.behind = false
		case other.behind || member.bindings.Seats[slot].Vacant() || now-other.heard > member.Lease/2:
		case now-member.widening >= wideSpan:
			other.behind = true
		default:
			all = min(all, other.knows)
		}
	}
	ready := 0
	for ready < len(member.answers) && member.answers[ready].Index <= all {
		ready++
	}
	member.output.Results = append(member.output.Results, member.answers[:ready]...)
	member.answers = member.answers[ready:]
}

// commonest is the highest index that a majority of slots has reached.
func (member *Member) commonest(index func(follower) uint64) uint64 {
	best := uint64(0)
	for _, candidate := range member.others {
		count := 0
		for _, other := range member.others {
			if index(other) >= index(candidate) {
				count++
			}
		}
		if count >= member.majority() {
			best = max(best, index(candidate))
		}
	}
	return best
}
