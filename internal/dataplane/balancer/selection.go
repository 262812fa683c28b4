package balancer

import (
	"math"

	"coursepass/internal/clock"
	"coursepass/internal/platformport"
)

// tieBreakRange is how far apart the costs of equal engines are drawn for each request.
const tieBreakRange = 6 * clock.Millisecond

// candidate is a writer with what it costs to have an answer made there.
type candidate struct {
	*engineState
	cost clock.Microseconds
}

// groupKey is the writers of one hall that a reader may hand over to; the two cheapest are
// enough, since one of them may be the reader itself.
type groupKey struct{ name, zone string }

// affinityGroup is the team that the leader's contract gives an engine, or that of its weights as
// long as no contract names it.
func (b *Balancer) affinityGroup(engine *engineState) string {
	if group, ok := b.affinityGroups[engine.Incarnation]; ok {
		return group
	}
	return weightsGroup(engine.ModelVersion)
}

func (b *Balancer) candidates(now clock.Microseconds, requirements Requirements, decoders []*engineState) ([]candidate, map[groupKey][2]candidate) {
	candidates, cheapest := make([]candidate, len(decoders)), map[groupKey][2]candidate{}
	for index, decoder := range decoders {
		cost := b.decodeCost(now, decoder, requirements) + clock.Microseconds(rendezvousScore(requirements.Key, decoder.Incarnation)%uint64(tieBreakRange))
		candidates[index] = candidate{decoder, cost}
		key := groupKey{b.affinityGroup(decoder), decoder.Zone}
		best := cheapest[key]
		switch {
		case best[0].engineState == nil || cost < best[0].cost:
			best = [2]candidate{candidates[index], best[0]}
		case best[1].engineState == nil || cost < best[1].cost:
			best[1] = candidates[index]
		}
		cheapest[key] = best
	}
	return candidates, cheapest
}

// interferenceFactor is how many times its own span a prompt that a writer reads by itself costs: all
// answers that are made there wait for it, since an event holds several tokens and each
// waits for a piece of the prompt.
func (b *Balancer) interferenceFactor(now clock.Microseconds, decoder *engineState) float64 {
	return 3 + b.occupancy(now, decoder)
}

// Select picks the cheapest way, by the estimated time to the first token and by what
// crossing halls is worth; false if no engine can be used.
func (b *Balancer) Select(now clock.Microseconds, requirements Requirements) (Selection, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	prefillers, decoders := b.eligible(now, requirements)
	if len(decoders) == 0 {
		return Selection{}, false
	}
	candidates, cheapest := b.candidates(now, requirements, decoders)
	best, lowestCost := b.selectUnsplit(now, requirements, decoders, candidates)
	if requirements.NoSplit {
		return best, true
	}
	unshared := unsharedTokens(requirements.Prompt)
	promptTokens, zoneTransferCost := totalTokens(requirements.Prompt), crossZoneTransferCost(requirements.Prompt)
	preferred := preferredEngines(requirements.Prompt, prefillers)
	for _, prefiller := range prefillers {
		tokens := prefiller.uncachedTokens(now, requirements.Prompt, preferred[prefiller])
		prefillCost := b.prefillCost(now, prefiller, requirements, tokens, unshared)
		if prefillCost+transferOverhead >= lowestCost {
			continue
		}
		for key, pair := range cheapest {
			if key.name != b.affinityGroup(prefiller) {
				continue
			}
			for _, decoder := range pair {
				if decoder.engineState == nil || decoder.engineState == prefiller {
					continue
				}
				total := prefillCost + transferOverhead + decoder.cost + b.transferCost(prefiller.Zone, decoder.Zone, zoneTransferCost, promptTokens)
				if total < lowestCost || total == lowestCost && best.Split && decoder.Incarnation < best.Decoder.Incarnation {
					lowestCost = total
					best = Selection{
						Prefiller: prefiller.Engine, Decoder: decoder.Engine, Split: true, TimeToFirstToken: total, UncachedTokens: tokens, UnsharedOnly: tokens <= unshared, Full: b.full(now, decoder.engineState),
					}
				}
			}
		}
	}
	return best, true
}

