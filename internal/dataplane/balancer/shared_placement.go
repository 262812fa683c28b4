package balancer

import (
	"coursepass/internal/clock"
	"coursepass/internal/state/pairing"
)

// An owner's balancer places the requests of all routers at its engines, see package placement. It hears of
// what it has placed, not of when that ends: it counts each placement against the engines for as long as
// that is expected to take.

const (
	// maxExpectedRuns limits the runs that are remembered of one engine.
	maxExpectedRuns = 1024
	// initialDecodeTimePerToken is how long a response lasts for each token that it may have, before the
	// first observation.
	initialDecodeTimePerToken = float64(clock.Millisecond)
	// decodeTimeSmoothing is the divisor of the exponential moving averages behind that.
	decodeTimeSmoothing = 64.0
	// maxDecodeTime and maxOutputTokens bound an observation.
	maxDecodeTime   = 60 * clock.Second
	maxOutputTokens = 1 << 20
)

// decodeTimeModel estimates how long responses last by the tokens that they may have at most: the ratio of
// two moving averages.
type decodeTimeModel struct{ duration, tokens float64 }

// observe records one response.
func (d *decodeTimeModel) observe(maxTokens int, duration clock.Microseconds) {
	if maxTokens <= 0 || maxTokens > maxOutputTokens || duration <= 0 || duration > maxDecodeTime {
		return
	}
	d.duration += (float64(duration) - d.duration) / decodeTimeSmoothing
	d.tokens += (float64(maxTokens) - d.tokens) / decodeTimeSmoothing
}

// estimate returns how long a response is expected to last.
func (d *decodeTimeModel) estimate(maxTokens int) clock.Microseconds {
	perToken := initialDecodeTimePerToken
	if d.tokens > 0 {
		perToken = d.duration / d.tokens
	}
	return min(clock.Microseconds(perToken*float64(max(maxTokens, 0))), maxDecodeTime)
}

// Place selects like Select for a request of any router, and counts it against the engines until it is
// expected to have ended. It places nothing, and reports false, if no engine may be used or no decoder is
// expected to have a free slot.
func (b *Balancer) Place(
	now clock.Microseconds,
	requirements Requirements,
	maxTokens int,
) (Selection, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.drain(now)
	selection, ok := b.selectPlacement(now, requirements)
	if !ok || selection.Full {
		return Selection{}, false
	}
	startsAt := now + b.prefillModel.Fixed()
	decoder := b.engine(selection.Decoder.Incarnation)
	if selection.Split {
		prefiller := b.engine(selection.Prefiller.Incarnation)
		cached := totalTokens(requirements.Prompt) - selection.UncachedTokens
		prefiller.backlog.add(requirements.Urgency, b.prefillModel.EquivalentTokens(selection.UncachedTokens, cached))
		prefiller.recordCached(now, requirements.Prompt)
		prefiller.limitProbation(now)
		startsAt += selection.PrefillWait + selection.PrefillTime
	} else {
		decoder.backlog.add(requirements.Urgency, selection.UncachedTokens)
		startsAt += b.prefillTime(selection.UncachedTokens, sharedRateShare)
	}
	decoder.recordCached(now, requirements.Prompt)
	decoder.limitProbation(now)
	decoder.addExpectedRun(startsAt + b.decodeTime.estimate(maxTokens))
	return selection, true
}

// drain takes away what the engines have done by now. The caller holds the lock.
func (b *Balancer) drain(now clock.Microseconds) {
	for _, engine := range b.engines {
		engine.backlog.drain(now, b.prefillRate*engine.rateShare())
		engine.removeEndedRuns(now)
	}
}

// addExpectedRun counts a run until it is expected to end.
func (e *engineState) addExpectedRun(endsAt clock.Microseconds) {
	if len(e.expectedEnds) < maxExpectedRuns {
		e.expectedEnds = append(e.expectedEnds, endsAt)
	}
}

// removeEndedRuns forgets the runs that are expected to have ended.
func (e *engineState) removeEndedRuns(now clock.Microseconds) {
	kept := e.expectedEnds[:0]
	for _, endsAt := range e.expectedEnds {
		if now < endsAt {
			kept = append(kept, endsAt)
		}
	}
	e.expectedEnds = kept
}

// PrefillSample is what a router has seen of a prefill call that was expected to find no queue.
type PrefillSample struct {
	// Tokens is how many tokens the engine computed after Cached others.
	Tokens, Cached int
	Elapsed        clock.Microseconds
}

// DecodeSample is what a router has seen of a response that came complete.
type DecodeSample struct {
	// MaxTokens is how many tokens the response might have had, Elapsed the time from its first to its
	// last.
	MaxTokens int
	Elapsed   clock.Microseconds
}

// maxSampleTokens bounds the tokens of a sample.
const maxSampleTokens = 1 << 22

// Observe records what routers have seen. Samples out of bounds are ignored.
func (b *Balancer) Observe(prefills []PrefillSample, decodes []DecodeSample) {
	b.lock.Lock()
	defer b.lock.Unlock()
	for _, sample := range prefills {
		if sample.Tokens > maxSampleTokens || sample.Cached > maxSampleTokens || sample.Elapsed > maxDecodeTime {
			continue
		}
		b.prefillModel.Observe(sample.Tokens, sample.Cached, sample.Elapsed)
	}
	for _, sample := range decodes {
		b.decodeTime.observe(sample.MaxTokens, sample.Elapsed)
	}
	b.prefillRate = b.prefillModel.Rate()
}

// PrefillCoefficients returns the coefficients of the prefill model.
func (b *Balancer) PrefillCoefficients() [prefillTerms]float64 {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.prefillModel.Coefficients()
}

// AdoptPrefillCoefficients replaces the prefill model by that of an owner, which sees the requests of all
// routers. It reports false, and changes nothing, if they are out of bounds.
func (b *Balancer) AdoptPrefillCoefficients(coefficients [prefillTerms]float64) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	if !b.prefillModel.Adopt(coefficients) {
		return false
	}
	b.prefillRate = b.prefillModel.Rate()
	return true
}

// Resolve returns the selection that an owner has made, if this router may use its engines too.
func (b *Balancer) Resolve(
	now clock.Microseconds,
	requirements Requirements,
	prefiller, decoder string,
) (Selection, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	selected, ok := b.usable(now, requirements, decoder)
	if !ok || selected.Role == pairing.RolePrefill {
		return Selection{}, false
	}
	if prefiller == "" {
		return Selection{Decoder: selected.Engine, Shared: true}, true
	}
	first, ok := b.usable(now, requirements, prefiller)
	if !ok || first.Role == pairing.RoleDecode || b.affinityGroup(first) != b.affinityGroup(selected) {
		return Selection{}, false
	}
	return Selection{Prefiller: first.Engine, Decoder: selected.Engine, Split: true, Shared: true}, true
}

// usable returns an engine that this router may send a request to and has no reason to avoid. The caller
// holds the lock.
func (b *Balancer) usable(
	now clock.Microseconds,
	requirements Requirements,
	incarnation string,
) (*engineState, bool) {
	engine, ok := b.engines[incarnation]
	if !ok || !b.mayUse(now, engine, requirements) {
		return nil, false
	}
	return engine, !engine.ejected(now) && !engine.lagging(now, b.prefillRate)
}
