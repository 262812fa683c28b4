package controlplane

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/autoscale"
	"coursepass/internal/controlplane/capacityorder"
	"coursepass/internal/controlplane/leadertasks"
	"coursepass/internal/controlplane/messaging"
	"coursepass/internal/controlplane/replication"
	"coursepass/internal/node"
	"coursepass/internal/platformport"
	"coursepass/internal/state/config"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

func newServiceLeader(
	server *Server, shard *replication.ShardReplica, engines *registry.State,
) *leadertasks.ServiceLeader {
	return leadertasks.NewServiceLeader(leadertasks.Options{
		Server:                server.Name,
		Address:               server.InternalAddress,
		Clock:                 server.clock,
		Transport:             transport.Options{Network: server.internalTransport.Network, Meter: server.meter},
		Fleet:                 fleetView{server},
		Shard:                 shard,
		Engines:               engines,
		Shards:                server.Shards,
		DefaultPrefillPercent: server.DefaultPrefillPercent,
	})
}

// Attach makes the server follow a directory of engines instead of polling them, and set the roles of
// engines through the given port. It must be called before Run.
func (s *Server) Attach(directory platformport.Directory, commandSender platformport.EngineCommands) {
	for _, leader := range s.serviceLeaders {
		leader.Attach(directory, commandSender)
	}
}

// fleetView is the fleet as a server knows it, for the leader's tasks.
type fleetView struct{ server *Server }

var (
	_ leadertasks.Fleet   = fleetView{}
	_ capacityorder.Fleet = fleetView{}
)

// ReadConfiguration returns the applied configuration; false if the context ended before.
func (f fleetView) ReadConfiguration(ctx context.Context) (config.View, bool) {
	var view config.View
	if !f.server.shards[0].RunInLoop(ctx, func() { view = f.server.configuration.View() }) {
		return config.View{}, false
	}
	return view, true
}

// ActiveRouters returns the sorted names of the routers that have called lately.
func (f fleetView) ActiveRouters(now clock.Microseconds) []string { return f.server.activeRouters(now) }

// ActiveRouterNodes returns the same routers with their addresses.
func (f fleetView) ActiveRouterNodes(now clock.Microseconds) []node.Node {
	return f.server.activeRouterNodes(now)
}

// ReportedWork returns the busy times that active routers have reported, by router.
func (f fleetView) ReportedWork(now clock.Microseconds) map[string][]registry.BusyTime {
	return f.server.reportedWork(now)
}

// RouterReports returns the last report of each router that is remembered, also of silent ones.
func (f fleetView) RouterReports() []autoscale.RouterReport { return f.server.routerReports() }

// ZoneUnavailable tells whether a zone is evacuated or draining.
func (f fleetView) ZoneUnavailable(configuration *config.View, zone string) bool {
	return f.server.zoneUnavailable(configuration, zone)
}

// AppliesAssignmentChanges tells whether the builds of all members of a shard know changes of assignments.
func (f fleetView) AppliesAssignmentChanges(shard int) bool {
	return f.server.membersKnow(shard, messaging.FeatureAssignmentChange)
}
