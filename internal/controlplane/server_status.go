package controlplane

import (
	"coursepass/internal/clock"
	"coursepass/internal/state/registry"
)

// ServerStatus is the status of a server and its shards.
type ServerStatus struct {
	Name     string           `json:"name"`
	Zone     string           `json:"hall"`
	Identity string           `json:"identity"`
	Shards   []Status         `json:"parts"`
	Counters map[string]int64 `json:"counters"`
}

// RouterStatus is a router that has asked this server for heads.
type RouterStatus struct {
	Name          string             `json:"name"`
	Zone          string             `json:"hall"`
	Public        string             `json:"public"`
	SinceLastSeen clock.Microseconds `json:"agoMicroseconds"`
	// ActiveCalls counts the calls under way at engines of regions under maintenance, by engine.
	ActiveCalls map[string]int `json:"live,omitempty"`
}

// FleetStatus is what a server knows of routers and, where it leads, of engines.
type FleetStatus struct {
	Routers []RouterStatus    `json:"routers"`
	Engines []registry.Report `json:"engines"`
}

func (s *Server) serverStatus() ServerStatus {
	summary := ServerStatus{Name: s.Name, Zone: s.Hall, Identity: s.self.Identity, Counters: s.counters()}
	for _, shard := range s.shards {
		status := shard.currentStatus()
		if status == nil {
			continue
		}
		shardStatus := *status
		if reservations := shard.reservations.Load(); reservations != nil {
			shardStatus.ReservationsComplete = reservations.isComplete(s.clock.Now())
		}
		summary.Shards = append(summary.Shards, shardStatus)
	}
	return summary
}

func (s *Server) fleetStatus() FleetStatus {
	fleet := FleetStatus{Routers: s.routerStatuses(), Engines: []registry.Report{}}
	for _, leader := range s.serviceLeaders {
		fleet.Engines = append(fleet.Engines, leader.recentReports()...)
	}
	return fleet
}

func (s *Server) routerStatuses() []RouterStatus {
	now := s.clock.Now()
	s.lock.Lock()
	defer s.lock.Unlock()
	statuses := []RouterStatus{}
	for _, router := range s.routers {
		statuses = append(statuses, RouterStatus{
			Name:          router.Name,
			Zone:          router.Hall,
			Public:        router.Public,
			SinceLastSeen: now - router.lastSeen,
			ActiveCalls:   router.activeCalls,
		})
	}
	return statuses
}
