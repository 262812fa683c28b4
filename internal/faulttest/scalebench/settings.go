// Package scalebench measures how state, messages, bytes and processor time grow with the size of a
// fleet. Real control plane servers and a few real routers run in one process on loopback, together
// with simulated routers and engines, which send and answer the same messages and have the same
// state but serve no callers.
//
// Settings.Run measures one size, or several of which one parameter varies, and prints a Table with
// a straight line fitted to each measurement. Measure measures one size in any Environment.
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

// Sizes are the size of one fleet and the rates of changes in it.
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

// Settings are those of a run over one size or several.
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

// The sizes that can be varied, by their flags.
const (
	parameterRouters        = "daemons"
	parameterEngines        = "engines"
	parameterServices       = "services"
	parameterTenants        = "tenants"
	parameterChanges        = "changes"
	parameterRouterRestarts = "restarts"
	parameterEngineRestarts = "engine-restarts"
	// oldParameterEngineRestarts is its name in the previous release, accepted for one release.
	oldParameterEngineRestarts = "lives"
)

// zoneNamePrefix begins the names of all zones.
const zoneNamePrefix = "hall-"

// alphabetSize is the number of letters in the names of zones.
const alphabetSize = 26

// Bounds of the settings.
const (
	maxServers                 = 7
	maxZones                   = 64
	maxServices                = 64
	maxRealRouters             = 64
	maxChangesPerSecond        = 100
	maxRouterRestartsPerMinute = 600
	maxEngineRestartsPerMinute = 6000
)

// The most of each that fits into one process on a shared machine.
const (
	maxRouters           = 1000
	maxEngines           = 4000
	maxRoutes            = 20000
	maxSeconds           = 120
	maxValues            = 12
	descriptorsPerRouter = 14
	descriptorsPerEngine = 4
	// bytesPerRouter is the memory of a daemon besides the state, and stateCopies how many copies
	// of the state a server or a real router has at most.
	bytesPerRouter = 1 << 20
	stateCopies    = 8
	// A simulated router has at most 1/sharedStates of a copy: they share theirs.
	sharedStates = 4
	// The bytes of the state by route, engine and pair of engines.
	bytesPerRoute  = 1000
	bytesPerEngine = 400
	bytesPerPair   = 100
	// maxPairsDivisor: at most service²/4 pairs of a prefill and a decode engine.
	maxPairsDivisor = 4

	bytesPerMiB = 1 << 20
	// hostShare is the divisor of what a run may use of the machine.
	hostShare = 2

	defaultSystemMemory    = 1 << 30
	defaultDescriptorLimit = 1024
	maxDescriptorLimit     = 1 << 20
)

// setupTimeout is how long a fleet may take to start, besides twice the measurement.
const setupTimeout = 60 * time.Second

// presentParameter returns the present name of a size that is varied, and warns of an old one.
func presentParameter(name string) string {
	if name != oldParameterEngineRestarts {
		return name
	}
	log.Warn().Str("old", oldParameterEngineRestarts).Str("new", parameterEngineRestarts).
		Msg("--vary: lives is deprecated and will be removed in the next release: use engine-restarts")
	return parameterEngineRestarts
}

// setterOf returns the function that sets the size with a parameter's name, nil if there is none.
func (s *Sizes) setterOf(name string) func(float64) {
	setInteger := func(target *int) func(float64) {
		return func(value float64) { *target = int(value) }
	}
	return map[string]func(float64){
		parameterRouters:        setInteger(&s.Routers),
		parameterEngines:        setInteger(&s.Engines),
		parameterServices:       setInteger(&s.Services),
		parameterTenants:        setInteger(&s.Tenants),
		parameterChanges:        func(value float64) { s.ChangesPerSecond = value },
		parameterRouterRestarts: func(value float64) { s.RouterRestartsPerMinute = value },
		parameterEngineRestarts: func(value float64) { s.EngineRestartsPerMinute = value },
	}[name]
}

// allSizes returns the sizes to run, one for each value of the parameter.
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

