package replication

import (
	"context"

	"coursepass/internal/consensus"
	"coursepass/internal/errcode"
)

// proposalID identifies a log entry that this server has proposed.
type proposalID struct{ index, term uint64 }

// proposal is an operation that was appended to the log, or the error because of which it was not. The
// result channel receives the state machine's response, or is closed if it is unknown whether the entry will
// be committed.
type proposal struct {
	result chan []byte
	err    error
}

// Propose appends an operation to the log and waits for its result. The draft function returns the operation;
// it runs in the shard's loop, and only if this server leads the shard. After an error with code
// OutcomeUnknown the operation may still take effect; after any other error it was not proposed.
func (r *ShardReplica) Propose(ctx context.Context, draft func() ([]byte, error)) ([]byte, error) {
	proposals := make(chan proposal, 1)
	queued := r.loop.Put(ctx, func() { r.beginProposal(ctx, draft, proposals) })
	if !queued {
		return nil, errcode.New(errcode.NoQuorum, "shard %d: the context ended before the proposal was queued",
			r.options.Shard)
	}
	var accepted proposal
	select {
	case accepted = <-proposals:
	case <-ctx.Done():
		return nil, r.outcomeUnknownError()
	}
	if accepted.err != nil {
		return nil, accepted.err
	}
	select {
	case result, open := <-accepted.result:
		if open {
			return result, nil
		}
	case <-ctx.Done():
	}
	return nil, r.outcomeUnknownError()
}

func (r *ShardReplica) outcomeUnknownError() error {
	return errcode.New(errcode.OutcomeUnknown, "shard %d: the operation may still take effect", r.options.Shard)
}

// beginProposal appends the drafted operation to the log. It runs in the shard's loop. It sends the proposal
// to the proposals channel before it processes the replica's output, since that may complete the proposal.
func (r *ShardReplica) beginProposal(ctx context.Context, draft func() ([]byte, error), proposals chan<- proposal) {
	if r.replica == nil || !r.replica.LeadershipConfirmed(r.options.Clock.Now()) {
		proposals <- proposal{err: r.notLeaderError()}
		return
	}
	operation, err := draft()
	if err != nil {
		proposals <- proposal{err: err}
		return
	}
	index, term, _, output := r.replica.Propose(r.options.Clock.Now(), operation)
	result := make(chan []byte, 1)
	r.lock.Lock()
	r.pendingProposals[proposalID{index, term}] = result
	r.lock.Unlock()
	proposals <- proposal{result: result}
	r.processOutput(ctx, output)
}

// completeProposals returns the results of the proposals that were applied. If the replica dropped its
// proposals, the remaining ones end with an unknown outcome.
func (r *ShardReplica) completeProposals(output consensus.Output) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, result := range output.Results {
		id := proposalID{result.Index, result.Term}
		if waiter, exists := r.pendingProposals[id]; exists {
			waiter <- result.Response
			delete(r.pendingProposals, id)
		}
	}
	if !output.ProposalsDropped {
		return
	}
	for id, waiter := range r.pendingProposals {
		close(waiter)
		delete(r.pendingProposals, id)
	}
}
