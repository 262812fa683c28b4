package controlplane

import "coursepass/internal/controlplane/membership"

// newMembershipService creates the membership service of all shards.
func newMembershipService(server *Server) *membership.Service {
	var shards []membership.Shard
	for _, shard := range server.shards {
		shards = append(shards, shard)
	}
	return membership.NewService(membership.Options{
		Self:          server.self,
		Transport:     server.internalTransport,
		Clock:         server.clock,
		Gossip:        server.gossip,
		Shards:        shards,
		Slots:         server.ShardReplicas(),
		LeaseDuration: server.LeaseDuration(),
		ZoneDraining:  server.zoneDraining,
		ReplaceMember: server.ReplaceMember,
		ForceReplace:  server.ForceReplace,
		Standby:       server.Standby,
		NonMember:     server.NonMember,
	})
}
