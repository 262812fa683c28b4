package controlplane

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/controlplane/replication"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

const (
	forwardPath    = "/core/operate"
	forwardTimeout = 4 * clock.Second
	// maxForwardHops is how often a request is forwarded: by a server without a slot, and by a member
	// that does not lead.
	maxForwardHops = 2
)

// ControlRequest is a request to the leader of a shard: one of Configure, Engines and Read. With Read, an
// Outcome names the key of the operation whose outcome is asked for.
type ControlRequest struct {
	Configure *config.Request
	Outcome   string
	Read      bool
	Engines   *registry.Operation
	// Service selects the shard; the configuration's if it is empty.
	Service string
	// Hops is how often the request was forwarded, and Origin the address of the last server that did.
	Hops   int
	Origin string
}

// ControlResponse has the outcome of an operation, or the state that was read.
type ControlResponse struct {
	config.Outcome
	View    config.View
	Engines registry.View
}

func (c *ControlRequest) shardIndex(shardCount int) int {
	if c.Service == "" {
		return 0
	}
	return controlapi.ServiceShard(c.Service, shardCount)
}

// execute executes a request here if this server leads the shard, and else forwards it to the leader, or
// to a member if this server has no slot. It ends with the caller's deadline. An error with code NotLeader
// says that nothing was proposed; an operation that may have been put into a log is never sent again.
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
		return nil, errcode.Wrap(err, errcode.OutcomeUnknown, "the server that was asked did not answer")
	}
	return response.ToDomain(), nil
}

// forwardedShard is what the choice of a server to forward to depends on.
type forwardedShard interface {
	// Index is the number of the shard.
	Index() int
	// Membership is the latest that is known, without slots before the replica has started.
	Membership() consensus.Membership
}

// forwardTarget returns the address to which a request is forwarded: never back to where it came from, and
// no more than maxForwardHops times. A server without a slot only forwards what no other has forwarded.
func (s *Server) forwardTarget(
	shard forwardedShard, status *controlapi.ShardStatus, request *ControlRequest,
) (string, error) {
	if request.Hops >= maxForwardHops {
		return "", errcode.New(errcode.NotLeader,
			"shard %d is not led here, and the request was forwarded %d times", shard.Index(), request.Hops)
	}
	if status == nil || status.Slot < 0 {
		return s.nextMemberAddress(shard, request)
	}
	if status.Leader < 0 {
		return "", errcode.New(errcode.NotLeader, "shard %d has no leader here", shard.Index())
	}
	address := shard.Membership().Members[status.Leader].Address
	if address == "" || address == request.Origin {
		return "", errcode.New(errcode.NotLeader, "shard %d is not led where the request came from", shard.Index())
	}
	return address, nil
}

// nextMemberAddress returns the address of a member, the next one with each call.
func (s *Server) nextMemberAddress(shard forwardedShard, request *ControlRequest) (string, error) {
	members := shard.Membership().Members
	if len(members) == 0 {
		return "", errcode.New(errcode.NotLeader, "shard %d has not started here", shard.Index())
	}
	for range members {
		member := members[int(s.nextMember.Add(1))%len(members)]
		if request.Hops == 0 && !member.Vacant() && member.Address != s.self.Address {
			return member.Address, nil
		}
	}
	return "", errcode.New(errcode.NotLeader, "shard %d: no member is known here", shard.Index())
}

func (s *Server) executeLocally(
	ctx context.Context, shard *replication.ShardReplica, request *ControlRequest,
) (*ControlResponse, error) {
	response := &ControlResponse{}
	switch {
	case request.Configure != nil:
		outcome, err := s.configure(ctx, shard, *request.Configure)
		response.Outcome = outcome
		return response, err
	case request.Engines != nil:
		data, err := shard.Propose(ctx, func() ([]byte, error) { return request.Engines.Encode(), nil })
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

// readState fills the response by a linearizable read.
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
			response.Outcome = s.knownOutcome(request.Outcome)
		}
	})
}

// knownOutcome returns the outcome of an operation by its key. It must be called in the loop of shard 0.
func (s *Server) knownOutcome(key string) config.Outcome {
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
	response, err := s.execute(ctx, request)
	if err != nil {
		outcome := config.Outcome{Code: errcode.CodeOf(err, errcode.OutcomeUnknown), Text: errcode.Text(err)}
		return &ControlResponse{Outcome: outcome}
	}
	return response
}
