package httpapi

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/errcode"
	"coursepass/internal/metrics/resources"
	"coursepass/internal/node"
	"coursepass/internal/state/config"
	"coursepass/internal/state/registry"
	"coursepass/internal/topology"
	"coursepass/internal/transport"
)

// ControlState is the state of the control plane as the router knows it.
type ControlState interface {
	// ConfigView is the active configuration, nil if there is none yet.
	ConfigView() *config.View
	// DrainingZones are the zones that get no new work under a configuration.
	DrainingZones(view *config.View) []string
	// Membership is the membership of a shard, nil if it is not known yet.
	Membership(shard int) *consensus.Membership
	// RouterCount is how many routers share a tenant's retry allowance, as far as is known here.
	RouterCount() int
	// CheckAcceptsWork returns an error that says why no new work is taken now, if so.
	CheckAcceptsWork() error
	// RetryAfter is when a caller rejected with one of the router's own codes should retry; zero
	// where a retry is of no use.
	RetryAfter(code errcode.Code) clock.Microseconds
}

// Options are what a Handler needs.
type Options struct {
	// Node is the router that the handler belongs to.
	Node    node.Node
	Control ControlState
	Clock   *clock.Clock
	Meter   *topology.TrafficMeter
	// Internal is the interface between daemons, Network the network towards engines.
	Internal *transport.Internal
	Network  transport.Network
	// Seeds are the addresses of the control plane that are used while a membership is unknown.
	Seeds []string
	// Shards is the number of shards, Replicas the number of members of each.
	Shards   int
	Replicas int
	// StreamIdleTimeout is how long a stream may be idle before it is given up.
	StreamIdleTimeout clock.Microseconds
}

// Handler serves the interface.
type Handler struct {
	Counters
	node              node.Node
	control           ControlState
	clock             *clock.Clock
	meter             *topology.TrafficMeter
	internal          *transport.Internal
	seeds             []string
	shards            int
	replicas          int
	streamIdleTimeout clock.Microseconds

	engineClient    *http.Client
	idempotencyKeys *lifecycle.KeyTable
	senders         senderTable
	// reserverID identifies this incarnation of the router in its reservations; it is random.
	reserverID uint64
	// lock guards the maps: engineTables and queueDepths by service, retryBudgets by tenant.
	lock         sync.Mutex
	engineTables map[string]*registry.Table
	retryBudgets map[string]*lifecycle.RetryBudget
	queueDepths  map[string]*atomic.Int64
	// inFlight counts the admitted requests.
	inFlight sync.WaitGroup
}

// New makes a handler and registers its procedure at the internal interface.
func New(options Options) *Handler {
	engineTransport := transport.NewHTTPTransport(transport.Options{
		Network: options.Network,
		Meter:   options.Meter,
		Kind:    resources.Data,
	})
	handler := &Handler{
		node:              options.Node,
		control:           options.Control,
		clock:             options.Clock,
		meter:             options.Meter,
		internal:          options.Internal,
		seeds:             options.Seeds,
		shards:            options.Shards,
		replicas:          options.Replicas,
		streamIdleTimeout: options.StreamIdleTimeout,
		engineClient:      &http.Client{Transport: engineTransport},
		idempotencyKeys:   lifecycle.NewKeyTable(),
		senders:           newSenderTable(),
		reserverID:        rand.Uint64(),
		engineTables:      map[string]*registry.Table{},
		retryBudgets:      map[string]*lifecycle.RetryBudget{},
		queueDepths:       map[string]*atomic.Int64{},
	}
	handler.registerKeyOutcomeHandler()
	return handler
}

// Register adds the route to the public interface.
func (h *Handler) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/answer", h.handleAnswer)
}

// Start begins to send reservations. They end with the context.
func (h *Handler) Start(ctx context.Context) { h.senders.start(ctx) }

// Drain waits until no request is in flight or the context ends.
func (h *Handler) Drain(ctx context.Context) {
	drained := make(chan struct{})
	go func() {
		h.inFlight.Wait()
		close(drained)
	}()
	select {
	case <-drained:
	case <-ctx.Done():
	}
}

// quorum is the least number of a shard's members that is a majority.
func (h *Handler) quorum() int { return h.replicas/2 + 1 }

// WirePaths are the paths of the procedures that routers serve to each other, by stable labels.
func WirePaths() map[string]string {
	return map[string]string{"idempotency-key": keyOutcomePath}
}
