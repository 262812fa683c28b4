package consensus

import (
	"bytes"
	"encoding/gob"
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/wal"
)

// Member binds a slot to a daemon: whoever stands at the inner address, since two can't.
// One that comes back there without its disk recovers first. The name is what another
// daemon replaces it by; the identity of its data folder is for operators to see. A
// seat without an address is vacant.
type Member struct {
	Identity string
	Name     string
	Address  string
	// Hall is where the daemon stands, as far as it has told.
	Hall string
}

// Vacant tells whether nobody has the seat.
func (m Member) Vacant() bool { return m.Address == "" }

func (m Member) sameAddress(other Member) bool {
	return !m.Vacant() && m.Address == other.Address
}

// Membership say who has each slot. Each change is one entry of the part's own log
// and has the next epoch; as in any log with changing voters, the last one held
// counts, whether or not it is committed.
type Membership struct {
	Epoch uint64
	Seats []Member
	// Retired are identities of data folders that have lost their slots: what they said
	// may still arrive, and counts no more.
	Retired []string
}

// maxRetired is how many retired identities are kept.
const maxRetired = 64

// isVoter tells whether a daemon speaks for a slot: it stands at the address of the seat, and
// its data folder has not lost one.
func (m Membership) isVoter(slot int, daemon Member) bool {
	return m.Seats[slot].sameAddress(daemon) && !slices.Contains(m.Retired, daemon.Identity)
}

// InitialMembership are the bindings of a new fleet: the seeds in their order, and vacant seats
// where there are fewer seeds than slots.
func InitialMembership(seeds []string, slots int) Membership {
	membership := Membership{Seats: make([]Member, slots)}
	for slot, seed := range seeds[:min(len(seeds), slots)] {
		membership.Seats[slot] = Member{Address: seed}
	}
	return membership
}

// Slot is the slot of a daemon, or -1.
func (m Membership) Slot(daemon Member) int {
	return slices.IndexFunc(m.Seats, func(member Member) bool { return member.sameAddress(daemon) })
}

func (m Membership) withMember(slot int, member Member) Membership {
	members, previousIdentity := slices.Clone(m.Seats), m.Seats[slot].Identity
	members[slot] = member
	retired := slices.DeleteFunc(slices.Clone(m.Retired), func(identity string) bool { return identity == member.Identity })
	if previousIdentity != "" && previousIdentity != member.Identity {
		retired = append(retired, previousIdentity)
	}
	return Membership{Epoch: m.Epoch + 1, Seats: members, Retired: retired[max(0, len(retired)-maxRetired):]}
}

const (
	operationTag byte = iota
	membershipTag
)

type snapshotContent struct {
	Bindings Membership
	State    []byte
}

func encodeGob(value any) []byte {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(value); err != nil {
		panic(err)
	}
	return buffer.Bytes()
}

// DecodeSnapshot splits a capture into bindings and state.
func DecodeSnapshot(encoded []byte) (Membership, []byte, bool) {
	var content snapshotContent
	err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&content)
	return content.Bindings, content.State, err == nil
}

func decodeMembership(entry wal.Entry) (Membership, bool) {
	var membership Membership
	if len(entry.Data) == 0 || entry.Data[0] != membershipTag {
		return membership, false
	}
	err := gob.NewDecoder(bytes.NewReader(entry.Data[1:])).Decode(&membership)
	return membership, err == nil
}

// LatestMembership are the last that a disk holds.
func LatestMembership(stored wal.ShardState) (Membership, bool) {
	for index := range slices.Backward(stored.Entries) {
		if membership, ok := decodeMembership(stored.Entries[index]); ok {
			return membership, true
		}
	}
	membership, _, decoded := DecodeSnapshot(stored.Snapshot.Data)
	return membership, decoded && len(membership.Seats) > 0
}

// logBelongsToSlot tells whether a disk's log was kept for this slot. One that was kept for another
// slot remembers that slot's promises and leases, and nothing of those given in this one.
// A log without bindings is that of a founding seat.
func logBelongsToSlot(stored wal.ShardState, config Config) bool {
	membership, ok := LatestMembership(stored)
	return !ok || membership.Slot(config.LocalMember) == config.Self
}

// Membership are those that count here now.
func (r *Replica) Membership() Membership { return r.membership }

// ApplyEntry applies one committed entry to a state and the bindings beside it.
func ApplyEntry(state StateMachine, membership *Membership, entry wal.Entry) []byte {
	if decoded, ok := decodeMembership(entry); ok {
		*membership = decoded
		return nil
	}
	if len(entry.Data) == 0 {
		return nil
	}
	return state.Apply(entry.Data[1:])
}

// EncodeSnapshot joins bindings and state, as Unpack splits them.
func EncodeSnapshot(membership Membership, state []byte) []byte {
	return encodeGob(snapshotContent{membership, state})
}

// Entry is an entry of the log that is still held.
func (r *Replica) Entry(index uint64) (wal.Entry, bool) { return r.entryAt(index) }

