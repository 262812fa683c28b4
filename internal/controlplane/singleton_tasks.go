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

// SingletonTasks configures the singleton calls: calls to the platform that only one server of the fleet makes at a
// time.
type SingletonTasks struct {
	Calls platformport.SingletonCalls
	// CallsPerSecond is the maximum number of calls per second of all servers together; 0 means that no limit is known.
	CallsPerSecond float64
	// Tasks returns the tasks that the leader of a service shard runs. All outbox entries of a subject must belong to
	// one shard.
	Tasks func(shard int) []singleton.Task
}

// AttachSingletonTasks makes this server run singleton tasks for the service shards that it leads. It must be called
// before Run. For a shard without tasks, the server makes no calls.
func (s *Server) AttachSingletonTasks(tasks SingletonTasks) {
	for position, runner := range s.singletonRunners {
		runner.Attach(singleton.Assignment{
			Calls:          tasks.Calls,
			Tasks:          tasks.Tasks(position + 1),
			CallsPerSecond: tasks.CallsPerSecond / float64(len(s.singletonRunners)),
		})
	}
}

// outboxStatus returns the status of the outbox of each service shard as known to this server.
func (s *Server) outboxStatus(ctx context.Context) []controlapi.OutboxStatus {
	statuses := []controlapi.OutboxStatus{}
	for _, runner := range s.singletonRunners {
		statuses = append(statuses, runner.Status(ctx))
	}
	return statuses
}
