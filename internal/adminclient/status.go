package adminclient

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/dataplane/router"
	"coursepass/internal/errcode"
	"coursepass/internal/metrics/resources"
	"coursepass/internal/state/registry"
)

// configurationShard is the shard that holds the configuration.
const configurationShard = 0

const (
	bytesPerKiB = 1 << 10
	bytesPerMiB = 1 << 20
)

// Status is the command that prints the state of the fleet: what each control plane server
// reports of itself, and every router and engine that the servers know.
type Status struct{ Client }

// Run asks each server by itself, and then each router that one of them has heard of.
func (s *Status) Run() error {
	known := newKnownFleet()
	reached := 0
	for _, address := range s.Cores {
		client := s.clientFor(address)
		var overview controlapi.ServerStatus
		if err := client.Get("/v1/status", &overview); err != nil {
			fmt.Printf("%s: %s\n", address, errcode.Text(err))
			continue
		}
		reached++
		printServer(address, overview)
		known.addShards(overview.Shards)
		var fleetStatus controlapi.FleetStatus
		if client.Get("/v1/fleet", &fleetStatus) == nil {
			known.addDaemons(fleetStatus)
		}
	}
	if reached == 0 {
		return errcode.New(errcode.ConnectionLost, "no core answered")
	}
	for _, name := range slices.Sorted(maps.Keys(known.routers)) {
		s.printRouter(known.routers[name], known.latestRevision)
	}
	for _, name := range slices.Sorted(maps.Keys(known.engines)) {
		printEngine(known.engines[name])
	}
	s.printMaintenance(known.routers)
	if len(known.engines) == 0 {
		fmt.Println("no core that was asked leads a service: engines are unknown")
	}
	return nil
}

// clientFor returns a client that asks one daemon, once.
func (s *Status) clientFor(address string) Client {
	return Client{Cores: []string{address}, Network: s.Network}
}

// knownFleet joins what the servers report of the fleet.
type knownFleet struct {
	// latestRevision is the highest revision of the configuration that an up-to-date server has.
	latestRevision uint64
	// routers holds the latest report of each router, and engines one of each engine, by name.
	routers map[string]controlapi.RouterStatus
	engines map[string]registry.Report
}

func newKnownFleet() *knownFleet {
	return &knownFleet{
		routers: map[string]controlapi.RouterStatus{},
		engines: map[string]registry.Report{},
	}
}

// addShards takes the revision of the configuration from one server's shards.
func (k *knownFleet) addShards(shards []controlapi.ShardStatus) {
	for _, shard := range shards {
		if shard.Shard == configurationShard && shard.UpToDate {
			k.latestRevision = max(k.latestRevision, shard.Revision)
		}
	}
}

// addDaemons adds the routers and engines that one server knows.
func (k *knownFleet) addDaemons(fleetStatus controlapi.FleetStatus) {
	for _, entry := range fleetStatus.Routers {
		previous, exists := k.routers[entry.Name]
		if !exists || entry.SinceLastSeen < previous.SinceLastSeen {
			k.routers[entry.Name] = entry
		}
	}
	for _, entry := range fleetStatus.Engines {
		k.engines[entry.Name] = entry
	}
}

// printServer prints a control plane server and a line for each of its shard replicas.
func printServer(address string, overview controlapi.ServerStatus) {
	fmt.Printf("core %s  %s  zone %s  identity %s  reservations %d\n",
		overview.Name, address, overview.Zone, overview.Identity, overview.Counters["claims"])
	for _, shard := range overview.Shards {
		fmt.Printf("  shard %d  slot %d  epoch %d  leader %d  term %d  owner %t  current %t  catching up %t",
			shard.Shard, shard.Slot, shard.Epoch, shard.Leader, shard.Term, shard.Owner, shard.UpToDate, shard.CatchingUp)
		fmt.Printf("  commit %d  revision %d  lease left %d ms\n",
			shard.CommitIndex, shard.Revision, shard.LeaseRemaining/clock.Millisecond)
		fmt.Print(copyLines(shard))
	}
	fmt.Print(usageLine(overview.Resources))
}

