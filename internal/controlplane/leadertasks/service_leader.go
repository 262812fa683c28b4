package leadertasks

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/enginecommand"
	"coursepass/internal/metrics/resources"
	"coursepass/internal/state/config"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

const (
	// commandTimeout is how long a command to an engine may take; it must end within the lease.
	commandTimeout = 600 * clock.Millisecond
	// commitTimeout limits the proposals of the leader's own tasks.
	commitTimeout = clock.Second
)

// ServiceLeader does the leader's tasks for the services of one shard while this server leads it: it
// follows the engines, either by polling them or by a directory, commits an assignment of roles and
// pairs, and commands the engines accordingly.
type ServiceLeader struct {
	options    Options
	dispatcher *enginecommand.Dispatcher
	client     *http.Client
	// directorySync is set by Attach before Run; nil means that engines are polled.
	directorySync  *directorySync
	polls          atomic.Int64
	retryDecisions atomic.Int64
	retries        atomic.Int64
	// listedAt is when the directory of engines was read last, 0 before.
	listedAt atomic.Int64

	// lock guards what follows.
	lock         sync.Mutex
	observations map[string]*engineObservation
	desiredRoles map[string]string
	// roleSplits are by service and model version.
	roleSplits map[string]*pairing.RoleBalancer
}

// NewServiceLeader makes the leader's tasks of one shard. They begin with Run.
func NewServiceLeader(options Options) *ServiceLeader {
	reportOptions := options.Transport
	reportOptions.Procedure = resources.ProcedureEngineReports
	return &ServiceLeader{
		options: options,
		dispatcher: enginecommand.NewDispatcher(enginecommand.Options{
			Leader:    options.Server,
			Timeout:   commandTimeout,
			Clock:     options.Clock,
			Lease:     options.Shard.LeaseGuard(),
			Transport: options.Transport,
		}),
		client:       transport.NewHTTPClient(reportOptions),
		observations: map[string]*engineObservation{},
		desiredRoles: map[string]string{},
		roleSplits:   map[string]*pairing.RoleBalancer{},
	}
}

// EngineView returns the registered engines. It must be called in the shard's loop.
func (l *ServiceLeader) EngineView() registry.View { return l.options.Engines.View }

// DirectoryReadAt returns when this server has last read the directory of engines; 0 if it never has.
func (l *ServiceLeader) DirectoryReadAt() clock.Microseconds {
	return clock.Microseconds(l.listedAt.Load())
}

// Run does the leader's tasks until the context ends.
func (l *ServiceLeader) Run(ctx context.Context) {
	if l.directorySync != nil {
		clock.Every(ctx, directorySyncTick, func() { l.syncDirectory(ctx) })
		return
	}
	clock.Every(ctx, pollInterval, func() {
		if l.isOwner() {
			l.pollAndAssign(ctx)
		}
	})
}

// isOwner tells whether this server leads the shard with the confirmation of a majority.
func (l *ServiceLeader) isOwner() bool {
	status := l.options.Shard.PublishedStatus()
	return status != nil && status.Owner
}

// pollAndAssign polls all engines, commits the assignments that have changed, and commands the engines
// whose report is fresh.
func (l *ServiceLeader) pollAndAssign(ctx context.Context) {
	view, configuration, loaded := l.loadState(ctx)
	if !loaded {
		return
	}
	l.pollEngines(ctx, view)
	leaseGuard := l.options.Shard.LeaseGuard().Load()
	term := l.options.Shard.PublishedStatus().Term
	for service := range serviceNames(view) {
		assignment, desiredStates := l.draftAssignment(service, term, view, configuration)
		if !assignment.Equal(view.Assignments[service]) {
			l.commitAssignment(ctx, assignment, view.Assignments[service])
		}
		for name, desired := range desiredStates {
			if report, isFresh := l.freshReport(name); isFresh {
				l.dispatcher.EnsureState(ctx, leaseGuard, report, desired)
			}
		}
	}
}

// loadState returns the applied state of this shard and of the configuration; false if the context
// ends before.
func (l *ServiceLeader) loadState(ctx context.Context) (registry.View, config.View, bool) {
	var engines registry.View
	if !l.options.Shard.RunInLoop(ctx, func() { engines = l.options.Engines.View }) {
		return registry.View{}, config.View{}, false
	}
	configuration, loaded := l.options.Fleet.ReadConfiguration(ctx)
	return engines, configuration, loaded
}

// serviceNames returns the set of services that have registered engines.
func serviceNames(view registry.View) map[string]bool {
	services := map[string]bool{}
	for _, engine := range view.Engines {
		services[engine.Service] = true
	}
	return services
}

// commitAssignment proposes an assignment in place of the committed one.
func (l *ServiceLeader) commitAssignment(parent context.Context, assignment, committed pairing.Assignment) {
	ctx, cancel := context.WithTimeout(parent, commitTimeout.Duration())
	defer cancel()
	operation := l.encodeAssignment(assignment, committed)
	_, err := l.options.Shard.Propose(ctx, func() ([]byte, error) { return operation, nil })
	if err != nil {
		log.Warn().Str("server", l.options.Server).Str("service", assignment.Service).Err(err).Msg("assignment not committed")
	}
}

// encodeAssignment returns the operation that puts an assignment in place of the committed one: their difference, if
// that expresses it and all members know differences, or else the whole assignment.
func (l *ServiceLeader) encodeAssignment(assignment, committed pairing.Assignment) []byte {
	assignment.Version = committed.Version + 1
	if l.options.Fleet.AppliesAssignmentChanges(l.options.Shard.Index()) {
		if change, expressed := assignment.ChangeFrom(committed); expressed {
			return registry.EncodeAssignmentChange(change)
		}
	}
	return registry.Operation{Kind: registry.OperationAssign, Assignment: assignment}.Encode()
}
