package balancer

import (
	"cmp"

	"coursepass/internal/clock"
	"coursepass/internal/rendezvous"
	"coursepass/internal/state/pairing"
)

const (
	// millisecondsToMicroseconds is the number of microseconds in a millisecond. Prefill rates are in
	// tokens per millisecond.
	millisecondsToMicroseconds = 1000
	bytesPerKibibyte           = 1024
	bitsPerByte                = 8

	// dedicatedRateShare is the share of the observed prefill rate that a dedicated prefill engine
	// reaches, sharedRateShare the share that an engine reaches which also decodes.
	dedicatedRateShare = 1.0
	sharedRateShare    = 0.5

	// transferOverhead is the part of the duration of a KV cache transfer that does not depend on the
	// size of the KV cache.
	transferOverhead = 22 * clock.Millisecond
	// duplicatePrefillWeight scales the time to compute a shared prefix that another engine has cached.
	// It is above 1 because the duplicate delays other prefills and occupies cache memory.
	duplicatePrefillWeight = 3
	// runningRequestCost is the cost of each response that the decoder already generates: every running
	// response slows down the others.
	runningRequestCost = 1500 * clock.Microseconds(1)
	// saturationCost is the additional cost of a decoder without a free slot.
	saturationCost = 400 * clock.Millisecond
	// pausedRunCost is the additional cost of a decoder whose prefill backlog pauses its responses for
	// longer than the event timeout allows.
	pausedRunCost = 300 * clock.Millisecond
	// maxPauseShare is the maximum share of the event timeout that prefill on a decoder may take. The rest
	// is left for the usual interval between two events without any prefill.
	maxPauseShare = 0.75
	// baseInterference scales the time of a prefill on a decoder that generates no other response.
	baseInterference = 3
	// tieBreakRange is the exclusive upper bound of the pseudo-random cost that breaks ties between
	// engines of equal cost.
	tieBreakRange = 6 * clock.Millisecond

	// remoteZoneLatency is the additional latency of an exchange with another zone.
	remoteZoneLatency = 2 * clock.Millisecond
	// transferCostPerThousandTokens is the cost of transferring the KV cache of tokensPerTransferCost
	// tokens to another zone of the region, in microseconds.
	transferCostPerThousandTokens = 1300 * clock.Microseconds(1)
	tokensPerTransferCost         = 1000
	// crossRegionCostFactor is the cost of a byte between regions as a multiple of its cost between
	// zones.
	crossRegionCostFactor = 3
	// crossRegionTransferFactor is the duration of a KV cache transfer between regions as a multiple of
	// its duration within a zone.
	crossRegionTransferFactor = 10
	// minTransferTime is the minimum duration of a KV cache transfer within a zone.
	minTransferTime = 4 * clock.Millisecond
)

// prefillDuration returns the time to compute prompt tokens at a rate in tokens per millisecond.
func prefillDuration(tokens int, rate float64) clock.Microseconds {
	return clock.Microseconds(float64(tokens) / rate * millisecondsToMicroseconds)
}

// prefillTime returns the time to compute prompt tokens on an engine that reaches the given share of the
// observed prefill rate.
func (b *Balancer) prefillTime(tokens int, rateShare float64) clock.Microseconds {
	return prefillDuration(tokens, b.prefillRate*rateShare)
}

// occupancy estimates the number of requests of all routers on an engine.
func (b *Balancer) occupancy(now clock.Microseconds, engine *engineState) float64 {
	return float64(engine.running+len(engine.expectedRuns)) + engine.otherRoutersLoad(now)
}

// full reports whether an engine is assumed to have no free slot.
func (b *Balancer) full(now clock.Microseconds, engine *engineState) bool {
	return engine.Slots > 0 && b.occupancy(now, engine) >= float64(engine.Slots)
}

// distanceCost returns the cost of sending a request from the router's zone to the zone of an engine: the
// price of the body and the latency between the zones.
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

// decodeCost returns the cost of generating a response on a decoder, without any prefill.
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
	if b.exceedsPauseLimit(decoder, 0, requirements.EventTimeout) {
		cost += pausedRunCost
	}
	return cost + b.memoryCost(decoder, requirements)
}

// exceedsPauseLimit reports whether a decoder pauses its running responses for longer than eventTimeout allows if
// it computes the given number of prompt tokens in addition to its prefill backlog. Running responses get
// hardly any tokens during a prefill. An eventTimeout of 0 stands for no target.
func (b *Balancer) exceedsPauseLimit(decoder *engineState, tokens int, eventTimeout clock.Microseconds) bool {
	if eventTimeout <= 0 || decoder.Role == pairing.RolePrefill {
		return false
	}
	prefill := b.prefillTime(tokens+decoder.backlog.total(), sharedRateShare)
	return float64(prefill) > float64(eventTimeout)*maxPauseShare
}

// localPrefillCost returns the cost of computing prompt tokens on the decoder itself. The cost grows with
// the occupancy of the decoder, since each running response waits during every chunk of the prompt.
func (b *Balancer) localPrefillCost(now clock.Microseconds, decoder *engineState, tokens int) clock.Microseconds {
	backlog := b.prefillTime(decoder.backlog.total(), sharedRateShare)
	interference := baseInterference + b.occupancy(now, decoder)
	prefill := float64(b.prefillTime(tokens, sharedRateShare))
	return backlog + clock.Microseconds(interference*prefill) + b.prefillModel.Fixed()
}

// prefillWait returns the expected queueing time of a request of the given urgency on a prefiller.
func (b *Balancer) prefillWait(now clock.Microseconds, prefiller *engineState, urgency int) clock.Microseconds {
	tokens := prefiller.backlog.tokensAhead(urgency) + int(prefiller.otherRoutersLoad(now)*b.meanPromptTokens)
	return b.prefillTime(tokens, dedicatedRateShare)
}

// prefillTokens holds the number of prompt tokens that an engine would compute, and how many of them
// another engine is assumed to have cached.
type prefillTokens struct{ uncached, duplicated int }

// prefillCost returns the cost of computing prompt tokens on a prefiller: the expected wait, the duration of
// the call, the distance, the duplicated tokens, the tie-break and the penalty for recent failures.
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

// tieBreakCost returns a pseudo-random cost that breaks ties between engines of equal cost. A router that
// knows only its own requests orders the engines differently for each request, so that not all routers
// choose the same engine. A placement owner knows the requests of all routers and orders the engines by the
// router that forwards the request, so that this router reuses its connections to the same engines.
func (b *Balancer) tieBreakCost(requirements Requirements, engine *engineState) clock.Microseconds {
	key := requirements.Key
	if b.PlacesForAll {
		key = requirements.Router
	}
	return clock.Microseconds(rendezvous.Score(key, engine.Incarnation) % uint64(tieBreakRange))
}

// crossZoneTransferCost returns the cost of transferring the KV cache of a prompt between two zones
// of a region. It covers twice the time of a transfer within a zone, and a price for the bytes.
func crossZoneTransferCost(promptTokens int) clock.Microseconds {
	return remoteZoneLatency + transferCostPerThousandTokens*clock.Microseconds(promptTokens)/tokensPerTransferCost
}

// transferCost returns the additional cost of transferring the KV cache of a prompt between two zones,
// compared with a transfer within a zone.
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
