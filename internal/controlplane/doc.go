// Package controlplane is the control-plane server. Each server keeps replicas of the fleet's shards on
// its disk and takes part in their elections. Shard 0 is the configuration; the others are registries of
// engines, each for the services that controlapi.ServiceShard maps to it. Where a server leads a shard it also does
// the leader's tasks: it follows the engines, assigns roles and pairs to them, commands them, and decides
// on retries of failed requests.
//
// New makes a server from checked Settings; Attach, if engines are listed by a directory, comes next, and
// Run serves until its context ends. A server that is never run must be discarded with Discard.
//
// The parts of a Server:
//
//   - replication.ShardReplica drives the consensus replica of one shard in a loop of its own. Whatever
//     touches the replica or the state machine is put into that loop.
//   - leadertasks.ServiceLeader does the leader's tasks for one shard of services.
//   - messaging.Sender carries the messages of all shards to one other server.
//   - membership.Service asks for slots, and gives out those of the shards that this server leads.
//   - reservations.Service serves the reservations of one-shot keys at this server's slots.
//   - Handlers of the internal transport serve other servers and routers (paths in wire.go), those of the
//     public HTTP interface operators and the platform.
//
// An operation may be submitted at every server: one that does not lead forwards it, see Server.execute.
package controlplane
