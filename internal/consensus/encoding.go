package consensus

import (
	"bytes"
	"encoding/gob"

	"coursepass/internal/consensus/wal"
	"coursepass/internal/gobcodec"
)

// The first byte of an entry's data is the type of the rest. An entry without data is empty.
const (
	operationTag byte = iota
	membershipTag
)

// snapshotContent is the content of a snapshot. Snapshots are stored in gob encoding, so the field
// names are part of the file format.
type snapshotContent struct {
	Bindings MembershipWire
	State    []byte
}

// OperationData returns the data of an entry that contains an operation.
func OperationData(operation []byte) []byte {
	return append([]byte{operationTag}, operation...)
}

// Operation returns the operation in the data of an entry, and false if the entry contains none.
func Operation(data []byte) ([]byte, bool) {
	if len(data) == 0 || data[0] != operationTag {
		return nil, false
	}
	return data[1:], true
}

// MembershipData returns the data of an entry that contains a membership.
func MembershipData(membership Membership) []byte {
	return append([]byte{membershipTag}, gobcodec.Encode(membership.ToWire())...)
}

// decodeMembership returns the membership in an entry, and false if the entry contains none.
func decodeMembership(entry wal.Entry) (Membership, bool) {
	if len(entry.Data) == 0 || entry.Data[0] != membershipTag {
		return Membership{}, false
	}
	var membership MembershipWire
	err := gob.NewDecoder(bytes.NewReader(entry.Data[1:])).Decode(&membership)
	return membership.ToDomain(), err == nil
}

// EncodeSnapshot returns the encoded snapshot of a membership and a state.
func EncodeSnapshot(membership Membership, state []byte) []byte {
	return gobcodec.Encode(snapshotContent{Bindings: membership.ToWire(), State: state})
}

// DecodeSnapshot returns the membership and the state of a snapshot. ok is false if the snapshot
// cannot be decoded.
func DecodeSnapshot(encoded []byte) (membership Membership, state []byte, ok bool) {
	var content snapshotContent
	err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&content)
	return content.Bindings.ToDomain(), content.State, err == nil
}

// WirePrototypes returns a zero value of each stored wire form, by a stable label, for
// compatibility tests.
func WirePrototypes() map[string]any {
	return map[string]any{
		"capture":      snapshotContent{},
		"log-bindings": MembershipWire{},
	}
}
