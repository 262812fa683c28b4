package balancer_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
)

// These tests simulate placements on prefill engines whose properties the balancer does not know, over a grid of
// such properties. They compare the results with those of placements that know all properties and queues.

// regretCase holds the parameters of one simulation.
type regretCase struct {
	truePrefill
	prefillers int
	// sharedTokens is the number of tokens of a shared prefix, prefixes the number of shared prefixes.
	sharedTokens, prefixes int
	// ownTokens is the mean number of tokens after a shared prefix, before they are clipped.
	ownTokens float64
	// load is the share of time for which engines would compute if each prefix was computed only once.
	load float64
}

// usualCase returns the parameters in the middle of the grid.
func usualCase() regretCase {
	return regretCase{
		truePrefill:  truePrefill{fixed: 60, perThousand: 30, perMillionPairs: 0.8},
		prefillers:   12,
		sharedTokens: 6000,
		prefixes:     120,
		ownTokens:    2500,
		load:         0.55,
	}
}

// regretGrid returns the usual case, and variants of it with one parameter at a third or at three times its usual
// value.
func regretGrid() map[string]regretCase {
	grid := map[string]regretCase{"usual": usualCase()}
	for name, property := range map[string]func(*regretCase, float64){
		"fixed time":       func(c *regretCase, factor float64) { c.fixed *= factor },
		"time for a token": func(c *regretCase, factor float64) { c.perThousand *= factor },
		"time for a pair":  func(c *regretCase, factor float64) { c.perMillionPairs *= factor },
		"prefill engines":  func(c *regretCase, factor float64) { c.prefillers = int(float64(c.prefillers) * factor) },
		"shared prefix":    func(c *regretCase, factor float64) { c.sharedTokens = int(float64(c.sharedTokens) * factor) },
		"prefixes":         func(c *regretCase, factor float64) { c.prefixes = int(float64(c.prefixes) * factor) },
		"own tokens":       func(c *regretCase, factor float64) { c.ownTokens *= factor },
	} {
		for _, factor := range []float64{1.0 / 3, 3} {
			changed := usualCase()
			property(&changed, factor)
			grid[fmt.Sprintf("%s times %.2f", name, factor)] = changed
		}
	}
	return grid
}

// modelRequest is one request of a simulation.
type modelRequest struct {
	arrivesAt clock.Microseconds
	// prefix is the number of the shared prefix, -1 for none.
	prefix int
	// own is the number of tokens that the prompt shares with no other request.
	own int
}

// requestsOf returns the requests of 20 seconds.
func (c regretCase) requestsOf(random *rand.Rand) []modelRequest {
	draw := func() modelRequest {
		if random.IntN(5) < 3 {
			return modelRequest{prefix: -1, own: 200 + random.IntN(800)}
		}
		own := c.ownTokens * math.Exp(random.NormFloat64()-0.5)
		return modelRequest{prefix: random.IntN(c.prefixes), own: int(min(max(own, 50), 6*c.ownTokens))}
	}
	mean := 0.0
	const samples = 1000
	for range samples {
		request := draw()
		cached := 0
		if request.prefix >= 0 {
			cached = c.sharedTokens
		}
		mean += float64(c.duration(request.own, cached)-c.duration(0, 0)) / samples
	}
	interval := mean / (c.load * float64(c.prefillers))
	var requests []modelRequest
	for now := float64(clock.Second); now < float64(21*clock.Second); now += interval * random.ExpFloat64() {
		request := draw()
		request.arrivesAt = clock.Microseconds(now)
		requests = append(requests, request)
	}
	return requests
}

// prompt returns the prompt of the request.
func (m modelRequest) prompt(number, sharedTokens int) []platformport.PromptChunk {
	own := platformport.PromptChunk{Name: fmt.Sprint("own-", number), Tokens: m.own}
	if m.prefix < 0 {
		return []platformport.PromptChunk{own}
	}
	return []platformport.PromptChunk{{Name: fmt.Sprint("prefix-", m.prefix), Tokens: sharedTokens}, own}
}

