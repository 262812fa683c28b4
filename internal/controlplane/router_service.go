package controlplane

import (
	"context"
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/gossip"
	"coursepass/internal/node"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

// Paths of the calls of routers.
const (
	HeadsPath         = "/core/heads"
	FailureReportPath = "/core/mishap"
	SnapshotOfferPath = "/core/copy"
)

const (
	// routerTimeout is how long a router may be silent until it has no share of the engines' capacity.
	routerTimeout = 3 * clock.Second
	// routerRetention is how long a silent router is shown to operators.
	routerRetention = 600 * clock.Second
)

// HeadsRequest asks for the heads of all shards.
type HeadsRequest struct {
	From node.Node
	// Soft asks a leader for the reports of its engines.
	Soft bool
	// Work has the busy time that the router caused at engines since its start.
	Work []registry.BusyTime
	// Live counts the calls under way at engines of regions under maintenance, by engine.
	Live map[string]int
}

// ShardHead is the head of a shard as one server knows it. A majority read counts only those with Current.
type ShardHead struct {
	gossip.Head
	Slot       int
	Epoch      uint64
	Current    bool
	Recovering bool
	// Offered is the highest index of a snapshot that a recovering server has been offered.
	Offered uint64
	// Claims is the incarnation of the slot's reservation store. Forgetful says that the store may not make
	// reservations yet, so that routers must tell it those that they hold.
	Claims    uint64
	Forgetful bool
}

// HeadsResponse has one server's heads of all shards, and the reports that were asked for.
type HeadsResponse struct {
	Parts []ShardHead
	Soft  []registry.Report
}

// SnapshotOffer has a router's snapshots of shards, for servers that lost their disks.
type SnapshotOffer struct{ Items []gossip.Update }

// SnapshotOfferResponse counts the well-formed snapshots.
type SnapshotOfferResponse struct{ Taken int }

// FailureReport says how a request failed at an engine.
type FailureReport struct {
	Service string
	Engine  string
	Run     string
	Stage   string
	// Streamed says that the caller has got tokens; Proved that the engine's own response shows that the
	// request did not start.
	Streamed bool
	Proved   bool
	// Blameless says that the engine responded and merely had no capacity.
	Blameless bool
	OneShot   bool
	Repeats   bool
	Tries     int
	Left      clock.Microseconds
}

// RetryDecision is the leader's decision on a failed request.
type RetryDecision struct {
	Owner bool
	Retry bool
	// Avoid names the engine that must not get the retry.
	Avoid string
	Round uint64
}

// routerRecord is what a server knows of a router by its last call.
type routerRecord struct {
	node.Node
	lastSeen    clock.Microseconds
	work        []registry.BusyTime
	activeCalls map[string]int
}

func (s *Server) recordRouter(request *HeadsRequest) {
	router := request.From
	if router.Role != node.RoleRouter || router.Name == "" {
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.routers[router.Name] = routerRecord{
		Node:        router,
		lastSeen:    s.clock.Now(),
		work:        request.Work,
		activeCalls: request.Live,
	}
}

// activeRouters returns the sorted names of the routers that have called lately, and forgets those that have
// been silent for routerRetention.
func (s *Server) activeRouters(now clock.Microseconds) []string {
	s.lock.Lock()
	defer s.lock.Unlock()
	var names []string
	for name, record := range s.routers {
		switch {
		case now-record.lastSeen > routerRetention:
			delete(s.routers, name)
		case now-record.lastSeen <= routerTimeout:
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// reportedWork returns the busy times that active routers have reported, by router. They are cumulative.
func (s *Server) reportedWork(now clock.Microseconds) map[string][]registry.BusyTime {
	s.lock.Lock()
	defer s.lock.Unlock()
	workByRouter := map[string][]registry.BusyTime{}
	for name, record := range s.routers {
		if now-record.lastSeen <= routerTimeout {
			workByRouter[name] = record.work
		}
	}
	return workByRouter
}

func (s *Server) registerRouterHandlers() {
	transport.Handle(s.internalTransport, HeadsPath, func(
		_ context.Context, request *HeadsRequest,
	) (*HeadsResponse, error) {
		return s.handleHeads(request), nil
	})
	transport.Handle(s.internalTransport, SnapshotOfferPath, func(
		ctx context.Context, request *SnapshotOffer,
	) (*SnapshotOfferResponse, error) {
		return s.handleSnapshotOffer(ctx, request), nil
	})
	transport.Handle(s.internalTransport, FailureReportPath, func(
		_ context.Context, request *FailureReport,
	) (*RetryDecision, error) {
		return s.handleFailureReport(request), nil
	})
}

func (s *Server) handleHeads(request *HeadsRequest) *HeadsResponse {
	s.zoneMeter.SetZone(request.From.Inner, request.From.Hall)
	s.recordRouter(request)
	response := &HeadsResponse{}
	for _, shard := range s.shards {
		response.Parts = append(response.Parts, shard.currentHead())
	}
	if request.Soft {
		for _, leader := range s.serviceLeaders {
			response.Soft = append(response.Soft, leader.recentReports()...)
		}
	}
	return response
}

// currentHead returns the head as of now. It is not current before the replica has started.
func (r *shardReplica) currentHead() ShardHead {
	head := ShardHead{Head: gossip.Head{Part: r.index}}
	if status := r.currentStatus(); status != nil {
		head.Slot, head.Epoch = status.Slot, status.Epoch
		head.Current, head.Recovering = status.UpToDate, status.CatchingUp
		head.Index, head.Sequence = status.CommitIndex, status.Revision
		head.Offered = r.offeredIndex.Load()
	}
	if reservations := r.reservations.Load(); reservations != nil {
		head.Claims = reservations.incarnation
		head.Forgetful = !reservations.isComplete(r.server.clock.Now())
	}
	return head
}

func (s *Server) handleSnapshotOffer(ctx context.Context, offer *SnapshotOffer) *SnapshotOfferResponse {
	response := &SnapshotOfferResponse{}
	for _, update := range offer.Items {
		if update.Part >= 0 && update.Part < len(s.shards) && len(update.Data) > 0 {
			s.shards[update.Part].offerSnapshot(ctx, update)
			response.Taken++
		}
	}
	return response
}

func (s *Server) handleFailureReport(failure *FailureReport) *RetryDecision {
	leader := s.serviceLeaders[ServiceShard(failure.Service, s.Shards)-1]
	return leader.decideRetry(*failure)
}
