package proxy

import (
	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/dataplane/placement"
	"coursepass/internal/platformport"
)

// Place answers a router's placement query by selecting from the engines that this router owns. The
// answer is empty if no engine can be selected.
func (p *Proxy) Place(query *placement.Query) (*placement.Answer, error) {
	if err := query.Check(); err != nil {
		return nil, err
	}
	owned := p.placements.ownedBalancer(query.Service)
	if owned == nil {
		return &placement.Answer{}, nil
	}
	now := p.clock.Now()
	owned.Observe(samplesOf(query))
	selection, placed := owned.Place(now, requirementsOf(query), query.MaxTokens)
	if !placed {
		return &placement.Answer{}, nil
	}
	coefficients := owned.PrefillCoefficients()
	return &placement.Answer{
		Placed:           true,
		Prefiller:        selection.Prefiller.Incarnation,
		Decoder:          selection.Decoder.Incarnation,
		UncachedTokens:   selection.UncachedTokens,
		PausedRuns:       selection.PausedRuns,
		WaitMicros:       int64(selection.PrefillWait),
		PrefillMicros:    int64(selection.PrefillTime),
		FirstTokenMicros: int64(selection.TimeToFirstToken),
		PrefillTerms:     coefficients[:],
	}, nil
}

// requirementsOf returns the requirements that engines must meet for the request of a query.
func requirementsOf(query *placement.Query) balancer.Requirements {
	requirements := balancer.Requirements{
		BodyBytes:       query.BodyBytes,
		Urgency:         query.Urgency,
		Router:          query.Router,
		Zone:            query.Zone,
		SingleAttempt:   query.SingleAttempt,
		NoSplit:         query.NoSplit,
		EventTimeout:    clock.Microseconds(query.EventTimeoutMicros),
		NonRetryable:    query.NonRetryable,
		FetchedTokens:   query.FetchedTokens,
		Key:             query.Key,
		ExcludedEngines: map[string]bool{},
	}
	for _, chunk := range query.Prompt {
		requirements.Prompt = append(requirements.Prompt, platformport.PromptChunk{Name: chunk.Name, Tokens: chunk.Tokens})
	}
	for _, incarnation := range query.Excluded {
		requirements.ExcludedEngines[incarnation] = true
	}
	return requirements
}

// samplesOf returns the samples of call durations that a query carries.
func samplesOf(query *placement.Query) ([]balancer.PrefillSample, []balancer.DecodeSample) {
	var prefills []balancer.PrefillSample
	for _, sample := range query.Prefills {
		prefills = append(prefills, balancer.PrefillSample{
			Tokens:  sample.Tokens,
			Cached:  sample.Cached,
			Elapsed: clock.Microseconds(sample.ElapsedMicros),
		})
	}
	var decodes []balancer.DecodeSample
	for _, sample := range query.Decodes {
		elapsed := clock.Microseconds(sample.ElapsedMicros)
		decodes = append(decodes, balancer.DecodeSample{MaxTokens: sample.MaxTokens, Elapsed: elapsed})
	}
	return prefills, decodes
}
