package settings

import (
	"regexp"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/topology"
	"coursepass/internal/transport"
)

// Common are the settings of every daemon.
type Common struct {
	Settings         string            `long:"settings" description:"settings file (INI); flags override it" no-ini:"true"`
	Name             string            `long:"name" description:"name of this daemon, unique in the fleet"`
	Zone             string            `long:"zone" description:"zone that it runs in"`
	Fleet            string            `long:"fleet" description:"name of the fleet; messages of other fleets are rejected" default:"coursepass"`
	Public           string            `long:"public" description:"IP address and port for callers, operators and the platform"`
	Seeds            []string          `long:"seed" description:"internal address of a core; usually three of them, in the same order on all daemons"`
	RegionByZone     map[string]string `long:"region-of" key-value-delimiter:"=" description:"zone=region, once for each zone, the same on all daemons; if not given, all zones are in one region"`
	ReplicasPerShard int               `long:"replicas" description:"replicas of each shard, the same on all daemons; the number of seeds if not given"`
	LogLevel         string            `long:"log-level" description:"lowest level that is logged" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"info"`
}

// ShardReplicas returns the number of replicas of each shard.
func (c Common) ShardReplicas() int {
	if c.ReplicasPerShard != 0 {
		return c.ReplicasPerShard
	}
	return len(c.Seeds)
}

// Regions returns the region of each zone.
func (c Common) Regions() topology.RegionMap { return topology.RegionMap(c.RegionByZone) }

// Internal are the settings of daemons that call each other: control plane servers and routers.
type Internal struct {
	InternalAddress string `long:"internal" description:"IP address and port for calls from other daemons"`
	Shards          int    `long:"shards" description:"number of shards of the control plane's state, the same on all daemons" default:"2"`
}

// Timing are the durations of the control plane's protocol. They must be the same on all daemons.
type Timing struct {
	DeltaMillis int `long:"delta-ms" description:"δ of the leader election, in milliseconds" default:"200"`
	LeaseMillis int `long:"lease-ms" description:"duration of a leader's lease in milliseconds" default:"3000"`
}

// DeltaDuration returns δ.
func (t Timing) DeltaDuration() clock.Microseconds {
	return clock.Microseconds(t.DeltaMillis) * clock.Millisecond
}

// LeaseDuration returns the duration of a leader's lease.
func (t Timing) LeaseDuration() clock.Microseconds {
	return clock.Microseconds(t.LeaseMillis) * clock.Millisecond
}

// Reporting are the settings of what control plane servers and routers report of themselves.
type Reporting struct {
	ResourceLogSeconds int `long:"resource-log-seconds" description:"seconds between two log lines with the bytes, calls, wake-ups, processor time and memory that the daemon used; 0 for none" default:"0"`
}

// ResourceLogInterval returns the time between two log lines, 0 for none.
func (r Reporting) ResourceLogInterval() clock.Microseconds {
	return clock.Microseconds(r.ResourceLogSeconds) * clock.Second
}

// Limits of the settings.
const (
	maxShardReplicas = 7
	minShards        = 2
	maxShards        = 16
	minDeltaMillis   = 10
	maxDeltaMillis   = 2000
	// minDeltasPerLease is how many δ a lease lasts at least.
	minDeltasPerLease = 5
	maxLeaseMillis    = 60_000
	// maxResourceLogSeconds is a day.
	maxResourceLogSeconds = 86_400
)

// namePattern is what names of daemons, zones and fleets match.
var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// invalidSetting returns an error with code InvalidSetting.
func invalidSetting(format string, values ...any) error {
	return errcode.New(errcode.InvalidSetting, format, values...)
}

// Check returns an InvalidSetting error that names the first setting that is wrong.
func (c Common) Check() error {
	for _, setting := range []struct{ name, value string }{
		{"name", c.Name},
		{"zone", c.Zone},
		{"fleet", c.Fleet},
	} {
		if !namePattern.MatchString(setting.value) {
			return invalidSetting("--%s: %q is not a name (a-z, then a-z, 0-9 or -, at most 63)", setting.name, setting.value)
		}
	}
	if transport.CheckAddress(c.Public) != nil {
		return invalidSetting("--public: %q is not an IP address with a port", c.Public)
	}
	if err := c.checkRegions(); err != nil {
		return err
	}
	return c.checkSeeds()
}

// checkRegions requires the regions of no zone, or that of the daemon's own zone at least.
func (c Common) checkRegions() error {
	if len(c.RegionByZone) > 0 && c.RegionByZone[c.Zone] == "" {
		return invalidSetting("--region-of: the region of the zone %q is missing", c.Zone)
	}
	for zone, region := range c.RegionByZone {
		if zone == "" || region == "" {
			return invalidSetting("--region-of: %q=%q: a name is missing", zone, region)
		}
	}
	return nil
}

// checkSeeds requires an odd number of replicas and different seeds.
func (c Common) checkSeeds() error {
	if len(c.Seeds) == 0 {
		return invalidSetting("--seed: at least one is needed")
	}
	if replicas := c.ShardReplicas(); replicas%2 == 0 || replicas < 1 || replicas > maxShardReplicas {
		return invalidSetting("--seed: an odd number of seeds is needed, usually three, not %d; or give --replicas", replicas)
	}
	seen := map[string]bool{}
	for _, seed := range c.Seeds {
		if transport.CheckAddress(seed) != nil {
			return invalidSetting("--seed: %q is not an IP address with a port", seed)
		}
		if seen[seed] {
			return invalidSetting("--seed: %s is given twice", seed)
		}
		seen[seed] = true
	}
	return nil
}

// Check returns an InvalidSetting error that names the first setting that is wrong.
func (i Internal) Check() error {
	if transport.CheckAddress(i.InternalAddress) != nil {
		return invalidSetting("--internal: %q is not an IP address with a port", i.InternalAddress)
	}
	if i.Shards < minShards || i.Shards > maxShards {
		return invalidSetting("--shards: %d is not between %d and %d", i.Shards, minShards, maxShards)
	}
	return nil
}

// Check returns an InvalidSetting error that names the first setting that is wrong.
func (t Timing) Check() error {
	if t.DeltaMillis < minDeltaMillis || t.DeltaMillis > maxDeltaMillis {
		return invalidSetting("--delta-ms: %d is not between %d and %d", t.DeltaMillis, minDeltaMillis, maxDeltaMillis)
	}
	if t.LeaseMillis < minDeltasPerLease*t.DeltaMillis || t.LeaseMillis > maxLeaseMillis {
		return invalidSetting("--lease-ms: %d is not between %d times --delta-ms and %d",
			t.LeaseMillis, minDeltasPerLease, maxLeaseMillis)
	}
	return nil
}

// Check returns an InvalidSetting error if the interval is out of its range.
func (r Reporting) Check() error {
	if r.ResourceLogSeconds < 0 || r.ResourceLogSeconds > maxResourceLogSeconds {
		return invalidSetting("--resource-log-seconds: %d is not between 0 and %d",
			r.ResourceLogSeconds, maxResourceLogSeconds)
	}
	return nil
}
