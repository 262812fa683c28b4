package proxy

import (
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
