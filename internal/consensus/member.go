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
func (r *Member) Leader() (int, uint64) { return r.election.Leader() }

// Owns tells whether this member is the elected leader of the part now and has
// committed in its round.
func (r *Member) Owns() bool {
	leader, round := r.election.Leader()
	return r.established() && leader == r.Self && round == r.mine
}

func (r *Member) established() bool {
	return r.stage == leading && r.commit >= r.first
}

// Holder is the leader's grant, nil elsewhere.
func (r *Member) Holder() *grant.Holder { return r.holder }

// Round is the highest round promised here.
func (r *Member) Round() uint64 { return r.Promised }

// Applied is the last applied index.
func (r *Member) Applied() uint64 { return r.applied }

// AppliedRound is the round of the last applied entry.
func (r *Member) AppliedRound() uint64 {
	if entry, held := r.at(r.applied); held {
		return entry.Round
	}
	return r.Base.Round
}

// Current tells whether everything that was acknowledged before this moment and
// that a majority must know is known here, and up to which index. It holds for whoever
// reads a majority; one member alone may have missed the latest.
func (r *Member) Current() (uint64, bool) {
	return r.commit, r.current && r.recovery == nil
}

// Recovering tells whether the member may not vote yet.
func (r *Member) Recovering() bool { return r.recovery != nil }

func (r *Member) take() Output {
	output := r.output
	r.output = Output{}
	return output
}

func (r *Member) post(sends []election.Send) {
	for _, send := range r.quiet(sends) {
		r.output.Urgent = append(r.output.Urgent, Message{
			Part: r.Part, From: r.Self, To: send.To, Kind: Elect, Election: send.Message, Epoch: r.bindings.Epoch,
		})
	}
}

func (r *Member) hold(message Message) {
	message.Part, message.From, message.Epoch = r.Part, r.Self, r.bindings.Epoch
	if message.To == r.Self {
		message.Sender = r.Me
	}
	r.output.Held = append(r.output.Held, message)
}

func (r *Member) record(records ...journal.Record) {
	r.output.Records = append(r.output.Records, records...)
}

// Receive takes one message.
func (r *Member) Receive(now schedule.Microseconds, message Message) Output {
	if message.Part != r.Part || message.To != r.Self || message.From < 0 || message.From >= r.Slots {
		return Output{}
	}
	switch message.Kind {
	case Elect:
		if r.stranger(message) {
			return Output{}
		}
		r.post(r.election.Receive(now, message.From, message.Election))
	case Prepare:
		r.promise(message)
	case Promise, PromisePosition:
		r.promised(now, message)
	case Append:
		r.append(now, message)
	case Appended:
		r.appended(now, message)
	case Ask:
		r.tell(now, message)
	case Tell, TellPosition:
		r.told(now, message)
	case Fetch:
		r.serve(message)
	case Content:
		r.content(now, message)
	}
	r.follow(now)
	return r.take()
}

// Wake lets time pass. It is due at Next.
func (r *Member) Wake(now schedule.Microseconds) Output {
	r.post(r.election.Wake(now))
	r.follow(now)
	return r.take()
}

// Hold tells the member whether its own disk has stalled.
func (r *Member) Hold(stalled bool) { r.election.Hold(stalled) }

// Next is when the member wants to be woken.
func (r *Member) Next() schedule.Microseconds {
	return r.election.Next()
}

// follow brings the log's role in line with the election's output.
func (r *Member) follow(now schedule.Microseconds) {
	leader, round := r.election.Leader()
	r.refetch(now)
	if r.recovery != nil {
		r.recovering(now)
		return
	}
	rules := leader == r.Self && round >= r.Promised
	switch {
	case r.stage != following && (round != r.mine || r.Promised > r.mine):
		r.step(now)
		fallthrough
	case r.stage == following:
		if rules {
			r.prepare(now, round)
		}
	case r.stage == preparing:
		if r.fetch == nil && now-r.heartbeat > 2*r.Delta {
			r.prepare(now, round)
		}
	case r.election.Isolated():
		// Whoever hears it is to wait for another leader, and must not renew its lease.
	case r.stage == leading:
		r.replicate(now)
		r.teach(now)
		r.release(now)
	}
}

func (r *Member) restore(capture []byte) {
	bindings, state, read := Unpack(capture)
	if !read {
		return
	}
	if len(bindings.Seats) == r.Slots {
		r.settledBindings = bindings
	}
	r.state.Restore(state)
}

// step goes back to following.
func (r *Member) step(schedule.Microseconds) {
	r.output.Lost = r.stage == leading
	r.stage, r.holder, r.promises = following, nil, nil
	r.learner = nil
}

// overtaken hears of a higher promise: the election moves to that round.
func (r *Member) overtaken(now schedule.Microseconds, from int, round uint64) {
	r.post(r.election.Receive(now, from, election.Message{Kind: election.START, Round: round}))
}

func (r *Member) advance(commit uint64) {
	if last, _ := r.Last(); commit > last {
		commit = last
	}
	if commit > r.commit {
		r.commit = commit
		if commit > r.Base.Index {
			r.output.Later = append(r.output.Later, journal.Record{Kind: journal.Commit, Part: r.Part, Entry: journal.Entry{Index: commit}})
		}
	}
	r.apply()
}

// apply brings the state up to what is committed.
func (r *Member) apply() {
	for r.applied < r.commit {
		entry, held := r.at(r.applied + 1)
		if !held {
			break
		}
		answer := Replay(r.state, &r.settledBindings, entry)
		r.applied++
		r.output.Applied = true
		if r.stage == leading {
			r.answers = append(r.answers, Result{entry.Index, entry.Round, answer})
		}
	}
	if kept := r.applied - r.Base.Index; r.applied > r.Base.Index && kept > uint64(r.Keep) {
		entry, _ := r.at(r.applied)
		r.record(r.rebase(r.Part, journal.Entry{
			Index: r.applied, Round: entry.Round, Data: r.Capture(),
		}))
	}
}
