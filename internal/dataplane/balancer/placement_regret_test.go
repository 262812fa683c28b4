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

// These tests play placements against a model of prefill engines whose properties the balancer is not told,
// over a grid of such properties, and compare them with placements that know everything.

// regretCase are the properties of one play.
type regretCase struct {
	truePrefill
	prefillers int
	// sharedTokens is the size of a long prompt's prefix, prefixes how many there are.
	sharedTokens, prefixes int
	ownTokens              float64
	// load is the part of their time that engines would compute if each prefix was read once.
	load float64
}

// usualCase is about the middle of the grid.
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

// regretGrid has the usual case, and each property at a third and at three times its usual value.
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

// modelRequest is one request of a play.
type modelRequest struct {
	arrivesAt clock.Microseconds
	prefix    int
	own       int
}

// requestsOf returns the requests of twenty seconds.
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

// prompt returns the request's prompt.
func (m modelRequest) prompt(number, sharedTokens int) []platformport.PromptChunk {
	own := platformport.PromptChunk{Name: fmt.Sprint("own-", number), Tokens: m.own}
	if m.prefix < 0 {
		return []platformport.PromptChunk{own}
	}
	return []platformport.PromptChunk{{Name: fmt.Sprint("prefix-", m.prefix), Tokens: sharedTokens}, own}
}

// modelEngine computes one prompt after the other and keeps each prefix.
type modelEngine struct {
	freeAt   clock.Microseconds
	prefixes map[int]bool
}

// finish returns when a request that comes now would be computed, and the tokens that it takes.
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

// accept computes a request; it returns the time until its first token.
func (m *modelEngine) accept(c regretCase, request modelRequest) clock.Microseconds {
	end, _, _ := m.finish(c, request)
	m.freeAt = end
	if request.prefix >= 0 {
		m.prefixes[request.prefix] = true
	}
	return end - request.arrivesAt + c.duration(0, 0)
}

// pendingSample is an observation that has not arrived at the owner yet.
type pendingSample struct {
	at     clock.Microseconds
	sample balancer.PrefillSample
}

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

// newModelEngines returns engines that have nothing to do.
func newModelEngines(count int) map[string]*modelEngine {
	engines := map[string]*modelEngine{}
	for number := range count {
		engines[engineName(number)] = &modelEngine{prefixes: map[int]bool{}}
	}
	return engines
}

// listedModelEngines returns the engines as a balancer knows them, with decoders that have room for all.
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

// playOwner plays requests that one owner places, and returns the times to their first tokens. What the
// owner hears of engines is half a second old.
func playOwner(c regretCase, requests []modelRequest) []clock.Microseconds {
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
			// A decoder computes the prompt at half the rate, without any queue.
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

// playOmniscient plays requests that go to the engine that ends first, where a prefix that is read again
// counts threefold: all properties and queues are known.
func playOmniscient(c regretCase, requests []modelRequest) []clock.Microseconds {
	engines := newModelEngines(c.prefillers)
	read := map[int]bool{}
	var latencies []clock.Microseconds
	for _, request := range requests {
		var best *modelEngine
		lowest := clock.Microseconds(math.MaxInt64)
		for number := range c.prefillers {
			engine := engines[engineName(number)]
			cost, _, _ := engine.finish(c, request)
			if request.prefix >= 0 && read[request.prefix] && !engine.prefixes[request.prefix] {
				cost += 2 * c.duration(c.sharedTokens, 0)
			}
			if cost < lowest {
				best, lowest = engine, cost
			}
		}
		read[request.prefix] = true
		latencies = append(latencies, best.accept(c, request))
	}
	return latencies
}

// playAlone plays requests that each of many routers places by what it has sent itself.
func playAlone(c regretCase, requests []modelRequest) []clock.Microseconds {
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

// lateShare returns the share of latencies beyond a target.
func lateShare(latencies []clock.Microseconds, target clock.Microseconds) float64 {
	late := 0
	for _, latency := range latencies {
		if latency > target {
			late++
		}
	}
	return float64(late) / float64(len(latencies))
}

// target is three times what a usual prompt takes that finds its prefix.
func (c regretCase) target() clock.Microseconds {
	const patience = 3
	return patience * c.duration(int(c.ownTokens), c.sharedTokens)
}

// maxRegret is by how much the share of late requests may exceed that of placements that know everything.
const maxRegret = 0.05

func TestPlace_RegretOverTheGrid(t *testing.T) {
	const seeds = 3
	largest := 0.0
	for name, c := range regretGrid() {
		shares := [3]float64{}
		for seed := range uint64(seeds) {
			requests := c.requestsOf(rand.New(rand.NewPCG(seed, 7)))
			for index, latencies := range [][]clock.Microseconds{
				playOwner(c, requests), playOmniscient(c, requests), playAlone(c, requests),
			} {
				shares[index] += lateShare(latencies, c.target()) / seeds
			}
		}
		regret := shares[0] - shares[1]
		largest = max(largest, regret)
		t.Logf("%-28s late: owner %.3f, omniscient %.3f, each router alone %.3f", name, shares[0], shares[1], shares[2])
		if regret > maxRegret {
			t.Errorf("%s: %.3f late, %.3f with all known", name, shares[0], shares[1])
		}
	}
	t.Logf("largest regret %.3f", largest)
}
