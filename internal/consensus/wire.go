package consensus

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/wireform"
)

// The wire forms below are encoded by encoding/gob. Their field names, types and order are part of
// the protocol between daemons, of log entries and of snapshots.

// WireMember is a Member as it is sent and stored.
type WireMember struct {
	Identity string
	Name     string
	Address  string
	Hall     string
}

// ToWire returns the member's wire form.
func (m *Member) ToWire() WireMember {
	return WireMember{Identity: m.Identity, Name: m.Name, Address: m.Address, Hall: m.Hall}
}

// ToMember returns the member of which this is the wire form.
func (w *WireMember) ToMember() Member {
	return Member{Identity: w.Identity, Name: w.Name, Address: w.Address, Hall: w.Hall}
}

// WireMembership is a Membership as it is sent and stored.
type WireMembership struct {
	Epoch   uint64
	Seats   []WireMember
	Retired []string
}

// ToWire returns the membership's wire form, which shares the retired identities.
func (m *Membership) ToWire() WireMembership {
	return WireMembership{
		Epoch:   m.Epoch,
		Seats:   wireform.ConvertSlice(m.Seats, (*Member).ToWire),
		Retired: m.Retired,
	}
}

// ToMembership returns the membership of which this is the wire form. Both share the retired
// identities.
func (w *WireMembership) ToMembership() Membership {
	return Membership{
		Epoch:   w.Epoch,
		Seats:   wireform.ConvertSlice(w.Seats, (*WireMember).ToMember),
		Retired: w.Retired,
	}
}

// WireEcho is an Echo as it is sent.
type WireEcho struct {
	Part, Slot int
	Promised   uint64
	Recovering bool
}

// ToWire returns the echo's wire form.
func (e *Echo) ToWire() WireEcho {
	return WireEcho{Part: e.Part, Slot: e.Slot, Promised: e.Promised, Recovering: e.Recovering}
}

// ToEcho returns the echo of which this is the wire form.
func (w *WireEcho) ToEcho() Echo {
	return Echo{Part: w.Part, Slot: w.Slot, Promised: w.Promised, Recovering: w.Recovering}
}

// WireMessage is a Message as it is sent.
type WireMessage struct {
	Part, From, To          int
	Kind                    MessageKind
	Election                election.WireMessage
	Round, Promised         uint64
	Index, IndexRound       uint64
	Entries                 []wal.WireEntry
	Base                    wal.WireEntry
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
	Sender                  WireMember
	Epoch                   uint64
}

// ToWire returns the message's wire form, which shares the data of the entries.
//
//nolint:dupl // The other direction has the same shape.
func (m *Message) ToWire() WireMessage {
	return WireMessage{
		Part:        m.Part,
		From:        m.From,
		To:          m.To,
		Kind:        m.Kind,
		Election:    m.Election.ToWire(),
		Round:       m.Round,
		Promised:    m.Promised,
		Index:       m.Index,
		IndexRound:  m.IndexRound,
		Entries:     wireform.ConvertSlice(m.Entries, (*wal.Entry).ToWire),
		Base:        m.Base.ToWire(),
		Offset:      m.Offset,
		Total:       m.Total,
		Checksum:    m.Checksum,
		Snapshot:    m.Snapshot,
		Commit:      m.Commit,
		Accepted:    m.Accepted,
		Established: m.Established,
		Granted:     m.Granted,
		Recovering:  m.Recovering,
		Learner:     m.Learner,
		Address:     m.Address,
		Asked:       m.Asked,
		Life:        m.Life,
		Sender:      m.Sender.ToWire(),
		Epoch:       m.Epoch,
	}
}

// ToMessage returns the message of which this is the wire form. Both share the data of the entries.
//
//nolint:dupl // The other direction has the same shape.
func (w *WireMessage) ToMessage() Message {
	return Message{
		Part:        w.Part,
		From:        w.From,
		To:          w.To,
		Kind:        w.Kind,
		Election:    w.Election.ToMessage(),
		Round:       w.Round,
		Promised:    w.Promised,
		Index:       w.Index,
		IndexRound:  w.IndexRound,
		Entries:     wireform.ConvertSlice(w.Entries, (*wal.WireEntry).ToEntry),
		Base:        w.Base.ToEntry(),
		Offset:      w.Offset,
		Total:       w.Total,
		Checksum:    w.Checksum,
		Snapshot:    w.Snapshot,
		Commit:      w.Commit,
		Accepted:    w.Accepted,
		Established: w.Established,
		Granted:     w.Granted,
		Recovering:  w.Recovering,
		Learner:     w.Learner,
		Address:     w.Address,
		Asked:       w.Asked,
		Life:        w.Life,
		Sender:      w.Sender.ToMember(),
		Epoch:       w.Epoch,
	}
}
