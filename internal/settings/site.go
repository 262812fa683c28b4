package settings

import (
	"net"
	"slices"
	"strconv"
	"strings"

	"coursepass/internal/clock"
	"coursepass/internal/transport"
)

// Site describes the machine that a daemon runs on, as its platform gives it. Addresses are IP
// addresses with ports.
type Site struct {
	// Name is the machine's name, from which the names of its daemons are made.
	Name string
	// Zone and Region are where the machine runs. Region may be empty if it is unknown.
	Zone   string
	Region string
	// RegionByZone maps all zones of the fleet to their regions.
	RegionByZone map[string]string
	// IP is the machine's IP address, without a port.
	IP string
	// FrontAddress, ReadinessAddress and ControlAddress serve callers, readiness checks and
	// operators; each is empty if the daemon does not serve them.
	FrontAddress     string
	ReadinessAddress string
	ControlAddress   string
	// PortRange are the first and the last port that daemons may use for their own calls.
	PortRange [2]int
	// Seeds are the control addresses of other daemons.
	Seeds []string
	// FirstStart is true at the first start of the entire fleet, on empty disks.
	FirstStart    bool
	DataDirectory string
	// MemoryBytes limits the process's memory; 0 means no limit.
	MemoryBytes int64
	// CPUShare is the number of processors that the process may use.
	CPUShare float64
	// ToleratedFailures is how many machines may fail at the same time.
	ToleratedFailures int
	Directory         Directory
	Singleton         SingletonTasks
	Limits            Limits
}

// SingletonTasks are the calls to the platform that one daemon of the fleet makes at a time.
type SingletonTasks struct {
	// ReportsUsage has the fleet report each tenant's usage by window; SetsCapacity has it order the number of
	// engines of each service in each zone.
	ReportsUsage bool
	SetsCapacity bool
	// RequestsPerSecond is how many such calls the platform takes from all daemons together; 0 means that no
	// limit is known.
	RequestsPerSecond float64
}

// Directory is the platform's directory of engines.
type Directory struct {
	Address           string
	RequestsPerSecond float64
	// MaxLag is how far its answers may lag behind.
	MaxLag clock.Microseconds
}

// Limits are the durations and ratios that the platform requires.
type Limits struct {
	LeaseDuration clock.Microseconds
	// GracePeriod is the time between the signal to stop and the end of the process.
	GracePeriod        clock.Microseconds
	DrainTimeout       clock.Microseconds
	ContactTimeout     clock.Microseconds
	AcknowledgeTimeout clock.Microseconds
	// RetryRatio is the ratio of retries to requests; RetryBurst retries are allowed beyond it.
	RetryRatio float64
	RetryBurst float64
	// WarmupOverrun and WarmupSlack bound by how much engines that are warming up may exceed the
	// load that they can take.
	WarmupOverrun float64
	WarmupSlack   float64
	// UsageWindow is the length of the windows of true time in which usage is counted. Window k starts k windows
	// after the start of 1970.
	UsageWindow clock.Microseconds
	// UsageTolerance is the relative error that a tenant's count may have, UsageDelay how long after its end a
	// window must be reported.
	UsageTolerance float64
	UsageDelay     clock.Microseconds
}

// Offsets of the ports that daemons use, from the first one of the site's range.
const (
	coreInternalPort = iota
	routerInternalPort
	corePublicPort
	routerPublicPort
	requiredPorts
)

const maxPort = 65535

const (
	// siteFleet is the name of the fleet on a platform.
	siteFleet = "coursepass"
	// siteShards is the number of shards on a platform.
	siteShards = 2
)

// Check returns an InvalidSetting error for the first thing that is missing or wrong.
func (s Site) Check() error {
	if s.Name == "" || s.Zone == "" {
		return invalidSetting("the name of the machine or of its zone is missing")
	}
	firstPort, lastPort := s.PortRange[0], s.PortRange[1]
	if firstPort < 1 || lastPort > maxPort || lastPort-firstPort+1 < requiredPorts {
		return invalidSetting("ports %d to %d: at least %d are needed", firstPort, lastPort, requiredPorts)
	}
	for _, address := range append([]string{net.JoinHostPort(s.IP, "1")}, s.Seeds...) {
		if transport.CheckAddress(address) != nil {
			return invalidSetting("%q is not an IP address with a port", address)
		}
	}
	if len(s.Seeds) == 0 {
		return invalidSetting("no seed is named")
	}
	return nil
}

// addressAt returns the address of the daemon port with the offset at an IP address.
func (s Site) addressAt(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.PortRange[0]+offset))
}

// ReplicasPerShard returns the smallest number of replicas that keeps a majority after the failures
// that are tolerated, and three at least.
func (s Site) ReplicasPerShard() int { return 2*max(s.ToleratedFailures, 1) + 1 }

// zoneRegions returns the region of each zone, or nil if that of the machine's own zone is unknown.
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

// CoreSeeds returns the internal addresses of the control plane servers on the seeds' machines, in
// the same order on all machines. It relies on all machines having the same port range.
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

// commonSettings returns the settings of the daemon with the suffix in its name and the offset of its
// public port.
func (s Site) commonSettings(suffix string, public int) Common {
	return Common{
		Name:             strings.ToLower(s.Name) + suffix,
		Zone:             s.Zone,
		RegionByZone:     s.zoneRegions(),
		Fleet:            siteFleet,
		Public:           s.addressAt(s.IP, public),
		Seeds:            s.CoreSeeds(),
		ReplicasPerShard: s.ReplicasPerShard(),
		LogLevel:         "info",
	}
}

// CoreSettings returns the settings of the control plane server on the machine.
func (s Site) CoreSettings() (Common, Internal) {
	return s.commonSettings("-core", corePublicPort), s.internalSettings(coreInternalPort)
}

// RouterSettings returns the settings of the router on the machine.
func (s Site) RouterSettings() (Common, Internal) {
	return s.commonSettings("-router", routerPublicPort), s.internalSettings(routerInternalPort)
}

// internalSettings returns the settings of the daemon with the offset of its internal port.
func (s Site) internalSettings(port int) Internal {
	return Internal{InternalAddress: s.addressAt(s.IP, port), Shards: siteShards}
}
