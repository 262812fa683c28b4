package part

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus/wal"
)

func (r *Member) raise(round uint64) {
	if round > r.Promised {
		r.Promised = round
		r.record(journal.Record{Kind: journal.Promise, Part: r.Part, Entry: journal.Entry{Round: round}})
	}
}

// ahead tells whether a message is of a round that the election here has not
// reached. Such a message may be arbitrarily old; it is dropped, so that the
// promise never passes the election, which alone may move to a higher round.
func (r *Member) ahead(round uint64) bool {
	_, reached := r.election.Leader()
	return round > reached
}

func (r *Member) promise(message Message) {
	if r.recovery != nil || r.ahead(message.Round) {
		return
	}
	answer := Message{To: message.From, Kind: Promise, Round: message.Round, Promised: r.Promised}
	if message.Round >= r.Promised {
		r.raise(message.Round)
		answer.Accepted, answer.Promised, answer.Commit = true, r.Promised, r.commit
		answer.Index, answer.IndexRound = r.Last()
		answer = r.complete(answer, message.Index)
	}
	r.hold(answer)
}

func (r *Member) append(now schedule.Microseconds, message Message) {
	if r.recovery != nil && message.Learner {
		r.study(now, message)
		return
	}
	if r.recovery != nil || r.ahead(message.Round) {
		return
	}
	answer := Message{
		To: message.From, Kind: Appended, Round: message.Round, Asked: message.Asked, Promised: r.Promised, Life: r.Life,
	}
	if message.Round < r.Promised {
		r.hold(answer)
		return
	}
	r.raise(message.Round)
	r.shownAt = now
	answer.Promised = r.Promised
	if message.Base.Index > r.applied {
		r.install(message.Base)
	}
	if !r.matches(message.Index, message.IndexRound) {
		if message.Snapshot > r.applied {
			r.pull(now, fetch{purpose: forFollowing, from: message.From, round: message.Round, index: message.Snapshot, answering: message.Asked})
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
	if message.From != r.Self {
		r.advance(min(message.Commit, answer.Index))
		// An Append to an earlier life may be old: what that life knew may have
		// been counted for acknowledgements that this one has not heard of.
		if message.Established && message.Life == r.Life && r.commit >= message.Commit {
			r.current = true
		}
	}
	answer.Commit = r.commit
	answer.Granted = r.voter.Give(now, message.Round)
	r.hold(answer)
}
