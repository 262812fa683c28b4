package proxy

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/dataplane/placement"
	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
)

const (
	// placementTimeout is the timeout of a placement query. It is much longer than a healthy owner takes
	// to answer, and much shorter than the wait at a busy engine that this router may select if it
	// decides without the owner's knowledge.
	placementTimeout = 30 * clock.Millisecond
	// maxSampledWait is the maximum expected wait of a prefill call whose duration is reported as a
	// sample. Samples are meant to measure prefill calls that were not queued.
	maxSampledWait = clock.Millisecond
)

// Placer sends messages to placement owners, which are routers too.
type Placer interface {
	AskPlacement(
		ctx context.Context, owner pairing.PlacementOwner, query *placement.Query,
	) (*placement.Answer, error)
	ReportEngine(ctx context.Context, owner pairing.PlacementOwner, report *placement.EngineReport) error
}

// placementResult is the result of asking a placement owner to select the engines of a request. Its
// value is a metric label.
type placementResult string

// The possible results. The owner's selection is used only with placementPlaced. With any other
// result, the router selects the engines itself.
const (
	placementPlaced placementResult = "placed"
	// placementUnsuited: owners do not place this request, because it has no prompt to prefill or must
	// not use some of the regions.
	placementUnsuited placementResult = "unsuited"
	// placementNoOwner: no owner is assigned, or this router has no Placer to reach it.
	placementNoOwner placementResult = "no_owner"
	// placementBackoff: the owner recently failed to answer and is not asked again yet.
	placementBackoff placementResult = "backoff"
	// placementNoAnswer: the owner did not answer in time.
	placementNoAnswer placementResult = "no_answer"
	// placementMalformed: the query or the answer violates the bounds of the protocol.
	placementMalformed placementResult = "malformed"
	// placementDeclined: the owner has no eligible engine with a free slot.
	placementDeclined placementResult = "declined"
	// placementUnusable: this router must not or should not use an engine that the owner selected, for
	// example because the engine failed a call of this router.
	placementUnusable placementResult = "unusable"
)

// place asks the placement owner to select the engines, and counts the result. It reports false if
// this router has to select the engines itself.
func (f *forwardedRequest) place(
	ctx context.Context, requirements balancer.Requirements,
) (balancer.Selection, bool) {
	selection, result := f.requestPlacement(ctx, requirements)
	f.proxy.placements.results.WithLabelValues(string(result)).Inc()
	switch result {
	case placementPlaced:
		f.proxy.PlacedByOwner.Add(1)
	case placementUnsuited:
	default:
		f.proxy.PlacedAlone.Add(1)
	}
	return selection, result == placementPlaced
}

// requestPlacement queries the placement owner and converts a usable answer to a selection.
func (f *forwardedRequest) requestPlacement(
	ctx context.Context, requirements balancer.Requirements,
) (balancer.Selection, placementResult) {
	if len(requirements.Prompt) == 0 || requirements.RegionRestricted() {
		return balancer.Selection{}, placementUnsuited
	}
	owner, ok := f.proxy.placements.ownerFor(f.service, f.proxy.Zone, &f.request)
	if !ok {
		return balancer.Selection{}, placementNoOwner
	}
	answer, result := f.proxy.queryOwner(ctx, owner, f.placementQuery(requirements))
	if result != placementPlaced {
		return balancer.Selection{}, result
	}
	selection, usable := f.balancer.Resolve(f.now(), requirements, answer.Prefiller, answer.Decoder)
	if !usable {
		return balancer.Selection{}, placementUnusable
	}
	f.balancer.AdoptPrefillCoefficients([placement.PrefillTermCount]float64(answer.PrefillTerms))
	selection.UncachedTokens = answer.UncachedTokens
	selection.PausedRuns = answer.PausedRuns
	selection.UnsharedOnly = selection.Split && answer.UncachedTokens <= platformport.UnsharedTokens(requirements.Prompt)
	selection.TimeToFirstToken = clock.Microseconds(answer.FirstTokenMicros)
	if selection.Split {
		selection.PrefillWait = clock.Microseconds(answer.WaitMicros)
		selection.PrefillTime = clock.Microseconds(answer.PrefillMicros)
	}
	return selection, placementPlaced
}

