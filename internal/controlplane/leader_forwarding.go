package controlplane

import (
	"context"
	"errors"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/controlplane/observation"
	"coursepass/internal/controlplane/replication"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

const (
	// forwardPath is the path of calls that forward a request to another server.
	forwardPath = "/core/operate"
	// forwardTimeout is the timeout of the execution of a request, including the call that forwards it.
	forwardTimeout = 4 * clock.Second
	// maxForwardHops is the maximum number of times that a request is forwarded: once by a server without a slot, and
	// once by a member that does not lead.
	maxForwardHops = 2
)

// ControlRequest is a request to the leader of a shard. Exactly one of Configure, Engines and Read is set. With Read,
// Outcome may be the key of an operation whose outcome is requested.
type ControlRequest struct {
	Configure *config.Request
	Outcome   string
	Read      bool
	Engines   *registry.Operation
	// Service selects the shard that holds the engines of the service. If it is empty, the request is for shard 0.
	Service string
	// Hops is how many times the request was forwarded, and Origin is the address of the server that forwarded it last.
	Hops   int
	Origin string
	// ObservedIndex is a log index of the shard that was known to be committed while the caller waited. It is set for
	// unconditional changes, and 0 in requests that an earlier build took.
	ObservedIndex uint64

	// observedFrom is the address of the member that reported ObservedIndex. It is empty if this server did.
	observedFrom string
}

// ControlResponse holds the outcome of an operation, or the state that was read.
type ControlResponse struct {
	config.Outcome
	View    config.View
	Engines registry.View
	// CommittedIndex is a log index of the shard that was committed when the request was answered, and CommittedRevision
	// the revision of the state there or before. They are 0 in responses of earlier builds.
	CommittedIndex, CommittedRevision uint64
	// Overtaken is set if the request was rejected with ErrOvertaken.
	Overtaken bool
}

func (c *ControlRequest) shardIndex(shardCount int) int {
	if c.Service == "" {
		return 0
	}
	return controlapi.ServiceShard(c.Service, shardCount)
}

// execute executes a request on this server if this server leads the shard. Otherwise it forwards the request to the
// leader, or to any member if this server has no slot. It returns no later than the deadline of the caller. An error
// with code NotLeader means that nothing was proposed. An operation that may have been appended to a log is never sent
// again.
func (s *Server) execute(parent context.Context, request *ControlRequest) (*ControlResponse, error) {
	ctx, cancel := context.WithTimeout(parent, forwardTimeout.Duration())
	defer cancel()
	shard := s.shards[request.shardIndex(s.Shards)]
	status := shard.CurrentStatus()
	if status != nil && status.Slot >= 0 && status.Leader == status.Slot {
		return s.executeLocally(ctx, shard, request)
	}
	address, err := s.forwardTarget(shard, status, request)
	if err != nil {
		return nil, err
	}
	forwarded := *request
	forwarded.Hops, forwarded.Origin = request.Hops+1, s.self.Address
	target := transport.Target{Address: address, Procedure: forwardPath, Timeout: forwardTimeout}
	response, err := transport.Call[ControlRequestWire, ControlResponseWire](
		ctx, s.internalTransport, target, forwarded.ToWire(),
	)
	if err != nil {
		return nil, errcode.Wrap(err, errcode.OutcomeUnknown, "no response from the server that the request was forwarded to")
	}
	result := response.ToDomain()
	s.reportedHeads.record(shard.Index(), observation.Head{Index: result.CommittedIndex, Revision: result.CommittedRevision})
	if result.Overtaken {
		return nil, errcode.Wrap(ErrOvertaken, result.Code, result.Text)
	}
	return result, nil
}

// forwardedShard is the part of a shard replica that forwardTarget uses.
type forwardedShard interface {
	// Index returns the number of the shard.
	Index() int
	// Membership returns the latest known membership. It has no slots before the replica has started.
	Membership() consensus.Membership
}

// forwardTarget returns the address of the server to forward a request to. A request is forwarded at most
// maxForwardHops times, and never back to the server that it came from. A server without a slot forwards only requests
// that no other server has forwarded.
func (s *Server) forwardTarget(
	shard forwardedShard, status *controlapi.ShardStatus, request *ControlRequest,
) (string, error) {
	if request.Hops >= maxForwardHops {
		return "", errcode.New(errcode.NotLeader,
			"this server does not lead shard %d, and the request was already forwarded %d times", shard.Index(), request.Hops)
	}
	if status == nil || status.Slot < 0 {
		return s.nextMemberAddress(shard, request)
	}
	if status.Leader < 0 {
		return "", errcode.New(errcode.NotLeader, "this server knows no leader of shard %d", shard.Index())
	}
	address := shard.Membership().Members[status.Leader].Address
	if address == "" || address == request.Origin {
		return "", errcode.New(errcode.NotLeader,
			"the leader of shard %d has no address, or is the server that forwarded the request", shard.Index())
	}
	return address, nil
}

// nextMemberAddress returns the address of the member that reported the request's ObservedIndex, or else of another
// member, in round-robin order. It returns an error if the request was forwarded before.
func (s *Server) nextMemberAddress(shard forwardedShard, request *ControlRequest) (string, error) {
	members := shard.Membership().Members
	if len(members) == 0 {
		return "", errcode.New(errcode.NotLeader, "the replica of shard %d has not started", shard.Index())
	}
	if request.Hops == 0 && request.observedFrom != "" {
		return request.observedFrom, nil
	}
	for range members {
		member := members[int(s.nextMember.Add(1))%len(members)]
		if request.Hops == 0 && !member.Vacant() && member.Address != s.self.Address {
			return member.Address, nil
		}
	}
	return "", errcode.New(errcode.NotLeader, "there is no member of shard %d to forward the request to", shard.Index())
}

func (s *Server) executeLocally(
	ctx context.Context, shard *replication.ShardReplica, request *ControlRequest,
) (*ControlResponse, error) {
	response := &ControlResponse{}
	switch {
	case request.Configure != nil:
		outcome, err := s.configure(ctx, shard, *request.Configure, request.ObservedIndex)
		response.Outcome = outcome
		return response, err
	case request.Engines != nil:
		change := s.engineChange(shard.Index(), request)
		data, err := shard.ProposeChange(ctx, change, func() ([]byte, error) { return request.Engines.Encode(), nil })
		if err != nil {
			return nil, err
		}
		result, err := registry.DecodeResult(data)
		response.Code, response.Revision = result.Code, result.Revision
		return response, err
	default:
		return response, s.readState(ctx, shard, request, response)
	}
}

// readState fills the response with the state of the shard, by a linearizable read.
func (s *Server) readState(
	ctx context.Context, shard *replication.ShardReplica, request *ControlRequest, response *ControlResponse,
) error {
	return shard.LinearizableRead(ctx, func() {
		if shard.Index() > 0 {
			response.Engines = s.serviceLeaders[shard.Index()-1].EngineView()
			return
		}
		response.View = s.configuration.View()
		if request.Outcome != "" {
			response.Outcome = s.recordedOutcome(request.Outcome)
		}
	})
}

// recordedOutcome returns the outcome of the operation with the given key. If there is none, the code of the outcome is
// UnknownOperation. recordedOutcome must be called in the loop of shard 0.
func (s *Server) recordedOutcome(key string) config.Outcome {
	outcome, exists := s.configuration.Outcome(key)
	if !exists {
		return config.Outcome{Code: errcode.UnknownOperation, Revision: s.configuration.CurrentRevision(), Text: key}
	}
	return outcome
}

func (s *Server) registerForwardingHandler() {
	transport.Handle(s.internalTransport, forwardPath, func(
		ctx context.Context, request *ControlRequestWire,
	) (*ControlResponseWire, error) {
		return s.handleForwarded(ctx, request.ToDomain()).ToWire(), nil
	})
}

func (s *Server) handleForwarded(ctx context.Context, request *ControlRequest) *ControlResponse {
	request.Hops = max(request.Hops, 1)
	if err := s.checkForwarded(request); err != nil {
		return &ControlResponse{Outcome: config.Outcome{Code: errcode.NoQuorum, Text: errcode.Text(err)}}
	}
	response, err := s.execute(ctx, request)
	if err != nil {
		outcome := config.Outcome{Code: errcode.CodeOf(err, errcode.OutcomeUnknown), Text: errcode.Text(err)}
		response = &ControlResponse{Outcome: outcome, Overtaken: errors.Is(err, ErrOvertaken)}
	}
	head := s.committedHeads()[request.shardIndex(s.Shards)]
	response.CommittedIndex, response.CommittedRevision = head.Index, head.Revision
	return response
}
