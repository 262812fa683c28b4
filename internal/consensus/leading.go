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

func (r *Member) prepare(now schedule.Microseconds, round uint64) {
	r.stage, r.mine, r.heartbeat = preparing, round, now
	r.promises = map[int]Message{}
	for slot := range r.Slots {
		message := Message{
			Part: r.Part, From: r.Self, To: slot, Kind: Prepare, Round: round, Index: r.commit,
			Epoch: r.bindings.Epoch,
		}
		if slot != r.Self {
			r.output.Urgent = append(r.output.Urgent, message)
			continue
		}
		r.promise(message)
	}
}

func (r *Member) promised(now schedule.Microseconds, message Message) {
	if message.Promised > max(message.Round, r.Promised) {
		r.overtaken(now, message.From, message.Promised)
	}
	if r.stage != preparing || message.Round != r.mine || !message.Accepted || !r.sits(message) {
		return
	}
	r.promises[message.From] = message
	if _, own := r.promises[r.Self]; !own || len(r.promises) < r.majority() {
		return
	}
	best := message
	for _, other := range r.promises {
		if other.IndexRound > best.IndexRound || other.IndexRound == best.IndexRound && other.Index > best.Index {
			best = other
		}
	}
	if best.From != r.Self && !r.supplied(best) {
		r.pull(now, fetch{purpose: forLeading, from: best.From, round: r.mine, index: best.Index, indexRound: best.IndexRound})
		return
	}
	if !r.quorate(best) {
		return
	}
	if best.From != r.Self {
		r.adopt(best)
	}
	r.lead(now)
}

// adopt takes over the log of the slot that is furthest among a majority.
func (r *Member) adopt(best Message) {
	if best.Base.Index > r.applied {
		r.install(best.Base)
	}
	r.record(r.merge(r.Part, best.Entries)...)
	if last, _ := r.Last(); last > best.Index {
		r.Entries = r.Entries[:best.Index-r.Base.Index]
	}
	r.rebind()
}

func (r *Member) install(base journal.Entry) {
	r.record(r.rebase(r.Part, base))
	r.restore(base.Data)
	r.rebind()
	r.applied = base.Index
	r.output.Applied = true
}

func (r *Member) lead(now schedule.Microseconds) {
	r.stage, r.promises = leading, nil
	r.holder = grant.NewHolder(r.Terms, r.mine, r.Slots)
	r.others = make([]follower, r.Slots)
	r.answers = nil
	last, _ := r.Last()
	r.first, r.settled = last+1, r.commit
	for slot := range r.others {
		r.others[slot].next, r.others[slot].heard = last+1, now
	}
	r.write(nil)
	r.replicate(now)
}

func (r *Member) write(data []byte) uint64 {
	last, _ := r.Last()
	entry := journal.Entry{Index: last + 1, Round: r.mine, Data: data}
	r.record(r.merge(r.Part, []journal.Entry{entry})...)
	return entry.Index
}

// Propose puts an operation into the log; false where this member does not own
// the part. Its result comes with the same index and round, or Lost does.
func (r *Member) Propose(now schedule.Microseconds, operation []byte) (index, round uint64, accepted bool, output Output) {
	if !r.Owns() {
		return 0, 0, false, Output{}
	}
	if len(operation) > 0 {
		operation = OperationData(operation)
	}
	index = r.write(operation)
	r.replicate(now)
	return index, r.mine, true, r.take()
}

// replicate sends what a follower lacks, and at each third of a lease a heartbeat
// that also asks for the grant.
func (r *Member) replicate(now schedule.Microseconds) {
	last, _ := r.Last()
	for slot := range r.others {
		other := &r.others[slot]
		due := now-other.sent >= r.Lease/3 || other.knows < r.commit && !other.waiting
		switch {
		case other.waiting && now-other.sent < r.patience(other.size):
			continue
		case other.fetching && now-other.sent < r.Lease/3:
			continue
		case other.waiting:
			other.next = other.matched + 1
		case other.next > last && !due:
			continue
		}
		r.send(now, slot)
	}
}

