package consensus

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/wireform"
)

// The wire forms below are encoded with encoding/gob. Their field names, types and order are part
// of the protocol between daemons, of log entries and of snapshots.

// MemberWire is the wire form of a Member, in which it is sent and stored.
type MemberWire struct {
	Identity string
	Name     string
	Address  string
	Hall     string
}

// ToWire returns the member's wire form.
func (m *Member) ToWire() MemberWire {
	return MemberWire{Identity: m.Identity, Name: m.Name, Address: m.Address, Hall: m.Zone}
}

// ToDomain returns the member that this wire form represents.
func (w *MemberWire) ToDomain() Member {
	return Member{Identity: w.Identity, Name: w.Name, Address: w.Address, Zone: w.Hall}
}

// MembershipWire is the wire form of a Membership, in which it is sent and stored.
type MembershipWire struct {
	Epoch   uint64
	Seats   []MemberWire
	Retired []string
}

// ToWire returns the membership's wire form, which shares the slice of retired identities.
func (m *Membership) ToWire() MembershipWire {
	return MembershipWire{
		Epoch:   m.Epoch,
		Seats:   wireform.ConvertSlice(m.Members, (*Member).ToWire),
		Retired: m.Retired,
	}
}

// ToDomain returns the membership that this wire form represents. Both share the slice of retired
// identities.
func (w *MembershipWire) ToDomain() Membership {
	return Membership{
		Epoch:   w.Epoch,
		Members: wireform.ConvertSlice(w.Seats, (*MemberWire).ToDomain),
		Retired: w.Retired,
	}
}

// EchoWire is the wire form of an Echo, in which it is sent.
type EchoWire struct {
	Part, Slot int
	Promised   uint64
	Recovering bool
}

// ToWire returns the echo's wire form.
func (e *Echo) ToWire() EchoWire {
	return EchoWire{Part: e.Shard, Slot: e.Slot, Promised: e.PromisedTerm, Recovering: e.Recovering}
}

// ToDomain returns the echo that this wire form represents.
func (w *EchoWire) ToDomain() Echo {
	return Echo{Shard: w.Part, Slot: w.Slot, PromisedTerm: w.Promised, Recovering: w.Recovering}
}

// MessageWire is the wire form of a Message, in which it is sent.
type MessageWire struct {
	Part, From, To          int
	Kind                    MessageKind
	Election                election.MessageWire
	Round, Promised         uint64
	Index, IndexRound       uint64
	Entries                 []wal.EntryWire
	Base                    wal.EntryWire
	Offset, Total, Checksum uint64
	Snapshot                uint64
	Commit                  uint64
	Accepted                bool
	Established             bool
	Granted                 bool
	Recovering              bool
	Learner                 bool
	Address                 string
	Asked                   clock.Microseconds
	Life                    uint64
	Sender                  MemberWire
	Epoch                   uint64
	// Receiver was added after the first build. It is empty in the messages of a build that does not send it.
	Receiver string
}

// ToWire returns the message's wire form, which shares the data of the entries.
//
//nolint:dupl // ToWire and ToDomain convert the same fields in opposite directions.
func (m *Message) ToWire() MessageWire {
	return MessageWire{
		Part:        m.Shard,
		From:        m.From,
		To:          m.To,
		Kind:        m.Kind,
		Election:    m.Election.ToWire(),
		Round:       m.Term,
		Promised:    m.PromisedTerm,
		Index:       m.Index,
		IndexRound:  m.IndexTerm,
		Entries:     wireform.ConvertSlice(m.Entries, (*wal.Entry).ToWire),
		Base:        m.Snapshot.ToWire(),
		Offset:      m.Offset,
		Total:       m.Total,
		Checksum:    m.Checksum,
		Snapshot:    m.SnapshotIndex,
		Commit:      m.Commit,
		Accepted:    m.Accepted,
		Established: m.Established,
		Granted:     m.Granted,
		Recovering:  m.Recovering,
		Learner:     m.Learner,
		Address:     m.Address,
		Asked:       m.RequestedAt,
		Life:        m.Incarnation,
		Sender:      m.Sender.ToWire(),
		Epoch:       m.Epoch,
		Receiver:    m.Receiver,
	}
}

// ToDomain returns the message that this wire form represents. Both share the data of the entries.
//
//nolint:dupl // ToWire and ToDomain convert the same fields in opposite directions.
func (w *MessageWire) ToDomain() Message {
	return Message{
		Shard:         w.Part,
		From:          w.From,
		To:            w.To,
		Kind:          w.Kind,
		Election:      w.Election.ToDomain(),
		Term:          w.Round,
		PromisedTerm:  w.Promised,
		Index:         w.Index,
		IndexTerm:     w.IndexRound,
		Entries:       wireform.ConvertSlice(w.Entries, (*wal.EntryWire).ToDomain),
		Snapshot:      w.Base.ToDomain(),
		Offset:        w.Offset,
		Total:         w.Total,
		Checksum:      w.Checksum,
		SnapshotIndex: w.Snapshot,
		Commit:        w.Commit,
		Accepted:      w.Accepted,
		Established:   w.Established,
		Granted:       w.Granted,
		Recovering:    w.Recovering,
		Learner:       w.Learner,
		Address:       w.Address,
		RequestedAt:   w.Asked,
		Incarnation:   w.Life,
		Sender:        w.Sender.ToDomain(),
		Epoch:         w.Epoch,
		Receiver:      w.Receiver,
	}
}
