package consensus

import (
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/wal"
)

// Output contains the work that a step of a Replica leaves to the caller. The package comment gives
// the order in which the caller must do it.
type Output struct {
	// Messages may be sent at once.
	Messages []Message
	// Records must be stored and synced.
	Records []wal.Record
	// MessagesAfterSync may be sent once Records are synced. Some may be addressed to this
	// replica's own slot.
	MessagesAfterSync []Message
	// DeferredRecords must be stored, but no message waits for their sync.
	DeferredRecords []wal.Record
	// Results contains the results of committed proposals.
	Results []Result
	// ProposalsDropped is set if this replica will not report results for the proposals that have
	// none yet.
	ProposalsDropped bool
	// StateChanged is set if the state machine has changed.
	StateChanged bool
}

// Result is the result of a committed proposal.
type Result struct {
	// Index and Term are the values that Propose returned.
	Index, Term uint64
	// Response is the result that the state machine returned.
	Response []byte
}

// takeOutput returns the output that has been collected, and resets it.
func (r *Replica) takeOutput() Output {
	output := r.output
	r.output = Output{}
	return output
}

// send queues a message that does not depend on any record.
func (r *Replica) send(message Message) {
	message.Shard = r.Shard
	message.From = r.Self
	message.Epoch = r.membership.Epoch
	r.output.Messages = append(r.output.Messages, message)
}

// sendAfterSync queues a message that depends on all records that have been queued so far.
func (r *Replica) sendAfterSync(message Message) {
	message.Shard = r.Shard
	message.From = r.Self
	message.Epoch = r.membership.Epoch
	if message.To == r.Self {
		message.Sender = r.LocalMember
	}
	r.output.MessagesAfterSync = append(r.output.MessagesAfterSync, message)
}

// reply queues the response to a message, which depends on all records that have been queued so far.
// It goes to the daemon that sent the message, at the address from which the message came: the local
// membership may be older than the sender's, and the address may belong to another disk by then.
func (r *Replica) reply(request, response Message) {
	response.To = request.From
	response.Address = request.Sender.Address
	response.Receiver = request.Sender.Identity
	r.sendAfterSync(response)
}

// sendElection queues messages of the election. It drops those of a learner, which holds no slot
// from which it could send them.
func (r *Replica) sendElection(outgoing []election.OutgoingMessage) {
	if r.IsLearner() {
		return
	}
	for _, message := range outgoing {
		r.send(Message{To: message.To, Kind: MsgElection, Election: message.Message})
	}
}

// persist queues records that must be synced.
func (r *Replica) persist(records ...wal.Record) {
	r.output.Records = append(r.output.Records, records...)
}

// persistPromise queues a record of the promised term.
func (r *Replica) persistPromise() {
	r.persist(wal.Record{Kind: wal.RecordPromise, Shard: r.Shard, Entry: wal.Entry{Term: r.PromisedTerm}})
}
