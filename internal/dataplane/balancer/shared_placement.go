package balancer

import (
	"coursepass/internal/clock"
	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
)

// A placement owner's balancer places the requests of all routers on the engines that the owner has, see
// package placement. The owner is not told when a request ends. Therefore its balancer counts each request as
// load of its engines until the expected end of the request.

const (
	// maxExpectedRuns is the maximum number of expected responses that are kept for one engine.
	maxExpectedRuns = 1024
	// initialDecodeTimePerToken is the estimated duration of a response per token of its maximum length,
	// in microseconds, before the first observation.
	initialDecodeTimePerToken = float64(clock.Millisecond)
	// decodeTimeSmoothing is the divisor of the exponential moving averages of decodeTimeModel.
	decodeTimeSmoothing = 64.0
	// maxDecodeTime is the maximum duration and maxOutputTokens the maximum length of a response that is
	// taken as an observation. maxDecodeTime also limits estimates and the duration of prefill samples.
	maxDecodeTime   = 60 * clock.Second
	maxOutputTokens = 1 << 20
)

// decodeTimeModel estimates the duration of a response from its maximum number of tokens. The duration per
// token is the ratio of two exponential moving averages, of the durations and of the maximum lengths.
type decodeTimeModel struct{ duration, tokens float64 }

// observe adds one response to the averages. It ignores values out of bounds.
func (d *decodeTimeModel) observe(maxTokens int, duration clock.Microseconds) {
	if maxTokens <= 0 || maxTokens > maxOutputTokens || duration <= 0 || duration > maxDecodeTime {
		return
	}
	d.duration += (float64(duration) - d.duration) / decodeTimeSmoothing
	d.tokens += (float64(maxTokens) - d.tokens) / decodeTimeSmoothing
}

// estimate returns the expected duration of a response.
func (d *decodeTimeModel) estimate(maxTokens int) clock.Microseconds {
	perToken := initialDecodeTimePerToken
	if d.tokens > 0 {
		perToken = d.duration / d.tokens
	}
	return min(clock.Microseconds(perToken*float64(max(maxTokens, 0))), maxDecodeTime)
}

// Place selects engines as Select does, for a request of any router, and counts the request as load of these
// engines until its expected end. It returns false and counts nothing if no engine may be used, or if the
// selected decoder is assumed to have no free slot.
func (b *Balancer) Place(
	now clock.Microseconds,
	requirements Requirements,
	maxTokens int,
) (Selection, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.removeFinishedWork(now)
	selection, ok := b.selectPlacement(now, requirements)
	if !ok || selection.Full {
		return Selection{}, false
	}
	startsAt := now + b.prefillModel.Fixed()
	decoder := b.engine(selection.Decoder.Incarnation)
	if selection.Split {
		prefiller := b.engine(selection.Prefiller.Incarnation)
		cached := platformport.TotalTokens(requirements.Prompt) - selection.UncachedTokens
		prefiller.backlog.add(requirements.Urgency, b.prefillModel.EquivalentTokens(selection.UncachedTokens, cached))
		prefiller.recordCached(now, requirements.Prompt)
		prefiller.delayNextProbe(now)
		startsAt += selection.PrefillWait + selection.PrefillTime
	} else {
		decoder.backlog.add(requirements.Urgency, selection.UncachedTokens)
		startsAt += b.prefillTime(selection.UncachedTokens, sharedRateShare)
	}
	decoder.recordCached(now, requirements.Prompt)
	decoder.delayNextProbe(now)
	decoder.addExpectedRun(expectedRun{
		endsAt: startsAt + b.decodeTime.estimate(maxTokens),
		tokens: requirements.memoryTokens(),
	})
	return selection, true
}

// removeFinishedWork removes the work that the engines are expected to have finished by now. The caller holds the lock.
func (b *Balancer) removeFinishedWork(now clock.Microseconds) {
	for _, engine := range b.engines {
		engine.backlog.drain(now, b.prefillRate*engine.rateShare())
		engine.removeEndedRuns(now)
	}
}

