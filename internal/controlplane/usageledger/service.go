package usageledger

import (
	"context"
	"sync"
	"sync/atomic"

	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/timesync"
	"coursepass/internal/transport"
	"coursepass/internal/usage"
)

// Options configures a Service.
type Options struct {
	Transport *transport.Internal
	TrueTime  *timesync.Clock
	// Incarnation identifies the present run of the server. Zone is the server's zone.
	Incarnation uint64
	Zone        string
	Windows     usage.Windows
	// ZoneServers returns the internal addresses of the servers in the zone, including this one.
	ZoneServers func() []string
}

// Service maintains the usage ledger of a server and answers requests for it.
type Service struct {
	options Options
	// Late counts the requests of callers that were reported after their window had been collected. Dropped counts
	// the reported counts that were rejected because their window was too old or too far in the future, or because
	// the ledger was full.
	Late    atomic.Int64
	Dropped atomic.Int64

	// lock guards ledger.
	lock   sync.Mutex
	ledger *usage.Ledger
}

// NewService returns a service with an empty ledger, and registers its handlers at the transport.
func NewService(options Options) *Service {
	service := &Service{options: options, ledger: usage.NewLedger(options.Windows)}
	transport.Handle(options.Transport, controlapi.UsageReportPath, func(
		_ context.Context, report *usage.Report,
	) (*controlapi.UsageReportResponse, error) {
		return service.mergeReport(report), nil
	})
	transport.Handle(options.Transport, controlapi.UsageDigestsPath, func(
		_ context.Context, request *controlapi.UsageDigestsRequest,
	) (*controlapi.UsageDigestsResponse, error) {
		return service.Digests(request), nil
	})
	transport.Handle(options.Transport, controlapi.UsageCountsPath, func(
		_ context.Context, request *controlapi.UsageCountsRequest,
	) (*controlapi.UsageCountsResponse, error) {
		return service.Collect(request), nil
	})
	return service
}

// mergeReport merges a router's report into the ledger. The response carries what routers need from the server: its
// incarnation, wall clock and zone, and the servers of the zone.
func (s *Service) mergeReport(report *usage.Report) *controlapi.UsageReportResponse {
	s.lock.Lock()
	result := s.ledger.Merge(s.options.TrueTime.Now(), *report)
	s.lock.Unlock()
	s.Late.Add(int64(result.Late))
	s.Dropped.Add(int64(result.Dropped))
	return &controlapi.UsageReportResponse{
		Incarnation: s.options.Incarnation,
		WallClock:   int64(s.options.TrueTime.WallClock()),
		Zone:        s.options.Zone,
		Servers:     s.options.ZoneServers(),
	}
}

// Digests returns digests of the counts that the ledger has for a window.
func (s *Service) Digests(request *controlapi.UsageDigestsRequest) *controlapi.UsageDigestsResponse {
	s.lock.Lock()
	defer s.lock.Unlock()
	return &controlapi.UsageDigestsResponse{Digests: s.ledger.Digests(request.Window)}
}

// Collect returns, for each requested group of reporters, the sum of their counts in a window. The window counts as
// collected from then on.
func (s *Service) Collect(request *controlapi.UsageCountsRequest) *controlapi.UsageCountsResponse {
	s.lock.Lock()
	defer s.lock.Unlock()
	response := &controlapi.UsageCountsResponse{}
	for _, group := range request.Groups {
		response.Sums = append(response.Sums, s.ledger.Collect(request.Window, group))
	}
	return response
}
