// Package settings reads and checks what a daemon is told at its start, from flags
// or a settings file.
package settings

import (
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/topology"
	"coursepass/internal/transport"
)

// Common is what every daemon is told.
type Common struct {
	Settings         string            `long:"settings" description:"settings file (INI); flags go before it" no-ini:"true"`
	Name             string            `long:"name" description:"name of this daemon, unlike all others"`
	Zone             string            `long:"hall" description:"hall (zone) it stands in"`
	Fleet            string            `long:"fleet" description:"name of the fleet; messages of others are dropped" default:"coursepass"`
	Public           string            `long:"public" description:"IP number and port for callers, operators and the platform"`
	Seeds            []string          `long:"seed" description:"inner address of a core; three of them, in the same order everywhere"`
	RegionByZone     map[string]string `long:"region-of" key-value-delimiter:"=" description:"hall=region, once for each hall, the same everywhere; all halls are in one region if not given"`
	ReplicasPerShard int               `long:"slots" description:"seats of a part's group, the same everywhere; as many as seeds if not given"`
	LogLevel         string            `long:"log-level" description:"lowest level that is logged" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"info"`
}

// ShardReplicas is the number of seats in each part's group.
func (c Common) ShardReplicas() int {
	if c.ReplicasPerShard != 0 {
		return c.ReplicasPerShard
	}
	return len(c.Seeds)
}

// Regions are the regions of all halls.
func (c Common) Regions() topology.RegionMap { return topology.RegionMap(c.RegionByZone) }

// Internal is told to daemons that talk to their own kind.
type Internal struct {
	InternalAddress string `long:"inner" description:"IP number and port for the fleet's own daemons"`
	Shards          int    `long:"parts" description:"number of parts of the control state, the same everywhere" default:"2"`
}

// Timing are the fleet's lengths of time; they must be the same everywhere.
type Timing struct {
	DeltaMillis int `long:"delta-ms" description:"δ of the election" default:"200"`
	LeaseMillis int `long:"lease-ms" description:"length of a leader's grant" default:"3000"`
}

// DeltaDuration is δ.
func (t Timing) DeltaDuration() clock.Microseconds {
	return clock.Microseconds(t.DeltaMillis) * clock.Millisecond
}

// LeaseDuration is the length of a grant.
func (t Timing) LeaseDuration() clock.Microseconds {
	return clock.Microseconds(t.LeaseMillis) * clock.Millisecond
}

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

func invalidSetting(format string, values ...any) error {
	return errcode.New(errcode.InvalidSetting, format, values...)
}

// Check declines a place that can't work, naming the setting.
func (c Common) Check() error {
	for name, value := range map[string]string{"name": c.Name, "hall": c.Zone, "fleet": c.Fleet} {
		if !namePattern.MatchString(value) {
			return invalidSetting("--%s: %q is not a name (a-z, then a-z, 0-9 or -, 63 at most)", name, value)
		}
	}
	if transport.CheckAddress(c.Public) != nil {
		return invalidSetting("--public: %q is not an IP number with a port", c.Public)
	}
	if len(c.RegionByZone) > 0 && c.RegionByZone[c.Zone] == "" {
		return invalidSetting("--region-of: the region of the hall %q is missing", c.Zone)
	}
	for zone, region := range c.RegionByZone {
		if zone == "" || region == "" {
			return invalidSetting("--region-of: %q=%q: a name is missing", zone, region)
		}
	}
	if len(c.Seeds) == 0 {
		return invalidSetting("--seed: at least one is needed")
	}
	if replicas := c.ShardReplicas(); replicas%2 == 0 || replicas < 1 || replicas > 7 {
		return invalidSetting("--seed: an odd number of them is needed, three as a rule, not %d, or --slots", replicas)
	}
	seen := map[string]bool{}
	for _, seed := range c.Seeds {
		if transport.CheckAddress(seed) != nil {
			return invalidSetting("--seed: %q is not an IP number with a port", seed)
		}
		if seen[seed] {
			return invalidSetting("--seed: %s stands twice", seed)
		}
		seen[seed] = true
	}
	return nil
}

// Check declines inner settings that can't work.
func (i Internal) Check() error {
	if transport.CheckAddress(i.InternalAddress) != nil {
		return invalidSetting("--inner: %q is not an IP number with a port", i.InternalAddress)
	}
	if i.Shards < 2 || i.Shards > 16 {
		return invalidSetting("--parts: %d is not between 2 and 16", i.Shards)
	}
	return nil
}

// Check declines lengths that can't work.
func (t Timing) Check() error {
	if t.DeltaMillis < 10 || t.DeltaMillis > 2000 {
		return invalidSetting("--delta-ms: %d is not between 10 and 2000", t.DeltaMillis)
	}
	if t.LeaseMillis < 5*t.DeltaMillis || t.LeaseMillis > 60000 {
		return invalidSetting("--lease-ms: %d is not between five times --delta-ms and 60000", t.LeaseMillis)
	}
	return nil
}

// ReadFile fills in settings from an INI file; unknown names are declined. Flags
// given on the command line are parsed again afterwards, so that they win.
func ReadFile(parser *flags.Parser, path string, arguments []string) error {
	if path == "" {
		return nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return errcode.Wrap(err, errcode.InvalidSetting, "--settings")
	}
	if err := flags.NewIniParser(parser).Parse(strings.NewReader(string(content))); err != nil {
		return errcode.Wrap(err, errcode.InvalidSetting, path)
	}
	_, err = parser.ParseArgs(arguments)
	return errcode.Wrap(err, errcode.InvalidSetting, "flags")
}

// NewIncarnation names one life of a process. It grows with the wall clock, and is
// only ever compared for the same daemon.
func NewIncarnation() uint64 { return uint64(time.Now().UnixMicro()) }
