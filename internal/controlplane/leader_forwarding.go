package controlplane

import (
	"bytes"
	"context"
	"encoding/gob"
	"sync"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

const (
	forwardPath    = "/core/operate"
	forwardTimeout = 4 * clock.Second
	// maxForwardHops is how often an errand is forwarded: by a core without a seat, and by one
	// that does not lead.
	maxForwardHops = 2
)

// ControlRequest is what a core asks the owner of a part to do for it.
type ControlRequest struct {
	Configure *config.Request
	Outcome   string
	Read      bool
	Engines   *registry.Operation
	Service   string
	// Hops is how often the errand was forwarded, and Origin who forwarded it last.
	Hops   int
	Origin string
}

// ControlResponse bring back an outcome, or all that is in force.
type ControlResponse struct {
	config.Outcome
	View    config.View
	Engines registry.View
}

func (c *ControlRequest) shardIndex(shardCount int) int {
	if c.Service == "" {
		return 0
	}
	return ServiceShard(c.Service, shardCount)
}

// execute does an errand here if this core owns the part, and else forwards it to the core
// that leads, or to one that has a seat if this one has none. It ends with the caller's
// deadline. NotOwner says that nothing was proposed; an operation that may have gone into a
// log is never sent again.
func (s *Server) execute(parent context.Context, request *ControlRequest) (*ControlResponse, error) {
	ctx, cancel := context.WithTimeout(parent, forwardTimeout.Duration())
	defer cancel()
	shard := s.shards[request.shardIndex(s.Shards)]
	status := shard.currentStatus()
	if status != nil && status.Slot >= 0 && status.Leader == status.Slot {
		return s.executeLocally(ctx, shard, request)
	}
	address, err := s.forwardTarget(shard, status, request)
	if err != nil {
		return nil, err
	}
	forwarded := *request
	forwarded.Hops, forwarded.Origin = request.Hops+1, s.self.Address
	response, err := transport.Call[ControlRequest, ControlResponse](ctx, s.internalTransport, address, forwardPath, forwardTimeout, &forwarded)
	if err != nil {
		return nil, errcode.Wrap(err, errcode.OutcomeUnknown, "the core that was asked did not answer")
	}
	return response, nil
}

// forwardTarget is whom an errand goes to next: never back to whoever forwarded it, and no
// further than mostHops. A core without a seat only forwards what came to it first.
func (s *Server) forwardTarget(shard *shardReplica, status *Status, request *ControlRequest) (string, error) {
	if request.Hops >= maxForwardHops {
		return "", errcode.New(errcode.NotLeader, "part %d is not led here, and was forwarded %d times", shard.index, request.Hops)
	}
	if status == nil || status.Slot < 0 {
		return s.nextMemberAddress(shard, request)
	}
	if status.Leader < 0 {
		return "", errcode.New(errcode.NotLeader, "part %d has no leader here", shard.index)
	}
	address := shard.membership.Load().Seats[status.Leader].Address
	if address == "" || address == request.Origin {
		return "", errcode.New(errcode.NotLeader, "part %d is not led where the errand came from", shard.index)
	}
	return address, nil
}

// nextMemberAddress is a seat's address, the next one each time.
func (s *Server) nextMemberAddress(shard *shardReplica, request *ControlRequest) (string, error) {
	membership := shard.membership.Load()
	if membership == nil {
		return "", errcode.New(errcode.NotLeader, "part %d has not begun here", shard.index)
	}
	members := membership.Seats
	for range members {
		member := members[int(s.nextMember.Add(1))%len(members)]
		if request.Hops == 0 && !member.Vacant() && member.Address != s.self.Address {
			return member.Address, nil
		}
	}
	return "", errcode.New(errcode.NotLeader, "part %d: no seat is known here", shard.index)
}

func (s *Server) executeLocally(ctx context.Context, shard *shardReplica, request *ControlRequest) (*ControlResponse, error) {
	response := &ControlResponse{}
	switch {
	case request.Configure != nil:
		outcome, err := s.configure(ctx, shard, *request.Configure)
		response.Outcome = outcome
		return response, err
	case request.Engines != nil:
		data, err := shard.propose(ctx, func() ([]byte, error) { return request.Engines.Encode(), nil })
		if err != nil {
			return nil, err
		}
		result, err := registry.DecodeResult(data)
		response.Code, response.Sequence = result.Code, result.Sequence
		return response, err
	}
	return response, s.readState(ctx, shard, request, response)
}

// readState answers once a majority has confirmed, after the call came, that this core leads.
func (s *Server) readState(ctx context.Context, shard *shardReplica, request *ControlRequest, response *ControlResponse) error {
	return shard.linearizableRead(ctx, func() {
		if shard.index > 0 {
			response.Engines = s.serviceLeaders[shard.index-1].engines.View
			return
		}
		response.View = s.configuration.View()
		if request.Outcome == "" {
			return
		}
		outcome, exists := s.configuration.Outcome(request.Outcome)
		if response.Outcome = outcome; !exists {
			response.Outcome = config.Outcome{Code: errcode.UnknownOperation, Sequence: response.View.Sequence, Text: request.Outcome}
		}
	})
}

func (s *Server) configure(ctx context.Context, shard *shardReplica, request config.Request) (config.Outcome, error) {
	// One expansion at a time: whoever comes second then sees the first one's sequence, and
	// is declined without one. All others are judged by the log alone, and wait for nobody.
	releaseSlot := func() {}
	if request.NeedsExpansion() {
		select {
		case s.expansionSemaphore <- struct{}{}:
			releaseSlot = sync.OnceFunc(func() { <-s.expansionSemaphore })
			defer func() { releaseSlot() }()
		case <-ctx.Done():
			return config.Outcome{}, errcode.New(errcode.NoQuorum, "another operation is under way; nothing was changed")
		}
	}
	var view config.View
	var previousOutcome config.Outcome
	var exists bool
	if !shard.runInLoop(ctx, func() {
		view = s.configuration.View()
		previousOutcome, exists = s.configuration.Outcome(request.Key)
	}) {
		return config.Outcome{}, errcode.New(errcode.NotLeader, "part 0")
	}
	if request.Kind == config.OperationAdvanceMaintenance {
		return config.Outcome{Code: errcode.Malformed, Sequence: view.Sequence, Text: "only the leader notes phases"}, nil
	}
	request.Regions = s.Settings.Regions().Names()
	var operation config.Operation
	if !exists {
		draftedOperation, err := s.draft(ctx, view, request, &releaseSlot)
		if err != nil && errcode.CodeOf(err, errcode.Malformed) != errcode.ConfigurationTooCostly {
			draftedOperation, err = s.redraftAfterRead(ctx, shard, &view, request, &releaseSlot, err)
		}
		if code := errcode.CodeOf(err, errcode.Malformed); err != nil && (code == errcode.NoQuorum || code == errcode.NotLeader) {
			return config.Outcome{}, err
		}
		if err != nil {
			return config.Outcome{Code: errcode.CodeOf(err, errcode.Malformed), Sequence: view.Sequence, Text: errcode.Text(err)}, nil
		}
		operation = draftedOperation
	} else {
		operation.Key = request.Key
		log.Info().Str("core", s.Node.Name).Str("key", request.Key).Int("code", int(previousOutcome.Code)).Msg("operation seen before")
	}
	data, err := shard.propose(ctx, func() ([]byte, error) { return config.Encode(operation), nil })
	if err != nil {
		return config.Outcome{}, err
	}
	var outcome config.Outcome
	err = gob.NewDecoder(bytes.NewReader(data)).Decode(&outcome)
	if err == nil && outcome.Code == errcode.OK {
		log.Info().Str("core", s.Node.Name).Str("kind", string(request.Kind)).Uint64("sequence", outcome.Sequence).Msg("configuration in force")
	}
	return outcome, errcode.Wrap(err, errcode.MalformedMessage, "outcome")
}

// redraftAfterRead judges a request that is to be declined once more, if what a majority confirms to
// be in force is later than what it was judged by: a refusal is never told from this core's
// own view alone.
func (s *Server) redraftAfterRead(
	ctx context.Context, shard *shardReplica, view *config.View, request config.Request, releaseSlot *func(), rejection error,
) (config.Operation, error) {
	judgedRevision := view.Sequence
	if err := shard.linearizableRead(ctx, func() { *view = s.configuration.View() }); err != nil {
		return config.Operation{}, err
	}
	if view.Sequence == judgedRevision {
		return config.Operation{}, rejection
	}
	return s.draft(ctx, *view, request, releaseSlot)
}

// draft evaluates a request within the operation's budget. The library can't be
// interrupted: an evaluation that takes longer goes on alone, its operation is declined,
// and the next one waits for its end.
func (s *Server) draft(ctx context.Context, view config.View, request config.Request, releaseSlot *func()) (config.Operation, error) {
	type draftResult struct {
		operation config.Operation
		err       error
	}
	done, release := make(chan draftResult, 1), *releaseSlot
	go func() {
		operation, err := view.Draft(request)
		done <- draftResult{operation, err}
	}()
	select {
	case result := <-done:
		return result.operation, result.err
	case <-ctx.Done():
		*releaseSlot = func() {}
		go func() {
			<-done
			release()
		}()
		return config.Operation{}, errcode.New(errcode.ConfigurationTooCostly, "the evaluation took longer than the operation may")
	}
}

func (s *Server) registerForwardingHandler() {
	transport.Handle(s.internalTransport, forwardPath, func(ctx context.Context, request *ControlRequest) (*ControlResponse, error) {
		request.Hops = max(request.Hops, 1)
		response, err := s.execute(ctx, request)
		if err == nil {
			return response, nil
		}
		return &ControlResponse{Outcome: config.Outcome{Code: errcode.CodeOf(err, errcode.OutcomeUnknown), Text: errcode.Text(err)}}, nil
	})
}
