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
func (r *Member) Transfers() Transfers { return r.transfers }

func (r *Member) pieceSize() int {
	if r.Place.Piece > 0 {
		return r.Place.Piece
	}
	return DefaultPiece
}

// patience is how long an answer with so many bytes may take.
func (r *Member) patience(size int) schedule.Microseconds {
	return r.Delta + schedule.Microseconds(size)*bytePatience
}

// reaches tells whether the log here is as far as a position.
func (r *Member) reaches(index, round uint64) bool {
	last, lastRound := r.Last()
	return lastRound > round || lastRound == round && last >= index
}

// supplied tells whether what an answer holds, or the log here, reaches its position.
func (r *Member) supplied(answer Message) bool {
	return answer.Kind != PromisePosition && answer.Kind != TellPosition || r.reaches(answer.Index, answer.IndexRound)
}

// pull begins to fetch, unless that is under way.
func (r *Member) pull(now schedule.Microseconds, wanted fetch) {
	current := r.fetch
	if current != nil && current.purpose == wanted.purpose && current.from == wanted.from && current.round == wanted.round {
		current.index, current.indexRound, current.answering = wanted.index, wanted.indexRound, wanted.answering
		return
	}
	last, _ := r.Last()
	wanted.next = max(min(last, wanted.index), r.Base.Index)
	r.fetch = &wanted
	r.ask(now)
}

func (r *Member) ask(now schedule.Microseconds) {
	fetch := r.fetch
	fetch.asked = now
	message := Message{To: fetch.from, Kind: Fetch, Round: fetch.round, Asked: now, Life: r.Life, Index: fetch.next}
	message.Base = journal.Entry{Index: fetch.snapshot.index, Round: fetch.snapshot.round}
	message.Checksum, message.Offset = fetch.snapshot.checksum, uint64(len(fetch.snapshot.data))
	r.hold(message)
}

// refetch asks again what has stayed unanswered, and gives a silent source up.
func (r *Member) refetch(now schedule.Microseconds) {
	fetch := r.fetch
	if fetch == nil {
		return
	}
	if r.obsolete(fetch) {
		r.fetch = nil
		return
	}
	patience := r.patience(r.pieceSize()) * schedule.Microseconds(min(1<<fetch.tries, patienceGrowth))
	if now-fetch.asked < patience {
		return
	}
	fetch.tries++
	if fetch.tries >= fetchTries {
		r.abandon(now)
		return
	}
	r.transfers.Repeated++
	r.ask(now)
}

// obsolete tells whether what is fetched is of an earlier term or stage.
func (r *Member) obsolete(fetch *fetch) bool {
	switch fetch.purpose {
	case forRecovery:
		return r.recovery == nil
	case forLeading:
		return r.stage != preparing || r.mine != fetch.round
	case forLearning:
		return r.recovery == nil || r.recovery.studied != fetch.round
	}
	return r.stage != following || r.Promised != fetch.round
}

// abandon gives up a source: what it told counts no more.
func (r *Member) abandon(now schedule.Microseconds) {
	source := *r.fetch
	r.fetch = nil
	switch source.purpose {
	case forRecovery:
		r.recovery.forget(source.from)
	case forLeading:
		r.prepare(now, source.round)
	}
}

// serve answers one question for content: the entries after an index, or else a piece of
// the snapshot. Nothing is kept for the asker.
func (r *Member) serve(message Message) {
	if !r.sits(message) && !r.teaches(message) || message.Round > 0 && message.Round != r.Promised {
		r.transfers.Refused++
		return
	}
	answer := Message{To: message.From, Kind: Content, Round: message.Round, Asked: message.Asked, Life: message.Life}
	if r.teaches(message) {
		answer.Address = message.Sender.Address
	}
	last, _ := r.Last()
	if entries, round, held := r.span(message.Index); held || message.Index > last {
		answer.Index, answer.IndexRound, answer.Entries = message.Index, round, bounded(entries, r.pieceSize())
	} else {
		answer.Base, answer.Offset = r.cut(message)
		answer.Total, answer.Checksum = uint64(len(r.Base.Data)), r.checksum()
	}
	r.transfers.Served++
	r.hold(answer)
}

// content takes one answer to the question that is under way.
func (r *Member) content(now schedule.Microseconds, message Message) {
	fetch := r.fetch
	if fetch == nil || r.obsolete(fetch) || message.From != fetch.from || !r.sits(message) ||
		message.Round != fetch.round || message.Asked != fetch.asked || message.Life != r.Life {
		r.transfers.Refused++
		return
	}
	taken := false
	if message.Total > 0 {
		taken = r.takePiece(message)
	} else {
		taken = r.takeEntries(message)
	}
	if !taken {
		r.transfers.Refused++
		return
	}
	r.transfers.Taken++
	fetch.tries = 0
	r.proceed(now)
}

// takeEntries appends entries that follow what is held.
func (r *Member) takeEntries(message Message) bool {
	fetch := r.fetch
	if message.Index != fetch.next {
		return false
	}
	if !r.matches(message.Index, message.IndexRound) {
		// The logs differ there: begin again at what is surely common.
		committed := max(r.commit, r.Base.Index)
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
	r.record(r.merge(r.Part, message.Entries)...)
	r.rebind()
	fetch.next, fetch.common = message.Entries[len(message.Entries)-1].Index, true
	return true
}

// takePiece adds a piece to the snapshot, and installs the snapshot when it is whole.
func (r *Member) takePiece(message Message) bool {
	fetch := r.fetch
	if message.Base.Index <= r.applied || !fetch.snapshot.add(message, r.pieceSize()) {
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
	r.install(base)
	r.transfers.Installed++
	fetch.next, fetch.common = base.Index, true
	return true
}

// proceed asks for what is still lacking, or ends the fetch.
func (r *Member) proceed(now schedule.Microseconds) {
	fetch := r.fetch
	done := r.reaches(fetch.index, fetch.indexRound)
	if fetch.purpose == forFollowing || fetch.purpose == forLearning {
		done = fetch.common && fetch.next >= fetch.index
	}
	if !done {
		r.ask(now)
		return
	}
	r.fetch = nil
	switch fetch.purpose {
	case forLeading:
		r.prepare(now, fetch.round)
	case forRecovery:
		r.recovering(now)
	case forFollowing, forLearning:
		r.hold(Message{
			To: fetch.from, Kind: Appended, Round: fetch.round, Asked: fetch.answering, Promised: r.Promised, Life: r.Life,
			Accepted: true, Index: fetch.next, Commit: r.commit, Recovering: r.recovery != nil,
		})
	}
}
