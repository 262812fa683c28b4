package controlplane

import (
	"context"

	"github.com/phuslu/log"

	"coursepass/internal/controlplane/replication"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
)

// expansionPermit permits its owner to evaluate a configuration document. It must be released exactly once.
type expansionPermit struct{ release func() }

// takeRelease returns the release function, which the caller must call. The owner's own call to release then has no
// effect.
func (e *expansionPermit) takeRelease() func() {
	release := e.release
	e.release = func() {}
	return release
}

// acquireExpansion waits for the permit if the request has a document to evaluate. There is only one permit, so that a
// request that has waited reads the revision committed by the request before it, and is rejected as stale without an
// evaluation. Requests without a document are ordered by the log alone and do not wait.
func (s *Server) acquireExpansion(ctx context.Context, request config.Request) (*expansionPermit, error) {
	if !request.NeedsExpansion() {
		return &expansionPermit{release: func() {}}, nil
	}
	select {
	case s.expansionSemaphore <- struct{}{}:
		return &expansionPermit{release: func() { <-s.expansionSemaphore }}, nil
	case <-ctx.Done():
		return nil, errcode.New(errcode.NoQuorum,
			"another configuration document is still being evaluated; nothing was changed")
	}
}

// configure drafts the operation of a request and proposes it to shard 0, which this server must lead. If the key of
// the request was committed before, configure returns the outcome of the earlier operation. An outcome with a code
// other than OK means that the request was rejected. For observedIndex see ControlRequest, and for errors
// replication.ShardReplica.Propose.
func (s *Server) configure(
	ctx context.Context, shard *replication.ShardReplica, request config.Request, observedIndex uint64,
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
		return config.Outcome{}, errcode.New(errcode.NotLeader, "the request ended before the state of shard 0 was read")
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
		return s.proposeOperation(ctx, shard, replication.Change{}, repeated)
	}
	operation, err := s.draftConfirmed(ctx, shard, &view, request, permit)
	if err != nil {
		return rejectedOutcome(view.Revision, err)
	}
	return s.proposeOperation(ctx, shard, s.configurationChange(operation.Request, observedIndex), operation)
}

func (s *Server) proposeOperation(
	ctx context.Context, shard *replication.ShardReplica, change replication.Change, operation config.Operation,
) (config.Outcome, error) {
	data, err := shard.ProposeChange(ctx, change, func() ([]byte, error) { return operation.Encode(), nil })
	if err != nil {
		return config.Outcome{}, err
	}
	outcome, err := config.DecodeOutcome(data)
	if err == nil && outcome.Code == errcode.OK {
		log.Info().Str("server", s.Name).Str("kind", string(operation.Kind)).Uint64("revision", outcome.Revision).
			Msg("configuration committed")
	}
	return outcome, errcode.Wrap(err, errcode.MalformedMessage, "outcome of a configuration operation")
}

// rejectedOutcome returns the outcome of a request that was rejected at the given revision. If the error is NoQuorum
// or NotLeader, the request was neither accepted nor rejected, and rejectedOutcome returns the error itself.
func rejectedOutcome(revision uint64, err error) (config.Outcome, error) {
	code := errcode.CodeOf(err, errcode.Malformed)
	if code == errcode.NoQuorum || code == errcode.NotLeader {
		return config.Outcome{}, err
	}
	return config.Outcome{Code: code, Revision: revision, Text: errcode.Text(err)}, nil
}

// draftConfirmed drafts the operation of a request. This server's view may be out of date, so a rejection must not
// depend on it alone: before draftConfirmed rejects a request, it reads the view again with a linearizable read, and
// drafts the request again if the revision has changed. Only ConfigurationTooCostly is returned without this read. On
// return, view is the view that was used last.
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

// draftResult holds the result of config.View.Draft.
type draftResult struct {
	operation config.Operation
	err       error
}

// draft evaluates a request, and rejects it with ConfigurationTooCostly if the context ends first. An evaluation
// cannot be interrupted: it continues in the background and holds the permit until it ends, and the next evaluation
// waits for it.
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
		release := permit.takeRelease()
		go func() {
			<-done
			release()
		}()
		return config.Operation{}, errcode.New(errcode.ConfigurationTooCostly,
			"the evaluation did not finish before the deadline of the request")
	}
}
