// Package setting reads and checks what a daemon is told at its start, from flags
// or a settings file.
package setting

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

// Place is what every daemon is told.
type Place struct {
	Settings string            `long:"settings" description:"settings file (INI); flags go before it" no-ini:"true"`
	Name     string            `long:"name" description:"name of this daemon, unlike all others"`
	Hall     string            `long:"hall" description:"hall (zone) it stands in"`
	Fleet    string            `long:"fleet" description:"name of the fleet; messages of others are dropped" default:"coursepass"`
	Public   string            `long:"public" description:"IP number and port for callers, operators and the platform"`
	Seeds    []string          `long:"seed" description:"inner address of a core; three of them, in the same order everywhere"`
	RegionOf map[string]string `long:"region-of" key-value-delimiter:"=" description:"hall=region, once for each hall, the same everywhere; all halls are in one region if not given"`
	Slots    int               `long:"slots" description:"seats of a part's group, the same everywhere; as many as seeds if not given"`
	Level    string            `long:"log-level" description:"lowest level that is logged" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"info"`
}

// Group is the number of seats in each part's group.
func (c Place) Group() int {
	if c.Slots != 0 {
		return c.Slots
	}
	return len(c.Seeds)
}

// Regions are the regions of all halls.
func (c Place) Regions() hall.Regions { return hall.Regions(c.RegionOf) }

// Inner is told to daemons that talk to their own kind.
type Inner struct {
	Inner string `long:"inner" description:"IP number and port for the fleet's own daemons"`
	Parts int    `long:"parts" description:"number of parts of the control state, the same everywhere" default:"2"`
}

// Lengths are the fleet's lengths of time; they must be the same everywhere.
type Lengths struct {
	Delta int `long:"delta-ms" description:"δ of the election" default:"200"`
	Lease int `long:"lease-ms" description:"length of a leader's grant" default:"3000"`
}

// DeltaSpan is δ.
func (t Lengths) DeltaSpan() schedule.Microseconds {
	return schedule.Microseconds(t.Delta) * schedule.Millisecond
}

// LeaseSpan is the length of a grant.
func (t Lengths) LeaseSpan() schedule.Microseconds {
	return schedule.Microseconds(t.Lease) * schedule.Millisecond
}

var names = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

func bad(format string, values ...any) error { return mishap.New(mishap.SettingBad, format, values...) }

// Check declines a place that can't work, naming the setting.
func (c Place) Check() error {
	for name, value := range map[string]string{"name": c.Name, "hall": c.Hall, "fleet": c.Fleet} {
		if !names.MatchString(value) {
			return bad("--%s: %q is not a name (a-z, then a-z, 0-9 or -, 63 at most)", name, value)
		}
	}
	if circuit.CheckAddress(c.Public) != nil {
		return bad("--public: %q is not an IP number with a port", c.Public)
	}
	if len(c.RegionOf) > 0 && c.RegionOf[c.Hall] == "" {
		return bad("--region-of: the region of the hall %q is missing", c.Hall)
	}
	for each, region := range c.RegionOf {
		if each == "" || region == "" {
			return bad("--region-of: %q=%q: a name is missing", each, region)
		}
	}
	if len(c.Seeds) == 0 {
		return bad("--seed: at least one is needed")
	}
	if slots := c.Group(); slots%2 == 0 || slots < 1 || slots > 7 {
		return bad("--seed: an odd number of them is needed, three as a rule, not %d, or --slots", slots)
	}
	seen := map[string]bool{}
	for _, seed := range c.Seeds {
		if circuit.CheckAddress(seed) != nil {
			return bad("--seed: %q is not an IP number with a port", seed)
		}
		if seen[seed] {
			return bad("--seed: %s stands twice", seed)
		}
		seen[seed] = true
	}
	return nil
}

// Check declines inner settings that can't work.
func (i Inner) Check() error {
	if circuit.CheckAddress(i.Inner) != nil {
		return bad("--inner: %q is not an IP number with a port", i.Inner)
	}
	if i.Parts < 2 || i.Parts > 16 {
		return bad("--parts: %d is not between 2 and 16", i.Parts)
	}
	return nil
}

// Check declines lengths that can't work.
func (t Lengths) Check() error {
	if t.Delta < 10 || t.Delta > 2000 {
		return bad("--delta-ms: %d is not between 10 and 2000", t.Delta)
	}
	if t.Lease < 5*t.Delta || t.Lease > 60000 {
		return bad("--lease-ms: %d is not between five times --delta-ms and 60000", t.Lease)
	}
	return nil
}

// ReadFile fills in settings from an INI file; unknown names are declined. Flags
// given on the command line are parsed again afterwards, so that they win.
func ReadFile(parser *flags.Parser, path string, again []string) error {
	if path == "" {
		return nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return mishap.Wrap(err, mishap.SettingBad, "--settings")
	}
	if err := flags.NewIniParser(parser).Parse(strings.NewReader(string(content))); err != nil {
		return mishap.Wrap(err, mishap.SettingBad, path)
	}
	_, err = parser.ParseArgs(again)
	return mishap.Wrap(err, mishap.SettingBad, "flags")
}

// Incarnation names one life of a process. It grows with the wall clock, and is
// only ever compared for the same daemon.
func Incarnation() uint64 { return uint64(time.Now().UnixMicro()) }
