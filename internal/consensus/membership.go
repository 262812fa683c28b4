package consensus

import (
	"slices"

	"coursepass/internal/consensus/wal"
)

// maxRetired is how many retired identities are kept.
const maxRetired = 64

// Member is a daemon that may hold a slot. Its address identifies it, since two daemons can't
// listen at one address; a daemon that comes back there without its disk recovers first. Its wire
// form is MemberWire.
type Member struct {
	// Identity is that of the daemon's data directory; operators see it.
	Identity string
	// Name is the name by which another daemon may replace this one.
	Name string
	// Address is the daemon's internal address. A member without one is vacant.
	Address string
	// Zone is the daemon's zone; empty if it is unknown.
	Zone string
}

// Vacant reports whether no daemon holds the slot.
func (m Member) Vacant() bool {
	return m.Address == ""
}

func (m Member) sameAddress(other Member) bool {
	return !m.Vacant() && m.Address == other.Address
}

// Membership says which daemon holds which slot. Each change is an entry of the shard's own log
// and has the next epoch. As usual in logs whose voters change, the last membership in the log
// counts, whether or not it is committed. Its wire form is MembershipWire. A Membership is not
// changed once it is made.
type Membership struct {
	Epoch uint64
	// Members are indexed by slot.
	Members []Member
	// Retired are identities of data directories that have lost their slots, the latest last:
	// their messages may still arrive and do not count any more.
	Retired []string
}

// InitialMembership returns the membership of a new cluster: the seeds, by their addresses, hold
// the first slots, and the rest are vacant.
func InitialMembership(seeds []string, slots int) Membership {
	membership := Membership{Members: make([]Member, slots)}
	for slot, seed := range seeds[:min(len(seeds), slots)] {
		membership.Members[slot] = Member{Address: seed}
	}
	return membership
}

// Slot returns the slot that a daemon holds, or -1.
func (m Membership) Slot(daemon Member) int {
	return slices.IndexFunc(m.Members, func(member Member) bool { return member.sameAddress(daemon) })
}

// isVoter reports whether a daemon may speak for a slot: it holds the slot, and its data directory
// has not lost one.
func (m Membership) isVoter(slot int, daemon Member) bool {
	return m.Members[slot].sameAddress(daemon) && !slices.Contains(m.Retired, daemon.Identity)
}

// withMember returns the next membership, in which a slot has another member.
func (m Membership) withMember(slot int, member Member) Membership {
	members := slices.Clone(m.Members)
	members[slot] = member
	retired := slices.DeleteFunc(slices.Clone(m.Retired), func(identity string) bool {
		return identity == member.Identity
	})
	previousIdentity := m.Members[slot].Identity
	if previousIdentity != "" && previousIdentity != member.Identity {
		retired = append(retired, previousIdentity)
	}
	return Membership{
		Epoch:   m.Epoch + 1,
		Members: members,
		Retired: retired[max(0, len(retired)-maxRetired):],
	}
}

// LatestMembership returns the last membership in a stored log, if there is one.
func LatestMembership(stored wal.ShardState) (Membership, bool) {
	for _, entry := range slices.Backward(stored.Entries) {
		if membership, ok := decodeMembership(entry); ok {
			return membership, true
		}
	}
	membership, _, decoded := DecodeSnapshot(stored.Snapshot.Data)
	return membership, decoded && len(membership.Members) > 0
}

// logBelongsToSlot reports whether a stored log was kept for the configured slot. One that was
// kept for another slot has the promises of that slot, and none of those given in this one. A log
// without a membership is that of a slot held since the cluster is new.
func logBelongsToSlot(stored wal.ShardState, config Config) bool {
	membership, ok := LatestMembership(stored)
	return !ok || membership.Slot(config.LocalMember) == config.Self
}

// Membership returns the membership that counts here now.
func (r *Replica) Membership() Membership {
	return r.membership
}

// refreshMembership finds the last membership in the log, after the log has changed.
func (r *Replica) refreshMembership() {
	r.membership = r.appliedMembership
	if latest, ok := LatestMembership(r.ShardState); ok {
		r.membership = latest
	}
	// A recovering replica catches up through memberships older than that which gave it its slot.
	if r.recovery != nil && r.InitialMembership.Epoch > r.membership.Epoch {
		r.membership = r.InitialMembership
	}
}

// Removed reports whether this replica's slot is held by another daemon.
func (r *Replica) Removed() bool {
	learning := r.recovery != nil && (r.recovery.learner || r.recovery.replicating)
	return !learning && r.membership.Slot(r.LocalMember) != r.Self
}

// fromMember reports whether a message is of the daemon that holds the slot it speaks for.
func (r *Replica) fromMember(message Message) bool {
	return r.membership.isVoter(message.From, message.Sender)
}

// fromNonMember reports whether an election message is of a daemon that does not hold the slot it
// speaks for. A sender with a later membership is believed.
func (r *Replica) fromNonMember(message Message) bool {
	return message.Epoch <= r.membership.Epoch && !r.fromMember(message)
}