// modelEngine is a simulated prefill engine that computes one prompt at a time and caches every prefix forever.
type modelEngine struct {
	freeAt   clock.Microseconds
	prefixes map[int]bool
}

// finish returns when the prompt of an arriving request would be computed, the number of tokens to compute, and
// the number of cached tokens before them.
func (m *modelEngine) finish(c regretCase, request modelRequest) (end clock.Microseconds, tokens, cached int) {
	tokens = request.own
	switch {
	case request.prefix >= 0 && m.prefixes[request.prefix]:
		cached = c.sharedTokens
	case request.prefix >= 0:
		tokens += c.sharedTokens
	}
	busy := c.duration(tokens, cached) - c.duration(0, 0)
	return max(m.freeAt, request.arrivesAt) + busy, tokens, cached
}

// accept queues and computes the prompt of a request. It returns the time to the first token.
func (m *modelEngine) accept(c regretCase, request modelRequest) clock.Microseconds {
	end, _, _ := m.finish(c, request)
	m.freeAt = end
	if request.prefix >= 0 {
		m.prefixes[request.prefix] = true
	}
	return end - request.arrivesAt + c.duration(0, 0)
}

// pendingSample is a sample that has not reached the owner yet.
type pendingSample struct {
	// at is when the sample reaches the owner.
	at     clock.Microseconds
	sample balancer.PrefillSample
}

// pendingSamples is a heap of samples, ordered by the time at which they reach the owner.
type pendingSamples []pendingSample

func (p pendingSamples) Len() int           { return len(p) }
func (p pendingSamples) Less(i, j int) bool { return p[i].at < p[j].at }
func (p pendingSamples) Swap(i, j int)      { p[i], p[j] = p[j], p[i] }
func (p *pendingSamples) Push(sample any)   { *p = append(*p, sample.(pendingSample)) }
func (p *pendingSamples) Pop() any {
	last := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return last
}

// newModelEngines returns idle engines with empty caches.
func newModelEngines(count int) map[string]*modelEngine {
	engines := map[string]*modelEngine{}
	for number := range count {
		engines[engineName(number)] = &modelEngine{prefixes: map[int]bool{}}
	}
	return engines
}

// listedModelEngines returns the list of the engines for a balancer, and two decoders with enough slots for all
// requests.
func listedModelEngines(count int) []platformport.Engine {
	var roles []string
	for range count {
		roles = append(roles, pairing.RolePrefill)
	}
	engines := newEngines(append(roles, pairing.RoleDecode, pairing.RoleDecode)...)
	for index := range engines {
		engines[index].Slots = 1 << 20
	}
	return engines
}

// simulateOwner simulates requests that one placement owner places, and returns their times to the first token. Each
// sample reaches the owner half a second after the end of its call.
func simulateOwner(c regretCase, requests []modelRequest) []clock.Microseconds {
	const reportDelay = clock.Second / 2
	owner, engines := newOwnerBalancer(listedModelEngines(c.prefillers)), newModelEngines(c.prefillers)
	pending := &pendingSamples{}
	var latencies []clock.Microseconds
	for number, request := range requests {
		for pending.Len() > 0 && (*pending)[0].at <= request.arrivesAt {
			owner.Observe([]balancer.PrefillSample{heap.Pop(pending).(pendingSample).sample}, nil)
		}
		requirements := balancer.Requirements{
			Key:    fmt.Sprint(number),
			Router: fmt.Sprint(number % 90),
			Prompt: request.prompt(number, c.sharedTokens),
		}
		selection, _ := owner.Place(request.arrivesAt, requirements, 1)
		engine := engines[selection.Prefiller.Incarnation]
		if engine == nil {
			// A decoder computes the prompt itself. The simulation takes twice the duration of a prefill
			// of the request's own tokens, without any queue.
			latencies = append(latencies, 2*c.duration(request.own, 0))
			continue
		}
		_, tokens, cached := engine.finish(c, request)
		latency := engine.accept(c, request)
		latencies = append(latencies, latency)
		if selection.PrefillWait < clock.Millisecond {
			sample := balancer.PrefillSample{Tokens: tokens, Cached: cached, Elapsed: latency}
			heap.Push(pending, pendingSample{request.arrivesAt + latency + reportDelay, sample})
		}
	}
	return latencies
}

