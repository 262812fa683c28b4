package balancer

import (
	"cmp"

	"coursepass/internal/clock"
	"coursepass/internal/rendezvous"
	"coursepass/internal/state/pairing"
)

const (
	// millisecondsToMicroseconds converts the result of a rate in tokens per millisecond.
	millisecondsToMicroseconds = 1000
	bytesPerKibibyte           = 1024
	bitsPerByte                = 8

	// dedicatedRateShare is the part of the prefill rate that an engine without decoding reaches,
	// sharedRateShare that of an engine which decodes too.
	dedicatedRateShare = 1.0
	sharedRateShare    = 0.5

	// transferOverhead is what a transfer of a KV cache takes regardless of its size.
	transferOverhead = 22 * clock.Millisecond
	// duplicatePrefillWeight is how many times its own time it costs to compute a shared prefix that
	// another engine has cached: it uses prefill time that others wait for, and cache memory.
	duplicatePrefillWeight = 3
	// runningRequestCost is what each running response adds to the time of the others.
	runningRequestCost = 1500 * clock.Microseconds(1)
	// saturationCost is added for a decoder without a free slot.
	saturationCost = 400 * clock.Millisecond
	// pausedRunCost is added for a decoder that pauses its responses for too long.
	pausedRunCost = 300 * clock.Millisecond
	// pauseShare is the part of the longest pause that the prefill of a decoder may take: the rest is the
	// time from one event to the next without any prefill.
	pauseShare = 0.75
	// baseInterference is how many times its own time a prefill at a decoder costs if that decoder
	// generates nothing else.
	baseInterference = 3
	// tieBreakRange bounds the pseudo-random cost by which each request orders equal engines.
	tieBreakRange = 6 * clock.Millisecond

	// remoteZoneLatency is how much longer any exchange with another zone takes.
	remoteZoneLatency = 2 * clock.Millisecond
	// transferCostPerThousandTokens is the cost of a transfer between zones, in microseconds.
	transferCostPerThousandTokens = 1300 * clock.Microseconds(1)
	tokensPerTransferCost         = 1000
	// crossRegionCostFactor is how many times more a byte costs between regions than between zones.
	crossRegionCostFactor = 3
	// crossRegionTransferFactor is how many times longer a transfer takes between regions than
	// inside a zone.
	crossRegionTransferFactor = 10
	// minTransferTime is how long the shortest transfer inside a zone takes.
	minTransferTime = 4 * clock.Millisecond
)

// prefillDuration returns how long some prompt tokens take at a rate in tokens per millisecond.
func prefillDuration(tokens int, rate float64) clock.Microseconds {
	return clock.Microseconds(float64(tokens) / rate * millisecondsToMicroseconds)
}

// prefillTime returns how long some prompt tokens take an engine that reaches a part of the observed
// prefill rate.
func (b *Balancer) prefillTime(tokens int, rateShare float64) clock.Microseconds {
	return prefillDuration(tokens, b.prefillRate*rateShare)
}

// occupancy estimates how many requests of all routers an engine has.
func (b *Balancer) occupancy(now clock.Microseconds, engine *engineState) float64 {
	return float64(engine.running+len(engine.expectedEnds)) + engine.otherRoutersLoad(now)
}

// full reports whether an engine is assumed to have no free slot.
func (b *Balancer) full(now clock.Microseconds, engine *engineState) bool {
	return engine.Slots > 0 && b.occupancy(now, engine) >= float64(engine.Slots)
}

// distanceCost returns the cost of sending a request body to the zone of an engine.
func (b *Balancer) distanceCost(engine *engineState, requirements Requirements) clock.Microseconds {
	zone := cmp.Or(requirements.Zone, b.Zone)
	if engine.Zone == zone {
		return 0
	}
	zoneCost := b.CrossZoneCost * clock.Microseconds(requirements.BodyBytes) / bytesPerKibibyte
	if b.Regions.RegionOf(engine.Zone) != b.Regions.RegionOf(zone) {
		return crossRegionCostFactor*zoneCost + remoteZoneLatency + b.CrossRegionLatency
	}
	return zoneCost + remoteZoneLatency
}

// decodeCost returns the cost of generating a response at a decoder, without any prefill.
func (b *Balancer) decodeCost(
	now clock.Microseconds,
	decoder *engineState,
	requirements Requirements,
) clock.Microseconds {
	cost := clock.Microseconds(b.occupancy(now, decoder) * float64(runningRequestCost))
	cost += b.distanceCost(decoder, requirements) + decoder.penalty
	if requirements.NonRetryable {
		cost += (nonRetryableWeight - 1) * decoder.penalty
	}
	if b.full(now, decoder) {
		cost += saturationCost
	}
	if b.pausesRuns(decoder, 0, requirements.EventTimeout) {
		cost += pausedRunCost
	}
	return cost
}

