// Package loadgen is the load generator: open-loop arrivals of two kinds of request,
// latency counted from the intended start, and a check of every answer.
package loadgen

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
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
	"coursepass/internal/topology"
	"coursepass/internal/transport"
)

// Settings of a load run.
type Settings struct {
	ControlPlane     []string `long:"core" description:"public address of a core, to read the configuration and the endpoint list"`
	Routers          []string `long:"router" description:"public address of a router; can be given several times"`
	Tenant           string   `long:"tenant" description:"tenant to call as"`
	LongKind         string   `long:"long" description:"kind of the long requests"`
	ShortKind        string   `long:"short" description:"kind of the short requests"`
	LongRate         float64  `long:"long-rate" description:"long requests a second" default:"30"`
	ShortRate        float64  `long:"short-rate" description:"short requests a second" default:"36"`
	Seconds          int      `long:"seconds" description:"length of the run" default:"20"`
	Seed             uint64   `long:"seed" description:"seed of arrivals and prompts" default:"1"`
	DuplicatePercent int      `long:"duplicate-percent" description:"of a hundred one-shot requests, how many are sent to two routers at once" default:"0"`
	ResendPercent    int      `long:"resend-percent" description:"of a hundred one-shot requests without a complete answer, how many are sent a second time to another router with the same key" default:"0"`
	JSON             bool     `long:"json" description:"print the figures as JSON"`
}

// Check declines settings that can't work; load goes to loopback only.
func (s Settings) Check() error {
	for name, addresses := range map[string][]string{"core": s.ControlPlane, "router": s.Routers} {
		if len(addresses) == 0 {
			return errcode.New(errcode.InvalidSetting, "--%s is needed at least once", name)
		}
		for _, address := range addresses {
			if transport.CheckAddress(address) != nil || !strings.HasPrefix(address, "127.") {
				return errcode.New(errcode.InvalidSetting, "--%s: %q is not a loopback address with a port", name, address)
			}
		}
	}
	if s.Seconds < 1 || s.Seconds > 3600 {
		return errcode.New(errcode.InvalidSetting, "--seconds: %d is not between 1 and 3600", s.Seconds)
	}
	if s.LongRate < 0 || s.ShortRate < 0 || s.LongRate+s.ShortRate > 5000 {
		return errcode.New(errcode.InvalidSetting, "--long-rate and --short-rate: must not be negative, and 5000 together at most")
	}
	return nil
}

// Generator is one load run.
type Generator struct {
	Settings
	client       *http.Client
	runID        string
	clock        *clock.Clock
	lock         sync.Mutex
	readyRouters []string
	nextRouter   int
	results      Results
	keyRecords   map[string]*keyRecord
	// OnResult, if set, is told of each ending.
	OnResult func(RequestResult)
}

// keyRecord is what callers were told of one key, by however many routers.
type keyRecord struct {
	oneShot bool
	sent    int
	notRun  int
	// keyInUse says that it was told as not run since the key was in use.
	keyInUse bool
}

// RequestResult is how one request ended, for whoever watches the run.
type RequestResult struct {
	Kind string
	Key  string
	// IntendedAt is the intended moment of arrival, Ended that of the end, on this clock.
	IntendedAt, EndedAt clock.Microseconds
	Outcome             string
}

// New makes a run from checked settings.
func New(settings Settings, network transport.Network) (*Generator, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	meter := topology.NewTrafficMeter("")
	httpTransport := transport.NewHTTPTransport(transport.Options{Network: network, Meter: meter})
	return &Generator{
		Settings: settings, runID: crypto.Text(), clock: clock.New(), keyRecords: map[string]*keyRecord{},
		client: &http.Client{Transport: httpTransport}, results: NewResults(),
	}, nil
}

