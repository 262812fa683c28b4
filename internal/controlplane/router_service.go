package controlplane

import (
	"cmp"
	"context"
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/autoscale"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/node"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
	"coursepass/internal/wireform"
)

const (
	// routerTimeout is the maximum time since the last call of an active router. Other routers get no share of the
	// engines' capacity.
	routerTimeout = 3 * clock.Second
	// routerRetention is the time after a router's last call for which the router is shown to operators.
	routerRetention = 600 * clock.Second
)

// routerRecord holds what a router reported in its last call.
type routerRecord struct {
	node.Node
	lastSeen    clock.Microseconds
	busyTimes   []registry.BusyTime
	activeCalls map[string]int
}

func (s *Server) recordRouter(request *controlapi.HeadsRequest) {
	router := request.From
	if router.Role != node.RoleRouter || router.Name == "" {
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.routers[router.Name] = routerRecord{
		Node:        router,
		lastSeen:    s.clock.Now(),
		busyTimes:   wireform.Slice(request.BusyTimes, registry.BusyTimeWire.ToDomain),
		activeCalls: request.ActiveCalls,
	}
}

// activeRouters returns the sorted names of the active routers. It deletes the records of routers that have not called
// within routerRetention.
func (s *Server) activeRouters(now clock.Microseconds) []string {
	var names []string
	for _, router := range s.activeRouterNodes(now) {
		names = append(names, router.Name)
	}
	return names
}

// activeRouterNodes returns the nodes of the active routers, sorted by name. It deletes the records of routers that
// have not called within routerRetention.
func (s *Server) activeRouterNodes(now clock.Microseconds) []node.Node {
	s.lock.Lock()
	defer s.lock.Unlock()
	var routers []node.Node
	for name, record := range s.routers {
		switch {
		case now-record.lastSeen > routerRetention:
			delete(s.routers, name)
		case now-record.lastSeen <= routerTimeout:
			routers = append(routers, record.Node)
		}
	}
	slices.SortFunc(routers, func(left, right node.Node) int { return cmp.Compare(left.Name, right.Name) })
	return routers
}

// reportedBusyTimes returns the cumulative busy times that each active router has reported, by router name.
func (s *Server) reportedBusyTimes(now clock.Microseconds) map[string][]registry.BusyTime {
	s.lock.Lock()
	defer s.lock.Unlock()
	busyTimesByRouter := map[string][]registry.BusyTime{}
	for name, record := range s.routers {
		if now-record.lastSeen <= routerTimeout {
			busyTimesByRouter[name] = record.busyTimes
		}
	}
	return busyTimesByRouter
}

// routerReports returns the last report of each router that has a record, including inactive routers.
func (s *Server) routerReports() []autoscale.RouterReport {
	s.lock.Lock()
	defer s.lock.Unlock()
	reports := make([]autoscale.RouterReport, 0, len(s.routers))
	for name, record := range s.routers {
		reports = append(reports, autoscale.RouterReport{
			Router:     name,
			ReportedAt: record.lastSeen,
			BusyTimes:  record.busyTimes,
		})
	}
	return reports
}

func (s *Server) registerRouterHandlers() {
	transport.Handle(s.internalTransport, controlapi.HeadsPath, func(
		_ context.Context, request *controlapi.HeadsRequest,
	) (*controlapi.HeadsResponse, error) {
		return s.handleHeads(request), nil
	})
	transport.Handle(s.internalTransport, controlapi.SnapshotOfferPath, func(
		ctx context.Context, request *controlapi.SnapshotOffer,
	) (*controlapi.SnapshotOfferResponse, error) {
		return s.handleSnapshotOffer(ctx, request), nil
	})
	transport.Handle(s.internalTransport, controlapi.FailureReportPath, func(
		_ context.Context, request *controlapi.FailureReport,
	) (*controlapi.RetryDecision, error) {
		return s.handleFailureReport(request), nil
	})
}

func (s *Server) handleHeads(request *controlapi.HeadsRequest) *controlapi.HeadsResponse {
	s.meter.SetDaemonZone(request.From.InternalAddress, request.From.Zone)
	s.recordRouter(request)
	response := &controlapi.HeadsResponse{}
	for _, shard := range s.shards {
		response.Heads = append(response.Heads, shard.CurrentHead())
	}
	if request.WantReports {
		for _, leader := range s.serviceLeaders {
			reports := wireform.Slice(leader.RecentReports(), registry.Report.ToWire)
			response.EngineReports = append(response.EngineReports, reports...)
		}
	}
	return response
}

func (s *Server) handleSnapshotOffer(
	ctx context.Context, offer *controlapi.SnapshotOffer,
) *controlapi.SnapshotOfferResponse {
	response := &controlapi.SnapshotOfferResponse{}
	for _, update := range offer.Updates {
		if update.Shard >= 0 && update.Shard < len(s.shards) && len(update.Data) > 0 {
			s.shards[update.Shard].OfferSnapshot(ctx, update)
			response.Taken++
		}
	}
	return response
}

func (s *Server) handleFailureReport(failure *controlapi.FailureReport) *controlapi.RetryDecision {
	leader := s.serviceLeaders[controlapi.ServiceShard(failure.Service, s.Shards)-1]
	return leader.DecideRetry(*failure)
}
