package consensus

import (
	"slices"

	"coursepass/internal/consensus/wal"
)

// maxRetired is the maximum number of retired identities that a membership keeps.
const maxRetired = 64

// Member is a daemon that may hold a slot. Its address identifies it, since two daemons cannot
// listen on one address; a daemon that restarts at this address without its disk recovers before it
// votes. The wire form of Member is MemberWire.
type Member struct {
	// Identity is the identity of the daemon's data directory. Operators see it.
	Identity string
	// Name is the daemon's name. Another daemon with the same name may replace this one.
	Name string
	// Address is the daemon's internal address. A member without an address is vacant.
	Address string
	// Zone is the daemon's zone, or empty if it is unknown.
	Zone string
}

// Vacant reports whether no daemon holds the slot.
func (m Member) Vacant() bool {
	return m.Address == ""
}

// hasOtherDisk reports whether two daemons have the same address, and are known to have different
// data directories.
func (m Member) hasOtherDisk(other Member) bool {
	return m.sameAddress(other) && m.Identity != "" && other.Identity != "" && m.Identity != other.Identity
}

func (m Member) sameAddress(other Member) bool {
	return !m.Vacant() && m.Address == other.Address
}

// Membership records which daemon holds which slot. Each change is an entry of the shard's own log
// and has the next epoch. The last membership in the log is in effect, whether or not it is
// committed, as is usual for logs whose voters change. A Membership is immutable. Its wire form is
// MembershipWire.
type Membership struct {
	Epoch uint64
	// Members holds the members, indexed by slot.
	Members []Member
	// Retired holds the identities of data directories that have lost their slots, the latest last.
	// Their messages may still arrive, but do not count any more.
	Retired []string
}

// InitialMembership returns the membership of a new cluster: the seeds hold the first slots, by
// their addresses, and the other slots are vacant.
func InitialMembership(seeds []string, slots int) Membership {
	membership := Membership{Members: make([]Member, slots)}
	for slot, seed := range seeds[:min(len(seeds), slots)] {
		membership.Members[slot] = Member{Address: seed}
	}
	return membership
}

// Slot returns the slot that a daemon holds, or -1 if it holds none.
func (m Membership) Slot(daemon Member) int {
	return slices.IndexFunc(m.Members, func(member Member) bool { return member.sameAddress(daemon) })
}

// isVoter reports whether a daemon may vote for a slot: it holds the slot, and its data directory
// is not retired.
func (m Membership) isVoter(slot int, daemon Member) bool {
	return m.Members[slot].sameAddress(daemon) && !slices.Contains(m.Retired, daemon.Identity)
}

// withMember returns the next membership, in which a slot has the given member.
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

// LatestMembership returns the last membership in a stored log, and false if there is none.
func LatestMembership(stored wal.ShardState) (Membership, bool) {
	for _, entry := range slices.Backward(stored.Entries) {
		if membership, ok := decodeMembership(entry); ok {
			return membership, true
		}
	}
	membership, _, decoded := DecodeSnapshot(stored.Snapshot.Data)
	return membership, decoded && len(membership.Members) > 0
}

// logBelongsToSlot reports whether a stored log was written for the configured slot. A log that was
// written for another slot contains the promises of that slot, and none of the promises that were
// given in the configured slot. A log without a membership belongs to a daemon that has held its
// slot since the cluster was created.
func logBelongsToSlot(stored wal.ShardState, config Config) bool {
	membership, ok := LatestMembership(stored)
	return !ok || membership.Slot(config.LocalMember) == config.Self
}

// Membership returns the membership in effect on this replica.
func (r *Replica) Membership() Membership {
	return r.membership
}

// refreshMembership sets membership to the last one in the log. It is called after the log has
// changed.
func (r *Replica) refreshMembership() {
	r.membership = r.appliedMembership
	if latest, ok := LatestMembership(r.ShardState); ok {
		r.membership = latest
	}
	// A recovering replica catches up through memberships that are older than the one that gave it
	// its slot.
	if r.recovery != nil && r.InitialMembership.Epoch > r.membership.Epoch {
		r.membership = r.InitialMembership
	}
}

// Removed reports whether this replica's daemon no longer holds the slot. It is false for a
// learner, and for a recovering replica to which a leader sends its log.
func (r *Replica) Removed() bool {
	learning := r.recovery != nil && (r.recovery.learner || r.recovery.replicating)
	return !learning && r.membership.Slot(r.LocalMember) != r.Self
}

// fromMember reports whether a message comes from the daemon that holds the slot in the message's
// From field.
func (r *Replica) fromMember(message Message) bool {
	return r.membership.isVoter(message.From, message.Sender)
}

// fromNonMember reports whether an election message comes from a daemon that does not hold the slot
// in its From field. A sender with a later membership than this replica's is trusted.
func (r *Replica) fromNonMember(message Message) bool {
	return message.Epoch <= r.membership.Epoch && !r.fromMember(message)
}
