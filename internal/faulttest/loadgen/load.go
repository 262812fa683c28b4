// Package load is the load generator: open-loop arrivals of two kinds of request,
// latency counted from the intended start, and a check of every answer.
package load

import (
	"context"
	crypto "crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
	"coursepass/internal/topology"
	"coursepass/internal/transport"
)

// Settings of a load run.
type Settings struct {
	Cores     []string `long:"core" description:"public address of a core, to read the configuration and engine list"`
	Routers   []string `long:"router" description:"public address of a router; several"`
	Tenant    string   `long:"tenant" description:"tenant to call as"`
	Long      string   `long:"long" description:"kind of the long requests"`
	Short     string   `long:"short" description:"kind of the short requests"`
	LongRate  float64  `long:"long-rate" description:"long requests a second" default:"30"`
	ShortRate float64  `long:"short-rate" description:"short requests a second" default:"36"`
	Seconds   int      `long:"seconds" description:"length of the run" default:"20"`
	Seed      uint64   `long:"seed" description:"seed of arrivals and prompts" default:"1"`
	Doubled   int      `long:"doubled" description:"of a hundred one-shot requests, how many are sent to two routers at once" default:"0"`
	Again     int      `long:"again" description:"of a hundred one-shot requests without a whole answer, how many are sent again to another router under their key" default:"0"`
	JSON      bool     `long:"json" description:"print the figures as JSON"`
}

// Check declines settings that can't work; load goes to loopback only.
func (s Settings) Check() error {
	for name, addresses := range map[string][]string{"core": s.Cores, "router": s.Routers} {
		if len(addresses) == 0 {
			return mishap.New(mishap.SettingBad, "--%s is needed at least once", name)
		}
		for _, address := range addresses {
			if circuit.CheckAddress(address) != nil || !strings.HasPrefix(address, "127.") {
				return mishap.New(mishap.SettingBad, "--%s: %q is not a loopback address with a port", name, address)
			}
		}
	}
	if s.Seconds < 1 || s.Seconds > 3600 {
		return mishap.New(mishap.SettingBad, "--seconds: %d is not between 1 and 3600", s.Seconds)
	}
	if s.LongRate < 0 || s.ShortRate < 0 || s.LongRate+s.ShortRate > 5000 {
		return mishap.New(mishap.SettingBad, "--long-rate and --short-rate: must not be negative, and 5000 together at most")
	}
	return nil
}

// Run is one load run.
type Run struct {
	Settings
	client  *http.Client
	name    string
	clock   *schedule.Clock
	lock    sync.Mutex
	ready   []string
	turn    int
	figures Figures
	claims  map[string]*claim
	// Watch, if set, is told of each ending.
	Watch func(Told)
}

// claim is what callers were told of one key, by however many routers.
type claim struct {
	oneShot bool
	sent    int
	notRun  int
	// denied says that it was told as not run since the key was in use.
	denied bool
}

// Told is how one request ended, for whoever watches the run.
type Told struct {
	Kind string
	Key  string
	// At is the intended moment of arrival, Ended that of the end, on this clock.
	At, Ended schedule.Microseconds
	Name      string
}

// New makes a run from checked settings.
func New(settings Settings, network circuit.Network) (*Run, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	meter := hall.NewMeter("")
	transport := circuit.NewTransport(circuit.Options{Network: network, Meter: meter})
	return &Run{
		Settings: settings, name: crypto.Text(), clock: schedule.NewClock(), claims: map[string]*claim{},
		client: &http.Client{Transport: transport}, figures: NewFigures(),
	}, nil
}