// placeDecoder asks the placement owner for a decode engine that can fetch the KV cache of a prompt from its
// prefill engine. Many routers may replace their decode engines at the same moment, when engines leave
// service; only the owner knows of all of them. It reports false if this router has to select the engine.
func (f *forwardedRequest) placeDecoder(
	ctx context.Context, requirements balancer.Requirements, prefiller platformport.Engine,
) (platformport.Engine, bool) {
	owner, ok := f.proxy.placements.ownerFor(f.service, f.proxy.Zone, &f.request)
	if !ok || requirements.RegionRestricted() {
		return platformport.Engine{}, false
	}
	// The prompt is prefilled already: it takes memory of the decode engine, but costs it no time. A query has at
	// least one chunk.
	requirements.FetchedTokens = platformport.UnsharedTokens(requirements.Prompt)
	requirements.Prompt, requirements.NoSplit = []platformport.PromptChunk{{}}, true
	answer, result := f.proxy.queryOwner(ctx, owner, f.placementQuery(requirements))
	if result != placementPlaced {
		return platformport.Engine{}, false
	}
	return f.balancer.ResolveDecoder(f.now(), requirements, prefiller, answer.Decoder)
}

// placementQuery returns the query for the request's next attempt. It moves the collected samples into
// the query.
func (f *forwardedRequest) placementQuery(requirements balancer.Requirements) *placement.Query {
	query := &placement.Query{
		Router:    f.proxy.Router,
		Zone:      f.proxy.Zone,
		Service:   f.service,
		Key:       requirements.Key,
		BodyBytes: requirements.BodyBytes,
		MaxTokens: f.request.MaxTokens,
		Urgency:   requirements.Urgency,
		NoSplit:   requirements.NoSplit,

		SingleAttempt: requirements.SingleAttempt,
		NonRetryable:  requirements.NonRetryable,
		FetchedTokens: requirements.FetchedTokens,

		EventTimeoutMicros: int64(requirements.EventTimeout),
	}
	for _, chunk := range requirements.Prompt {
		query.Prompt = append(query.Prompt, placement.Chunk{Name: chunk.Name, Tokens: chunk.Tokens})
	}
	for incarnation := range requirements.ExcludedEngines {
		query.Excluded = append(query.Excluded, incarnation)
	}
	f.proxy.placements.takeSamples(f.service, query)
	return query
}

// queryOwner sends a query to an owner. If this router is the owner, it answers the query itself.
func (p *Proxy) queryOwner(
	parent context.Context, owner pairing.PlacementOwner, query *placement.Query,
) (*placement.Answer, placementResult) {
	state := &p.placements
	var answer *placement.Answer
	var err error
	switch {
	case owner.Router == p.Router:
		answer, err = p.Place(query)
	case p.Placer == nil:
		return nil, placementNoOwner
	case !state.health.Allow(p.clock.Now(), owner.Address):
		return nil, placementBackoff
	default:
		ctx, cancel := context.WithTimeout(parent, placementTimeout.Duration())
		defer cancel()
		if answer, err = p.Placer.AskPlacement(ctx, owner, query); err != nil {
			if parent.Err() == nil {
				state.health.RecordFailure(p.clock.Now(), owner.Address)
			}
			return nil, placementNoAnswer
		}
		state.health.RecordAnswer(owner.Address)
	}
	if err == nil {
		err = answer.Check()
	}
	if err != nil {
		state.logMalformed(owner, err)
		return nil, placementMalformed
	}
	if !answer.Placed {
		return nil, placementDeclined
	}
	return answer, placementPlaced
}
