package controlplane

import (
	"coursepass/internal/controlplane/autoscale"
	"coursepass/internal/controlplane/capacityorder"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/controlplane/singleton"
)

// NewCapacityTask creates the task that orders engines for a service shard, and includes the task in the status of
// this server. It must be called at most once for each shard, and before Run.
func (s *Server) NewCapacityTask(shard int, codec capacityorder.Codec) singleton.Task {
	task := capacityorder.NewTask(capacityorder.Options{
		Server:        s.Name,
		Fleet:         fleetView{s},
		Shard:         s.shards[shard],
		Shards:        s.Shards,
		Engines:       s.engineStates[shard-1],
		EnginesReadAt: s.serviceLeaders[shard-1].DirectoryReadAt,
		Codec:         codec,
		Policy:        autoscale.DefaultOptions(),
		Counters:      &s.capacityCounters,
	})
	s.capacityTasks = append(s.capacityTasks, task)
	return task
}

// capacityStatus returns the target numbers of engines for the service shards that this server leads.
func (s *Server) capacityStatus() []controlapi.CapacityStatus {
	statuses := []controlapi.CapacityStatus{}
	for _, task := range s.capacityTasks {
		statuses = append(statuses, task.Status()...)
	}
	return statuses
}