// Validate returns errcode.InvalidSetting for settings that cannot work, or that may use more than
// half of this machine.
func (s Settings) Validate() error {
	if s.Servers%2 == 0 || s.Servers < 1 || s.Servers > maxServers {
		return invalidSetting("--cores: %d is not an odd number up to %d", s.Servers, maxServers)
	}
	if s.Zones < 1 || s.Zones > maxZones {
		return invalidSetting("--zones: %d is not between 1 and %d", s.Zones, maxZones)
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

// checkLimits checks one of the sizes.
func (s Settings) checkLimits(sizes Sizes) error {
	limits := []struct {
		name           string
		count, maximum int
	}{
		{parameterRouters, sizes.Routers, maxRouters},
		{parameterEngines, sizes.Engines, maxEngines},
		{parameterServices, sizes.Services, maxServices},
		{parameterTenants, sizes.Tenants, maxRoutes},
		{"routes", sizes.RoutesPerTenant * sizes.Tenants, maxRoutes},
	}
	for _, limit := range limits {
		if limit.count < 1 || limit.count > limit.maximum {
			return invalidSetting("--%s: %d is not between 1 and %d", limit.name, limit.count, limit.maximum)
		}
	}
	if s.RealRouters < 1 || s.RealRouters > sizes.Routers || s.RealRouters > maxRealRouters {
		return invalidSetting("--real: %d is not between 1 and the daemons, %d at most", s.RealRouters, maxRealRouters)
	}
	if !sizes.ratesAreValid() {
		return invalidSetting("--changes, --restarts or --engine-restarts: not between 0 and %d a second, %d and %d a minute",
			maxChangesPerSecond, maxRouterRestartsPerMinute, maxEngineRestartsPerMinute)
	}
	if required, available := sizes.memoryBound(s), systemMemory()/hostShare; required > available {
		return invalidSetting("these sizes may take %d MiB, more than half of the machine's memory (%d MiB)",
			required/bytesPerMiB, available/bytesPerMiB)
	}
	if required, available := sizes.descriptorBound(), descriptorLimit()/hostShare; required > available {
		return invalidSetting("these sizes may take %d descriptors, more than half of the %d that this process may have",
			required, available)
	}
	return nil
}

func (s Sizes) ratesAreValid() bool {
	isWithin := func(rate, maximum float64) bool { return rate >= 0 && rate <= maximum }
	return isWithin(s.ChangesPerSecond, maxChangesPerSecond) &&
		isWithin(s.RouterRestartsPerMinute, maxRouterRestartsPerMinute) &&
		isWithin(s.EngineRestartsPerMinute, maxEngineRestartsPerMinute)
}

// memoryBound returns an upper bound on the bytes of a fleet, not an estimate: pairs are counted for
// all engines of a service.
func (s Sizes) memoryBound(settings Settings) int {
	service := s.Engines / max(s.Services, 1)
	routeBytes := bytesPerRoute * s.Tenants * s.RoutesPerTenant
	engineBytes := bytesPerEngine * s.Engines
	pairBytes := bytesPerPair * s.Services * service * service / maxPairsDivisor
	state := routeBytes + engineBytes + pairBytes
	copies := stateCopies*(settings.Servers+settings.RealRouters) + s.Routers/sharedStates + stateCopies
	return bytesPerRouter*s.Routers + state*copies
}

// descriptorBound returns an upper bound on the file descriptors of a fleet.
func (s Sizes) descriptorBound() int {
	return descriptorsPerRouter*s.Routers + descriptorsPerEngine*s.Engines
}

// systemMemory returns the bytes of memory of this machine.
func systemMemory() int {
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return defaultSystemMemory
	}
	return int(info.Totalram) * int(info.Unit)
}

// descriptorLimit returns how many file descriptors this process may have.
func descriptorLimit() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return defaultDescriptorLimit
	}
	return int(min(limit.Cur, maxDescriptorLimit))
}

// Run measures all sizes, prints the table and writes the files that are asked for. If a size fails,
// it prints those before.
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
		ctx, cancel := context.WithTimeout(parent, s.runTimeout())
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

// runTimeout returns how long one size may take.
func (s Settings) runTimeout() time.Duration {
	measurement := time.Duration(s.Seconds) * time.Second
	return setupTimeout + measurement + measurement
}

// zoneName returns the zone of a daemon by its number; the zones take turns.
func (s Settings) zoneName(number int) string {
	zone := number % s.Zones
	letter := func(index int) string { return string(rune('a' + index)) }
	return zoneNamePrefix + letter(zone%alphabetSize) + letter(zone/alphabetSize)
}

func sortedCopy(values []float64) []float64 {
	ordered := slices.Clone(values)
	slices.Sort(ordered)
	return ordered
}