// expectedRun is a response that an engine is expected to generate.
type expectedRun struct {
	endsAt clock.Microseconds
	// tokens is the number of tokens for which the response takes memory.
	tokens int
}

// addExpectedRun counts one more running response until its expected end.
func (e *engineState) addExpectedRun(run expectedRun) {
	if len(e.expectedRuns) < maxExpectedRuns {
		e.expectedRuns = append(e.expectedRuns, run)
		e.expectedTokens += run.tokens
	}
}

// removeEndedRuns removes the responses that are expected to have ended.
func (e *engineState) removeEndedRuns(now clock.Microseconds) {
	kept := e.expectedRuns[:0]
	for _, run := range e.expectedRuns {
		if now < run.endsAt {
			kept = append(kept, run)
			continue
		}
		e.expectedTokens -= run.tokens
	}
	e.expectedRuns = kept
}

// PrefillSample is the measured duration of a prefill call that was expected to find no queue.
type PrefillSample struct {
	// Tokens is the number of prompt tokens that the engine computed, Cached the number of tokens before
	// them that the engine had cached.
	Tokens, Cached int
	Elapsed        clock.Microseconds
}

// DecodeSample is the measured duration of a complete response.
type DecodeSample struct {
	// MaxTokens is the maximum number of tokens of the response, Elapsed the time from its first to its
	// last token.
	MaxTokens int
	Elapsed   clock.Microseconds
}

// maxSampleTokens is the maximum of each token count of a prefill sample.
const maxSampleTokens = 1 << 22

// Observe updates the models with the samples of routers. Samples out of bounds are ignored.
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

// PrefillCoefficients returns the coefficients of the prefill model, see PrefillModel.Coefficients.
func (b *Balancer) PrefillCoefficients() [prefillTerms]float64 {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.prefillModel.Coefficients()
}

// AdoptPrefillCoefficients replaces the coefficients of the prefill model by those of a placement owner,
// whose model is fitted to the requests of all routers. It returns false and changes nothing if a coefficient
// is out of bounds.
func (b *Balancer) AdoptPrefillCoefficients(coefficients [prefillTerms]float64) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	if !b.prefillModel.Adopt(coefficients) {
		return false
	}
	b.prefillRate = b.prefillModel.Rate()
	return true
}

// Resolve returns the selection for the engines that a placement owner has chosen. It returns false if this
// router may not use one of the engines or has a reason to avoid it. An empty prefiller stands for a decoder
// that computes the prompt itself.
func (b *Balancer) Resolve(
	now clock.Microseconds,
	requirements Requirements,
	prefiller, decoder string,
) (Selection, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	decoderState, ok := b.usable(now, requirements, decoder)
	if !ok || decoderState.Role == pairing.RolePrefill {
		return Selection{}, false
	}
	if prefiller == "" {
		return Selection{Decoder: decoderState.Engine, PlacedByOwner: true}, true
	}
	prefillerState, ok := b.usable(now, requirements, prefiller)
	if !ok || prefillerState.Role == pairing.RoleDecode || b.affinityGroup(prefillerState) != b.affinityGroup(decoderState) {
		return Selection{}, false
	}
	return Selection{Prefiller: prefillerState.Engine, Decoder: decoderState.Engine, Split: true, PlacedByOwner: true}, true
}

// ResolveDecoder returns the decoder that a placement owner has chosen to fetch a KV cache from a prefiller,
// which need not be listed any more. It returns false if this router may not use the decoder or has a reason to
// avoid it.
func (b *Balancer) ResolveDecoder(
	now clock.Microseconds, requirements Requirements, prefiller platformport.Engine, decoder string,
) (platformport.Engine, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	state, ok := b.usable(now, requirements, decoder)
	if !ok || !b.accepts(state, PhaseDecode) || decoder == prefiller.Incarnation {
		return platformport.Engine{}, false
	}
	return state.Engine, b.affinityGroup(state) == b.affinityGroup(&engineState{Engine: prefiller})
}

// usable returns the state of an engine. It returns false if this router may not send the request to the
// engine, or if the engine is not listed, ejected or lagging. The caller holds the lock.
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
