package controlplane

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/enginecommand"
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

// ledShard is what a leader's tasks need of the shard's replica.
type ledShard interface {
	// Index is the number of the shard.
	Index() int
	// PublishedStatus is nil before the replica has started.
	PublishedStatus() *controlapi.ShardStatus
	// LeaseGuard points to the lease under which this server may command engines, to nil without one.
	LeaseGuard() *atomic.Pointer[enginecommand.LeaseGuard]
	// RunInLoop runs a query in the shard's loop; false if the context ended before it did.
	RunInLoop(ctx context.Context, query func()) bool
	// Propose puts an operation into the log and returns the state machine's result.
	Propose(ctx context.Context, draft func() ([]byte, error)) ([]byte, error)
}

// serviceLeader does the leader's tasks for the services of one shard while this server leads it: it
// follows the engines, either by polling them or by a directory, commits an assignment of roles and
// pairs, and commands the engines accordingly.
type serviceLeader struct {
	server     *Server
	shard      ledShard
	engines    *registry.State
	dispatcher *enginecommand.Dispatcher
	client     *http.Client
	// directorySync is set by Server.Attach before run; nil means that engines are polled.
	directorySync  *directorySync
	polls          atomic.Int64
	retryDecisions atomic.Int64
	retries        atomic.Int64

	// lock guards what follows.
	lock         sync.Mutex
	observations map[string]*engineObservation
	desiredRoles map[string]string
	// roleSplits are by service and model version.
	roleSplits map[string]*pairing.RoleBalancer
}

func newServiceLeader(server *Server, shard ledShard, engines *registry.State) *serviceLeader {
	options := transport.Options{Network: server.internalTransport.Network, Meter: server.zoneMeter}
	return &serviceLeader{
		server:  server,
		shard:   shard,
		engines: engines,
		dispatcher: enginecommand.NewDispatcher(enginecommand.Options{
			Leader:    server.Name,
			Timeout:   commandTimeout,
			Clock:     server.clock,
			Lease:     shard.LeaseGuard(),
			Transport: options,
		}),
		client:       &http.Client{Transport: transport.NewHTTPTransport(options)},
		observations: map[string]*engineObservation{},
		desiredRoles: map[string]string{},
		roleSplits:   map[string]*pairing.RoleBalancer{},
	}
}

// run does the leader's tasks until the context ends.
func (l *serviceLeader) run(ctx context.Context) {
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
func (l *serviceLeader) isOwner() bool {
	status := l.shard.PublishedStatus()
	return status != nil && status.Owner
}

// pollAndAssign polls all engines, commits the assignments that have changed, and commands the engines
// whose report is fresh.
func (l *serviceLeader) pollAndAssign(ctx context.Context) {
	view, configuration, loaded := l.loadState(ctx)
	if !loaded {
		return
	}
	l.pollEngines(ctx, view)
	leaseGuard := l.shard.LeaseGuard().Load()
	term := l.shard.PublishedStatus().Term
	for service := range serviceNames(view) {
		assignment, desiredStates := l.draftAssignment(service, term, view, configuration)
		if !assignment.Equal(view.Contracts[service]) {
			l.commitAssignment(ctx, assignment)
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
func (l *serviceLeader) loadState(ctx context.Context) (registry.View, config.View, bool) {
	var engines registry.View
	var configuration config.View
	if !l.shard.RunInLoop(ctx, func() { engines = l.engines.View }) {
		return engines, configuration, false
	}
	if !l.server.shards[0].RunInLoop(ctx, func() { configuration = l.server.configuration.View() }) {
		return engines, configuration, false
	}
	return engines, configuration, true
}

// serviceNames returns the set of services that have registered engines.
func serviceNames(view registry.View) map[string]bool {
	services := map[string]bool{}
	for _, engine := range view.Engines {
		services[engine.Service] = true
	}
	return services
}

func (l *serviceLeader) commitAssignment(parent context.Context, assignment pairing.Assignment) {
	ctx, cancel := context.WithTimeout(parent, commitTimeout.Duration())
	defer cancel()
	operation := registry.Operation{Kind: registry.OperationAssign, Contract: assignment}
	_, err := l.shard.Propose(ctx, func() ([]byte, error) { return operation.Encode(), nil })
	if err != nil {
		log.Warn().Str("server", l.server.Name).Str("service", assignment.Service).Err(err).Msg("assignment not committed")
	}
}
