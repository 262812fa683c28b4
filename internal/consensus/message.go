// Package consensus is one part of the control state: a log kept by a small group of
// slots, whose ballot is the round of the group's election. It is a pure state
// machine.
package consensus

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/lease"
	"coursepass/internal/consensus/wal"
)

// MessageKind says what a message is for.
type MessageKind uint8

// The kinds of messages between the slots of a part.
const (
	MsgElection MessageKind = iota + 1
	MsgPrepare
	MsgPromise
	MsgAppend
	MsgAppendResponse
	MsgRecoveryRequest
	MsgRecoveryResponse
	// MsgConfirmLeadership asks for nothing but the transport's echo.
	MsgConfirmLeadership
	MsgFetchRequest
	MsgFetchResponse
	// MsgPromisePositionOnly and TellPosition are a Promise and a Tell whose content has to be
	// fetched. An earlier build, which would take them for empty, ignores them.
	MsgPromisePositionOnly
	MsgRecoveryPositionOnly
)

// Message is what one slot of a part tells another.
type Message struct {
	Part, From, To int
	Kind           MessageKind
	Election       election.Message
	// Round is the ballot the message belongs to; Promised is the answering
	// slot's own promise.
	Round, Promised uint64
	// Index and IndexRound name the entry before Entries in Append, the last
	// entry held in Promise and Tell, and the last that matches in Appended.
	Index, IndexRound uint64
	Entries           []wal.Entry
	Base              wal.Entry
	// Base is a piece of a snapshot in Content, from Offset on, of Total bytes with
	// Checksum in all; in Fetch they say how far the asker has got.
	Offset, Total, Checksum uint64
	// Snapshot is the index of a snapshot that has to be fetched before Entries, in Append.
	Snapshot    uint64
	Commit      uint64
	Accepted    bool
	Established bool
	Granted     bool
	Recovering  bool
	// Learner says that an Append is a copy for a daemon without a vote, at Address.
	Learner bool
	Address string
	Asked   clock.Microseconds
	// Life is the answering slot's life, and in Append the last life that the
	// leader heard from the slot it writes to.
	Life uint64
	// Sender is the daemon that speaks, set by whoever received the message; Epoch
	// is that of its bindings.
	Sender Member
	Epoch  uint64
}

// Size is how many bytes of content a message carries.
func (m Message) Size() int {
	size := len(m.Base.Data)
	for _, entry := range m.Entries {
		size += len(entry.Data)
	}
	return size
}

// StateMachine is what a part's log builds.
type StateMachine interface {
	// Apply takes one committed operation and returns its result.
	Apply(operation []byte) []byte
	// Snapshot and Restore carry the whole state.
	Snapshot() []byte
	Restore(snapshot []byte)
}

// Result is the outcome of a proposal, given once a majority knows of it.
type Result struct {
	Index, Term uint64
	Response    []byte
}

// Output is what a step asks its driver to do. Urgent goes out at once; Held goes
// out after Records are synced, messages to the own slot included.
type Output struct {
	Messages          []Message
	Records           []wal.Record
	MessagesAfterSync []Message
	// DeferredRecords are records that nothing waits for.
	DeferredRecords []wal.Record
	Results         []Result
	// ProposalsDropped is set when proposals without a result will get none here.
	ProposalsDropped bool
	// StateChanged is set when the state has changed.
	StateChanged bool
}

// Config says which part and slot a member is, and its lengths.
type Config struct {
	Shard int
	election.Config
	lease.Timing
	// RetainedEntries is how many applied entries the log keeps before it rebases.
	RetainedEntries int
	// ChunkSize is the most bytes of content that go in one message; 0 is DefaultPiece.
	ChunkSize int
	// Incarnation tells this life of the member from earlier ones.
	Incarnation uint64
	// LocalMember is this daemon, and Bindings those it starts with if its disk has none.
	LocalMember       Member
	InitialMembership Membership
}

func (c Config) majority() int { return c.Slots/2 + 1 }
