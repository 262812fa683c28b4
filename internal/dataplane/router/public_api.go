package router

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"

	"coursepass/internal/errcode"
	"coursepass/internal/gossip"
	"coursepass/internal/metrics"
	"coursepass/internal/metrics/resources"
	"coursepass/internal/node"
	"coursepass/internal/transport"
)

// Status is the response of GET /v1/status.
type Status struct {
	Name         string           `json:"name"`
	Zone         string           `json:"hall"`
	Ready        bool             `json:"ready"`
	ActiveConfig ActiveConfig     `json:"inForce"`
	Heads        []gossip.Head    `json:"heads"`
	Peers        []node.Node      `json:"siblings"`
	Counters     map[string]int64 `json:"counters"`
	// Resources is the router's resource usage. It is nil in the response of older builds, which do not
	// measure it.
	Resources *resources.Snapshot `json:"resources,omitempty"`
}

// ActiveConfig identifies the active configuration of a router. It is the zero value if there is none.
type ActiveConfig struct {
	Revision       uint64            `json:"sequence"`
	Document       string            `json:"documentSHA256"`
	Changes        map[string]string `json:"changes"`
	EvacuatedZones []string          `json:"evacuated"`
}

// activeConfig returns the identification of the active configuration.
func (r *Router) activeConfig() ActiveConfig {
	view := r.configView.Load()
	if view == nil {
		return ActiveConfig{}
	}
	digest := sha256.Sum256([]byte(view.Document))
	return ActiveConfig{
		Revision:       view.Revision,
		Document:       hex.EncodeToString(digest[:]),
		Changes:        view.Changes,
		EvacuatedZones: view.Evacuated,
	}
}

// publicHandler returns the handler of the public interface, which serves callers and operators.
func (r *Router) publicHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", handleLive)
	mux.HandleFunc("GET /ready", r.handleReady)
	mux.HandleFunc("GET /counters", r.handleCounters)
	mux.Handle("GET /metrics", metrics.Handler(r.counterValues, r.collectors()...))
	mux.HandleFunc("GET /v1/status", r.handleStatus)
	r.httpHandler.Register(mux)
	return mux
}

// handleLive serves GET /live. It succeeds as long as the process serves requests.
func handleLive(writer http.ResponseWriter, _ *http.Request) {
	transport.WriteJSON(writer, http.StatusOK, "live")
}

// handleReady serves GET /ready. It fails if callers should send new requests to other routers.
func (r *Router) handleReady(writer http.ResponseWriter, _ *http.Request) {
	if err := r.checkReady(); err != nil {
		retryAfter := r.RetryAfter(errcode.CodeOf(err, errcode.RouterStale))
		transport.WriteError(writer, err, "", retryAfter)
		return
	}
	transport.WriteJSON(writer, http.StatusOK, "ready")
}

// handleCounters serves GET /counters with all counters.
func (r *Router) handleCounters(writer http.ResponseWriter, _ *http.Request) {
	transport.WriteJSON(writer, http.StatusOK, r.counterValues())
}

// handleStatus serves GET /v1/status with the router's status.
func (r *Router) handleStatus(writer http.ResponseWriter, _ *http.Request) {
	used := r.resourceSnapshot()
	transport.WriteJSON(writer, http.StatusOK, Status{
		Name:         r.Name,
		Zone:         r.Zone,
		Ready:        r.checkReady() == nil,
		ActiveConfig: r.activeConfig(),
		Heads:        r.gossip.Heads(),
		Peers:        r.gossip.Members(),
		Counters:     r.counterValues(),
		Resources:    &used,
	})
}

// checkReady returns nil if callers may send new requests to this router, and otherwise an error with
// the reason. Once the maintenance window of its region has started, a router is no longer ready, but
// it still serves the requests that it receives.
func (r *Router) checkReady() error {
	if r.isRegionDraining() {
		return errcode.New(errcode.RouterDraining, "the region of router %q is being drained", r.Name)
	}
	return r.CheckAcceptsWork()
}
