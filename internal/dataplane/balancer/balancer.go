package balancer

import (
	"hash/fnv"
	"slices"
	"strconv"
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/route"
	"coursepass/internal/topology"
)

// Options are the lengths and prices that placement works with.
type Options struct {
	// Router is this router, Hall where it stands.
	Router string
	Zone   string
	// Regions are the regions of all halls.
	Regions topology.RegionMap
	// WarmupOverrun and ColdSlack bound what a cold engine may be sent by all routers together.
	WarmupOverrun float64
	WarmupSlack   float64
	// CrossZoneCost is what sending a byte of a request to another hall is worth, in microseconds
	// for each kilobyte.
	CrossZoneCost clock.Microseconds
	// CrossRegionLatency is what an answer from another region takes longer to come.
	CrossRegionLatency clock.Microseconds
}

// Balancer is a service's engines as one router knows them.
type Balancer struct {
	Options
	lock           sync.Mutex
	service        route.Service
	routerCount    int
	engines        map[string]*engineState
	affinityGroups map[string]string
	// unexpectedEnds is what is remembered of the lives at an address, beyond their ends.
	unexpectedEnds map[string]endHistory
	evacuatedZones map[string]bool
	// prefillRate is how many tokens a reading engine reads in a millisecond, as observed.
	prefillRate float64
	// meanPromptTokens is how many tokens a prompt that is read apart asks for, as observed.
	meanPromptTokens float64
	// prefillBusyTime and made are the time that engines were kept busy for this router, by reading
	// prompts for others and by making answers.
	prefillBusyTime clock.Microseconds
	decodeBusyTime  clock.Microseconds
	switchingRole   map[string]bool
	// latencyEstimators are how much longer than expected engines take, by stage.
	latencyEstimators [2]latencyEstimator
}

// New is a pool without engines.
func New(options Options) *Balancer {
	return &Balancer{Options: options, routerCount: 1, engines: map[string]*engineState{}, unexpectedEnds: map[string]endHistory{}, prefillRate: 40, meanPromptTokens: 1500, latencyEstimators: [2]latencyEstimator{{initialLatencyEstimate, initialLatencyEstimate}, {initialLatencyEstimate, initialLatencyEstimate}}}
}

// Update takes the engines that are listed, the leader's contract, the halls that are
// evacuated, and the number of routers that share cold engines.
func (b *Balancer) Update(now clock.Microseconds, service route.Service, engines []platformport.Engine, assignment pairing.Assignment, evacuatedZones []string, routerCount int) {
	b.lock.Lock()
	defer b.lock.Unlock()
	// A contract that names fewer routers for a while must not let each send more.
	b.service, b.routerCount = service, max(routerCount, b.routerCount)
	readmitted := map[string]bool{}
	for zone := range b.evacuatedZones {
		readmitted[zone] = !slices.Contains(evacuatedZones, zone)
	}
	listed := map[string]bool{}
	for _, engine := range engines {
		listed[engine.Incarnation] = true
		state, ok := b.engines[engine.Incarnation]
		if !ok {
			state = &engineState{cachedChunks: map[string]clock.Microseconds{}, lastActivity: now, warmupUntil: b.flapWarmupEnd(now, engine.Address)}
			b.engines[engine.Incarnation] = state
		}
		engine.Draining = engine.Draining || state.Draining
		state.Engine = engine
		if readmitted[engine.Zone] {
			state.warmupUntil = now + readmissionWarmup
		}
	}
	for incarnation := range b.engines {
		if !listed[incarnation] {
			b.recordUnexpectedEnd(now, b.engines[incarnation])
			delete(b.engines, incarnation)
		}
	}
	b.affinityGroups = assignment.Teams
	b.switchingRole = map[string]bool{}
	for _, incarnation := range assignment.Away {
		b.switchingRole[incarnation] = true
	}
	b.evacuatedZones = map[string]bool{}
	for _, zone := range evacuatedZones {
		b.evacuatedZones[zone] = true
	}
}

// readmissionWarmup is how long engines of a hall that is let back are taken for cold: they may have
// turned so shortly before, and the list lags.
const readmissionWarmup = 3 * clock.Second

