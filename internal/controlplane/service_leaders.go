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

// Attach makes the server read the engines from a directory instead of polling each engine, and set the roles of
// engines through commandSender. It must be called before Run.
func (s *Server) Attach(directory platformport.Directory, commandSender platformport.EngineCommands) {
	for _, leader := range s.serviceLeaders {
		leader.Attach(directory, commandSender)
	}
}

// fleetView provides the leader's tasks with what a server knows of the fleet.
type fleetView struct{ server *Server }

var (
	_ leadertasks.Fleet   = fleetView{}
	_ capacityorder.Fleet = fleetView{}
)

// ReadConfiguration returns the applied configuration, or false if the context ended before it was read.
func (f fleetView) ReadConfiguration(ctx context.Context) (config.View, bool) {
	var view config.View
	if !f.server.shards[0].RunInLoop(ctx, func() { view = f.server.configuration.View() }) {
		return config.View{}, false
	}
	return view, true
}

// ActiveRouters returns the sorted names of the routers that called this server within routerTimeout.
func (f fleetView) ActiveRouters(now clock.Microseconds) []string { return f.server.activeRouters(now) }

// ActiveRouterNodes returns the nodes of the active routers, sorted by name.
func (f fleetView) ActiveRouterNodes(now clock.Microseconds) []node.Node {
	return f.server.activeRouterNodes(now)
}

// ReportedWork returns the cumulative busy times that each active router has reported, by router name.
func (f fleetView) ReportedWork(now clock.Microseconds) map[string][]registry.BusyTime {
	return f.server.reportedBusyTimes(now)
}

// RouterReports returns the last report of each router that has a record, including inactive routers.
func (f fleetView) RouterReports() []autoscale.RouterReport { return f.server.routerReports() }

// ZoneUnavailable reports whether a zone is evacuated or draining.
func (f fleetView) ZoneUnavailable(configuration *config.View, zone string) bool {
	return f.server.zoneUnavailable(configuration, zone)
}

// AppliesAssignmentChanges reports whether the builds of all members of a shard are known to apply assignment changes.
func (f fleetView) AppliesAssignmentChanges(shard int) bool {
	return f.server.membersSupport(shard, messaging.FeatureAssignmentChange)
}
