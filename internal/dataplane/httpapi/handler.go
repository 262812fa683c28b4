package httpapi

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"

	"coursepass/internal/callgroup"
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

// ControlState provides the router's knowledge of the control plane's state. Its methods may be called
// concurrently.
type ControlState interface {
	// ConfigView returns the active configuration, or nil if there is none yet.
	ConfigView() *config.View
	// DrainingZones returns the zones that get no new work under a configuration.
	DrainingZones(view *config.View) []string
	// Membership returns the membership of a shard, or nil if it is not known yet.
	Membership(shard int) *consensus.Membership
	// RouterCount returns the number of routers that share a tenant's retry allowance, as far as the
	// router knows.
	RouterCount() int
	// CheckAcceptsWork returns nil if the router accepts new requests now, and otherwise an error with
	// the reason.
	CheckAcceptsWork() error
	// RetryAfter returns how long a caller that was rejected with one of the router's own codes should
	// wait before it retries, or zero if a retry is of no use.
	RetryAfter(code errcode.Code) clock.Microseconds
}

// Options are the dependencies and settings of a Handler.
type Options struct {
	// Node is the router of the handler.
	Node    node.Node
	Control ControlState
	Clock   *clock.Clock
	Meter   *topology.TrafficMeter
	// Internal is the endpoint for calls between daemons.
	Internal *transport.Internal
	// Network is the network over which the handler connects to engines.
	Network transport.Network
	// Seeds are the addresses of the control plane that are used while a membership is unknown.
	Seeds []string
	// Shards is the number of shards.
	Shards int
	// Replicas is the number of members of each shard.
	Replicas int
	// StreamIdleTimeout is the time without a frame after which a stream is cancelled.
	StreamIdleTimeout clock.Microseconds
}

// Handler serves the router's own HTTP/JSON interface.
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
	// reserverID is a random number that identifies this incarnation of the router in its reservations.
	reserverID uint64
	// lock guards engineTables, retryBudgets and queueDepths.
	lock sync.Mutex
	// engineTables has the engines of each service, by service.
	engineTables map[string]*registry.Table
	// retryBudgets has the retry budget of each tenant, by tenant.
	retryBudgets map[string]*lifecycle.RetryBudget
	// queueDepths has the number of requests in flight of each service, by service.
	queueDepths map[string]*atomic.Int64
	// inFlight tracks the requests that were read and have not ended. Drain closes it.
	inFlight callgroup.Group
}

// New returns a handler, and registers the handler of key outcome queries at the internal endpoint.
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

// Register adds the route of the public interface to a mux.
func (h *Handler) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/answer", h.handleAnswer)
}

// Start sets the context of the goroutines that send reservations.
func (h *Handler) Start(ctx context.Context) { h.senders.start(ctx) }

// Drain rejects new requests and waits until no request is in flight. It returns the error of the context if the
// context ends first.
func (h *Handler) Drain(ctx context.Context) error { return h.inFlight.Close(ctx) }

// quorum returns the smallest number of a shard's members that is a majority.
func (h *Handler) quorum() int { return h.replicas/2 + 1 }

// WirePaths returns the paths of the handler's calls between routers, by stable labels.
func WirePaths() map[string]string {
	return map[string]string{"idempotency-key": keyOutcomePath}
}