// Requirements is what a request needs of a pool.
type Requirements struct {
	Prompt []platformport.PromptChunk
	// BodyBytes is the size of the request in bytes.
	BodyBytes int
	// NoSplit forbids reading and making at two engines.
	NoSplit bool
	// NonRetryable says that the request is lost if the engine fails that it runs at.
	NonRetryable bool
	// Key tells requests apart, so that routers that know nothing of an engine's load don't
	// all choose the same one.
	Key             string
	ExcludedEngines map[string]bool
	// ClosedRegions are regions that get nothing of this request, Homes the only ones that may.
	ClosedRegions  map[string]bool
	AllowedRegions []string
}

// Selection is where to send a request: Reader is empty if the writer reads by itself.
type Selection struct {
	Prefiller platformport.Engine
	Decoder   platformport.Engine
	Split     bool
	// TimeToFirstToken is the estimated time to the first token.
	TimeToFirstToken clock.Microseconds
	// UncachedTokens is how many tokens whoever reads the prompt is taken to lack of it; Sure says
	// that these are no more than the request's own.
	UncachedTokens int
	UnsharedOnly   bool
	// Full says that the writer has no free place as far as is known.
	Full bool
}

func rendezvousScore(left, right string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(left))
	hash.Write([]byte{0})
	hash.Write([]byte(right))
	// The last bytes alone change the low bits too little.
	value := hash.Sum64()
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	return value ^ value>>33
}

// preferredEngines are the engines at which a prompt's deepest shared piece is at home, the same for all
// routers: one, or an eighth of all for small pieces, which are few and soon read.
func preferredEngines(prompt []platformport.PromptChunk, engines []*engineState) map[*engineState]bool {
	if len(prompt) < 2 || len(engines) == 0 {
		return nil
	}
	shared := 0
	for _, chunk := range prompt[:len(prompt)-1] {
		shared += chunk.Tokens
	}
	count := 1
	if shared < smallPrefixTokens {
		count = max(len(engines)/8, 1)
	}
	sharedPrefix := prompt[len(prompt)-2].Name
	preferred := map[*engineState]bool{}
	for range count {
		var best *engineState
		highest := uint64(0)
		for _, engine := range engines {
			if score := rendezvousScore(sharedPrefix, engine.Incarnation); !preferred[engine] && (best == nil || score > highest) {
				best, highest = engine, score
			}
		}
		preferred[best] = true
	}
	return preferred
}

const (
	// smallPrefixTokens is below how many tokens shared pieces are not worth a home of their own.
	smallPrefixTokens = 1000
)

func (b *Balancer) eligible(now clock.Microseconds, requirements Requirements) (prefillers, decoders []*engineState) {
	for _, engine := range b.engines {
		if engine.Draining || b.switchingRole[engine.Incarnation] || b.evacuatedZones[engine.Zone] || requirements.ExcludedEngines[engine.Incarnation] || !b.regionAllowed(engine.Zone, requirements) || !b.withinWarmupRate(now, engine) {
			continue
		}
		if engine.Role != pairing.RoleDecode {
			prefillers = append(prefillers, engine)
		}
		if engine.Role != pairing.RolePrefill {
			decoders = append(decoders, engine)
		}
	}
	prefillers, decoders = b.withoutSuspects(now, prefillers), b.withoutSuspects(now, decoders)
	b.setFailurePenalties(now, prefillers)
	b.setFailurePenalties(now, decoders)
	return prefillers, decoders
}

// regionAllowed tells whether a request may go to the engines of a hall as far as regions go.
func (b *Balancer) regionAllowed(zone string, requirements Requirements) bool {
	region := b.Regions.RegionOf(zone)
	return !requirements.ClosedRegions[region] && (len(requirements.AllowedRegions) == 0 || slices.Contains(requirements.AllowedRegions, region))
}

