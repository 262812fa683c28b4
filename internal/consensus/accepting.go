package part

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus/wal"
)

func (member *Member) raise(round uint64) {
	if round > member.Promised {
		member.Promised = round
		member.record(journal.Record{Kind: journal.Promise, Part: member.Part, Entry: journal.Entry{Round: round}})
	}
}

// ahead tells whether a message is of a round that the election here has not
// reached. Such a message may be arbitrarily old; it is dropped, so that the
// promise never passes the election, which alone may move to a higher round.
func (member *Member) ahead(round uint64) bool {
	_, reached := member.election.Leader()
	return round > reached
}

func (member *Member) promise(message Message) {
	if member.recovery != nil || member.ahead(message.Round) {
		return
	}
	answer := Message{To: message.From, Kind: Promise, Round: message.Round, Promised: member.Promised}
	if message.Round >= member.Promised {
		member.raise(message.Round)
		answer.Accepted, answer.Promised, answer.Commit = true, member.Promised, member.commit
		answer.Index, answer.IndexRound = member.Last()
		answer = member.complete(answer, message.Index)
	}
	member.hold(answer)
}

func (member *Member) append(now schedule.Microseconds, message Message) {
	if member.recovery != nil && message.Learner {
		member.study(now, message)
		return
	}
	if member.recovery != nil || member.ahead(message.Round) {
		return
	}
	answer := Message{
		To: message.From, Kind: Appended, Round: message.Round, Asked: message.Asked, Promised: member.Promised, Life: member.Life,
	}
	if message.Round < member.Promised {
		member.hold(answer)
		return
	}
	member.raise(message.Round)
	member.shownAt = now
	answer.Promised = member.Promised
	if message.Base.Index > member.applied {
		member.install(message.Base)
	}
	if !member.matches(message.Index, message.IndexRound) {
		if message.Snapshot > member.applied {
			member.pull(now, fetch{purpose: forFollowing, from: message.From, round: message.Round, index: message.Snapshot, answering: message.Asked})
		}
		last, _ := member.Last()
		answer.Index = min(last, message.Index-1, max(member.commit, member.Base.Index))
		member.hold(answer)
		return
	}
	if records := member.merge(member.Part, message.Entries); len(records) > 0 {
		member.record(records...)
		member.rebind()
	}
	answer.Accepted, answer.Index = true, message.Index+uint64(len(message.Entries))
	if message.From != member.Self {
		member.advance(min(message.Commit, answer.Index))
		// An Append to an earlier life may be old: what that life knew may have
		// been counted for acknowledgements that this one has not heard of.
		if message.Established && message.Life == member.Life && member.commit >= message.Commit {
			member.current = true
		}
	}
	answer.Commit = member.commit
	answer.Granted = member.voter.Give(now, message.Round)
	member.hold(answer)
}
