package part

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus/wal"
)

const (
	// DefaultPiece is the size of a piece of a snapshot: 10 Mbit/s carry it in 26 ms.
	DefaultPiece = 32 << 10
	// largestSnapshot is the largest snapshot that is fetched.
	largestSnapshot = 64 << 20
	// bytePatience is how long a byte under way is waited for: a tenth of 10 Mbit/s.
	bytePatience schedule.Microseconds = 8
	// fetchTries is how often a question is sent until its source is given up; its
	// patience doubles up to four times the first.
	fetchTries     = 5
	patienceGrowth = 4
)

// purpose is what a member fetches for.
type purpose uint8

const (
	// forFollowing brings a follower to the snapshot that its leader has announced.
	forFollowing purpose = iota
	// forLeading brings a candidate to the furthest log of those that promised.
	forLeading
	// forRecovery brings a member that has lost its disk to what others have told.
	forRecovery
	// forLearning brings a learner to the snapshot that its leader has announced.
	forLearning
)

// fetch is the content that a member asks another for, one question at a time.
type fetch struct {
	purpose
	from  int
	round uint64
	// index and indexRound are the position to reach.
	index, indexRound uint64
	// next is the entry after which the log is wanted; common says that the source has
	// all up to it too.
	next   uint64
	common bool
	asked  schedule.Microseconds
	tries  int
	// answering is the leader's time that an answer after the snapshot is for.
	answering schedule.Microseconds
	snapshot  assembly
}

// Transfers counts pieces and entries that were fetched by this member or from it.
type Transfers struct {
	Served, Taken, Refused, Repeated, Installed uint64
}

// Transfers are the counts so far.
func (member *Member) Transfers() Transfers { return member.transfers }

func (member *Member) pieceSize() int {
	if member.Place.Piece > 0 {
		return member.Place.Piece
	}
	return DefaultPiece
}

// patience is how long an answer with so many bytes may take.
func (member *Member) patience(size int) schedule.Microseconds {
	return member.Delta + schedule.Microseconds(size)*bytePatience
}

// reaches tells whether the log here is as far as a position.
func (member *Member) reaches(index, round uint64) bool {
	last, lastRound := member.Last()
	return lastRound > round || lastRound == round && last >= index
}

// supplied tells whether what an answer holds, or the log here, reaches its position.
func (member *Member) supplied(answer Message) bool {
	return answer.Kind != PromisePosition && answer.Kind != TellPosition || member.reaches(answer.Index, answer.IndexRound)
}

// pull begins to fetch, unless that is under way.
func (member *Member) pull(now schedule.Microseconds, wanted fetch) {
	current := member.fetch
	if current != nil && current.purpose == wanted.purpose && current.from == wanted.from && current.round == wanted.round {
		current.index, current.indexRound, current.answering = wanted.index, wanted.indexRound, wanted.answering
		return
	}
	last, _ := member.Last()
	wanted.next = max(min(last, wanted.index), member.Base.Index)
	member.fetch = &wanted
	member.ask(now)
}

func (member *Member) ask(now schedule.Microseconds) {
	fetch := member.fetch
	fetch.asked = now
	message := Message{To: fetch.from, Kind: Fetch, Round: fetch.round, Asked: now, Life: member.Life, Index: fetch.next}
	message.Base = journal.Entry{Index: fetch.snapshot.index, Round: fetch.snapshot.round}
	message.Checksum, message.Offset = fetch.snapshot.checksum, uint64(len(fetch.snapshot.data))
	member.hold(message)
}

// refetch asks again what has stayed unanswered, and gives a silent source up.
func (member *Member) refetch(now schedule.Microseconds) {
	fetch := member.fetch
	if fetch == nil {
		return
	}
	if member.obsolete(fetch) {
		member.fetch = nil
		return
	}
	patience := member.patience(member.pieceSize()) * schedule.Microseconds(min(1<<fetch.tries, patienceGrowth))
	if now-fetch.asked < patience {
		return
	}
	fetch.tries++
	if fetch.tries >= fetchTries {
		member.abandon(now)
		return
	}
	member.transfers.Repeated++
	member.ask(now)
}

// obsolete tells whether what is fetched is of an earlier term or stage.
func (member *Member) obsolete(fetch *fetch) bool {
	switch fetch.purpose {
	case forRecovery:
		return member.recovery == nil
	case forLeading:
		return member.stage != preparing || member.mine != fetch.round
	case forLearning:
		return member.recovery == nil || member.recovery.studied != fetch.round
	}
	return member.stage != following || member.Promised != fetch.round
}

