package adminclient

import (
	"fmt"
	"maps"
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/dataplane/router"
	"coursepass/internal/errcode"
	"coursepass/internal/state/registry"
)

// Status prints the whole fleet: what each core says of itself, and every router and
// engine that the cores know.
type Status struct{ Client }

// Run asks every core by itself, and then every router that one of them has heard.
func (s *Status) Run() error {
	reached, latestRevision := 0, uint64(0)
	routers, engines := map[string]controlapi.RouterStatus{}, map[string]registry.Report{}
	for _, address := range s.Cores {
		var overview controlapi.ServerStatus
		if err := s.clientFor(address).Get("/v1/status", &overview); err != nil {
			fmt.Printf("%s: %s\n", address, errcode.Text(err))
			continue
		}
		reached++
		fmt.Printf("core %s  %s  hall %s  identity %s  claims %d\n", overview.Name, address, overview.Zone, overview.Identity, overview.Counters["claims"])
		for _, shard := range overview.Shards {
			fmt.Printf("  part %d  slot %d  epoch %d  leader %d  round %d  owner %t  current %t  recovering %t  commit %d  sequence %d  grant left %d ms\n",
				shard.Shard, shard.Slot, shard.Epoch, shard.Leader, shard.Term, shard.Owner, shard.UpToDate, shard.CatchingUp, shard.CommitIndex, shard.Revision, shard.LeaseRemaining/1000)
			if shard.Shard == 0 && shard.UpToDate {
				latestRevision = max(latestRevision, shard.Revision)
			}
		}
		var fleetStatus controlapi.FleetStatus
		if s.clientFor(address).Get("/v1/fleet", &fleetStatus) == nil {
			for _, entry := range fleetStatus.Routers {
				if previous, exists := routers[entry.Name]; !exists || entry.SinceLastSeen < previous.SinceLastSeen {
					routers[entry.Name] = entry
				}
			}
			for _, entry := range fleetStatus.Engines {
				engines[entry.Name] = entry
			}
		}
	}
	if reached == 0 {
		return errcode.New(errcode.ConnectionLost, "no core answered")
	}
	for _, name := range slices.Sorted(maps.Keys(routers)) {
		s.printRouter(routers[name], latestRevision)
	}
	for _, name := range slices.Sorted(maps.Keys(engines)) {
		entry := engines[name]
		fmt.Printf("engine %s  hall %s  part %s  version %s  running %d of %d  prefixes %d  draining %t  last round %d\n",
			entry.Name, entry.Hall, entry.Part, entry.Version, entry.Running, entry.Capacity, len(entry.Prefixes), entry.Draining || entry.Drained, entry.Round)
	}
	s.printMaintenance(routers)
	if len(engines) == 0 {
		fmt.Println("no core that was asked leads a service: nothing is told of engines")
	}
	return nil
}

// printMaintenance prints the regions under notice, and what routers have there still.
func (s *Status) printMaintenance(routers map[string]controlapi.RouterStatus) {
	var current controlapi.ConfigurationResponse
	if s.Get("/v1/configuration", &current) != nil {
		return
	}
	for _, entry := range current.MaintenanceWindows {
		fmt.Printf("region %s is drained  phase %d  begins %d s after it was told, over %d s  sequence %d\n",
			entry.Region, entry.Phase, entry.Begins/clock.Second, entry.Window/clock.Second, entry.Sequence)
	}
	if len(current.MaintenanceWindows) == 0 {
		return
	}
	live := map[string]int{}
	for _, entry := range routers {
		for name, count := range entry.ActiveCalls {
			live[name] += count
		}
	}
	for _, name := range slices.Sorted(maps.Keys(live)) {
		fmt.Printf("  engine %s still has %d calls under way\n", name, live[name])
	}
	if len(live) == 0 {
		fmt.Println("  no router tells of calls under way there")
	}
}

func (s *Status) clientFor(address string) Client {
	return Client{Cores: []string{address}, Network: s.Network}
}

// printRouter prints what one router works by, and how it stands against the cores.
func (s *Status) printRouter(report controlapi.RouterStatus, latestRevision uint64) {
	var overview router.Status
	if err := s.clientFor(report.Public).Get("/v1/status", &overview); err != nil {
		fmt.Printf("router %s  %s  hall %s  last heard %d ms ago  does not answer\n", report.Name, report.Public, report.Zone, report.SinceLastSeen/1000)
		return
	}
	state := "ready"
	switch {
	case !overview.Ready && overview.ActiveConfig.Revision < latestRevision:
		state = "STALE, not ready"
	case !overview.Ready:
		state = "not ready"
	case overview.ActiveConfig.Revision < latestRevision:
		state = "ready, catching up"
	}
	counters := overview.Counters
	fmt.Printf("router %s  %s  hall %s  %s  sequence %d of %d  finished %d  declined %d  cut %d  keys %d  repeats %d\n", report.Name, report.Public,
		report.Zone, state, overview.ActiveConfig.Revision, latestRevision, counters["finished"], counters["declined"], counters["cut"], counters["keys"], counters["repeats"])
}
