package controlplane

import (
	"context"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/controlplane/observation"
	"coursepass/internal/controlplane/pause"
	"coursepass/internal/controlplane/replication"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

// A request for a change may wait in a suspended server or on a link, on any hop to the leader, while its caller gives
// up and has a contrary request acknowledged by way of other servers. It must then not take effect any more. Requests
// that name the state which they build on are compared with it by the state machine. All others are guarded by the log:
// the server that takes the request from its caller attaches a committed log index, and the leader rejects the request
// if its subject was changed after that index, see replication.Change. The index is the one that was observed on the
// caller's connection before the caller can have sent the request, see package observation. A request that this process
// makes itself observes the index when it is made.

const (
	// callerPatience is the time after which callers give up a request and turn to another server.
	callerPatience = clock.Second
	// observationTimeout is the maximum time that a server without a slot waits for the members' log index. A request
	// may have waited in a socket for pause.Threshold without being noticed, and the index must be one that was read
	// before the caller gave up.
	observationTimeout = callerPatience - pause.Threshold
)

// isUnconditionalChange reports whether a request changes something whatever was changed before it.
func (c *ControlRequest) isUnconditionalChange() bool {
	if c.Engines != nil {
		return true
	}
	return c.Configure != nil && c.Configure.Commutes()
}

// Execute executes a request that a caller has sent to this server, whichever server leads the shard. An error with code
// NotLeader or NoQuorum means that nothing was changed. After one with code OutcomeUnknown the request may still take
// effect.
func (s *Server) Execute(ctx context.Context, request *ControlRequest) (*ControlResponse, error) {
	if err := s.acceptChange(ctx, request); err != nil {
		return nil, err
	}
	return s.execute(ctx, request)
}

// acceptChange attaches a committed log index to an unconditional change that a caller has sent to this server. It
// returns an error if the request may have waited for longer than its caller, or if no member reported its index in
// time.
func (s *Server) acceptChange(ctx context.Context, request *ControlRequest) error {
	if !request.isUnconditionalChange() {
		return nil
	}
	if err := s.checkNotPaused(); err != nil {
		return err
	}
	shard := s.shards[request.shardIndex(s.Shards)]
	head, err := s.observeShard(ctx, shard, request)
	if err != nil {
		return err
	}
	if connection := observation.FromContext(ctx); connection != nil {
		head = connection.Head(shard.Index())
	}
	if head.Index == 0 {
		s.ChangesWithoutHead.Add(1)
		return errcode.Wrap(ErrOvertaken, errcode.NoQuorum, "nothing is known of the time at which the request was sent")
	}
	request.ObservedIndex = head.Index
	if request.Configure != nil {
		request.Configure.Observed = &config.Observation{Revision: head.Revision}
	}
	// A suspension between the first check and the observation would make the observation too late.
	return s.checkNotPaused()
}

// checkNotPaused returns an error if this server was suspended recently, because a request may have waited in its
// sockets since before the suspension.
func (s *Server) checkNotPaused() error {
	if !s.pauseDetector.RecentlyPaused(s.clock.Now()) {
		return nil
	}
	s.ChangesAfterPause.Add(1)
	return errcode.New(errcode.NoQuorum,
		"this server was suspended; the operation may be out of date and was not executed")
}

// observeShard returns the head of the request's shard: this server's own if it has a slot, and otherwise that of the
// member that answers first, to which the request is then forwarded.
func (s *Server) observeShard(
	parent context.Context, shard *replication.ShardReplica, request *ControlRequest,
) (observation.Head, error) {
	status := shard.PublishedStatus()
	if status != nil && status.Slot >= 0 {
		head := shard.CurrentHead()
		return observation.Head{Index: head.Index, Revision: head.Revision}, nil
	}
	ctx, cancel := context.WithTimeout(parent, observationTimeout.Duration())
	defer cancel()
	var addresses []string
	for _, member := range shard.Membership().Members {
		if !member.Vacant() && member.Address != s.self.Address {
			addresses = append(addresses, member.Address)
		}
	}
	heads := make(chan observedHead, len(addresses))
	for _, address := range addresses {
		go func() { heads <- s.fetchHead(ctx, address, shard.Index()) }()
	}
	for range addresses {
		if observed := <-heads; observed.err == nil {
			request.observedFrom = observed.address
			head := observation.Head{Index: observed.head.Index, Revision: observed.head.Revision}
			s.reportedHeads.record(shard.Index(), head)
			return head, nil
		}
	}
	return observation.Head{}, errcode.New(errcode.NotLeader,
		"no member of shard %d has reported its log index within %v", shard.Index(), observationTimeout.Duration())
}

// observedHead is a shard's head as the member at an address reported it, or the error of the call.
type observedHead struct {
	address string
	head    controlapi.ShardHead
	err     error
}

// fetchHead asks the member at an address for its head of a shard.
func (s *Server) fetchHead(ctx context.Context, address string, shard int) observedHead {
	target := transport.Target{Address: address, Procedure: controlapi.HeadsPath, Timeout: observationTimeout}
	response, err := transport.Call[controlapi.HeadsRequest, controlapi.HeadsResponse](
		ctx, s.internalTransport, target, &controlapi.HeadsRequest{From: s.Node},
	)
	if err == nil && (shard >= len(response.Heads) || response.Heads[shard].Slot < 0) {
		err = errcode.New(errcode.NotLeader, "%s has no slot of shard %d", address, shard)
	}
	if err != nil {
		return observedHead{address: address, err: err}
	}
	return observedHead{address: address, head: response.Heads[shard]}
}

// checkForwarded returns an error if a request that another server has forwarded must not be executed or forwarded
// again: if it may have waited here during a suspension, or if it is an unconditional change that observed nothing.
// Servers of earlier builds forward such changes.
func (s *Server) checkForwarded(request *ControlRequest) error {
	if !request.isUnconditionalChange() {
		return nil
	}
	if request.ObservedIndex == 0 && (request.Configure == nil || request.Configure.Observed == nil) {
		s.UnobservedChanges.Add(1)
		log.Warn().Str("server", s.Name).Str("origin", request.Origin).Msg("change without an observed log index rejected")
		return errcode.New(errcode.NoQuorum,
			"the request was taken by a server that attached no log index to it; the operation was not executed")
	}
	return s.checkNotPaused()
}

// configurationChange returns what a configuration request changes. Requests on routes compare labels and conflict with
// no other change.
func (s *Server) configurationChange(request config.Request, observedIndex uint64) replication.Change {
	change := replication.Change{Unconditional: request.Commutes(), ObservedIndex: observedIndex}
	switch request.Kind {
	case config.OperationEvacuate, config.OperationReturn:
		change.Subject = "zone " + request.Zone
		change.Harmless = func() bool { return s.isHarmlessZoneRequest(request, observedIndex) }
	case config.OperationStartMaintenance, config.OperationCancelMaintenance:
		change.Subject = "region " + request.Window.Region
	case config.OperationApply:
		// A document ends the evacuation of the zones that it does not name.
		change.Subject = replication.AllSubjects
	default:
		// Other operations build on a revision or a label, and change neither zones nor regions.
	}
	return change
}

// isHarmlessZoneRequest reports whether the zone is already in the requested state, or nothing at all has changed since
// the request was taken. The revision serves requests that an earlier build took, which name no log index: each
// accepted change of a zone increments it. isHarmlessZoneRequest must be called in the loop of shard 0.
func (s *Server) isHarmlessZoneRequest(request config.Request, observedIndex uint64) bool {
	view := s.configuration.View()
	if view.IsEvacuated(request.Zone) == (request.Kind == config.OperationEvacuate) {
		return true
	}
	return observedIndex == 0 && request.Observed != nil && request.Observed.Revision == view.Revision
}

// engineChange returns what a request on an engine changes.
func (s *Server) engineChange(shard int, request *ControlRequest) replication.Change {
	operation := *request.Engines
	return replication.Change{
		Subject:       "engine " + operation.Engine.Name,
		Unconditional: true,
		ObservedIndex: request.ObservedIndex,
		Harmless:      func() bool { return s.isHarmlessEngineRequest(shard, operation) },
	}
}

// isHarmlessEngineRequest reports whether the engine is registered or draining as requested. It must be called in the
// loop of the shard.
func (s *Server) isHarmlessEngineRequest(shard int, operation registry.Operation) bool {
	registered, known := s.engineStates[shard-1].Engines[operation.Engine.Name]
	if !known {
		return false
	}
	if operation.Kind == registry.OperationDrain {
		return registered.Draining
	}
	return registered.Incarnation == operation.Engine.Incarnation
}
