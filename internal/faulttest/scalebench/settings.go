// Package scale measures how state, messages, bytes and processor time grow with the size
// of a fleet. Real cores and a few real routers stand in one process on loopback, together
// with hollow routers and engines, which send and answer the same messages and hold the
// same state but carry no callers.
package scale

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
	Daemons  int     `long:"daemons" description:"routers, the real and the hollow ones" default:"40"`
	Engines  int     `long:"engines" description:"hollow engines" default:"40"`
	Services int     `long:"services" description:"model services that share the engines" default:"2"`
	Tenants  int     `long:"tenants" description:"tenants" default:"100"`
	Routes   int     `long:"routes" description:"routes of each tenant" default:"2"`
	Changes  float64 `long:"changes" description:"small configuration changes a second" default:"0"`
	Restarts float64 `long:"restarts" description:"hollow routers that begin anew, a minute" default:"0"`
	Lives    float64 `long:"lives" description:"engines that come back as another life, a minute" default:"0"`
}

// Settings of a run over one size or several.
type Settings struct {
	Sizes
	Cores   int       `long:"cores" description:"real cores, all with a seat" default:"3"`
	Real    int       `long:"real" description:"real routers among the daemons" default:"2"`
	Halls   int       `long:"halls" description:"halls (zones) that all stand in by turns" default:"3"`
	Reports bool      `long:"reports" description:"the leader asks each engine, instead of following a directory"`
	Seconds int       `long:"seconds" description:"length of each measurement, after the fleet has settled" default:"10"`
	Vary    string    `long:"vary" description:"size that is varied: daemons, engines, services, tenants, changes, restarts or lives"`
	Values  []float64 `long:"value" description:"a value of the size that is varied; four or more give a fit"`
	Output  string    `long:"output" description:"folder for the table as CSV and for plots of the slopes as SVG"`
}

// The most of each that fits into one process on a shared machine.
const (
	mostDaemons  = 1000
	mostEngines  = 4000
	mostRoutes   = 20000
	mostSeconds  = 120
	mostValues   = 12
	circuitsEach = 14
	// bytesEach is what a daemon holds besides the state, and stateCopies how many copies
	// of the state a core or a real router holds at most.
	bytesEach   = 1 << 20
	stateCopies = 8
)

func (s *Sizes) of(name string) func(float64) {
	whole := func(into *int) func(float64) { return func(value float64) { *into = int(value) } }
	return map[string]func(float64){
		"daemons": whole(&s.Daemons), "engines": whole(&s.Engines), "services": whole(&s.Services), "tenants": whole(&s.Tenants),
		"changes":  func(value float64) { s.Changes = value },
		"restarts": func(value float64) { s.Restarts = value },
		"lives":    func(value float64) { s.Lives = value },
	}[name]
}

// sweep is every size that is run.
func (s Settings) sweep() []Sizes {
	if s.Vary == "" {
		return []Sizes{s.Sizes}
	}
	var all []Sizes
	for _, value := range s.Values {
		sizes := s.Sizes
		sizes.of(s.Vary)(value)
		all = append(all, sizes)
	}
	return all
}

func bad(format string, values ...any) error { return mishap.New(mishap.SettingBad, format, values...) }

// Check declines sizes that are wrong, or more than half of this machine.
func (s Settings) Check() error {
	if s.Cores%2 == 0 || s.Cores < 1 || s.Cores > 7 {
		return bad("--cores: %d is not an odd number up to 7", s.Cores)
	}
	if s.Halls < 1 || s.Halls > 64 {
		return bad("--halls: %d is not between 1 and 64", s.Halls)
	}
	if s.Seconds < 1 || s.Seconds > mostSeconds {
		return bad("--seconds: %d is not between 1 and %d", s.Seconds, mostSeconds)
	}
	if s.Vary != "" && new(Sizes).of(s.Vary) == nil {
		return bad("--vary: %q can't be varied", s.Vary)
	}
	if len(s.Values) > mostValues || s.Vary != "" && len(s.Values) == 0 {
		return bad("--value: %d values are not between 1 and %d", len(s.Values), mostValues)
	}
	for _, sizes := range s.sweep() {
		if err := s.fits(sizes); err != nil {
			return err
		}
	}
	return nil
}

func (s Settings) fits(sizes Sizes) error {
	for _, each := range []struct {
		name        string
		count, most int
	}{
		{"daemons", sizes.Daemons, mostDaemons}, {"engines", sizes.Engines, mostEngines}, {"services", sizes.Services, 64},
		{"tenants", sizes.Tenants, mostRoutes}, {"routes", sizes.Routes * sizes.Tenants, mostRoutes},
	} {
		if each.count < 1 || each.count > each.most {
			return bad("--%s: %d is not between 1 and %d", each.name, each.count, each.most)
		}
	}
	if s.Real < 1 || s.Real > sizes.Daemons || s.Real > 64 {
		return bad("--real: %d is not between 1 and the daemons, 64 at most", s.Real)
	}
	if sizes.Changes < 0 || sizes.Changes > 100 || sizes.Restarts < 0 || sizes.Restarts > 600 || sizes.Lives < 0 || sizes.Lives > 6000 {
		return bad("--changes, --restarts or --lives: not between 0 and 100 a second, 600 and 6000 a minute")
	}
	if wanted, had := sizes.memory(s), machineMemory()/2; wanted > had {
		return bad("these sizes may take %d MiB, more than half of the machine's memory (%d MiB)", wanted>>20, had>>20)
	}
	if wanted, had := circuitsEach*sizes.Daemons+4*sizes.Engines, descriptors()/2; wanted > had {
		return bad("these sizes may take %d descriptors, more than half of the %d that this process may have", wanted, had)
	}
	return nil
}

// memory is a bound, not an estimate: pairs are counted for all engines of a service.
func (s Sizes) memory(settings Settings) int {
	service := s.Engines / max(s.Services, 1)
	state := 1000*s.Tenants*s.Routes + 400*s.Engines + 100*s.Services*service*service/4
	return bytesEach*s.Daemons + state*(stateCopies*(settings.Cores+settings.Real)+s.Daemons/4+stateCopies)
}

func machineMemory() int {
	var told unix.Sysinfo_t
	if unix.Sysinfo(&told) != nil {
		return 1 << 30
	}
	return int(told.Totalram) * int(told.Unit)
}

func descriptors() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return 1024
	}
	return int(min(limit.Cur, 1<<20))
}

// Run measures all sizes, prints the table and writes what was asked for.
func (s *Settings) Run() error {
	log.DefaultLogger.SetLevel(log.ErrorLevel)
	if err := s.Check(); err != nil {
		return err
	}
	parent, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	table := &Table{Vary: s.Vary}
	for _, sizes := range s.sweep() {
		bounded, cancel := context.WithTimeout(parent, time.Duration(60+2*s.Seconds)*time.Second)
		figures, err := Measure(bounded, Loopback, *s, sizes)
		cancel()
		if err != nil {
			if len(table.Rows) > 0 {
				table.Print(os.Stdout)
			}
			return err
		}
		table.Rows = append(table.Rows, figures)
	}
	table.Print(os.Stdout)
	if s.Output == "" {
		return nil
	}
	return table.Write(s.Output)
}

func (s Settings) hall(number int) string {
	return "hall-" + string(rune('a'+number%s.Halls%26)) + string(rune('a'+number%s.Halls/26))
}

func sorted(values []float64) []float64 {
	ordered := slices.Clone(values)
	slices.Sort(ordered)
	return ordered
}