func (r *Member) send(now schedule.Microseconds, slot int) {
	message := r.compose(now, slot, &r.others[slot])
	if slot == r.Self {
		r.append(now, message)
		return
	}
	r.output.Urgent = append(r.output.Urgent, message)
}

// compose makes the next Append for a follower, and notes what is on its way to it.
func (r *Member) compose(now schedule.Microseconds, slot int, other *follower) Message {
	message := Message{
		To: slot, Kind: Append, Round: r.mine, Commit: r.commit,
		Established: r.established(), Asked: now, Life: other.life, Part: r.Part, From: r.Self, Epoch: r.bindings.Epoch,
	}
	entries, round, held := r.span(other.next - 1)
	if !held {
		other.fetching = len(r.Base.Data) > r.pieceSize()
		if other.fetching {
			message.Snapshot = r.Base.Index
		} else {
			message.Base = r.Base
		}
		other.next = r.Base.Index + 1
		entries, round = r.Entries, r.Base.Round
	}
	message.Index, message.IndexRound = other.next-1, round
	if !other.fetching {
		message.Entries = bounded(entries, r.pieceSize())
	}
	other.next += uint64(len(message.Entries))
	other.sent, other.waiting, other.size = now, true, message.Size()
	return message
}

func (r *Member) appended(now schedule.Microseconds, message Message) {
	if message.Recovering {
		r.learned(now, message)
		return
	}
	if message.Promised > max(message.Round, r.Promised) {
		r.overtaken(now, message.From, message.Promised)
	}
	if r.stage != leading || message.Round != r.mine || !r.sits(message) {
		return
	}
	other := &r.others[message.From]
	if other.sender != message.Sender {
		*other = follower{next: r.Base.Index + 1, sender: message.Sender}
	}
	other.life, other.heard = message.Life, now
	if message.Granted {
		r.holder.Gain(now, message.From, message.Asked)
	}
	if r.teaches(message) {
		// It is a voter now; another may be taught.
		r.learner = nil
	}
	if message.Promised <= message.Round {
		r.election.Answered(message.From, message.Asked)
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
	r.settle(now)
	r.replicate(now)
}

// settle commits what a majority holds, and answers what a majority knows to be
// committed.
func (r *Member) settle(now schedule.Microseconds) {
	held := r.commonest(func(other follower) uint64 { return other.matched })
	if held >= r.first {
		r.advance(held)
		r.current = true
	}
	if known := r.commonest(func(other follower) uint64 { return other.knows }); known > r.settled {
		if len(r.answers) == 0 || r.answers[0].Index > r.settled {
			r.widening = now
		}
		r.settled = known
	}
	r.release(now)
}

// release answers what a majority knows. While the rest are in good touch it waits a
// little for them to know it too, so that an entry is not lost with the few who hold it.
func (r *Member) release(now schedule.Microseconds) {
	if len(r.answers) == 0 || r.answers[0].Index > r.settled {
		return
	}
	all := r.settled
	for slot := range r.others {
		other := &r.others[slot]
		switch {
		case other.knows >= r.settled:
			other.behind = false
		case other.behind || r.bindings.Seats[slot].Vacant() || now-other.heard > r.Lease/2:
		case now-r.widening >= wideSpan:
			other.behind = true
		default:
			all = min(all, other.knows)
		}
	}
	ready := 0
	for ready < len(r.answers) && r.answers[ready].Index <= all {
		ready++
	}
	r.output.Results = append(r.output.Results, r.answers[:ready]...)
	r.answers = r.answers[ready:]
}

// commonest is the highest index that a majority of slots has reached.
func (r *Member) commonest(index func(follower) uint64) uint64 {
	best := uint64(0)
	for _, candidate := range r.others {
		count := 0
		for _, other := range r.others {
			if index(other) >= index(candidate) {
				count++
			}
		}
		if count >= r.majority() {
			best = max(best, index(candidate))
		}
	}
	return best
}
