package proxy

import (
	"context"
	"sync"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/dataplane/placement"
	"coursepass/internal/errcode"
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

// placementState is the state of a router that asks placement owners for placements and may itself be
// the owner of engines.
type placementState struct {
	health placement.OwnerHealth
	// results counts selections by placementResult.
	results *prometheus.CounterVec
	// lock guards the fields below.
	lock sync.Mutex
	// ownerships holds the assignment of engines to owners for each service.
	ownerships map[string]*placement.Ownership
	// ownedBalancers holds a load balancer for each service of which this router owns engines.
	ownedBalancers map[string]*balancer.Balancer
	// ownedEngineCounts holds the number of engines of each service that this router owns.
	ownedEngineCounts map[string]int
	// sampleBuffers holds the samples of each service that have not been sent to an owner yet.
	sampleBuffers map[string]*sampleBuffer
	// lastReportAt holds the time of the last report about each engine, by incarnation.
	lastReportAt map[string]clock.Microseconds
	// malformedLogged is set once a malformed message was logged.
	malformedLogged bool
}

// sampleBuffer holds the samples of call durations that a router collects for one service until the next
// placement query.
type sampleBuffer struct {
	prefills []placement.PrefillSample
	decodes  []placement.DecodeSample
}

// newPlacementState returns the state of a router without owners and owned engines.
func newPlacementState() placementState {
	return placementState{
		results: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coursepass_placements_total",
			Help: "Selections of engines, by whether a placement owner made them and else why not.",
		}, []string{"result"}),
		ownerships:     map[string]*placement.Ownership{},
		ownedBalancers: map[string]*balancer.Balancer{},
		sampleBuffers:  map[string]*sampleBuffer{},

		ownedEngineCounts: map[string]int{},
		lastReportAt:      map[string]clock.Microseconds{},
	}
}

// updateOwnership replaces the assignment of a service's engines to owners, and updates the load
// balancer of the engines that this router owns.
func (p *Proxy) updateOwnership(now clock.Microseconds, service string, view balancer.View) {
	ownership := placement.NewOwnership(view.Assignment.PlacementOwners, view.Engines)
	state := &p.placements
	state.lock.Lock()
	defer state.lock.Unlock()
	state.ownerships[service] = ownership
	engines := ownership.EnginesOf(p.Router)
	state.ownedEngineCounts[service] = len(engines)
	if len(engines) == 0 {
		delete(state.ownedBalancers, service)
		return
	}
	if state.ownedBalancers[service] == nil {
		options := p.Options.Options
		options.PlacesForAll = true
		state.ownedBalancers[service] = balancer.New(options)
	}
	view.Engines, view.RouterCount = engines, 1
	state.ownedBalancers[service].Update(now, view)
}

// ownedBalancer returns the load balancer of the engines of a service that this router owns, nil if it
// owns none.
func (s *placementState) ownedBalancer(service string) *balancer.Balancer {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.ownedBalancers[service]
}

// ownedEngineCount returns the number of engines that this router owns.
func (s *placementState) ownedEngineCount() int64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	count := int64(0)
	for _, engines := range s.ownedEngineCounts {
		count += int64(engines)
	}
	return count
}

// ownerFor returns the owner that places a request. It reports false if there is none.
func (s *placementState) ownerFor(
	service, zone string, request *platformport.Request,
) (pairing.PlacementOwner, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	ownership := s.ownerships[service]
	if ownership == nil {
		return pairing.PlacementOwner{}, false
	}
	return ownership.OwnerFor(zone, request.RequestID, request.Prompt)
}

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
	selection.UnsharedOnly = selection.Split && answer.UncachedTokens <= unsharedTokens(requirements.Prompt)
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
	// The prompt is prefilled already, and costs the decode engine nothing. A query has at least one chunk.
	requirements.Prompt, requirements.NoSplit = []platformport.PromptChunk{{}}, true
	answer, result := f.proxy.queryOwner(ctx, owner, f.placementQuery(requirements))
	if result != placementPlaced {
		return platformport.Engine{}, false
	}
	return f.balancer.ResolveDecoder(f.now(), requirements, prefiller, answer.Decoder)
}

// unsharedTokens returns the number of tokens of a prompt's last chunk, which is never shared with other
// requests.
func unsharedTokens(prompt []platformport.PromptChunk) int {
	if len(prompt) == 0 {
		return 0
	}
	return prompt[len(prompt)-1].Tokens
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

// logMalformed logs the first malformed query or answer.
func (s *placementState) logMalformed(owner pairing.PlacementOwner, err error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.malformedLogged {
		return
	}
	s.malformedLogged = true
	log.Warn().Str("owner", owner.Router).Str("code", errcode.CodeOf(err, errcode.MalformedMessage).String()).
		Err(err).Msg("malformed placement, further ones are only counted")
}

// bufferOf returns the sample buffer of a service. The caller holds the lock.
func (s *placementState) bufferOf(service string) *sampleBuffer {
	buffer := s.sampleBuffers[service]
	if buffer == nil {
		buffer = &sampleBuffer{}
		s.sampleBuffers[service] = buffer
	}
	return buffer
}

// takeSamples moves the collected samples of a service into a query.
func (s *placementState) takeSamples(service string, query *placement.Query) {
	s.lock.Lock()
	defer s.lock.Unlock()
	buffer := s.bufferOf(service)
	query.Prefills, query.Decodes = buffer.prefills, buffer.decodes
	buffer.prefills, buffer.decodes = nil, nil
}

// recordPrefill adds a sample of a prefill call for which no queue was expected. It drops the sample if
// the next query is full.
func (s *placementState) recordPrefill(service string, sample placement.PrefillSample) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if buffer := s.bufferOf(service); len(buffer.prefills) < placement.MaxSamples {
		buffer.prefills = append(buffer.prefills, sample)
	}
}

// recordDecode adds a sample of a complete response. It drops the sample if the next query is full.
func (s *placementState) recordDecode(service string, sample placement.DecodeSample) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if buffer := s.bufferOf(service); len(buffer.decodes) < placement.MaxSamples {
		buffer.decodes = append(buffer.decodes, sample)
	}
}

// beginEngineReport returns the owner to which a failure of an engine is to be reported, and records the
// time of the report. It reports false if the engine has no owner or was reported less than
// engineReportInterval ago.
func (s *placementState) beginEngineReport(
	now clock.Microseconds, service, incarnation string,
) (pairing.PlacementOwner, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	ownership := s.ownerships[service]
	if ownership == nil {
		return pairing.PlacementOwner{}, false
	}
	owner, owned := ownership.OwnerOf(incarnation)
	if reportedAt, reported := s.lastReportAt[incarnation]; !owned || reported && now-reportedAt < engineReportInterval {
		return pairing.PlacementOwner{}, false
	}
	if len(s.lastReportAt) >= maxReportedEngines {
		clear(s.lastReportAt)
	}
	s.lastReportAt[incarnation] = now
	return owner, true
}
