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

// Paths of the procedures that routers call.
const (
	HeadsPath         = "/core/heads"
	FailureReportPath = "/core/mishap"
	SnapshotOfferPath = "/core/copy"
)

// HeadsRequest asks for the heads of all parts.
type HeadsRequest struct {
	From node.Node
	// Soft asks a leader for what its engines told it.
	Soft bool
	// Work is what the router had engines do since it started.
	Work []registry.BusyTime
	// Live counts the calls under way at engines of regions under notice, by engine.
	Live map[string]int
}

// ShardHead is a part's head as one core knows it. Only a current one counts in a
// majority read.
type ShardHead struct {
	gossip.Head
	Slot       int
	Epoch      uint64
	Current    bool
	Recovering bool
	// Offered is the highest index of which a recovering core already has a copy.
	Offered uint64
	// Claims is the life of the seat's registry of claims; Forgetful says that it may
	// not grant yet, so that routers tell it the claims that they hold.
	Claims    uint64
	Forgetful bool
}

// HeadsResponse is one core's heads.
type HeadsResponse struct {
	Parts []ShardHead
	Soft  []registry.Report
}

// SnapshotOffer are a router's copies of parts, for cores that lost their disks.
type SnapshotOffer struct{ Items []gossip.Update }

// SnapshotOfferResponse is an empty answer.
type SnapshotOfferResponse struct{ Taken int }

// FailureReport is what a router reports when an engine failed a request.
type FailureReport struct {
	Service string
	Engine  string
	Run     string
	Stage   string
	// Streamed says that tokens reached the caller; Proved that the engine's own
	// answer shows that it did not start.
	Streamed bool
	Proved   bool
	// Blameless says that the engine answered and only had nothing to give.
	Blameless bool
	OneShot   bool
	Repeats   bool
	Tries     int
	Left      clock.Microseconds
}

// RetryDecision is the leader's decision on a trouble.
type RetryDecision struct {
	Owner bool
	Retry bool
	Avoid string
	Round uint64
}

const (
	// routerTimeout is how long a router may not ask until it has no share in the engines' room.
	routerTimeout = 3 * clock.Second
	// routerRetention is how long operators are told of one that does not ask any more.
	routerRetention = 600 * clock.Second
)

type routerRecord struct {
	node.Node
	lastSeen    clock.Microseconds
	work        []registry.BusyTime
	activeCalls map[string]int
}

func (s *Server) recordRouter(from node.Node, work []registry.BusyTime, activeCalls map[string]int) {
	if from.Role != node.RoleRouter || from.Name == "" {
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.routers[from.Name] = routerRecord{from, s.clock.Now(), work, activeCalls}
}

// activeRouters are the routers that have asked for heads lately, in order.
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

func (s *Server) registerRouterHandlers() {
	transport.Handle(s.internalTransport, HeadsPath, func(_ context.Context, request *HeadsRequest) (*HeadsResponse, error) {
		s.zoneMeter.SetZone(request.From.Inner, request.From.Hall)
		s.recordRouter(request.From, request.Work, request.Live)
		response := &HeadsResponse{}
		for _, shard := range s.shards {
			head := ShardHead{Head: gossip.Head{Part: shard.index}}
			if status := shard.currentStatus(); status != nil {
				head.Slot, head.Epoch = status.Slot, status.Epoch
				head.Current, head.Recovering = status.UpToDate, status.CatchingUp
				head.Index, head.Sequence = status.CommitIndex, status.Revision
				head.Offered = shard.offeredIndex.Load()
			}
			if reservations := shard.reservations.Load(); reservations != nil {
				head.Claims, head.Forgetful = reservations.incarnation, !reservations.isComplete(s.clock.Now())
			}
			response.Parts = append(response.Parts, head)
		}
		if request.Soft {
			for _, leader := range s.serviceLeaders {
				response.Soft = append(response.Soft, leader.recentReports()...)
			}
		}
		return response, nil
	})
	transport.Handle(s.internalTransport, SnapshotOfferPath, func(ctx context.Context, offer *SnapshotOffer) (*SnapshotOfferResponse, error) {
		response := &SnapshotOfferResponse{}
		for _, update := range offer.Items {
			if update.Part >= 0 && update.Part < len(s.shards) && len(update.Data) > 0 {
				s.shards[update.Part].offerSnapshot(ctx, update)
				response.Taken++
			}
		}
		return response, nil
	})
	transport.Handle(s.internalTransport, FailureReportPath, func(_ context.Context, failure *FailureReport) (*RetryDecision, error) {
		return s.serviceLeaders[ServiceShard(failure.Service, s.Shards)-1].decideRetry(*failure), nil
	})
}
