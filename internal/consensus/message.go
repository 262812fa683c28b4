package consensus

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/wal"
)

// MessageKind is the kind of a message. Its numbers are part of the wire format.
type MessageKind uint8

// The kinds of messages between the slots of a shard.
const (
	// MsgElection carries a message of the election.
	MsgElection MessageKind = iota + 1
	// MsgPrepare asks for the promise of a term.
	MsgPrepare
	// MsgPromise answers MsgPrepare, with the log after the index that the candidate has.
	MsgPromise
	// MsgAppend carries entries, and is the leader's heartbeat and request for its lease.
	MsgAppend
	// MsgAppendResponse answers MsgAppend.
	MsgAppendResponse
	// MsgRecoveryRequest asks for the log and the promise, after the loss of a disk.
	MsgRecoveryRequest
	// MsgRecoveryResponse answers MsgRecoveryRequest.
	MsgRecoveryResponse
	// MsgConfirmLeadership asks for nothing but the transport's Echo.
	MsgConfirmLeadership
	// MsgFetchRequest asks for entries, or for a chunk of a snapshot.
	MsgFetchRequest
	// MsgFetchResponse answers MsgFetchRequest.
	MsgFetchResponse
	// MsgPromisePositionOnly is a MsgPromise whose content has to be fetched. It is a kind of its
	// own since earlier builds would take it for an empty log; they ignore unknown kinds.
	MsgPromisePositionOnly
	// MsgRecoveryPositionOnly is a MsgRecoveryResponse whose content has to be fetched.
	MsgRecoveryPositionOnly
)

// Message is a message from one slot of a shard to another. Which fields are used
// depends on Kind. Its wire form is MessageWire.
type Message struct {
	// From and To are slots of the shard.
	Shard, From, To int
	Kind            MessageKind
	// Election is the content of MsgElection.
	Election election.Message
	// Term is the one that the message belongs to; PromisedTerm is the sender's own promise.
	Term, PromisedTerm uint64
	// Index and IndexTerm are index and term of an entry: in MsgAppend and MsgFetchResponse of
	// that before Entries, in MsgPromise and MsgRecoveryResponse of the sender's last, in
	// MsgAppendResponse of the last that matches, in MsgFetchRequest of the last that the sender
	// has, in MsgPrepare of the last that the candidate knows to be committed.
	Index, IndexTerm uint64
	Entries          []wal.Entry
	// Snapshot is a snapshot, or in MsgFetchResponse a chunk of one. In MsgFetchRequest its index and
	// term name the snapshot of which the sender already has Offset bytes.
	Snapshot wal.Entry
	// Offset is where a chunk begins, in a snapshot of Total bytes with Checksum.
	Offset, Total, Checksum uint64
	// SnapshotIndex is the index of a snapshot that has to be fetched before Entries follow, in
	// MsgAppend.
	SnapshotIndex uint64
	// Commit is the sender's commit index.
	Commit uint64
	// Accepted is set if a request was granted.
	Accepted bool
	// Established is set in MsgAppend if the leader has committed an entry of its own term.
	Established bool
	// Granted is set in MsgAppendResponse if the sender grants the lease.
	Granted bool
	// Recovering is set if the sender has no vote.
	Recovering bool
	// Learner is set in an Append to a learner, which stands at Address.
	Learner bool
	Address string
	// RequestedAt is the time of a request on the clock of its sender; the answer repeats it.
	RequestedAt clock.Microseconds
	// Incarnation is that of the answering slot. In MsgAppend it is the last one that the
	// leader knows of the receiver, in MsgFetchRequest and its response that of the asking slot.
	Incarnation uint64
	// Sender is the daemon that sent the message. The receiver's transport sets it.
	Sender Member
	// Epoch is the epoch of the sender's membership.
	Epoch uint64
}

// Size returns how many bytes of content a message carries.
func (m Message) Size() int {
	size := len(m.Snapshot.Data)
	for _, entry := range m.Entries {
		size += len(entry.Data)
	}
	return size
}

// RequestsEcho reports whether the transport's answer to a message is to carry an Echo.
func (m Message) RequestsEcho() bool {
	return m.Kind == MsgConfirmLeadership || m.Kind == MsgElection && m.Election.Kind == election.OK
}

// position returns the position that Index and IndexTerm name.
func (m Message) position() logPosition {
	return logPosition{index: m.Index, term: m.IndexTerm}
}
