package controlplane

import (
	"context"

	"github.com/phuslu/log"

	"coursepass/internal/controlplane/replication"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
)

// expansionPermit is the right to evaluate a configuration document. It is released once.
type expansionPermit struct{ release func() }

// handOver returns the release function, which the caller must call in place of this permit's owner.
func (e *expansionPermit) handOver() func() {
	release := e.release
	e.release = func() {}
	return release
}

// acquireExpansion waits for the permit, if the request has a document to evaluate. There is one permit, so
// that a request that waited sees the revision of the one before it, and is rejected without an evaluation.
// All other requests are judged by the log alone and wait for nobody.
func (s *Server) acquireExpansion(ctx context.Context, request config.Request) (*expansionPermit, error) {
	if !request.NeedsExpansion() {
		return &expansionPermit{release: func() {}}, nil
	}
	select {
	case s.expansionSemaphore <- struct{}{}:
		return &expansionPermit{release: func() { <-s.expansionSemaphore }}, nil
	case <-ctx.Done():
		return nil, errcode.New(errcode.NoQuorum, "another operation is under way; nothing was changed")
	}
}

// configure drafts an operation and proposes it, as the leader of shard 0. A request whose key was committed
// before gets the outcome of then. An outcome that is not OK was rejected; for errors see propose.
func (s *Server) configure(
	ctx context.Context, shard *replication.ShardReplica, request config.Request,
) (config.Outcome, error) {
	permit, err := s.acquireExpansion(ctx, request)
	if err != nil {
		return config.Outcome{}, err
	}
	defer func() { permit.release() }()
	var view config.View
	var previousOutcome config.Outcome
	var exists bool
	read := shard.RunInLoop(ctx, func() {
		view = s.configuration.View()
		previousOutcome, exists = s.configuration.Outcome(request.Key)
	})
	if !read {
		return config.Outcome{}, errcode.New(errcode.NotLeader, "shard 0")
	}
	if request.Kind == config.OperationAdvanceMaintenance {
		text := "only the leader records maintenance phases"
		return config.Outcome{Code: errcode.Malformed, Revision: view.Revision, Text: text}, nil
	}
	request.Regions = s.Regions().Names()
	if exists {
		log.Info().Str("server", s.Name).Str("key", request.Key).Int("code", int(previousOutcome.Code)).
			Msg("operation repeated")
		repeated := config.Operation{}
		repeated.Key = request.Key
		return s.proposeOperation(ctx, shard, repeated, request.Kind)
	}
	operation, err := s.draftConfirmed(ctx, shard, &view, request, permit)
	if err != nil {
		return rejectedOutcome(view.Revision, err)
	}
	return s.proposeOperation(ctx, shard, operation, request.Kind)
}

func (s *Server) proposeOperation(
	ctx context.Context, shard *replication.ShardReplica, operation config.Operation, kind config.OperationKind,
) (config.Outcome, error) {
	data, err := shard.Propose(ctx, func() ([]byte, error) { return operation.Encode(), nil })
	if err != nil {
		return config.Outcome{}, err
	}
	outcome, err := config.DecodeOutcome(data)
	if err == nil && outcome.Code == errcode.OK {
		log.Info().Str("server", s.Name).Str("kind", string(kind)).Uint64("revision", outcome.Revision).
			Msg("configuration committed")
	}
	return outcome, errcode.Wrap(err, errcode.MalformedMessage, "outcome")
}

// rejectedOutcome returns the outcome of a request whose draft failed, judged by the given revision, or the
// error if the request could not be judged at all.
func rejectedOutcome(revision uint64, err error) (config.Outcome, error) {
	code := errcode.CodeOf(err, errcode.Malformed)
	if code == errcode.NoQuorum || code == errcode.NotLeader {
		return config.Outcome{}, err
	}
	return config.Outcome{Code: code, Revision: revision, Text: errcode.Text(err)}, nil
}

// draftConfirmed drafts the operation of a request. Before a request is rejected, a linearizable read
// confirms the view, and if that is later the request is judged again: a rejection never rests on this
// server's own view alone. The view is replaced by the one that was judged last.
func (s *Server) draftConfirmed(
	ctx context.Context, shard *replication.ShardReplica, view *config.View,
	request config.Request, permit *expansionPermit,
) (config.Operation, error) {
	operation, rejection := s.draft(ctx, *view, request, permit)
	if rejection == nil || errcode.CodeOf(rejection, errcode.Malformed) == errcode.ConfigurationTooCostly {
		return operation, rejection
	}
	judgedRevision := view.Revision
	if err := shard.LinearizableRead(ctx, func() { *view = s.configuration.View() }); err != nil {
		return config.Operation{}, err
	}
	if view.Revision == judgedRevision {
		return config.Operation{}, rejection
	}
	return s.draft(ctx, *view, request, permit)
}

// draftResult is what the evaluation of a request returns.
type draftResult struct {
	operation config.Operation
	err       error
}

// draft evaluates a request within the context. The evaluation can't be interrupted: one that takes longer
// goes on alone, its request is rejected, and the next one waits for its end.
func (s *Server) draft(
	ctx context.Context, view config.View, request config.Request, permit *expansionPermit,
) (config.Operation, error) {
	done := make(chan draftResult, 1)
	go func() {
		operation, err := view.Draft(request)
		done <- draftResult{operation, err}
	}()
	select {
	case result := <-done:
		return result.operation, result.err
	case <-ctx.Done():
		release := permit.handOver()
		go func() {
			<-done
			release()
		}()
		return config.Operation{}, errcode.New(errcode.ConfigurationTooCostly,
			"the evaluation took longer than the operation may")
	}
}
