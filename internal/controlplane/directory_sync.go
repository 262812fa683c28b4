package controlplane

import (
	"context"
	"net/http"
	"sync"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/enginecommand"
	"coursepass/internal/platformport"
	"coursepass/internal/state/config"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

const (
	directorySyncTick     = 200 * clock.Millisecond
	directorySyncInterval = 950 * clock.Millisecond
	directoryListTimeout  = 800 * clock.Millisecond
	// routerStabilizationWindow is how long a new set of routers must stand until it alone is signed.
	routerStabilizationWindow = 2 * clock.Second
)

// directorySync is what a leader keeps in mind while it follows a list of engines that others
// keep. Only its duty's turns touch it.
type directorySync struct {
	directory platformport.Directory
	missingEngines
	roleChangePlanner
	term          uint64
	lastSyncAt    clock.Microseconds
	listingFailed bool
	routerSet     stabilityTimer
	workloads     map[string]*workloadEstimate
}

// Attach has this core follow a directory instead of asking engines itself, and order
// engines' parts through the given port. It comes before Run.
func (s *Server) Attach(directory platformport.Directory, commandSender platformport.EngineCommands) {
	for _, leader := range s.serviceLeaders {
		leader.directorySync = &directorySync{directory: directory}
		leader.directorySync.reset()
		leader.dispatcher.Post = func(ctx context.Context, client *http.Client, command enginecommand.Command, address string) error {
			return commandSender.SetRole(ctx, client, address, command.Role, command.Leader, command.Term)
		}
	}
}

// reset forgets what an earlier round of this core was about.
func (d *directorySync) reset() {
	d.missingEngines, d.roleChangePlanner = missingEngines{}, newRoleChangePlanner()
	d.term, d.lastSyncAt, d.listingFailed, d.routerSet, d.workloads = 0, 0, false, stabilityTimer{}, map[string]*workloadEstimate{}
}

// syncDirectory is one turn of an owner that follows a directory. A new owner signs what it
// knows first, and then lists.
func (s *serviceLeader) syncDirectory(ctx context.Context) {
	syncState, status := s.directorySync, s.shard.status.Load()
	if status == nil || !status.Owner {
		if syncState.term != 0 {
			syncState.reset()
		}
		return
	}
	now := s.server.clock.Now()
	if syncState.term != status.Term {
		syncState.reset()
		syncState.term = status.Term
		s.updateAssignments(ctx)
	} else if now-syncState.lastSyncAt < directorySyncInterval {
		return
	}
	syncState.lastSyncAt = now
	s.applyListing(ctx)
	s.updateAssignments(ctx)
}

// applyListing lists the directory and takes over what has changed. What could not be listed
// changes nothing.
func (s *serviceLeader) applyListing(parent context.Context) {
	ctx, cancel := context.WithTimeout(parent, directoryListTimeout.Duration())
	defer cancel()
	syncState := s.directorySync
	s.polls.Add(1)
	listings, err := syncState.directory.List(ctx)
	if err != nil {
		if !syncState.listingFailed {
			log.Warn().Str("core", s.server.Node.Name).Err(err).Msg("engines not listed")
		}
		syncState.listingFailed = true
		return
	}
	syncState.listingFailed = false
	var engines []registry.Engine
	for _, listing := range listings {
		if ServiceShard(listing.Service, s.server.Shards) == s.shard.index {
			engines = append(engines, engineFromListing(listing))
		}
	}
	var view registry.View
	if !s.shard.runInLoop(parent, func() { view = s.engines.View }) {
		return
	}
	added, removed := view.Diff(syncState.reconcile(s.server.clock.Now(), engines, view.Engines))
	if len(added)+len(removed) == 0 {
		return
	}
	proposeCtx, cancelPropose := context.WithTimeout(parent, clock.Second.Duration())
	defer cancelPropose()
	operation := registry.Operation{Kind: registry.OperationSyncEndpoints, Put: added, Drop: removed}
	_, err = s.shard.propose(proposeCtx, func() ([]byte, error) { return operation.Encode(), nil })
	log.Info().Str("core", s.server.Node.Name).Int("put", len(added)).Int("drop", len(removed)).Err(err).Msg("list of engines changed")
}

func engineFromListing(listing platformport.Engine) registry.Engine {
	return registry.Engine{
		Name: listing.Incarnation, Incarnation: listing.Incarnation, Service: listing.Service, Hall: listing.Zone, Address: listing.Address,
		Leaving: listing.Draining, Part: listing.Role, Slots: listing.Slots, Weights: listing.ModelVersion, Cold: listing.WarmupRemaining > 0,
	}
}

// updateAssignments signs a contract where one changed, and orders engines to other parts.
func (s *serviceLeader) updateAssignments(ctx context.Context) {
	var view registry.View
	var plan config.View
	if !s.shard.runInLoop(ctx, func() { view = s.engines.View }) ||
		!s.server.shards[0].runInLoop(ctx, func() { plan = s.server.configuration.View() }) {
		return
	}
	now, syncState := s.server.clock.Now(), s.directorySync
	routers := s.server.activeRouters(now)
	routersStable := syncState.routerSet.unchangedFor(now, routers...) >= routerStabilizationWindow
	services := s.serviceNames(view)
	syncState.recordWork(now, s.server.reportedWork(now))
	for service, committed := range view.Contracts {
		if len(committed.Parts) > 0 {
			services[service] = true
		}
	}
	var group sync.WaitGroup
	defer group.Wait()
	for service := range services {
		live := schedulableEngines(service, view, func(zone string) bool { return s.server.zoneUnavailable(&plan, zone) })
		prefillFraction, reported := syncState.workload(service).prefillFraction(s.server.DefaultPrefillPercent)
		syncState.plan(now, service, live, prefillFraction, reported)
		committed := view.Contracts[service]
		assignment := pairing.AssignAffinityGroups(service, s.server.Node.Inner, syncState.term, syncState.candidates(live))
		assignment.Routers, assignment.Away = assignedRouters(committed, routers, routersStable), syncState.changingNames(live)
		if !assignment.Equal(committed) {
			log.Info().Str("core", s.server.Node.Name).Str("service", service).Uint64("round", assignment.Round).
				Int("readers", assignment.CountRole(pairing.RolePrefill)).Int("makers", assignment.CountRole(pairing.RoleDecode)).Int("routers", len(assignment.Routers)).Float64("reading", prefillFraction).Msg("contract")
			group.Go(func() { s.commitAssignment(ctx, assignment) })
		}
		leaseGuard := s.shard.leaseGuard.Load()
		if !leaseGuard.Covers(now, s.dispatcher.Timeout) {
			continue
		}
		for _, command := range syncState.readyCommands(now, live, committed) {
			report := registry.Report{Name: command.Name, Service: service, Address: command.Address, Incarnation: command.Incarnation}
			if command.firstAttempt {
				s.dispatcher.Forget(command.Name)
			}
			s.dispatcher.EnsureState(ctx, leaseGuard, report, enginecommand.DesiredState{Role: command.Part})
		}
	}
}

// schedulableEngines are the engines of a service that may get new work.
func schedulableEngines(service string, view registry.View, unavailable func(zone string) bool) []registry.Engine {
	var live []registry.Engine
	for _, engine := range view.Engines {
		if engine.Service == service && !engine.Leaving && !unavailable(engine.Hall) {
			live = append(live, engine)
		}
	}
	return live
}

// assignedRouters are the routers of a drawn contract: those of the one in force until a new set
// has stood for a while, so that routers that come and go have nothing signed.
func assignedRouters(committed pairing.Assignment, routers []string, routersStable bool) []string {
	if routersStable || len(committed.Routers) == 0 && committed.Owner == "" {
		return routers
	}
	return committed.Routers
}