// SelectDecoder is the cheapest engine, of those that may fetch what a reader has read, to make the
// answer instead of the one that was chosen.
func (b *Balancer) SelectDecoder(now clock.Microseconds, requirements Requirements, prefillIncarnation string) (platformport.Engine, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	prefillEngine := b.engine(prefillIncarnation)
	_, decoders := b.eligible(now, requirements)
	candidates, _ := b.candidates(now, requirements, decoders)
	best, lowestCost := platformport.Engine{}, clock.Microseconds(math.MaxInt64)
	for _, decoder := range candidates {
		if decoder.engineState != prefillEngine && b.affinityGroup(decoder.engineState) == b.affinityGroup(prefillEngine) && decoder.cost < lowestCost {
			best, lowestCost = decoder.Engine, decoder.cost
		}
	}
	return best, best.Incarnation != ""
}

// selectUnsplit is the cheapest writer that reads the prompt by itself.
func (b *Balancer) selectUnsplit(now clock.Microseconds, requirements Requirements, decoders []*engineState, candidates []candidate) (Selection, clock.Microseconds) {
	best, lowestCost := Selection{}, clock.Microseconds(math.MaxInt64)
	preferred := preferredEngines(requirements.Prompt, decoders)
	for _, decoder := range candidates {
		tokens := decoder.uncachedTokens(now, requirements.Prompt, preferred[decoder.engineState])
		backlog := b.prefillTime(decoder.engineState.queuedPromptTokens, 0.5)
		total := decoder.cost + backlog + clock.Microseconds(b.interferenceFactor(now, decoder.engineState)*float64(b.prefillTime(tokens, 0.5))) + firstTokenTime
		if total < lowestCost {
			best, lowestCost = Selection{Decoder: decoder.Engine, TimeToFirstToken: total, UncachedTokens: tokens, Full: b.full(now, decoder.engineState)}, total
		}
	}
	return best, lowestCost
}

// prefillCost is what it costs to have a prompt read at a reader: its queue, what it lacks, and
// shared pieces that are read once more.
func (b *Balancer) prefillCost(now clock.Microseconds, prefiller *engineState, requirements Requirements, tokens, unshared int) clock.Microseconds {
	queuedTokens := float64(prefiller.queuedPromptTokens) + prefiller.otherRoutersLoad(now)*b.meanPromptTokens
	duplicateCost := b.prefillTime(max(tokens-unshared, 0), 1) * (duplicatePrefillWeight - 1)
	jitter := clock.Microseconds(rendezvousScore(requirements.Key, prefiller.Incarnation) % uint64(tieBreakRange))
	return b.prefillTime(tokens+int(queuedTokens), 1) + firstTokenTime + b.distanceCost(prefiller, requirements.BodyBytes) + duplicateCost + jitter + prefiller.penalty
}

// crossZoneTransferCost is what it costs to move a prompt's memory to another hall: twice the time of a
// near move, and dear.
func crossZoneTransferCost(prompt []platformport.PromptChunk) clock.Microseconds {
	return 2*clock.Millisecond + transferCostPerThousandTokens*clock.Microseconds(totalTokens(prompt))/1000
}

func totalTokens(prompt []platformport.PromptChunk) int {
	tokens := 0
	for _, chunk := range prompt {
		tokens += chunk.Tokens
	}
	return tokens
}

// transferCostPerThousandTokens is in microseconds for a thousand tokens.
const transferCostPerThousandTokens = 1300 * clock.Microseconds(1)

func unsharedTokens(prompt []platformport.PromptChunk) int {
	if count := len(prompt); count > 0 {
		return prompt[count-1].Tokens
	}
	return 0
}
