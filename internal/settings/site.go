package settings

import (
	"net"
	"slices"
	"strconv"
	"strings"

	"coursepass/internal/clock"
	"coursepass/internal/transport"
)

// Site is what the place that a daemon runs in tells it. Addresses are IP numbers with
// ports.
type Site struct {
	Name   string
	Zone   string
	Region string
	// RegionByZone are all halls with their regions.
	RegionByZone map[string]string
	IP           string
	// FrontAddress, Ready and Control are where callers, probes and operators come; empty if the
	// daemon does not serve them.
	FrontAddress     string
	ReadinessAddress string
	ControlAddress   string
	// PortRange are the first and last that daemons may use among themselves.
	PortRange [2]int
	// Seeds are the control addresses of other daemons.
	Seeds []string
	// FirstStart is true at the first start of the whole fleet, on empty disks.
	FirstStart        bool
	DataDirectory     string
	MemoryBytes       int64
	CPUShare          float64
	ToleratedFailures int
	Directory         Directory
	Limits            Limits
}

// Directory is where engines are listed, how many calls a second it takes and how far it
// lags behind.
type Directory struct {
	Address           string
	RequestsPerSecond float64
	MaxLag            clock.Microseconds
}

// Limits are the lengths and shares that the place's rules give.
type Limits struct {
	LeaseDuration      clock.Microseconds
	GracePeriod        clock.Microseconds
	DrainTimeout       clock.Microseconds
	ContactTimeout     clock.Microseconds
	AcknowledgeTimeout clock.Microseconds
	RetryRatio         float64
	RetryBurst         float64
	WarmupOverrun      float64
	WarmupSlack        float64
}

// Offsets of the ports that daemons use among themselves, from the first free one.
const (
	coreInternalPort = iota
	routerInternalPort
	corePublicPort
	routerPublicPort
	requiredPorts
)

// Check declines a site that can't work.
func (s Site) Check() error {
	if s.Name == "" || s.Zone == "" {
		return invalidSetting("the name of the machine or of its zone is missing")
	}
	if s.PortRange[0] < 1 || s.PortRange[1]-s.PortRange[0]+1 < requiredPorts || s.PortRange[1] > 65535 {
		return invalidSetting("ports %d to %d: at least %d are needed", s.PortRange[0], s.PortRange[1], requiredPorts)
	}
	for _, address := range append([]string{net.JoinHostPort(s.IP, "1")}, s.Seeds...) {
		if transport.CheckAddress(address) != nil {
			return invalidSetting("%q is not an IP number with a port", address)
		}
	}
	if len(s.Seeds) == 0 {
		return invalidSetting("no seed is named")
	}
	return nil
}

func (s Site) addressAt(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.PortRange[0]+offset))
}

// ReplicasPerShard is the smallest group that keeps a majority after the losses that are tolerated.
func (s Site) ReplicasPerShard() int { return 2*max(s.ToleratedFailures, 1) + 1 }

// zoneRegions are those of all halls, if that of the own hall is known.
func (s Site) zoneRegions() map[string]string {
	regions := map[string]string{}
	for zone, region := range s.RegionByZone {
		if zone != "" && region != "" {
			regions[zone] = region
		}
	}
	if s.Region != "" {
		regions[s.Zone] = s.Region
	}
	if regions[s.Zone] == "" {
		return nil
	}
	return regions
}

// CoreSeeds are the inner addresses of the cores that the seeds name, in the same order
// everywhere: all machines have alike ports.
func (s Site) CoreSeeds() []string {
	var seeds []string
	for _, seed := range s.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			seeds = append(seeds, s.addressAt(host, coreInternalPort))
		}
	}
	slices.Sort(seeds)
	return slices.Compact(seeds)
}

func (s Site) commonSettings(suffix string, public int) Common {
	return Common{
		Name: strings.ToLower(s.Name) + suffix, Zone: s.Zone, RegionByZone: s.zoneRegions(), Fleet: "coursepass", Public: s.addressAt(s.IP, public), Seeds: s.CoreSeeds(), ReplicasPerShard: s.ReplicasPerShard(),
		LogLevel: "info",
	}
}

// CoreSettings is the place and inner address of the site's core, Router of its router.
func (s Site) CoreSettings() (Common, Internal) {
	return s.commonSettings("-core", corePublicPort), Internal{InternalAddress: s.addressAt(s.IP, coreInternalPort), Shards: 2}
}

// RouterSettings is the place and inner address of the site's router.
func (s Site) RouterSettings() (Common, Internal) {
	return s.commonSettings("-router", routerPublicPort), Internal{InternalAddress: s.addressAt(s.IP, routerInternalPort), Shards: 2}
}
