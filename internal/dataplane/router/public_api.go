package router

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"coursepass/internal/errcode"
	"coursepass/internal/gossip"
	"coursepass/internal/metrics"
	"coursepass/internal/node"
	"coursepass/internal/transport"
)

// Status is a router's status.
type Status struct {
	Name         string           `json:"name"`
	Zone         string           `json:"hall"`
	Ready        bool             `json:"ready"`
	ActiveConfig ActiveConfig     `json:"inForce"`
	Heads        []gossip.Head    `json:"heads"`
	Peers        []node.Node      `json:"siblings"`
	Counters     map[string]int64 `json:"counters"`
}

// ActiveConfig names the configuration that a router works by.
type ActiveConfig struct {
	Revision       uint64            `json:"sequence"`
	Document       string            `json:"documentSHA256"`
	Changes        map[string]string `json:"changes"`
	EvacuatedZones []string          `json:"evacuated"`
}

func (r *Router) activeConfig() ActiveConfig {
	view := r.configView.Load()
	if view == nil {
		return ActiveConfig{}
	}
	digest := sha256.Sum256([]byte(view.Document))
	return ActiveConfig{view.Sequence, hex.EncodeToString(digest[:]), view.Changes, view.Evacuated}
}

func (r *Router) publicHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(writer http.ResponseWriter, _ *http.Request) { transport.WriteJSON(writer, 200, "live") })
	mux.HandleFunc("GET /ready", func(writer http.ResponseWriter, _ *http.Request) {
		if err := r.checkReady(); err != nil {
			transport.WriteError(writer, err, "", r.retryAfter(nil, errcode.CodeOf(err, errcode.RouterStale)))
			return
		}
		transport.WriteJSON(writer, 200, "ready")
	})
	mux.HandleFunc("GET /counters", func(writer http.ResponseWriter, _ *http.Request) { transport.WriteJSON(writer, 200, r.counterValues()) })
	mux.Handle("GET /metrics", metrics.Handler(r.counterValues, r.collectors()...))
	mux.HandleFunc("GET /v1/status", func(writer http.ResponseWriter, _ *http.Request) {
		transport.WriteJSON(writer, 200, Status{
			Name: r.Node.Name, Zone: r.Node.Hall, Ready: r.checkReady() == nil, ActiveConfig: r.activeConfig(),
			Heads: r.gossip.Heads(), Peers: r.gossip.Members(), Counters: r.counterValues(),
		})
	})
	mux.HandleFunc("POST /v1/answer", r.handleAnswer)
	return mux
}

// checkAcceptsWork says why no new work is taken now, if so.
func (r *Router) checkAcceptsWork() error {
	if r.stopped.Load() {
		return errcode.New(errcode.RouterDraining, "%s", r.Node.Name)
	}
	if !r.IsFresh() {
		return errcode.New(errcode.RouterStale, "%s", r.Node.Name)
	}
	return nil
}

func (r *Router) collectors() []prometheus.Collector {
	if r.dataPlane == nil {
		return nil
	}
	return r.dataPlane.Collectors()
}

func (r *Router) counterValues() map[string]int64 {
	counters := map[string]int64{
		"received": r.Received.Load(), "enrolled": r.Admitted.Load(), "finished": r.Completed.Load(),
		"declined": r.Rejected.Load(), "unknown": r.Unknown.Load(), "failed": r.Failed.Load(), "cut": r.Truncated.Load(),
		"repeats": r.Retries.Load(), "mishaps": r.EngineFailures.Load(), "reads": r.FreshnessReads.Load(), "reads-short": r.FreshnessReadsWithoutQuorum.Load(), "copies-offered": r.SnapshotsOffered.Load(),
		"first-basis": int64(r.bootstrap.Basis()),
		"stale":       r.StaleRejections.Load(), "stalls": r.Stalls.Load(), "declined-early": r.EarlyRejections.Load(), "claims-unheard": r.ReservationsWithoutQuorum.Load(), "keys": int64(r.idempotencyKeys.Count()), "foreign": r.internal.ForeignRequests.Load(), "garbage": r.internal.MalformedRequests.Load(),
		"calls": r.meter.Calls.Load(), "bytes-inside": r.meter.IntraZoneBytes.Load(), "bytes-across": r.meter.CrossZoneBytes.Load(),
		"bytes-unknown": r.meter.UnknownZoneBytes.Load(), "news-taken": r.gossip.Accepted.Load(), "news-known": r.gossip.Duplicates.Load(),
		"news-passed": r.gossip.Forwarded.Load(), "news-mended": r.gossip.Repaired.Load(), "news-stepped": r.gossip.AppliedIncrementally.Load(), "news-based": r.gossip.SnapshotsNeeded.Load(),
	}
	if r.dataPlane != nil {
		maps.Copy(counters, r.dataPlane.CounterValues())
	}
	return counters
}
