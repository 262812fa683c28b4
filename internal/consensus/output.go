package consensus

import (
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/wal"
)

// Output is what the caller has to do after a step of a Replica. The package comment gives the
// order.
type Output struct {
	// Messages may be sent at once.
	Messages []Message
	// Records are to be stored and synced.
	Records []wal.Record
	// MessagesAfterSync may be sent once Records are synced. Some may be to the own slot.
	MessagesAfterSync []Message
	// DeferredRecords are to be stored; nothing waits for their sync.
	DeferredRecords []wal.Record
	// Results are results of proposals.
	Results []Result
	// ProposalsDropped is set when proposals that have no result yet will get none here.
	ProposalsDropped bool
	// StateChanged is set when the state machine has changed.
	StateChanged bool
}

// Result is the result of a committed proposal.
type Result struct {
	// Index and Term are those that Propose returned.
	Index, Term uint64
	// Response is what the state machine returned.
	Response []byte
}

// takeOutput returns what has been collected for the caller and starts anew.
func (r *Replica) takeOutput() Output {
	output := r.output
	r.output = Output{}
	return output
}

// send queues a message that depends on no record.
func (r *Replica) send(message Message) {
	message.Shard = r.Shard
	message.From = r.Self
	message.Epoch = r.membership.Epoch
	r.output.Messages = append(r.output.Messages, message)
}

// sendAfterSync queues a message that depends on all records so far.
func (r *Replica) sendAfterSync(message Message) {
	message.Shard = r.Shard
	message.From = r.Self
	message.Epoch = r.membership.Epoch
	if message.To == r.Self {
		message.Sender = r.LocalMember
	}
	r.output.MessagesAfterSync = append(r.output.MessagesAfterSync, message)
}

// sendElection queues the election's messages. Those of a learner are dropped: it holds no slot
// to speak for.
func (r *Replica) sendElection(outgoing []election.OutgoingMessage) {
	if r.IsLearner() {
		return
	}
	for _, message := range outgoing {
		r.send(Message{To: message.To, Kind: MsgElection, Election: message.Message})
	}
}

// persist queues records.
func (r *Replica) persist(records ...wal.Record) {
	r.output.Records = append(r.output.Records, records...)
}

// persistPromise queues the record of the current promise.
func (r *Replica) persistPromise() {
	r.persist(wal.Record{Kind: wal.RecordPromise, Shard: r.Shard, Entry: wal.Entry{Term: r.PromisedTerm}})
}