// withoutSuspects leaves out engines in doubt, unless there are no others.
func (b *Balancer) withoutSuspects(now clock.Microseconds, engines []*engineState) []*engineState {
	trusted := make([]*engineState, 0, len(engines))
	for _, engine := range engines {
		if now >= engine.suspectUntil && !engine.lagging(now, b.prefillRate) {
			trusted = append(trusted, engine)
		}
	}
	if len(trusted) == 0 {
		trusted = engines
	}
	slices.SortFunc(trusted, func(left, right *engineState) int {
		if left.Incarnation < right.Incarnation {
			return -1
		}
		return 1
	})
	return trusted
}

const (
	// transferOverhead is what moving prompt memory takes besides its bytes.
	transferOverhead = 22 * clock.Millisecond
	// firstTokenTime is what the first token takes once all is read.
	firstTokenTime = 16 * clock.Millisecond
	// duplicatePrefillWeight is how many times its own span it costs to read shared pieces that another
	// engine holds: it takes readers' time that others wait for, and memory there.
	duplicatePrefillWeight = 3
	// runningRequestCost is what each running answer adds to the time of the others.
	runningRequestCost = 1500 * clock.Microseconds(1)
	saturationCost     = 400 * clock.Millisecond
)

func (b *Balancer) distanceCost(engine *engineState, bodyBytes int) clock.Microseconds {
	if engine.Zone == b.Zone {
		return 0
	}
	zoneCost := b.CrossZoneCost * clock.Microseconds(bodyBytes) / 1024
	if b.Regions.RegionOf(engine.Zone) != b.Regions.RegionOf(b.Zone) {
		return crossRegionCostFactor*zoneCost + 2*clock.Millisecond + b.CrossRegionLatency
	}
	return zoneCost + 2*clock.Millisecond
}

const (
	// crossRegionCostFactor is how many times more a byte costs between regions than between halls,
	// regionSpan how many times longer moving prompt memory takes there than inside a hall.
	crossRegionCostFactor     = 3
	crossRegionTransferFactor = 10
	minTransferTime           = 4 * clock.Millisecond
)

// transferCost is what handing a prompt's memory over costs more than inside a hall; across is what
// it costs between two halls of a region.
func (b *Balancer) transferCost(prefiller, decoder string, zoneCost clock.Microseconds, tokens int) clock.Microseconds {
	switch {
	case prefiller == decoder:
		return 0
	case b.Regions.RegionOf(prefiller) == b.Regions.RegionOf(decoder):
		return zoneCost
	}
	transferTime := minTransferTime
	if b.service.Link > 0 {
		bits := float64(tokens) * float64(b.service.TokenBytes) * 8
		transferTime = max(transferTime, clock.Microseconds(bits/b.service.Link*float64(clock.Second)))
	}
	return crossRegionCostFactor*zoneCost + (crossRegionTransferFactor-1)*transferTime + b.CrossRegionLatency
}

func (b *Balancer) prefillTime(tokens int, rateShare float64) clock.Microseconds {
	return clock.Microseconds(float64(tokens) / (b.prefillRate * rateShare) * 1000)
}

func (b *Balancer) occupancy(now clock.Microseconds, engine *engineState) float64 {
	return float64(engine.running) + engine.otherRoutersLoad(now)
}

func (b *Balancer) full(now clock.Microseconds, engine *engineState) bool {
	return engine.Slots > 0 && b.occupancy(now, engine) >= float64(engine.Slots)
}

func (b *Balancer) decodeCost(now clock.Microseconds, decoder *engineState, requirements Requirements) clock.Microseconds {
	cost := clock.Microseconds(b.occupancy(now, decoder)*float64(runningRequestCost)) + b.distanceCost(decoder, requirements.BodyBytes) + decoder.penalty
	if requirements.NonRetryable {
		cost += (nonRetryableWeight - 1) * decoder.penalty
	}
	if b.full(now, decoder) {
		cost += saturationCost
	}
	return cost
}

// decodeTimePerToken is how long one more token keeps an engine busy.
const decodeTimePerToken = 90 * clock.Microseconds(1)

// BusyTime is how long engines were kept busy for this router since it started, by reading
// prompts for others and by making answers.
func (b *Balancer) BusyTime() (prefill, decode clock.Microseconds) {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.prefillBusyTime, b.decodeBusyTime
}

// weightsGroup is the team of all engines with the same weights.
func weightsGroup(weights int) string { return strconv.Itoa(weights) }
