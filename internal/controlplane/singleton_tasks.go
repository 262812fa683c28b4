package controlplane

import (
	"context"

	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/controlplane/replication"
	"coursepass/internal/controlplane/singleton"
	"coursepass/internal/platformport"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

func newSingletonRunner(server *Server, shard *replication.ShardReplica, engines *registry.State) *singleton.Runner {
	return singleton.NewRunner(singleton.Options{
		Server:    server.Name,
		Clock:     server.clock,
		Transport: transport.Options{Network: server.internalTransport.Network, Meter: server.meter},
		Shard:     shard,
		Outbox:    engines.Outbox,
	})
}

// SingletonTasks are the calls to the platform that one daemon of the fleet makes at a time.
type SingletonTasks struct {
	Calls platformport.SingletonCalls
	// CallsPerSecond is how many calls all servers together may make; 0 means that no limit is known.
	CallsPerSecond float64
	// Tasks returns the tasks of the leader of a service shard. All entries of a subject must be of one shard.
	Tasks func(shard int) []singleton.Task
}

// AttachSingletonTasks has this server make singleton calls for the service shards that it leads. It must be
// called before Run. Without tasks for a shard nothing is done for it.
func (s *Server) AttachSingletonTasks(tasks SingletonTasks) {
	for position, runner := range s.singletonRunners {
		runner.Attach(singleton.Assignment{
			Calls:          tasks.Calls,
			Tasks:          tasks.Tasks(position + 1),
			CallsPerSecond: tasks.CallsPerSecond / float64(len(s.singletonRunners)),
		})
	}
}

// outboxStatus returns the outboxes of all service shards as this server knows them.
func (s *Server) outboxStatus(ctx context.Context) []controlapi.OutboxStatus {
	statuses := []controlapi.OutboxStatus{}
	for _, runner := range s.singletonRunners {
		statuses = append(statuses, runner.Status(ctx))
	}
	return statuses
}