// abandon gives up a source: what it told counts no more.
func (member *Member) abandon(now schedule.Microseconds) {
	source := *member.fetch
	member.fetch = nil
	switch source.purpose {
	case forRecovery:
		member.recovery.forget(source.from)
	case forLeading:
		member.prepare(now, source.round)
	}
}

// serve answers one question for content: the entries after an index, or else a piece of
// the snapshot. Nothing is kept for the asker.
func (member *Member) serve(message Message) {
	if !member.sits(message) && !member.teaches(message) || message.Round > 0 && message.Round != member.Promised {
		member.transfers.Refused++
		return
	}
	answer := Message{To: message.From, Kind: Content, Round: message.Round, Asked: message.Asked, Life: message.Life}
	if member.teaches(message) {
		answer.Address = message.Sender.Address
	}
	last, _ := member.Last()
	if entries, round, held := member.span(message.Index); held || message.Index > last {
		answer.Index, answer.IndexRound, answer.Entries = message.Index, round, bounded(entries, member.pieceSize())
	} else {
		answer.Base, answer.Offset = member.cut(message)
		answer.Total, answer.Checksum = uint64(len(member.Base.Data)), member.checksum()
	}
	member.transfers.Served++
	member.hold(answer)
}

// content takes one answer to the question that is under way.
func (member *Member) content(now schedule.Microseconds, message Message) {
	fetch := member.fetch
	if fetch == nil || member.obsolete(fetch) || message.From != fetch.from || !member.sits(message) ||
		message.Round != fetch.round || message.Asked != fetch.asked || message.Life != member.Life {
		member.transfers.Refused++
		return
	}
	taken := false
	if message.Total > 0 {
		taken = member.takePiece(message)
	} else {
		taken = member.takeEntries(message)
	}
	if !taken {
		member.transfers.Refused++
		return
	}
	member.transfers.Taken++
	fetch.tries = 0
	member.proceed(now)
}

// takeEntries appends entries that follow what is held.
func (member *Member) takeEntries(message Message) bool {
	fetch := member.fetch
	if message.Index != fetch.next {
		return false
	}
	if !member.matches(message.Index, message.IndexRound) {
		// The logs differ there: begin again at what is surely common.
		committed := max(member.commit, member.Base.Index)
		differs := fetch.next > committed
		fetch.next = committed
		return differs
	}
	if len(message.Entries) == 0 {
		return false
	}
	for place, entry := range message.Entries {
		if entry.Index != message.Index+uint64(place)+1 {
			return false
		}
	}
	member.record(member.merge(member.Part, message.Entries)...)
	member.rebind()
	fetch.next, fetch.common = message.Entries[len(message.Entries)-1].Index, true
	return true
}

// takePiece adds a piece to the snapshot, and installs the snapshot when it is whole.
func (member *Member) takePiece(message Message) bool {
	fetch := member.fetch
	if message.Base.Index <= member.applied || !fetch.snapshot.add(message, member.pieceSize()) {
		return false
	}
	if !fetch.snapshot.whole() {
		return true
	}
	base, intact := fetch.snapshot.entry()
	fetch.snapshot = assembly{}
	if !intact {
		return false
	}
	member.install(base)
	member.transfers.Installed++
	fetch.next, fetch.common = base.Index, true
	return true
}

// proceed asks for what is still lacking, or ends the fetch.
func (member *Member) proceed(now schedule.Microseconds) {
	fetch := member.fetch
	done := member.reaches(fetch.index, fetch.indexRound)
	if fetch.purpose == forFollowing || fetch.purpose == forLearning {
		done = fetch.common && fetch.next >= fetch.index
	}
	if !done {
		member.ask(now)
		return
	}
	member.fetch = nil
	switch fetch.purpose {
	case forLeading:
		member.prepare(now, fetch.round)
	case forRecovery:
		member.recovering(now)
	case forFollowing, forLearning:
		member.hold(Message{
			To: fetch.from, Kind: Appended, Round: fetch.round, Asked: fetch.answering, Promised: member.Promised, Life: member.Life,
			Accepted: true, Index: fetch.next, Commit: member.commit, Recovering: member.recovery != nil,
		})
	}
}
