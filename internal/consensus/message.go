package consensus

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/wal"
)

// MessageKind is the kind of a message. Its numeric values are part of the wire format.
type MessageKind uint8

// Kinds of messages between the slots of a shard.
const (
	// MsgElection contains a message of the election.
	MsgElection MessageKind = iota + 1
	// MsgPrepare asks a slot to promise a term.
	MsgPrepare
	// MsgPromise answers MsgPrepare. It contains the log after the index that the candidate sent.
	MsgPromise
	// MsgAppend contains entries. It is also the leader's heartbeat and its request for the lease.
	MsgAppend
	// MsgAppendResponse answers MsgAppend.
	MsgAppendResponse
	// MsgRecoveryRequest asks for a slot's log and promised term, after the loss of a disk.
	MsgRecoveryRequest
	// MsgRecoveryResponse answers MsgRecoveryRequest.
	MsgRecoveryResponse
	// MsgConfirmLeadership has no answer other than the transport's Echo.
	MsgConfirmLeadership
	// MsgFetchRequest asks for entries, or for a chunk of a snapshot.
	MsgFetchRequest
	// MsgFetchResponse answers MsgFetchRequest.
	MsgFetchResponse
	// MsgPromisePositionOnly is a MsgPromise whose log has to be fetched. It is a separate kind
	// because earlier builds would take it for a promise with an empty log; they ignore unknown
	// kinds.
	MsgPromisePositionOnly
	// MsgRecoveryPositionOnly is a MsgRecoveryResponse whose log has to be fetched.
	MsgRecoveryPositionOnly
)

// Message is a message from one slot of a shard to another. The fields in use depend on Kind. Its
// wire form is MessageWire.
type Message struct {
	// Shard is the shard; From and To are slots of it.
	Shard, From, To int
	Kind            MessageKind
	// Election is the content of MsgElection.
	Election election.Message
	// Term is the term to which the message belongs. PromisedTerm is the term that the sender has
	// promised.
	Term, PromisedTerm uint64
	// Index and IndexTerm are the index and term of an entry. In MsgAppend and MsgFetchResponse it
	// is the entry before Entries; in MsgPromise and MsgRecoveryResponse, the last entry of the
	// sender; in MsgAppendResponse, the last entry that matches the leader's log; in
	// MsgFetchRequest, the last entry that the sender has; in MsgPrepare, the last entry that the
	// candidate knows to be committed.
	Index, IndexTerm uint64
	Entries          []wal.Entry
	// Snapshot is a snapshot, or in MsgFetchResponse a chunk of one. In MsgFetchRequest its index
	// and term identify the snapshot of which the sender already has Offset bytes.
	Snapshot wal.Entry
	// Offset is the position of a chunk in a snapshot, Total is the size of the snapshot in bytes,
	// and Checksum is the checksum of the snapshot.
	Offset, Total, Checksum uint64
	// SnapshotIndex is, in MsgAppend, the index of a snapshot that the receiver has to fetch before
	// it can receive entries.
	SnapshotIndex uint64
	// Commit is the sender's commit index.
	Commit uint64
	// Accepted is set in a response if the sender has granted the request.
	Accepted bool
	// Established is set in MsgAppend if the leader has committed an entry of its own term.
	Established bool
	// Granted is set in MsgAppendResponse if the sender grants the lease.
	Granted bool
	// Recovering is set if the sender has no vote.
	Recovering bool
	// Learner is set in MsgAppend if the receiver is a learner.
	Learner bool
	// Address is the address of the receiving daemon, or empty if the message is for whichever daemon
	// holds the slot.
	Address string
	// RequestedAt is the time of a request on its sender's clock. The response repeats it.
	RequestedAt clock.Microseconds
	// Incarnation is, in a response of a follower or learner, the incarnation of the sender; in
	// MsgAppend, the last incarnation that the leader knows of the receiver; in MsgFetchRequest and
	// MsgFetchResponse, the incarnation of the requester.
	Incarnation uint64
	// Sender is the daemon that sent the message. The receiver's transport sets it.
	Sender Member
	// Epoch is the epoch of the sender's membership.
	Epoch uint64
	// Receiver is the identity of the data directory for which the message is meant, or empty if the
	// message is for whichever daemon has the address. A daemon that has lost its disk has another
	// identity: what its earlier disk stored, promised or asked for says nothing about it.
	Receiver string
}

// IsFor reports whether a daemon may handle the message: it is not meant for another data directory.
func (m Message) IsFor(daemon Member) bool {
	return m.Receiver == "" || m.Receiver == daemon.Identity
}

// IsLearnerAppend reports whether the message is a MsgAppend to a learner. An earlier build names no
// receiver in it, so that it may be meant for an earlier disk.
func (m Message) IsLearnerAppend() bool {
	return m.Kind == MsgAppend && m.Learner
}

// Size returns the size of the log content in a message, in bytes.
func (m Message) Size() int {
	size := len(m.Snapshot.Data)
	for _, entry := range m.Entries {
		size += len(entry.Data)
	}
	return size
}

// RequestsEcho reports whether the transport's answer to a message must contain an Echo.
func (m Message) RequestsEcho() bool {
	return m.Kind == MsgConfirmLeadership || m.Kind == MsgElection && m.Election.Kind == election.OK
}

// position returns the log position of Index and IndexTerm.
func (m Message) position() logPosition {
	return logPosition{index: m.Index, term: m.IndexTerm}
}