// TakeSnapshot is the applied state with the bindings that were committed with it.
func (r *Replica) TakeSnapshot() []byte {
	return EncodeSnapshot(r.appliedMembership, r.stateMachine.Snapshot())
}

// refreshMembership finds the last bindings in the log again, after the log has changed.
func (r *Replica) refreshMembership() {
	r.membership = r.appliedMembership
	if latest, ok := LatestMembership(r.ShardState); ok {
		r.membership = latest
	}
	// A member that recovers catches up through bindings older than those by which it has
	// its slot.
	if r.recovery != nil && r.Config.InitialMembership.Epoch > r.membership.Epoch {
		r.membership = r.Config.InitialMembership
	}
}

// Removed tells whether this member's slot is another's now.
func (r *Replica) Removed() bool {
	learning := r.recovery != nil && (r.recovery.learner || r.recovery.replicating)
	return !learning && r.membership.Slot(r.LocalMember) != r.Self
}

// fromNonMember tells whether an election's message is of a daemon that has no right to
// the slot it speaks for. What a sender with later bindings says is believed.
func (r *Replica) fromNonMember(message Message) bool {
	return message.Epoch <= r.membership.Epoch && !r.fromMember(message)
}

func (r *Replica) fromMember(message Message) bool {
	return r.membership.isVoter(message.From, message.Sender)
}

func (r *Replica) canChangeMembership() bool {
	return r.IsLeader() && r.membership.Epoch == r.appliedMembership.Epoch && r.quorumCommitIndex >= r.commitIndex
}

func (r *Replica) proposeMembership(now clock.Microseconds, membership Membership) {
	r.appendEntry(BindingsData(membership))
	r.refreshMembership()
	r.replicate(now)
}

// RecordMemberIdentity writes down the name that was heard at a seat's address, once, so that another
// daemon may replace it by that name.
func (r *Replica) RecordMemberIdentity(now clock.Microseconds) Output {
	if !r.canChangeMembership() {
		return Output{}
	}
	for slot, member := range r.membership.Seats {
		observed := r.followers[slot].member
		if observed.Name != "" && observed.Address == member.Address && (member.Name == "" || member.Identity != observed.Identity) {
			r.proposeMembership(now, r.membership.withMember(slot, observed))
			return r.takeOutput()
		}
	}
	return Output{}
}

// SinceLastContact is how long the daemon of a slot has not answered this leader.
func (r *Replica) SinceLastContact(now clock.Microseconds, slot int) clock.Microseconds {
	return now - r.followers[slot].lastContact
}

// CaughtUp tells whether a slot has about all that is committed, as this leader knows.
func (r *Replica) CaughtUp(slot int) bool {
	return slot == r.Self || r.followers[slot].matchIndex+maxCatchUpLag >= r.commitIndex
}

// maxCatchUpLag is how many entries may be under way to a slot that has caught up.
const maxCatchUpLag = 16

// MembershipUncertain tells whether this member hears too little to know that its seat is still
// its own: as leader no majority, else no leader that has shown it the log.
func (r *Replica) MembershipUncertain(now clock.Microseconds) bool {
	leader, _ := r.election.Leader()
	if r.role != roleLeader {
		return leader == election.NoLeader || leader == r.Self || !r.upToDate || r.leaderTimedOut(now)
	}
	reachable := 0
	for slot := range r.followers {
		if r.SinceLastContact(now, slot) < r.LeaseDuration {
			reachable++
		}
	}
	return reachable < r.majority()
}

// ReplaceMember gives a slot to a daemon at once, without a copy first; it says whether a change
// was begun. Daemons use Teach; the exploration also seats empty ones.
func (r *Replica) ReplaceMember(now clock.Microseconds, slot int, daemon Member, contactTimeout clock.Microseconds) (bool, Output) {
	if slot == r.Self || slot < 0 || slot >= r.Slots || r.membership.Slot(daemon) >= 0 {
		return false, Output{}
	}
	return r.replaceMember(now, slot, daemon, contactTimeout), r.takeOutput()
}

// replaceMember gives a slot to another daemon, in two changes that each overlap with the
// bindings before: first the seat is vacated, then it is given. A majority of seats
// besides it must be held by daemons that answer: with three slots, both others.
func (r *Replica) replaceMember(now clock.Microseconds, slot int, daemon Member, contactTimeout clock.Microseconds) bool {
	if !r.canChangeMembership() {
		return false
	}
	reachable := 0
	for peer, member := range r.membership.Seats {
		if peer != slot && !member.Vacant() && (peer == r.Self || r.SinceLastContact(now, peer) <= contactTimeout) {
			reachable++
		}
	}
	if reachable < r.majority() {
		return false
	}
	member := Member{}
	if r.membership.Seats[slot].Vacant() {
		member = daemon
	}
	peer := follower{nextIndex: r.Snapshot.Index + 1, member: daemon, lastContact: now}
	if r.learner != nil && r.learner.member == daemon {
		peer.incarnation = r.learner.incarnation
	}
	r.followers[slot] = peer
	r.leaderLease.Revoke(slot)
	r.proposeMembership(now, r.membership.withMember(slot, member))
	return true
}
