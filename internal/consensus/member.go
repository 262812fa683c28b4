package part

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/lease"
	"coursepass/internal/consensus/wal"
)

type stage uint8

const (
	following stage = iota
	preparing
	leading
)

// Member is one slot's share of a part.
type Member struct {
	Place
	ledger
	state     State
	election  *election.Machine
	voter     *grant.Voter
	holder    *grant.Holder
	stage     stage
	mine      uint64
	current   bool
	promises  map[int]Message
	others    []follower
	first     uint64
	settled   uint64
	widening  schedule.Microseconds
	heartbeat schedule.Microseconds
	recovery  *recovery
	probedAt  schedule.Microseconds
	// shownAt is when the leader of the round has last sent this member entries or a heartbeat.
	shownAt   schedule.Microseconds
	probed    bool
	fetch     *fetch
	transfers Transfers
	baseSum   baseSum
	learner   *learner
	answers   []Result
	bindings  Bindings
	// settledBindings are those of the applied part of the log.
	settledBindings Bindings
	output          Output
}

type follower struct {
	matched, next, knows uint64
	life                 uint64
	sender               Seat
	heard                schedule.Microseconds
	sent                 schedule.Microseconds
	waiting              bool
	// size is of what waits for an answer; fetching says that it fetches the snapshot.
	size     int
	fetching bool
	// behind says that an acknowledgement has waited for it in vain, and that it has not
	// caught up since.
	behind bool
}

// Start wakes a member with what its disk held. A member that never recorded a
// promise recovers before it votes, however often it is started; founding says
// that the fleet is new, so that there is nothing to recover.
func Start(place Place, state State, past journal.Past, now schedule.Microseconds, founding bool) (*Member, Output) {
	founding = founding && !past.Whole
	place.Quorum = place.majority()
	member := &Member{Place: place, state: state, ledger: ledger{Past: past}}
	member.commit, member.applied = past.Base.Index, past.Base.Index
	member.settledBindings = place.Bindings
	if past.Base.Index > 0 {
		member.restore(past.Base.Data)
	}
	// What was noted as committed stays so: it can be shown before there is a leader again.
	if last, _ := member.Last(); past.Commit <= last {
		member.commit = max(member.commit, past.Commit)
	}
	member.apply()
	member.output.Applied = member.applied > 0
	member.rebind()
	if place.Bindings.Epoch > member.bindings.Epoch {
		member.bindings = place.Bindings
	}
	member.voter = grant.NewVoter(place.Terms, now, founding)
	machine, sends := election.Start(place.Place, now, past.Promised, !founding)
	member.election = machine
	member.post(sends)
	switch {
	case founding:
		member.record(journal.Record{Kind: journal.Promise, Part: place.Part})
	case !past.Whole || !keptFor(past, place):
		member.recover(now)
	}
	member.follow(now)
	return member, member.take()
}

// Leader is the election's output.
func (member *Member) Leader() (int, uint64) { return member.election.Leader() }

// Owns tells whether this member is the elected leader of the part now and has
// committed in its round.
func (member *Member) Owns() bool {
	leader, round := member.election.Leader()
	return member.established() && leader == member.Self && round == member.mine
}

func (member *Member) established() bool {
	return member.stage == leading && member.commit >= member.first
}

// Holder is the leader's grant, nil elsewhere.
func (member *Member) Holder() *grant.Holder { return member.holder }

// Round is the highest round promised here.
func (member *Member) Round() uint64 { return member.Promised }

// Applied is the last applied index.
func (member *Member) Applied() uint64 { return member.applied }

// AppliedRound is the round of the last applied entry.
func (member *Member) AppliedRound() uint64 {
	if entry, held := member.at(member.applied); held {
		return entry.Round
	}
	return member.Base.Round
}

// Current tells whether everything that was acknowledged before this moment and
// that a majority must know is known here, and up to which index. It holds for whoever
// reads a majority; one member alone may have missed the latest.
func (member *Member) Current() (uint64, bool) {
	return member.commit, member.current && member.recovery == nil
}

// Recovering tells whether the member may not vote yet.
func (member *Member) Recovering() bool { return member.recovery != nil }

func (member *Member) take() Output {
	output := member.output
	member.output = Output{}
	return output
}

func (member *Member) post(sends []election.Send) {
	for _, send := range member.quiet(sends) {
		member.output.Urgent = append(member.output.Urgent, Message{
			Part: member.Part, From: member.Self, To: send.To, Kind: Elect, Election: send.Message, Epoch: member.bindings.Epoch,
		})
	}
}

