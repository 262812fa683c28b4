// Package loadgen generates load on a fleet with emulated engines, and checks every answer.
//
// Requests of two kinds arrive in an open loop: at random moments of a given rate, whether or not
// earlier ones have been answered. Latency counts from the intended arrival, so that a late sender
// does not hide a slow fleet. Each frame of an answer is checked against the tokens that package
// emulator computes, and at the end what callers were answered is compared with the run logs of
// the engines: a one-shot request must not run twice, and a request that was answered as not run
// must not have run. Callers make a Generator by New and call Run once.
package loadgen

import (
	"context"
	crypto "crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
	"coursepass/internal/state/credential"
	"coursepass/internal/topology"
	"coursepass/internal/transport"
)

// Limits and defaults of a load run.
const (
	maxSeconds        = 3600
	maxRequestsPerSec = 5000

	readyPollInterval = 200 * clock.Millisecond
	getTimeout        = 5 * time.Second
	maxDrainedBytes   = 1 << 20

	// arrivalStream selects the random stream of arrivals for a seed.
	arrivalStream = 7
	// A prompt has between minPromptWords and minPromptWords+promptWordsRange-1 words.
	minPromptWords   = 8
	promptWordsRange = 40
	percent          = 100
)

// Settings of a load run.
type Settings struct {
	ControlPlane     []string `long:"core" description:"public address of a core, to read the configuration and the endpoint list"`
	Routers          []string `long:"router" description:"public address of a router; can be given several times"`
	Tenant           string   `long:"tenant" description:"tenant to call as"`
	CredentialFile   string   `long:"credential-file" description:"file with the tenant's API key, if the tenant has credentials"`
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

// Check returns errcode.InvalidSetting for settings that cannot work. Load may only be sent to
// loopback addresses.
func (s Settings) Check() error {
	addressesByFlag := map[string][]string{"core": s.ControlPlane, "router": s.Routers}
	for name, addresses := range addressesByFlag {
		if len(addresses) == 0 {
			return errcode.New(errcode.InvalidSetting, "--%s is needed at least once", name)
		}
		for _, address := range addresses {
			if transport.CheckAddress(address) != nil || !strings.HasPrefix(address, "127.") {
				return errcode.New(errcode.InvalidSetting, "--%s: %q is not a loopback address with a port", name, address)
			}
		}
	}
	if s.Seconds < 1 || s.Seconds > maxSeconds {
		return errcode.New(errcode.InvalidSetting, "--seconds: %d is not between 1 and %d", s.Seconds, maxSeconds)
	}
	if s.LongRate < 0 || s.ShortRate < 0 || s.LongRate+s.ShortRate > maxRequestsPerSec {
		return errcode.New(errcode.InvalidSetting,
			"--long-rate and --short-rate: must not be negative, and %d together at most", maxRequestsPerSec)
	}
	return nil
}

// Generator is one load run.
type Generator struct {
	Settings
	// OnResult, if set before Run, is called with each result; the generator's lock is held.
	OnResult func(RequestResult)

	client *http.Client
	// apiKey is the tenant's, empty if it needs none.
	apiKey string
	// runID makes the keys of this run unique.
	runID string
	clock *clock.Clock

	// lock guards the fields below while requests are sent.
	lock         sync.Mutex
	readyRouters []string
	nextRouter   int
	results      Results
	// keyRecords is by tenant and key.
	keyRecords map[string]*keyRecord
}

// keyRecord is what callers were answered on one key, by however many routers.
type keyRecord struct {
	oneShot bool
	sent    int
	// notRun counts the answers that said that nothing ran.
	notRun int
	// keyInUse is set if one of those answers was that the key is in use.
	keyInUse bool
}

// RequestResult is how one request ended.
type RequestResult struct {
	Kind string
	Key  string
	// IntendedAt is the intended time of arrival and EndedAt that of the end, both on the
	// generator's clock.
	IntendedAt, EndedAt clock.Microseconds
	Outcome             Outcome
}

// New makes a generator from settings, which it checks.
func New(settings Settings, network transport.Network) (*Generator, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	apiKey, err := readAPIKey(settings.CredentialFile)
	if err != nil {
		return nil, err
	}
	meter := topology.NewTrafficMeter("")
	httpTransport := transport.NewHTTPTransport(transport.Options{Network: network, Meter: meter})
	return &Generator{
		Settings:   settings,
		client:     &http.Client{Transport: httpTransport},
		apiKey:     apiKey,
		runID:      crypto.Text(),
		clock:      clock.New(),
		results:    NewResults(),
		keyRecords: map[string]*keyRecord{},
	}, nil
}

// readAPIKey reads a key from a file; without a file it is empty.
func readAPIKey(path string) (string, error) {
	const flag = "--credential-file"
	if path == "" {
		return "", nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", errcode.Wrap(err, errcode.InvalidSetting, flag)
	}
	key := strings.TrimRight(string(text), "\r\n")
	return key, errcode.Wrap(credential.CheckKey(key), errcode.InvalidSetting, flag)
}

// Run sends the load, waits for all answers and returns the results. The error is that of reading
// the configuration; failed requests are part of the results.
func (g *Generator) Run(parent context.Context) (*Results, error) {
	plan, err := g.fetchPlan(parent)
	if err != nil {
		return nil, err
	}
	refreshContext, stop := context.WithCancel(parent)
	defer stop()
	g.refreshReadyRouters(refreshContext)
	go clock.Every(refreshContext, readyPollInterval, func() { g.refreshReadyRouters(refreshContext) })
	var group sync.WaitGroup
	kinds := []struct {
		name string
		rate float64
	}{
		{g.LongKind, g.LongRate},
		{g.ShortKind, g.ShortRate},
	}
	for number, kind := range kinds {
		if kind.rate == 0 {
			continue
		}
		template, err := plan.Template(g.Tenant, kind.name)
		if err != nil {
			return nil, err
		}
		arrivals := arrivalProcess{kind: kind.name, rate: kind.rate, template: template, seed: g.Seed + uint64(number)}
		group.Go(func() { g.generateArrivals(parent, arrivals) })
	}
	group.Wait()
	g.auditRunLogs(parent)
	return &g.results, nil
}

// getJSON decodes the answer of a GET request; other statuses than 200 are errors.
func (g *Generator) getJSON(parent context.Context, address, path string, target any) error {
	timeoutContext, cancel := context.WithTimeout(parent, getTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(timeoutContext, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return errcode.Wrap(err, errcode.InvalidSetting, address)
	}
	response, err := g.client.Do(request)
	if err != nil {
		return errcode.Wrap(err, errcode.ConnectionLost, address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errcode.New(errcode.ConnectionLost, "%s%s answered %d", address, path, response.StatusCode)
	}
	return errcode.Wrap(json.NewDecoder(response.Body).Decode(target), errcode.MalformedMessage, address)
}

// fetchPlan returns the configuration of the first control plane server that answers.
func (g *Generator) fetchPlan(parent context.Context) (config.Plan, error) {
	var overview controlapi.ConfigurationResponse
	var err error
	for _, address := range g.ControlPlane {
		if err = g.getJSON(parent, address, "/v1/configuration", &overview); err == nil {
			return overview.Plan, nil
		}
	}
	return overview.Plan, err
}

// refreshReadyRouters asks all routers for their readiness, as a load balancer before them would.
func (g *Generator) refreshReadyRouters(parent context.Context) {
	ready := make([]bool, len(g.Routers))
	var group sync.WaitGroup
	for index, address := range g.Routers {
		group.Go(func() {
			var text string
			ready[index] = g.getJSON(parent, address, "/ready", &text) == nil
		})
	}
	group.Wait()
	g.lock.Lock()
	defer g.lock.Unlock()
	g.readyRouters = g.readyRouters[:0]
	for index, address := range g.Routers {
		if ready[index] {
			g.readyRouters = append(g.readyRouters, address)
		}
	}
}

// pickRouter takes the ready routers by turns, or all of them if none is ready.
func (g *Generator) pickRouter() string {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.nextRouter++
	if len(g.readyRouters) == 0 {
		return g.Routers[g.nextRouter%len(g.Routers)]
	}
	return g.readyRouters[g.nextRouter%len(g.readyRouters)]
}

// arrivalProcess is a Poisson process of requests of one kind.
type arrivalProcess struct {
	kind string
	// rate is in requests a second.
	rate     float64
	template config.Template
	seed     uint64
}

// generateArrivals sends requests of one kind at random moments, whether or not earlier ones
// have been answered, and waits for all of them.
func (g *Generator) generateArrivals(parent context.Context, arrivals arrivalProcess) {
	random := rand.New(rand.NewPCG(arrivals.seed, arrivalStream))
	start := g.clock.Now()
	end := start + clock.Microseconds(g.Seconds)*clock.Second
	var group sync.WaitGroup
	arrival := start
	for number := 0; ; number++ {
		arrival += clock.Microseconds(random.ExpFloat64() / arrivals.rate * float64(clock.Second))
		if arrival > end {
			break
		}
		select {
		case <-parent.Done():
			group.Wait()
			return
		case <-time.After((arrival - g.clock.Now()).Duration()):
		}
		intended := arrival
		spec := requestSpec{
			kind:     arrivals.kind,
			key:      fmt.Sprintf("%s-%s-%d", arrivals.kind, g.runID, number),
			template: arrivals.template,
			prompt:   randomPrompt(random),
			tokens:   1 + random.IntN(arrivals.template.MaxTokens),
		}
		duplicate := random.IntN(percent) < g.DuplicatePercent
		resend := random.IntN(percent) < g.ResendPercent
		if !spec.template.OneShot() {
			duplicate = false
			resend = false
		}
		if duplicate {
			group.Go(func() { g.send(parent, intended, spec) })
		}
		group.Go(func() {
			outcome := g.send(parent, intended, spec)
			if resend && outcome != OutcomeComplete {
				g.send(parent, g.clock.Now(), spec)
			}
		})
	}
	group.Wait()
}

func randomPrompt(random *rand.Rand) string {
	word := fmt.Sprintf("%08x", random.Uint32())
	return strings.Repeat(word, minPromptWords+random.IntN(promptWordsRange))
}

// drainBody reads the rest of a body, so that its connection can be used again.
func drainBody(body io.Reader) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxDrainedBytes))
}
