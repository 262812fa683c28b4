package controlplane

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/enginecommand"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

const (
	pollInterval        = 500 * clock.Millisecond
	pollTimeout         = 400 * clock.Millisecond
	unresponsiveAfter   = 1500 * clock.Millisecond
	suspicionPeriod     = 2 * clock.Second
	commandTimeout      = 600 * clock.Millisecond
	stabilizationWindow = 5 * clock.Second
	// roleChangeDelay is longer than a router may go on without a fresh majority read.
	roleChangeDelay = 1900 * clock.Millisecond
)

type engineObservation struct {
	registry.Report
	reportedAt     clock.Microseconds
	suspectedUntil clock.Microseconds
	unpairedSince  clock.Microseconds
	baseline       registry.Report
}

// serviceLeader is the leader's work for the services of one part.
type serviceLeader struct {
	server         *Server
	shard          *shardReplica
	engines        *registry.State
	dispatcher     *enginecommand.Dispatcher
	client         *http.Client
	polls          atomic.Int64
	retryDecisions atomic.Int64
	retries        atomic.Int64
	lock           sync.Mutex
	observations   map[string]*engineObservation
	desiredRoles   map[string]string
	roleSplits     map[string]*pairing.RoleBalancer
	directorySync  *directorySync
}

func newServiceLeader(server *Server, shard *shardReplica, engines *registry.State) *serviceLeader {
	leader := &serviceLeader{server: server, shard: shard, engines: engines, observations: map[string]*engineObservation{}, desiredRoles: map[string]string{}, roleSplits: map[string]*pairing.RoleBalancer{}}
	leader.dispatcher = enginecommand.NewDispatcher(server.Node.Name, commandTimeout, server.clock, &shard.leaseGuard, transport.Options{Network: server.internalTransport.Network, Meter: server.zoneMeter})
	leader.client = &http.Client{Transport: transport.NewHTTPTransport(transport.Options{Network: server.internalTransport.Network, Meter: server.zoneMeter})}
	return leader
}

func (s *serviceLeader) run(ctx context.Context) {
	if s.directorySync != nil {
		clock.Every(ctx, directorySyncTick, func() { s.syncDirectory(ctx) })
		return
	}
	clock.Every(ctx, pollInterval, func() {
		if status := s.shard.status.Load(); status != nil && status.Owner {
			s.runOnce(ctx)
		}
	})
}

// runOnce is one turn of the leader's work: ask all engines, sign a new contract
// where the picture changed, and give the standing orders.
func (s *serviceLeader) runOnce(ctx context.Context) {
	var view registry.View
	var plan config.View
	if !s.shard.runInLoop(ctx, func() { view = s.engines.View }) {
		return
	}
	if !s.server.shards[0].runInLoop(ctx, func() { plan = s.server.configuration.View() }) {
		return
	}
	s.pollEngines(ctx, view)
	leaseGuard := s.shard.leaseGuard.Load()
	term := s.shard.status.Load().Term
	for service := range s.serviceNames(view) {
		assignment, desiredStates := s.draftAssignment(service, term, view, plan)
		if !assignment.Equal(view.Contracts[service]) {
			s.commitAssignment(ctx, assignment)
		}
		for name, desired := range desiredStates {
			if report, isFresh := s.freshReport(name); isFresh {
				s.dispatcher.EnsureState(ctx, leaseGuard, report, desired)
			}
		}
	}
}

func (s *serviceLeader) serviceNames(view registry.View) map[string]bool {
	services := map[string]bool{}
	for _, engine := range view.Engines {
		services[engine.Service] = true
	}
	return services
}

func (s *serviceLeader) pollEngines(parent context.Context, view registry.View) {
	ctx, cancel := context.WithTimeout(parent, pollTimeout.Duration())
	defer cancel()
	var group sync.WaitGroup
	for _, engine := range view.Engines {
		group.Go(func() {
			s.polls.Add(1)
			report, err := s.fetchReport(ctx, engine.Address)
			if err != nil || report.Name != engine.Name || report.Incarnation != engine.Incarnation {
				return
			}
			s.lock.Lock()
			defer s.lock.Unlock()
			observation, exists := s.observations[engine.Name]
			if !exists {
				observation = &engineObservation{baseline: report}
				s.observations[engine.Name] = observation
			}
			if exists && observation.Incarnation != report.Incarnation {
				observation.baseline, observation.suspectedUntil = report, 0
			}
			observation.Report, observation.reportedAt = report, s.server.clock.Now()
		})
	}
	group.Wait()
}