func (member *Member) hold(message Message) {
	message.Part, message.From, message.Epoch = member.Part, member.Self, member.bindings.Epoch
	if message.To == member.Self {
		message.Sender = member.Me
	}
	member.output.Held = append(member.output.Held, message)
}

func (member *Member) record(records ...journal.Record) {
	member.output.Records = append(member.output.Records, records...)
}

// Receive takes one message.
func (member *Member) Receive(now schedule.Microseconds, message Message) Output {
	if message.Part != member.Part || message.To != member.Self || message.From < 0 || message.From >= member.Slots {
		return Output{}
	}
	switch message.Kind {
	case Elect:
		if member.stranger(message) {
			return Output{}
		}
		member.post(member.election.Receive(now, message.From, message.Election))
	case Prepare:
		member.promise(message)
	case Promise, PromisePosition:
		member.promised(now, message)
	case Append:
		member.append(now, message)
	case Appended:
		member.appended(now, message)
	case Ask:
		member.tell(now, message)
	case Tell, TellPosition:
		member.told(now, message)
	case Fetch:
		member.serve(message)
	case Content:
		member.content(now, message)
	}
	member.follow(now)
	return member.take()
}

// Wake lets time pass. It is due at Next.
func (member *Member) Wake(now schedule.Microseconds) Output {
	member.post(member.election.Wake(now))
	member.follow(now)
	return member.take()
}

// Hold tells the member whether its own disk has stalled.
func (member *Member) Hold(stalled bool) { member.election.Hold(stalled) }

// Next is when the member wants to be woken.
func (member *Member) Next() schedule.Microseconds {
	return member.election.Next()
}

// follow brings the log's role in line with the election's output.
func (member *Member) follow(now schedule.Microseconds) {
	leader, round := member.election.Leader()
	member.refetch(now)
	if member.recovery != nil {
		member.recovering(now)
		return
	}
	rules := leader == member.Self && round >= member.Promised
	switch {
	case member.stage != following && (round != member.mine || member.Promised > member.mine):
		member.step(now)
		fallthrough
	case member.stage == following:
		if rules {
			member.prepare(now, round)
		}
	case member.stage == preparing:
		if member.fetch == nil && now-member.heartbeat > 2*member.Delta {
			member.prepare(now, round)
		}
	case member.election.Isolated():
		// Whoever hears it is to wait for another leader, and must not renew its lease.
	case member.stage == leading:
		member.replicate(now)
		member.teach(now)
		member.release(now)
	}
}

func (member *Member) restore(capture []byte) {
	bindings, state, read := Unpack(capture)
	if !read {
		return
	}
	if len(bindings.Seats) == member.Slots {
		member.settledBindings = bindings
	}
	member.state.Restore(state)
}

// step goes back to following.
func (member *Member) step(schedule.Microseconds) {
	member.output.Lost = member.stage == leading
	member.stage, member.holder, member.promises = following, nil, nil
	member.learner = nil
}

// overtaken hears of a higher promise: the election moves to that round.
func (member *Member) overtaken(now schedule.Microseconds, from int, round uint64) {
	member.post(member.election.Receive(now, from, election.Message{Kind: election.START, Round: round}))
}

func (member *Member) advance(commit uint64) {
	if last, _ := member.Last(); commit > last {
		commit = last
	}
	if commit > member.commit {
		member.commit = commit
		if commit > member.Base.Index {
			member.output.Later = append(member.output.Later, journal.Record{Kind: journal.Commit, Part: member.Part, Entry: journal.Entry{Index: commit}})
		}
	}
	member.apply()
}

// apply brings the state up to what is committed.
func (member *Member) apply() {
	for member.applied < member.commit {
		entry, held := member.at(member.applied + 1)
		if !held {
			break
		}
		answer := Replay(member.state, &member.settledBindings, entry)
		member.applied++
		member.output.Applied = true
		if member.stage == leading {
			member.answers = append(member.answers, Result{entry.Index, entry.Round, answer})
		}
	}
	if kept := member.applied - member.Base.Index; member.applied > member.Base.Index && kept > uint64(member.Keep) {
		entry, _ := member.at(member.applied)
		member.record(member.rebase(member.Part, journal.Entry{
			Index: member.applied, Round: entry.Round, Data: member.Capture(),
		}))
	}
}
