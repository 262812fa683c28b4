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
	// commandTimeout is the timeout of a command to an engine. A command must end within the lease.
	commandTimeout = 600 * clock.Millisecond
	// commitTimeout is the timeout of the proposals that the leader's tasks make.
	commitTimeout = clock.Second
)

// ServiceLeader performs the leader's tasks for the services of one shard while this server leads the shard. It
// tracks the engines, either by polling the engines or by reading a directory, commits an assignment of roles
// and pairs, and sends the engines the commands that follow from the assignment.
type ServiceLeader struct {
	options    Options
	dispatcher *enginecommand.Dispatcher
	client     *http.Client
	// directorySync is set by Attach before Run. If it is nil, the engines are polled.
	directorySync *directorySync
	// polls counts the requests to engines for reports and the listings of the directory.
	polls atomic.Int64
	// retryDecisions counts the answers to failure reports. retries counts the answers that allowed a retry.
	retryDecisions atomic.Int64
	retries        atomic.Int64
	// directoryReadAt is the time, in microseconds, when the directory of engines was last read, or 0 if it has not
	// been read.
	directoryReadAt atomic.Int64

	// lock guards the fields below.
	lock         sync.Mutex
	observations map[string]*engineObservation
	desiredRoles map[string]string
	// roleBalancers are keyed by service and model version.
	roleBalancers map[string]*pairing.RoleBalancer
}

// NewServiceLeader creates a ServiceLeader for one shard. Run starts its tasks.
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
		client:        transport.NewHTTPClient(reportOptions),
		observations:  map[string]*engineObservation{},
		desiredRoles:  map[string]string{},
		roleBalancers: map[string]*pairing.RoleBalancer{},
	}
}

// EngineView returns the registered engines. It must be called in the shard's loop.
func (l *ServiceLeader) EngineView() registry.View { return l.options.Engines.View }

// DirectoryReadAt returns the time when this server last read the directory of engines, or 0 if it has never
// read the directory.
func (l *ServiceLeader) DirectoryReadAt() clock.Microseconds {
	return clock.Microseconds(l.directoryReadAt.Load())
}

// Run performs the leader's tasks until the context ends.
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

// isOwner reports whether this server leads the shard with the confirmation of a majority.
func (l *ServiceLeader) isOwner() bool {
	status := l.options.Shard.PublishedStatus()
	return status != nil && status.Owner
}

// pollAndAssign polls all engines, commits the assignments that have changed, and sends commands to the engines
// whose last report is fresh.
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

// loadState returns the applied state of this shard and the applied configuration. It returns false if the
// context ends first.
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

// commitAssignment proposes an assignment that replaces the committed one.
func (l *ServiceLeader) commitAssignment(parent context.Context, assignment, committed pairing.Assignment) {
	ctx, cancel := context.WithTimeout(parent, commitTimeout.Duration())
	defer cancel()
	operation := l.encodeAssignment(assignment, committed)
	_, err := l.options.Shard.Propose(ctx, func() ([]byte, error) { return operation, nil })
	if err != nil {
		log.Warn().Str("server", l.options.Server).Str("service", assignment.Service).Err(err).Msg("assignment not committed")
	}
}

// encodeAssignment returns the operation that replaces the committed assignment. The operation contains only the
// difference between the two assignments if the difference can be expressed and all members can apply it.
// Otherwise it contains the whole assignment.
func (l *ServiceLeader) encodeAssignment(assignment, committed pairing.Assignment) []byte {
	assignment.Version = committed.Version + 1
	if l.options.Fleet.AppliesAssignmentChanges(l.options.Shard.Index()) {
		if change, expressible := assignment.ChangeFrom(committed); expressible {
			return registry.EncodeAssignmentChange(change)
		}
	}
	return registry.Operation{Kind: registry.OperationAssign, Assignment: assignment}.Encode()
}
