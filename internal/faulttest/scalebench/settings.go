// Package scalebench measures how state, messages, bytes and processor time grow with the size
// of a fleet. Real cores and a few real routers stand in one process on loopback, together
// with hollow routers and engines, which send and answer the same messages and hold the
// same state but carry no callers.
package scalebench

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sys/unix"

	"coursepass/internal/errcode"
)

// Sizes are those of one fleet.
type Sizes struct {
	Routers                 int     `long:"daemons" description:"routers, real and emulated" default:"40"`
	Engines                 int     `long:"engines" description:"emulated engines" default:"40"`
	Services                int     `long:"services" description:"model services that share the engines" default:"2"`
	Tenants                 int     `long:"tenants" description:"tenants" default:"100"`
	RoutesPerTenant         int     `long:"routes" description:"routes of each tenant" default:"2"`
	ChangesPerSecond        float64 `long:"changes" description:"small configuration changes a second" default:"0"`
	RouterRestartsPerMinute float64 `long:"restarts" description:"restarts of emulated routers a minute" default:"0"`
	EngineRestartsPerMinute float64 `long:"engine-restarts" description:"restarts of engines, as another incarnation, a minute" default:"0"`
}

// Settings of a run over one size or several.
type Settings struct {
	Sizes
	Servers         int       `long:"cores" description:"real cores, all of them members" default:"3"`
	RealRouters     int       `long:"real" description:"real routers among the daemons" default:"2"`
	Zones           int       `long:"zones" description:"zones over which all daemons and engines are spread" default:"3"`
	PollReports     bool      `long:"reports" description:"the leader asks each engine, instead of following a directory"`
	Seconds         int       `long:"seconds" description:"length of each measurement, after the fleet has become steady" default:"10"`
	Parameter       string    `long:"vary" description:"size that is varied: daemons, engines, services, tenants, changes, restarts or engine-restarts"`
	Values          []float64 `long:"value" description:"a value of the size that is varied; four or more give a fit"`
	OutputDirectory string    `long:"output" description:"folder for the table as CSV and for plots of the slopes as SVG"`
}

// The most of each that fits into one process on a shared machine.
const (
	maxRouters           = 1000
	maxEngines           = 4000
	maxRoutes            = 20000
	maxSeconds           = 120
	maxValues            = 12
	descriptorsPerRouter = 14
	// bytesPerRouter is what a daemon holds besides the state, and stateCopies how many copies
	// of the state a core or a real router holds at most.
	bytesPerRouter = 1 << 20
	stateCopies    = 8
)

const (
	engineRestartsParameter = "engine-restarts"
	// oldEngineRestartsParameter is its name in the previous release, accepted for one release.
	oldEngineRestartsParameter = "lives"
)

// presentParameter returns the present name of a size that is varied, and warns of an old one.
func presentParameter(name string) string {
	if name != oldEngineRestartsParameter {
		return name
	}
	log.Warn().Str("old", oldEngineRestartsParameter).Str("new", engineRestartsParameter).
		Msg("--vary: lives is deprecated and will be removed in the next release: use engine-restarts")
	return engineRestartsParameter
}

func (s *Sizes) setterOf(name string) func(float64) {
	setInteger := func(target *int) func(float64) { return func(value float64) { *target = int(value) } }
	return map[string]func(float64){
		"daemons": setInteger(&s.Routers), "engines": setInteger(&s.Engines), "services": setInteger(&s.Services), "tenants": setInteger(&s.Tenants),
		"changes":               func(value float64) { s.ChangesPerSecond = value },
		"restarts":              func(value float64) { s.RouterRestartsPerMinute = value },
		engineRestartsParameter: func(value float64) { s.EngineRestartsPerMinute = value },
	}[name]
}

// allSizes is every size that is run.
func (s Settings) allSizes() []Sizes {
	if s.Parameter == "" {
		return []Sizes{s.Sizes}
	}
	var collected []Sizes
	for _, value := range s.Values {
		sizes := s.Sizes
		sizes.setterOf(s.Parameter)(value)
		collected = append(collected, sizes)
	}
	return collected
}

func invalidSetting(format string, values ...any) error {
	return errcode.New(errcode.InvalidSetting, format, values...)
}

