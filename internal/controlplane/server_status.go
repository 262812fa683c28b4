package controlplane

import (
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/state/registry"
)

func (s *Server) serverStatus() controlapi.ServerStatus {
	used := s.resourceSnapshot()
	summary := controlapi.ServerStatus{
		Name:      s.Name,
		Zone:      s.Zone,
		Identity:  s.self.Identity,
		Counters:  s.counters(),
		Resources: &used,
	}
	for _, shard := range s.shards {
		status := shard.CurrentStatus()
		if status == nil {
			continue
		}
		shardStatus := *status
		if store := shard.Reservations(); store != nil {
			shardStatus.ReservationsComplete = store.IsComplete(s.clock.Now())
		}
		summary.Shards = append(summary.Shards, shardStatus)
	}
	return summary
}

func (s *Server) fleetStatus() controlapi.FleetStatus {
	fleet := controlapi.FleetStatus{Routers: s.routerStatuses(), Engines: []registry.Report{}}
	for _, leader := range s.serviceLeaders {
		fleet.Engines = append(fleet.Engines, leader.RecentReports()...)
	}
	return fleet
}

func (s *Server) routerStatuses() []controlapi.RouterStatus {
	now := s.clock.Now()
	s.lock.Lock()
	defer s.lock.Unlock()
	statuses := []controlapi.RouterStatus{}
	for _, router := range s.routers {
		statuses = append(statuses, controlapi.RouterStatus{
			Name:          router.Name,
			Zone:          router.Zone,
			Public:        router.PublicAddress,
			SinceLastSeen: now - router.lastSeen,
			ActiveCalls:   router.activeCalls,
		})
	}
	return statuses
}
