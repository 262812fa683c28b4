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

// Options of a service.
type Options struct {
	Transport *transport.Internal
	TrueTime  *timesync.Clock
	// Incarnation and Zone are the server's.
	Incarnation uint64
	Zone        string
	Windows     usage.Windows
	// ZoneServers returns the internal addresses of the servers in the zone, this one included.
	ZoneServers func() []string
}

// Service keeps a ledger.
type Service struct {
	options Options
	// Late counts requests that were reported after their window had been collected, Dropped counts of windows that
	// are too old or too far ahead, or for which there was no space.
	Late    atomic.Int64
	Dropped atomic.Int64

	// lock guards ledger.
	lock   sync.Mutex
	ledger *usage.Ledger
}

// NewService makes a service with an empty ledger, and registers its handlers.
func NewService(options Options) *Service {
	service := &Service{options: options, ledger: usage.NewLedger(options.Windows)}
	transport.Handle(options.Transport, controlapi.UsageReportPath, func(
		_ context.Context, report *usage.Report,
	) (*controlapi.UsageReportResponse, error) {
		return service.takeReport(report), nil
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

func (s *Service) takeReport(report *usage.Report) *controlapi.UsageReportResponse {
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

// Digests stands for what the ledger has of a window.
func (s *Service) Digests(request *controlapi.UsageDigestsRequest) *controlapi.UsageDigestsResponse {
	s.lock.Lock()
	defer s.lock.Unlock()
	return &controlapi.UsageDigestsResponse{Digests: s.ledger.Digests(request.Window)}
}

// Collect returns sums of what the ledger has of a window, which counts as collected from then on.
func (s *Service) Collect(request *controlapi.UsageCountsRequest) *controlapi.UsageCountsResponse {
	s.lock.Lock()
	defer s.lock.Unlock()
	response := &controlapi.UsageCountsResponse{}
	for _, group := range request.Groups {
		response.Sums = append(response.Sums, s.ledger.Collect(request.Window, group))
	}
	return response
}