// copyLines says what the leader of a shard knows of the copies of its log, and for how long a server without a vote has
// received nothing of the log. It is empty for the others.
func copyLines(shard controlapi.ShardStatus) string {
	var lines strings.Builder
	if shard.CatchingUp {
		fmt.Fprintf(&lines, "    nothing received for %d ms\n", shard.SinceProgress/clock.Millisecond)
	}
	for _, replica := range shard.Copies {
		fmt.Fprintf(&lines, "    copy in slot %d  %s  %s  for %d s  missing entries %d  server %s\n",
			replica.Slot, replica.State, replica.Address, replica.Since/clock.Second, replica.MissingEntries, replica.Server)
	}
	return lines.String()
}

// usageLine says what a daemon has used since its start; it is empty if the daemon does not count that.
func usageLine(used *resources.Snapshot) string {
	if used == nil {
		return ""
	}
	open, opened := used.OpenConnections()
	return fmt.Sprintf("  used in %.0f s  cpu %.1f s  resident %d MiB  control %d KiB  data %d KiB  connections %d of %d\n",
		used.Seconds, used.Process.CPUSeconds, used.Process.ResidentBytes/bytesPerMiB,
		used.TrafficBytes(resources.Control)/bytesPerKiB, used.TrafficBytes(resources.Data)/bytesPerKiB, open, opened)
}

func printEngine(report registry.Report) {
	fmt.Printf("engine %s  zone %s  role %s  version %s  running %d of %d  prefixes %d  draining %t  last term %d\n",
		report.Name, report.Zone, report.Role, report.Version, report.Running, report.Capacity, len(report.Prefixes),
		report.Draining || report.Drained, report.Term)
}

// printRouter prints what a router reports of itself, and its revision beside the latest one.
func (s *Status) printRouter(report controlapi.RouterStatus, latestRevision uint64) {
	var overview router.Status
	if err := s.clientFor(report.Public).Get("/v1/status", &overview); err != nil {
		fmt.Printf("router %s  %s  zone %s  last seen %d ms ago  does not answer\n",
			report.Name, report.Public, report.Zone, report.SinceLastSeen/clock.Millisecond)
		return
	}
	counters := overview.Counters
	fmt.Printf("router %s  %s  zone %s  %s  revision %d of %d",
		report.Name, report.Public, report.Zone, readiness(overview, latestRevision),
		overview.ActiveConfig.Revision, latestRevision)
	fmt.Printf("  finished %d  rejected %d  interrupted %d  keys %d  retries %d\n",
		counters["finished"], counters["declined"], counters["cut"], counters["keys"], counters["repeats"])
	fmt.Print(usageLine(overview.Resources))
}

// readiness says whether a router serves requests and whether its configuration is the latest.
func readiness(overview router.Status, latestRevision uint64) string {
	isLatest := overview.ActiveConfig.Revision >= latestRevision
	switch {
	case overview.Ready && isLatest:
		return "ready"
	case overview.Ready:
		return "ready, catching up"
	case isLatest:
		return "not ready"
	}
	return "STALE, not ready"
}

// printMaintenance prints the regions under maintenance, and the calls that still run there.
func (s *Status) printMaintenance(routers map[string]controlapi.RouterStatus) {
	var current controlapi.ConfigurationResponse
	if s.Get("/v1/configuration", &current) != nil {
		return
	}
	for _, entry := range current.MaintenanceWindows {
		fmt.Printf("region %s is being drained  phase %d  begins %d s after the request, for %d s  revision %d\n",
			entry.Region, entry.Phase, entry.StartsAfter/clock.Second, entry.Duration/clock.Second, entry.Revision)
	}
	if len(current.MaintenanceWindows) == 0 {
		return
	}
	activeCalls := map[string]int{}
	for _, entry := range routers {
		for name, count := range entry.ActiveCalls {
			activeCalls[name] += count
		}
	}
	for _, name := range slices.Sorted(maps.Keys(activeCalls)) {
		fmt.Printf("  engine %s still runs %d calls\n", name, activeCalls[name])
	}
	if len(activeCalls) == 0 {
		fmt.Println("  no router reports running calls there")
	}
}