// simulateOmniscient simulates requests that are placed with knowledge of all properties and queues. Each request goes
// to the engine that finishes it first, where the time to compute a prefix that another engine has cached counts
// threefold.
func simulateOmniscient(c regretCase, requests []modelRequest) []clock.Microseconds {
	engines := newModelEngines(c.prefillers)
	computed := map[int]bool{}
	var latencies []clock.Microseconds
	for _, request := range requests {
		var best *modelEngine
		lowest := clock.Microseconds(math.MaxInt64)
		for number := range c.prefillers {
			engine := engines[engineName(number)]
			cost, _, _ := engine.finish(c, request)
			if request.prefix >= 0 && computed[request.prefix] && !engine.prefixes[request.prefix] {
				cost += 2 * c.duration(c.sharedTokens, 0)
			}
			if cost < lowest {
				best, lowest = engine, cost
			}
		}
		computed[request.prefix] = true
		latencies = append(latencies, best.accept(c, request))
	}
	return latencies
}

// simulateIndependentRouters simulates requests of many routers. Each router knows only the requests that it has
// placed itself.
func simulateIndependentRouters(c regretCase, requests []modelRequest) []clock.Microseconds {
	const routers = 30
	var balancers []*balancer.Balancer
	for number := range routers {
		lb := balancer.New(testOptions(number))
		lb.Update(clock.Second, balancer.View{
			Service:     testService,
			Engines:     listedModelEngines(c.prefillers),
			RouterCount: routers,
		})
		balancers = append(balancers, lb)
	}
	engines := newModelEngines(c.prefillers)
	var latencies []clock.Microseconds
	for number, request := range requests {
		requirements := balancer.Requirements{
			Key:    fmt.Sprint(number),
			Prompt: request.prompt(number, c.sharedTokens),
		}
		selection, _ := balancers[number%routers].Select(request.arrivesAt, requirements)
		engine := engines[selection.Prefiller.Incarnation]
		if engine == nil {
			latencies = append(latencies, 2*c.duration(request.own, 0))
			continue
		}
		latencies = append(latencies, engine.accept(c, request))
	}
	return latencies
}

// lateShare returns the share of latencies above a target.
func lateShare(latencies []clock.Microseconds, target clock.Microseconds) float64 {
	late := 0
	for _, latency := range latencies {
		if latency > target {
			late++
		}
	}
	return float64(late) / float64(len(latencies))
}

// target returns the latency above which a request is late: three times the duration of a prefill of ownTokens
// after a cached prefix.
func (c regretCase) target() clock.Microseconds {
	const targetFactor = 3
	return targetFactor * c.duration(int(c.ownTokens), c.sharedTokens)
}

// maxRegret is the maximum difference between the share of late requests with an owner and the share with
// placements that know all properties and queues.
const maxRegret = 0.05

func TestPlace_RegretOverTheGrid(t *testing.T) {
	const seeds = 3
	largest := 0.0
	for name, c := range regretGrid() {
		shares := [3]float64{}
		for seed := range uint64(seeds) {
			requests := c.requestsOf(rand.New(rand.NewPCG(seed, 7)))
			for index, latencies := range [][]clock.Microseconds{
				simulateOwner(c, requests), simulateOmniscient(c, requests), simulateIndependentRouters(c, requests),
			} {
				shares[index] += lateShare(latencies, c.target()) / seeds
			}
		}
		regret := shares[0] - shares[1]
		largest = max(largest, regret)
		t.Logf("%-28s late: owner %.3f, omniscient %.3f, each router alone %.3f", name, shares[0], shares[1], shares[2])
		if regret > maxRegret {
			t.Errorf("%s: the share of late requests is %.3f with an owner and %.3f with all properties known, want at most %.2f more",
				name, shares[0], shares[1], maxRegret)
		}
	}
	t.Logf("largest regret %.3f", largest)
}