func (s *serviceLeader) fetchReport(ctx context.Context, address string) (registry.Report, error) {
	var report registry.Report
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/report", nil)
	if err != nil {
		return report, errcode.Wrap(err, errcode.MalformedMessage, address)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return report, errcode.Wrap(err, errcode.ConnectionLost, address)
	}
	defer response.Body.Close()
	err = json.NewDecoder(io.LimitReader(response.Body, 1<<20)).Decode(&report)
	return report, errcode.Wrap(err, errcode.MalformedMessage, address)
}

func (s *serviceLeader) freshReport(name string) (registry.Report, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	observation, exists := s.observations[name]
	if !exists || s.server.clock.Now()-observation.reportedAt > pollInterval+pollTimeout {
		return registry.Report{}, false
	}
	return observation.Report, true
}

// recentReports is what all engines told lately, empty where this core does not lead.
func (s *serviceLeader) recentReports() []registry.Report {
	status := s.shard.status.Load()
	if status == nil || !status.Owner {
		return nil
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	var reports []registry.Report
	for _, observation := range s.observations {
		if s.server.clock.Now()-observation.reportedAt < unresponsiveAfter {
			reports = append(reports, observation.Report)
		}
	}
	return reports
}

// draftAssignment makes the contract of a service and the standing order of each engine.
func (s *serviceLeader) draftAssignment(service string, term uint64, view registry.View, plan config.View) (pairing.Assignment, map[string]enginecommand.DesiredState) {
	s.lock.Lock()
	defer s.lock.Unlock()
	now, committed := s.server.clock.Now(), view.Contracts[service]
	var live, reporting []*engineObservation
	desiredStates := map[string]enginecommand.DesiredState{}
	var candidates []pairing.Candidate
	for name, engine := range view.Engines {
		observation, exists := s.observations[name]
		if engine.Service != service || !exists || now-observation.reportedAt > stabilizationWindow {
			continue
		}
		reporting = append(reporting, observation)
		if now-observation.reportedAt > unresponsiveAfter || observation.suspectedUntil > now {
			continue
		}
		if engine.Leaving || s.server.zoneUnavailable(&plan, engine.Hall) || observation.Draining {
			reporting = reporting[:len(reporting)-1]
			if observation.hasLeftAssignment(now, committed) {
				desiredStates[name] = enginecommand.DesiredState{Role: observation.Part, Drain: true}
			}
			continue
		}
		live = append(live, observation)
	}
	byVersion := map[string][]*engineObservation{}
	for _, observed := range reporting {
		byVersion[observed.Version] = append(byVersion[observed.Version], observed)
	}
	for version, observed := range byVersion {
		s.assignRoles(service+"/"+version, now, observed)
	}
	for _, observed := range live {
		if !s.changesRole(now, observed, committed) && !observed.Drained {
			// An engine that still plays both is paired for the part it is about to get.
			role := observed.Part
			if desired := s.desiredRoles[observed.Name]; role == pairing.RoleBoth && desired != "" {
				role = desired
			}
			candidates = append(candidates, pairing.Candidate{Name: observed.Name, Zone: observed.Hall, Version: observed.Version, Role: role})
		}
	}
	assignment := pairing.AssignPairs(service, s.server.Node.Inner, term, candidates)
	assignment.Routers = s.server.activeRouters(now)
	for _, observed := range live {
		if s.changesRole(now, observed, committed) && !observed.hasLeftAssignment(now, committed) {
			continue
		}
		desired := enginecommand.DesiredState{Role: s.desiredRoles[observed.Name]}
		for _, pair := range assignment.DecodePartners(observed.Name) {
			desired.TransferTargets = append(desired.TransferTargets, enginecommand.TransferTarget{Name: pair.Decode, Address: view.Engines[pair.Decode].Address})
		}
		desiredStates[observed.Name] = desired
	}
	return assignment, desiredStates
}

// hasLeftAssignment notes since when an engine is out of the contract that was signed, and tells
// whether every router that still takes work must have heard of it, so that no request
// meets an engine that has just changed.
func (e *engineObservation) hasLeftAssignment(now clock.Microseconds, committed pairing.Assignment) bool {
	if _, paired := committed.Parts[e.Name]; paired {
		e.unpairedSince = 0
		return false
	}
	if e.unpairedSince == 0 {
		e.unpairedSince = now
	}
	return now-e.unpairedSince >= roleChangeDelay
}

// changesRole tells whether an engine is between its parts: out of the contract, and
// ordered over once it has left.
func (s *serviceLeader) changesRole(now clock.Microseconds, observation *engineObservation, committed pairing.Assignment) bool {
	if observation.Part == pairing.RoleBoth || observation.Part == s.desiredRoles[observation.Name] {
		observation.unpairedSince = 0
		return false
	}
	observation.hasLeftAssignment(now, committed)
	return true
}

// assignRoles sets how many engines of one model version play which part, since only
// those can be paired; a single one plays both. An engine that is silent or suspect
// for a moment still counts, so that the others don't change theirs for it. The first split follows half and
// half; then the mix of busy time moves it, one engine at a time.
func (s *serviceLeader) assignRoles(group string, now clock.Microseconds, live []*engineObservation) {
	slices.SortFunc(live, func(left, right *engineObservation) int {
		if left.Name < right.Name {
			return -1
		}
		return 1
	})
	split, exists := s.roleSplits[group]
	if !exists {
		split = &pairing.RoleBalancer{StabilizationWindow: stabilizationWindow}
		s.roleSplits[group] = split
	}
	prefillCount, prefill, decode := 0, 0.0, 0.0
	for _, observation := range live {
		if s.desiredRoles[observation.Name] == "" && observation.Part != pairing.RoleBoth {
			s.desiredRoles[observation.Name] = observation.Part
		}
		if s.desiredRoles[observation.Name] == pairing.RolePrefill {
			prefillCount++
		}
		prefill += float64(observation.PrefillBusy - observation.baseline.PrefillBusy)
		decode += float64(observation.DecodeBusy - observation.baseline.DecodeBusy)
		observation.baseline.PrefillBusy += (observation.PrefillBusy - observation.baseline.PrefillBusy) / 8
		observation.baseline.DecodeBusy += (observation.DecodeBusy - observation.baseline.DecodeBusy) / 8
	}
	if len(live) < 2 {
		for _, observation := range live {
			s.desiredRoles[observation.Name] = pairing.RoleBoth
		}
		return
	}
	if prefillCount == 0 {
		prefillCount = len(live) / 2
	}
	prefillFraction := 0.5
	if prefill+decode > 0 {
		prefillFraction = prefill / (prefill + decode)
	}
	s.distributeRoles(live, split.PrefillCount(now, len(live), prefillCount, prefillFraction))
}

func (s *serviceLeader) commitAssignment(parent context.Context, assignment pairing.Assignment) {
	ctx, cancel := context.WithTimeout(parent, clock.Second.Duration())
	defer cancel()
	operation := registry.Operation{Kind: registry.OperationAssign, Contract: assignment}
	if _, err := s.shard.propose(ctx, func() ([]byte, error) { return operation.Encode(), nil }); err != nil {
		log.Warn().Str("core", s.server.Node.Name).Str("service", assignment.Service).Err(err).Msg("contract not signed")
	}
}

// decideRetry decides on a trouble that a router reports: whether the request may be
// tried again, and that its engine is avoided for a while.
func (s *serviceLeader) decideRetry(failure FailureReport) *RetryDecision {
	status := s.shard.status.Load()
	decision := &RetryDecision{Owner: status != nil && status.Owner, Avoid: failure.Engine}
	if !decision.Owner {
		return decision
	}
	decision.Round = status.Term
	s.retryDecisions.Add(1)
	s.lock.Lock()
	if observation, exists := s.observations[failure.Engine]; exists && !failure.Proved && !failure.Blameless {
		observation.suspectedUntil = s.server.clock.Now() + suspicionPeriod
	}
	s.lock.Unlock()
	decision.Retry = !failure.Streamed && failure.Tries < 3 && failure.Left > 0 && (failure.Proved || failure.Repeats && !failure.OneShot)
	if decision.Retry {
		s.retries.Add(1)
	}
	return decision
}
