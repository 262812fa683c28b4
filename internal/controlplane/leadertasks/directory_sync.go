package leadertasks

import (
	"context"
	"net/http"
	"sync"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/controlplane/engineplan"
	"coursepass/internal/enginecommand"
	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

const (
	// directorySyncTick is the interval at which a ServiceLeader checks whether it leads and a sync is due.
	directorySyncTick = 200 * clock.Millisecond
	// directorySyncInterval is the minimum interval between two listings of the directory in one term.
	directorySyncInterval = 950 * clock.Millisecond
	// directoryListTimeout is the timeout of a listing of the directory.
	directoryListTimeout = 800 * clock.Millisecond
)

// directorySync is the state of a leader that reads the engines from an external directory. Only the goroutine of
// its ServiceLeader accesses it.
type directorySync struct {
	directory platformport.Directory
	// term is the term in which the fields below were collected, or 0 while this server does not lead the shard.
	term           uint64
	lastSyncAt     clock.Microseconds
	listingFailed  bool
	missingEngines engineplan.MissingEngines
	planner        *engineplan.Planner
	workloads      *engineplan.Workloads
	routerSetTimer engineplan.StabilityTimer
}

// newDirectorySync returns the state of a directory sync at the start of a term.
func newDirectorySync(directory platformport.Directory, term uint64) *directorySync {
	return &directorySync{
		directory: directory,
		term:      term,
		planner:   engineplan.NewPlanner(),
		workloads: engineplan.NewWorkloads(),
	}
}

// Attach makes the leader read the engines from a directory instead of polling the engines, and set the roles of
// the engines through commandSender. It must be called before Run.
func (l *ServiceLeader) Attach(directory platformport.Directory, commandSender platformport.EngineCommands) {
	l.directorySync = newDirectorySync(directory, 0)
	l.dispatcher.Post = func(
		ctx context.Context, client *http.Client, command enginecommand.Command, address string,
	) error {
		return commandSender.SetRole(ctx, client, platformport.RoleCommand{
			Address:     address,
			Role:        command.Role,
			LeaseHolder: command.Leader,
			Term:        command.Term,
		})
	}
}

// syncDirectory performs one pass of a leader that reads a directory. A new leader first commits assignments from
// the registered engines, before it lists the directory for the first time.
func (l *ServiceLeader) syncDirectory(ctx context.Context) {
	status := l.options.Shard.PublishedStatus()
	if status == nil || !status.Owner {
		if l.directorySync.term != 0 {
			l.directorySync = newDirectorySync(l.directorySync.directory, 0)
		}
		return
	}
	now := l.options.Clock.Now()
	if l.directorySync.term != status.Term {
		l.directorySync = newDirectorySync(l.directorySync.directory, status.Term)
		l.updateAssignments(ctx)
	} else if now-l.directorySync.lastSyncAt < directorySyncInterval {
		return
	}
	l.directorySync.lastSyncAt = now
	l.applyListing(ctx)
	l.updateAssignments(ctx)
}

// applyListing lists the directory and proposes the engines that were added or removed. A failed listing changes
// nothing.
func (l *ServiceLeader) applyListing(parent context.Context) {
	ctx, cancel := context.WithTimeout(parent, directoryListTimeout.Duration())
	defer cancel()
	listedEngines, err := l.listEngines(ctx)
	if err != nil {
		if !l.directorySync.listingFailed {
			log.Warn().Str("server", l.options.Server).Err(err).Msg("engine directory not listed")
		}
		l.directorySync.listingFailed = true
		return
	}
	l.directorySync.listingFailed = false
	l.directoryReadAt.Store(int64(l.options.Clock.Now()))
	var view registry.View
	if !l.options.Shard.RunInLoop(parent, func() { view = l.options.Engines.View }) {
		return
	}
	desiredEngines := l.directorySync.missingEngines.Reconcile(l.options.Clock.Now(), listedEngines, view.Engines)
	added, removed := view.Diff(desiredEngines)
	if len(added)+len(removed) == 0 {
		return
	}
	l.commitListing(parent, registry.Operation{Kind: registry.OperationSyncEndpoints, Put: added, Drop: removed})
}

// listEngines lists the directory, and returns the engines whose service belongs to this shard.
func (l *ServiceLeader) listEngines(ctx context.Context) ([]registry.Engine, error) {
	l.polls.Add(1)
	listings, err := l.directorySync.directory.List(ctx)
	if err != nil {
		return nil, err
	}
	var engines []registry.Engine
	for _, listing := range listings {
		if controlapi.ServiceShard(listing.Service, l.options.Shards) == l.options.Shard.Index() {
			engines = append(engines, engineFromListing(listing))
		}
	}
	return engines, nil
}

func (l *ServiceLeader) commitListing(parent context.Context, operation registry.Operation) {
	ctx, cancel := context.WithTimeout(parent, commitTimeout.Duration())
	defer cancel()
	_, err := l.options.Shard.Propose(ctx, func() ([]byte, error) { return operation.Encode(), nil })
	log.Info().Str("server", l.options.Server).Int("added", len(operation.Put)).Int("removed", len(operation.Drop)).
		Err(err).Msg("engine list changed")
}

func engineFromListing(listing platformport.Engine) registry.Engine {
	return registry.Engine{
		Name:        listing.Incarnation,
		Incarnation: listing.Incarnation,
		Service:     listing.Service,
		Zone:        listing.Zone,
		Address:     listing.Address,
		Draining:    listing.Draining,
		Role:        listing.Role,
		Slots:       listing.Slots,
		Weights:     listing.ModelVersion,
		WarmingUp:   listing.WarmupRemaining > 0,
	}
}

// updateAssignments commits the assignments that have changed, and sends commands to the engines whose role
// changes. It returns once all proposals have ended.
func (l *ServiceLeader) updateAssignments(ctx context.Context) {
	view, configuration, loaded := l.loadState(ctx)
	if !loaded {
		return
	}
	now := l.options.Clock.Now()
	syncState := l.directorySync
	routers := l.options.Fleet.ActiveRouters(now)
	routerNodes := l.options.Fleet.ActiveRouterNodes(now)
	routersStable := syncState.routerSetTimer.UnchangedFor(now, routers...) >= engineplan.RouterStabilizationWindow
	syncState.workloads.Record(now, l.options.Fleet.ReportedWork(now))
	zoneUnavailable := func(zone string) bool { return l.options.Fleet.ZoneUnavailable(&configuration, zone) }
	var proposals sync.WaitGroup
	defer proposals.Wait()
	for service := range assignedServiceNames(view) {
		schedulable := engineplan.SchedulableEngines(service, view, zoneUnavailable)
		prefillShare := syncState.workloads.PrefillShare(service, l.options.DefaultPrefillPercent)
		syncState.planner.Plan(now, service, schedulable, prefillShare)
		committed := view.Assignments[service]
		candidates := syncState.planner.Candidates(schedulable)
		assignment := pairing.AssignAffinityGroups(service, l.options.Address, syncState.term, candidates)
		assignment.Routers = engineplan.AssignedRouters(committed, routers, routersStable)
		assignment.ChangingRole = syncState.planner.ChangingNames(schedulable)
		assignment.PlacementOwners = engineplan.PlacementOwners(
			service, committed.PlacementOwners, routerNodes, schedulable,
		)
		if !assignment.Equal(committed) {
			l.logDraftedAssignment(assignment, prefillShare)
			proposals.Go(func() { l.commitAssignment(ctx, assignment, committed) })
		}
		l.sendRoleCommands(ctx, now, schedulable, committed)
	}
}

// assignedServiceNames returns the set of services that have registered or assigned engines.
func assignedServiceNames(view registry.View) map[string]bool {
	services := serviceNames(view)
	for service, committed := range view.Assignments {
		if len(committed.Roles) > 0 {
			services[service] = true
		}
	}
	return services
}

func (l *ServiceLeader) logDraftedAssignment(assignment pairing.Assignment, prefillShare engineplan.PrefillShare) {
	log.Info().Str("server", l.options.Server).Str("service", assignment.Service).Uint64("term", assignment.Term).
		Int("prefill", assignment.CountRole(pairing.RolePrefill)).Int("decode", assignment.CountRole(pairing.RoleDecode)).
		Int("routers", len(assignment.Routers)).Float64("prefillFraction", prefillShare.Fraction).Msg("assignment drafted")
}

// sendRoleCommands sends the role commands that are due, provided that the lease covers the commands.
func (l *ServiceLeader) sendRoleCommands(
	ctx context.Context, now clock.Microseconds, schedulable []registry.Engine, committed pairing.Assignment,
) {
	leaseGuard := l.options.Shard.LeaseGuard().Load()
	if !l.dispatcher.LeaseCovers(leaseGuard, now) {
		return
	}
	for _, command := range l.directorySync.planner.ReadyCommands(now, schedulable, committed) {
		report := registry.Report{
			Name:        command.Name,
			Service:     command.Service,
			Address:     command.Address,
			Incarnation: command.Incarnation,
		}
		l.options.Transport.Meter.SetZone(command.Address, command.Zone)
		if command.FirstAttempt {
			l.dispatcher.Forget(command.Name)
		}
		l.dispatcher.EnsureState(ctx, leaseGuard, report, enginecommand.DesiredState{Role: command.Role})
	}
}