// Validate declines sizes that are wrong, or more than half of this machine.
func (s Settings) Validate() error {
	if s.Servers%2 == 0 || s.Servers < 1 || s.Servers > 7 {
		return invalidSetting("--cores: %d is not an odd number up to 7", s.Servers)
	}
	if s.Zones < 1 || s.Zones > 64 {
		return invalidSetting("--zones: %d is not between 1 and 64", s.Zones)
	}
	if s.Seconds < 1 || s.Seconds > maxSeconds {
		return invalidSetting("--seconds: %d is not between 1 and %d", s.Seconds, maxSeconds)
	}
	if s.Parameter != "" && new(Sizes).setterOf(s.Parameter) == nil {
		return invalidSetting("--vary: %q can't be varied", s.Parameter)
	}
	if len(s.Values) > maxValues || s.Parameter != "" && len(s.Values) == 0 {
		return invalidSetting("--value: %d values are not between 1 and %d", len(s.Values), maxValues)
	}
	for _, sizes := range s.allSizes() {
		if err := s.checkLimits(sizes); err != nil {
			return err
		}
	}
	return nil
}

func (s Settings) checkLimits(sizes Sizes) error {
	for _, limit := range []struct {
		name           string
		count, maximum int
	}{
		{"daemons", sizes.Routers, maxRouters}, {"engines", sizes.Engines, maxEngines}, {"services", sizes.Services, 64},
		{"tenants", sizes.Tenants, maxRoutes}, {"routes", sizes.RoutesPerTenant * sizes.Tenants, maxRoutes},
	} {
		if limit.count < 1 || limit.count > limit.maximum {
			return invalidSetting("--%s: %d is not between 1 and %d", limit.name, limit.count, limit.maximum)
		}
	}
	if s.RealRouters < 1 || s.RealRouters > sizes.Routers || s.RealRouters > 64 {
		return invalidSetting("--real: %d is not between 1 and the daemons, 64 at most", s.RealRouters)
	}
	if sizes.ChangesPerSecond < 0 || sizes.ChangesPerSecond > 100 || sizes.RouterRestartsPerMinute < 0 || sizes.RouterRestartsPerMinute > 600 || sizes.EngineRestartsPerMinute < 0 || sizes.EngineRestartsPerMinute > 6000 {
		return invalidSetting("--changes, --restarts or --engine-restarts: not between 0 and 100 a second, 600 and 6000 a minute")
	}
	if required, available := sizes.memoryBound(s), systemMemory()/2; required > available {
		return invalidSetting("these sizes may take %d MiB, more than half of the machine's memory (%d MiB)", required>>20, available>>20)
	}
	if required, available := descriptorsPerRouter*sizes.Routers+4*sizes.Engines, descriptorLimit()/2; required > available {
		return invalidSetting("these sizes may take %d descriptors, more than half of the %d that this process may have", required, available)
	}
	return nil
}

// memoryBound is a bound, not an estimate: pairs are counted for all engines of a service.
func (s Sizes) memoryBound(settings Settings) int {
	service := s.Engines / max(s.Services, 1)
	state := 1000*s.Tenants*s.RoutesPerTenant + 400*s.Engines + 100*s.Services*service*service/4
	return bytesPerRouter*s.Routers + state*(stateCopies*(settings.Servers+settings.RealRouters)+s.Routers/4+stateCopies)
}

func systemMemory() int {
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return 1 << 30
	}
	return int(info.Totalram) * int(info.Unit)
}

func descriptorLimit() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return 1024
	}
	return int(min(limit.Cur, 1<<20))
}

// Run measures all sizes, prints the table and writes what was asked for.
func (s *Settings) Run() error {
	s.Parameter = presentParameter(s.Parameter)
	log.DefaultLogger.SetLevel(log.ErrorLevel)
	if err := s.Validate(); err != nil {
		return err
	}
	parent, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	table := &Table{Parameter: s.Parameter}
	for _, sizes := range s.allSizes() {
		ctx, cancel := context.WithTimeout(parent, time.Duration(60+2*s.Seconds)*time.Second)
		measurements, err := Measure(ctx, Loopback, *s, sizes)
		cancel()
		if err != nil {
			if len(table.Rows) > 0 {
				table.Print(os.Stdout)
			}
			return err
		}
		table.Rows = append(table.Rows, measurements)
	}
	table.Print(os.Stdout)
	if s.OutputDirectory == "" {
		return nil
	}
	return table.Write(s.OutputDirectory)
}

func (s Settings) zoneName(number int) string {
	return "hall-" + string(rune('a'+number%s.Zones%26)) + string(rune('a'+number%s.Zones/26))
}

func sortedCopy(values []float64) []float64 {
	ordered := slices.Clone(values)
	slices.Sort(ordered)
	return ordered
}
