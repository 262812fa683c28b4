package controlplane

import (
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/controlplane/usageledger"
	"coursepass/internal/controlplane/usagereport"
	"coursepass/internal/platformport"
	"coursepass/internal/usage"
)

// UsageSettings configures the windows in which usage is counted, and the reports of usage.
type UsageSettings struct {
	Windows usage.Windows
	// Delay is the time after the end of a window at which its report is due.
	Delay clock.Microseconds
	// Encode encodes a report for the platform.
	Encode func(platformport.UsageReport) []byte
}

// EnableUsage makes this server store the usage that routers report, and returns the task that reports the usage to the
// platform. It must be called at most once, before Run.
func (s *Server) EnableUsage(usageSettings UsageSettings) *usagereport.Task {
	s.usageLedger = usageledger.NewService(usageledger.Options{
		Transport:   s.internalTransport,
		TrueTime:    s.trueTime,
		Incarnation: s.Incarnation,
		Zone:        s.Zone,
		Windows:     usageSettings.Windows,
		ZoneServers: s.zoneServers,
	})
	s.usageReport = usagereport.NewTask(usagereport.Options{
		Server:    s.Name,
		Address:   s.InternalAddress,
		Transport: s.internalTransport,
		TrueTime:  s.trueTime,
		Ledger:    s.usageLedger,
		Windows:   usageSettings.Windows,
		Delay:     usageSettings.Delay,
		Servers:   s.nearestServers,
		Encode:    usageSettings.Encode,
	})
	return s.usageReport
}

// zoneServers returns the addresses of the servers in this server's zone.
func (s *Server) zoneServers() []string {
	var addresses []string
	for _, server := range s.membership.Servers() {
		if server.Zone == s.Zone {
			addresses = append(addresses, server.Address)
		}
	}
	return addresses
}

// nearestServers returns the addresses of all servers: first this server, then the others in its zone, then the rest.
func (s *Server) nearestServers() []string {
	servers := s.membership.Servers()
	slices.SortStableFunc(servers, func(left, right consensus.Member) int {
		return int(s.distanceTo(left)) - int(s.distanceTo(right))
	})
	addresses := make([]string, 0, len(servers))
	for _, server := range servers {
		addresses = append(addresses, server.Address)
	}
	return addresses
}

// serverDistance ranks servers by their distance from this server, the nearest first.
type serverDistance int

const (
	distanceSelf serverDistance = iota
	distanceSameZone
	distanceOtherZone
)

func (s *Server) distanceTo(server consensus.Member) serverDistance {
	switch {
	case server.Address == s.InternalAddress:
		return distanceSelf
	case server.Zone == s.Zone:
		return distanceSameZone
	default:
		return distanceOtherZone
	}
}

// addUsageCounters adds the counters of usage, and of the true-time clock that assigns usage to windows.
func (s *Server) addUsageCounters(counters map[string]int64) {
	s.trueTime.AddCounters(counters)
	if s.usageLedger == nil {
		return
	}
	counters["usage-counted-late"] = s.usageLedger.Late.Load()
	counters["usage-counts-dropped"] = s.usageLedger.Dropped.Load()
	s.usageReport.AddCounters(counters)
}
