// Package controlplane implements the control-plane server. Each server stores replicas of the fleet's shards on disk
// and takes part in the leader election of each shard. Shard 0 holds the configuration. Every other shard is a service
// shard: it holds the registry of the engines of the services that controlapi.ServiceShard maps to it. The leader of a
// service shard also runs the leader's tasks: it monitors the engines, assigns roles and pairs to them, sends them
// commands, and decides whether failed requests are retried.
//
// New creates a server from Settings. If a directory lists the engines, Attach must be called next. Run serves until
// its context ends. A server that is never run must be closed with Discard.
//
// The parts of a Server:
//
//   - replication.ShardReplica runs the consensus replica of one shard in an event loop. Only functions that run in
//     this loop may access the replica or the state machine.
//   - leadertasks.ServiceLeader runs the leader's tasks for one service shard.
//   - messaging.Sender sends the messages of all shards to one other server.
//   - membership.Service requests slots for this server, and assigns the slots of the shards that this server leads.
//   - reservations.Service serves the reservations of idempotency keys that are stored at this server's slots.
//   - The handlers of the internal transport serve other servers and routers; wire.go lists their paths. The handlers
//     of the public HTTP interface serve operators and the platform.
//
// An operation may be submitted to any server. A server that does not lead the shard forwards the operation, see
// Server.execute.
package controlplane