// pausesRuns reports whether a decoder that computes some prompt tokens beside those it has yet to compute
// pauses its responses for longer than a route aims at: they get hardly any tokens meanwhile.
func (b *Balancer) pausesRuns(decoder *engineState, tokens int, eventTimeout clock.Microseconds) bool {
	if eventTimeout <= 0 || decoder.Role == pairing.RolePrefill {
		return false
	}
	prefill := b.prefillTime(tokens+decoder.backlog.total(), sharedRateShare)
	return float64(prefill) > float64(eventTimeout)*pauseShare
}

// localPrefillCost returns the cost of computing some tokens of a prompt at the decoder itself. All
// responses that it generates wait meanwhile, each for every chunk of the prompt.
func (b *Balancer) localPrefillCost(now clock.Microseconds, decoder *engineState, tokens int) clock.Microseconds {
	backlog := b.prefillTime(decoder.backlog.total(), sharedRateShare)
	interference := baseInterference + b.occupancy(now, decoder)
	prefill := float64(b.prefillTime(tokens, sharedRateShare))
	return backlog + clock.Microseconds(interference*prefill) + b.prefillModel.Fixed()
}

// prefillWait returns how long a request of some urgency is expected to be queued at a prefiller.
func (b *Balancer) prefillWait(now clock.Microseconds, prefiller *engineState, urgency int) clock.Microseconds {
	tokens := prefiller.backlog.ahead(urgency) + int(prefiller.otherRoutersLoad(now)*b.meanPromptTokens)
	return b.prefillTime(tokens, dedicatedRateShare)
}

// prefillTokens is how many tokens of a prompt an engine would compute, and how many of these another
// engine has cached.
type prefillTokens struct{ uncached, duplicated int }

// prefillCost returns the cost of computing some tokens of a prompt at a prefiller: its queue, the
// tokens themselves, and those among them that are computed twice.
func (b *Balancer) prefillCost(
	now clock.Microseconds,
	prefiller *engineState,
	requirements Requirements,
	tokens prefillTokens,
) clock.Microseconds {
	duplicateCost := b.prefillTime(tokens.duplicated, dedicatedRateShare) * (duplicatePrefillWeight - 1)
	return b.prefillWait(now, prefiller, requirements.Urgency) +
		b.prefillTime(tokens.uncached, dedicatedRateShare) +
		b.prefillModel.Fixed() +
		b.distanceCost(prefiller, requirements) +
		duplicateCost +
		b.tieBreakCost(requirements, prefiller) +
		prefiller.penalty
}

// tieBreakCost returns the pseudo-random cost by which a request orders equal engines. Routers that know only
// their own requests order them differently for each request, so that they don't all choose the same engine.
// An owner, which knows all requests, orders them by the router that has the request: the router then meets
// the same engines again, over the same connections.
func (b *Balancer) tieBreakCost(requirements Requirements, engine *engineState) clock.Microseconds {
	key := requirements.Key
	if b.PlacesForAll {
		key = requirements.Router
	}
	return clock.Microseconds(rendezvous.Score(key, engine.Incarnation) % uint64(tieBreakRange))
}

// crossZoneTransferCost returns the cost of transferring the KV cache of a prompt between two zones
// of a region: twice the time inside a zone, and a price for the bytes.
func crossZoneTransferCost(promptTokens int) clock.Microseconds {
	return remoteZoneLatency + transferCostPerThousandTokens*clock.Microseconds(promptTokens)/tokensPerTransferCost
}

// transferCost returns how much more the transfer of the KV cache of a prompt costs between two
// zones than inside one.
func (b *Balancer) transferCost(prefillerZone, decoderZone string, promptTokens int) clock.Microseconds {
	if prefillerZone == decoderZone {
		return 0
	}
	zoneCost := crossZoneTransferCost(promptTokens)
	if b.Regions.RegionOf(prefillerZone) == b.Regions.RegionOf(decoderZone) {
		return zoneCost
	}
	transferTime := minTransferTime
	if b.service.Link > 0 {
		bits := float64(promptTokens) * float64(b.service.TokenBytes) * bitsPerByte
		transferTime = max(transferTime, clock.Microseconds(bits/b.service.Link*float64(clock.Second)))
	}
	return crossRegionCostFactor*zoneCost + (crossRegionTransferFactor-1)*transferTime + b.CrossRegionLatency
}