// Drive sends the whole load and returns its figures.
func (run *Run) Drive(parent context.Context) (*Figures, error) {
	plan, err := run.plan(parent)
	if err != nil {
		return nil, err
	}
	steering, stop := context.WithCancel(parent)
	defer stop()
	run.steer(steering)
	go schedule.Every(steering, 200*schedule.Millisecond, func() { run.steer(steering) })
	var group sync.WaitGroup
	for number, each := range []struct {
		kind string
		rate float64
	}{{run.Long, run.LongRate}, {run.Short, run.ShortRate}} {
		if each.rate == 0 {
			continue
		}
		template, err := plan.Template(run.Tenant, each.kind)
		if err != nil {
			return nil, err
		}
		group.Go(func() { run.arrive(parent, each.kind, each.rate, template, run.Seed+uint64(number)) })
	}
	group.Wait()
	run.audit(parent)
	return &run.figures, nil
}

func (run *Run) get(parent context.Context, address, path string, into any) error {
	bounded, cancel := context.WithTimeout(parent, 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return mishap.Wrap(err, mishap.SettingBad, address)
	}
	answer, err := run.client.Do(request)
	if err != nil {
		return mishap.Wrap(err, mishap.CircuitLost, address)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return mishap.New(mishap.CircuitLost, "%s%s answered %d", address, path, answer.StatusCode)
	}
	return mishap.Wrap(json.NewDecoder(answer.Body).Decode(into), mishap.Garbage, address)
}

func (run *Run) plan(parent context.Context) (configuration.Plan, error) {
	var shown core.Shown
	var err error
	for _, address := range run.Cores {
		if err = run.get(parent, address, "/v1/configuration", &shown); err == nil {
			return shown.Plan, nil
		}
	}
	return shown.Plan, err
}

// steer keeps to the routers that say they are ready, as the platform does.
func (run *Run) steer(parent context.Context) {
	ready := make([]bool, len(run.Routers))
	var group sync.WaitGroup
	for place, address := range run.Routers {
		group.Go(func() {
			var text string
			ready[place] = run.get(parent, address, "/ready", &text) == nil
		})
	}
	group.Wait()
	run.lock.Lock()
	defer run.lock.Unlock()
	run.ready = run.ready[:0]
	for place, address := range run.Routers {
		if ready[place] {
			run.ready = append(run.ready, address)
		}
	}
}

func (run *Run) pick() string {
	run.lock.Lock()
	defer run.lock.Unlock()
	run.turn++
	if len(run.ready) == 0 {
		return run.Routers[run.turn%len(run.Routers)]
	}
	return run.ready[run.turn%len(run.ready)]
}

// arrive sends requests of one kind at random moments, whether or not earlier ones
// have been answered.
func (run *Run) arrive(parent context.Context, kind string, rate float64, template configuration.Template, seed uint64) {
	chance := rand.New(rand.NewPCG(seed, 7))
	begin := run.clock.Now()
	end := begin + schedule.Microseconds(run.Seconds)*schedule.Second
	var group sync.WaitGroup
	due := begin
	for number := 0; ; number++ {
		due += schedule.Microseconds(chance.ExpFloat64() / rate * float64(schedule.Second))
		if due > end {
			break
		}
		select {
		case <-parent.Done():
			group.Wait()
			return
		case <-time.After((due - run.clock.Now()).Duration()):
		}
		intended := due
		ask := call{
			kind: kind, key: fmt.Sprintf("%s-%s-%d", kind, run.name, number), template: template,
			prompt: strings.Repeat(fmt.Sprintf("%08x", chance.Uint32()), 8+chance.IntN(40)),
			tokens: 1 + chance.IntN(template.MostTokens),
		}
		doubled, again := chance.IntN(100) < run.Doubled, chance.IntN(100) < run.Again
		if !template.OneShot() {
			doubled, again = false, false
		}
		if doubled {
			group.Go(func() { run.call(parent, intended, ask) })
		}
		group.Go(func() {
			if end := run.call(parent, intended, ask); again && end != "whole" {
				run.call(parent, run.clock.Now(), ask)
			}
		})
	}
	group.Wait()
}

func drain(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, 1<<20))
	body.Close()
}