// Run sends the whole load and returns its figures.
func (run *Generator) Run(parent context.Context) (*Results, error) {
	plan, err := run.fetchPlan(parent)
	if err != nil {
		return nil, err
	}
	refreshContext, stop := context.WithCancel(parent)
	defer stop()
	run.refreshReadyRouters(refreshContext)
	go clock.Every(refreshContext, 200*clock.Millisecond, func() { run.refreshReadyRouters(refreshContext) })
	var group sync.WaitGroup
	for number, arrivals := range []struct {
		kind string
		rate float64
	}{{run.LongKind, run.LongRate}, {run.ShortKind, run.ShortRate}} {
		if arrivals.rate == 0 {
			continue
		}
		template, err := plan.Template(run.Tenant, arrivals.kind)
		if err != nil {
			return nil, err
		}
		group.Go(func() { run.generateArrivals(parent, arrivals.kind, arrivals.rate, template, run.Seed+uint64(number)) })
	}
	group.Wait()
	run.auditRunLogs(parent)
	return &run.results, nil
}

func (run *Generator) getJSON(parent context.Context, address, path string, target any) error {
	timeoutContext, cancel := context.WithTimeout(parent, 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(timeoutContext, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return errcode.Wrap(err, errcode.InvalidSetting, address)
	}
	response, err := run.client.Do(request)
	if err != nil {
		return errcode.Wrap(err, errcode.ConnectionLost, address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errcode.New(errcode.ConnectionLost, "%s%s answered %d", address, path, response.StatusCode)
	}
	return errcode.Wrap(json.NewDecoder(response.Body).Decode(target), errcode.MalformedMessage, address)
}

func (run *Generator) fetchPlan(parent context.Context) (config.Plan, error) {
	var overview controlapi.ConfigurationResponse
	var err error
	for _, address := range run.ControlPlane {
		if err = run.getJSON(parent, address, "/v1/configuration", &overview); err == nil {
			return overview.Plan, nil
		}
	}
	return overview.Plan, err
}

// refreshReadyRouters keeps to the routers that say they are ready, as the platform does.
func (run *Generator) refreshReadyRouters(parent context.Context) {
	ready := make([]bool, len(run.Routers))
	var group sync.WaitGroup
	for index, address := range run.Routers {
		group.Go(func() {
			var text string
			ready[index] = run.getJSON(parent, address, "/ready", &text) == nil
		})
	}
	group.Wait()
	run.lock.Lock()
	defer run.lock.Unlock()
	run.readyRouters = run.readyRouters[:0]
	for index, address := range run.Routers {
		if ready[index] {
			run.readyRouters = append(run.readyRouters, address)
		}
	}
}

func (run *Generator) pickRouter() string {
	run.lock.Lock()
	defer run.lock.Unlock()
	run.nextRouter++
	if len(run.readyRouters) == 0 {
		return run.Routers[run.nextRouter%len(run.Routers)]
	}
	return run.readyRouters[run.nextRouter%len(run.readyRouters)]
}

// generateArrivals sends requests of one kind at random moments, whether or not earlier ones
// have been answered.
func (run *Generator) generateArrivals(parent context.Context, kind string, rate float64, template config.Template, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 7))
	start := run.clock.Now()
	end := start + clock.Microseconds(run.Seconds)*clock.Second
	var group sync.WaitGroup
	arrival := start
	for number := 0; ; number++ {
		arrival += clock.Microseconds(random.ExpFloat64() / rate * float64(clock.Second))
		if arrival > end {
			break
		}
		select {
		case <-parent.Done():
			group.Wait()
			return
		case <-time.After((arrival - run.clock.Now()).Duration()):
		}
		intended := arrival
		spec := requestSpec{
			kind: kind, key: fmt.Sprintf("%s-%s-%d", kind, run.runID, number), template: template,
			prompt: strings.Repeat(fmt.Sprintf("%08x", random.Uint32()), 8+random.IntN(40)),
			tokens: 1 + random.IntN(template.MostTokens),
		}
		duplicate, resend := random.IntN(100) < run.DuplicatePercent, random.IntN(100) < run.ResendPercent
		if !template.OneShot() {
			duplicate, resend = false, false
		}
		if duplicate {
			group.Go(func() { run.send(parent, intended, spec) })
		}
		group.Go(func() {
			if end := run.send(parent, intended, spec); resend && end != "whole" {
				run.send(parent, run.clock.Now(), spec)
			}
		})
	}
	group.Wait()
}

func drainBody(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, 1<<20))
	body.Close()
}
