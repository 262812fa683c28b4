package replication

import (
	"context"

	"github.com/phuslu/log"

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

// Propose appends an operation to the log and waits for its result. The draftOperation function returns the
// operation; it runs in the shard's loop, and only if this server leads the shard. After an error with code
// OutcomeUnknown the operation may still take effect; after any other error it was not proposed.
func (r *ShardReplica) Propose(ctx context.Context, draftOperation func() ([]byte, error)) ([]byte, error) {
	return r.ProposeChange(ctx, Change{}, draftOperation)
}

// ProposeChange is Propose for an operation that a caller has asked for. It rejects a change that may have been overtaken by
// another one on the same subject.
func (r *ShardReplica) ProposeChange(
	ctx context.Context, change Change, draftOperation func() ([]byte, error),
) ([]byte, error) {
	proposed := make(chan proposal, 1)
	queued := r.loop.Put(ctx, func() { r.beginProposal(ctx, change, draftOperation, proposed) })
	if !queued {
		return nil, errcode.New(errcode.NoQuorum, "shard %d: the context ended before the proposal was queued",
			r.options.Shard)
	}
	var appended proposal
	select {
	case appended = <-proposed:
	case <-ctx.Done():
		return nil, r.outcomeUnknownError()
	}
	if appended.err != nil {
		return nil, appended.err
	}
	select {
	case result, known := <-appended.result:
		if known {
			return result, nil
		}
	case <-ctx.Done():
	}
	return nil, r.outcomeUnknownError()
}

func (r *ShardReplica) outcomeUnknownError() error {
	return errcode.New(errcode.OutcomeUnknown, "shard %d: the operation may still take effect", r.options.Shard)
}

// beginProposal appends the drafted operation to the log. It runs in the shard's loop. It sends the proposal to the
// proposed channel before it processes the replica's output, since processing the output may complete the proposal.
func (r *ShardReplica) beginProposal(
	ctx context.Context, change Change, draftOperation func() ([]byte, error), proposed chan<- proposal,
) {
	if r.replica == nil || !r.replica.LeadershipConfirmed(r.options.Clock.Now()) {
		proposed <- proposal{err: r.notLeaderError()}
		return
	}
	if err := r.checkChange(change); err != nil {
		proposed <- proposal{err: err}
		return
	}
	operation, err := draftOperation()
	if err != nil {
		proposed <- proposal{err: err}
		return
	}
	index, term, _, output := r.replica.Propose(r.options.Clock.Now(), operation)
	r.changes.record(change.Subject, index)
	resultChannel := make(chan []byte, 1)
	r.lock.Lock()
	r.pendingProposals[proposalID{index, term}] = resultChannel
	r.lock.Unlock()
	proposed <- proposal{result: resultChannel}
	r.processOutput(ctx, output)
}

// checkChange returns an error if the change may undo a later one. The check and the append that follows run in the same
// step of the loop, so that no other change can come between them.
func (r *ShardReplica) checkChange(change Change) error {
	commitIndex, _ := r.replica.CommitIndex()
	_, term := r.replica.Leader()
	r.changes.beginTerm(term, r.replica.FirstTermIndex())
	err := r.changes.check(change, commitIndex)
	if err != nil {
		r.OvertakenChanges.Add(1)
		log.Warn().Str("server", r.options.Self.Name).Int("shard", r.options.Shard).Str("subject", change.Subject).
			Uint64("observedIndex", change.ObservedIndex).Uint64("commitIndex", commitIndex).Msg("late change rejected")
	}
	return err
}

// completeProposals returns the results of the proposals that were applied. If the replica dropped its
// proposals, the remaining ones end with an unknown outcome.
func (r *ShardReplica) completeProposals(output consensus.Output) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, result := range output.Results {
		id := proposalID{result.Index, result.Term}
		if resultChannel, exists := r.pendingProposals[id]; exists {
			resultChannel <- result.Response
			delete(r.pendingProposals, id)
		}
	}
	if !output.ProposalsDropped {
		return
	}
	for id, resultChannel := range r.pendingProposals {
		close(resultChannel)
		delete(r.pendingProposals, id)
	}
}
