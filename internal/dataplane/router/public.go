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

// Overview is a router's status.
type Overview struct {
	Name     string            `json:"name"`
	Hall     string            `json:"hall"`
	Ready    bool              `json:"ready"`
	InForce  InForce           `json:"inForce"`
	Heads    []news.Head       `json:"heads"`
	Siblings []machine.Machine `json:"siblings"`
	Counters map[string]int64  `json:"counters"`
}

// InForce names the configuration that a router works by.
type InForce struct {
	Sequence  uint64            `json:"sequence"`
	Document  string            `json:"documentSHA256"`
	Changes   map[string]string `json:"changes"`
	Evacuated []string          `json:"evacuated"`
}

func (r *Router) inForce() InForce {
	view := r.view.Load()
	if view == nil {
		return InForce{}
	}
	sum := sha256.Sum256([]byte(view.Document))
	return InForce{view.Sequence, hex.EncodeToString(sum[:]), view.Changes, view.Evacuated}
}

func (r *Router) public() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("GET /live", func(writer http.ResponseWriter, _ *http.Request) { circuit.WriteJSON(writer, 200, "live") })
	routes.HandleFunc("GET /ready", func(writer http.ResponseWriter, _ *http.Request) {
		if err := r.invites(); err != nil {
			circuit.WriteDecline(writer, err, "", r.retry(nil, mishap.CodeOf(err, mishap.RouterStale)))
			return
		}
		circuit.WriteJSON(writer, 200, "ready")
	})
	routes.HandleFunc("GET /counters", func(writer http.ResponseWriter, _ *http.Request) { circuit.WriteJSON(writer, 200, r.counters()) })
	routes.Handle("GET /metrics", metric.Page(r.counters, r.histograms()...))
	routes.HandleFunc("GET /v1/status", func(writer http.ResponseWriter, _ *http.Request) {
		circuit.WriteJSON(writer, 200, Overview{
			Name: r.Machine.Name, Hall: r.Machine.Hall, Ready: r.invites() == nil, InForce: r.inForce(),
			Heads: r.gossip.Heads(), Siblings: r.gossip.Members(), Counters: r.counters(),
		})
	})
	routes.HandleFunc("POST /v1/answer", r.answer)
	return routes
}

// takes says why no new work is taken now, if so.
func (r *Router) takes() error {
	if r.stopped.Load() {
		return mishap.New(mishap.RouterLeaving, "%s", r.Machine.Name)
	}
	if !r.Fresh() {
		return mishap.New(mishap.RouterStale, "%s", r.Machine.Name)
	}
	return nil
}

func (r *Router) histograms() []prometheus.Collector {
	if r.follower == nil {
		return nil
	}
	return r.follower.Histograms()
}

func (r *Router) counters() map[string]int64 {
	counters := map[string]int64{
		"received": r.Received.Load(), "enrolled": r.Enrolled.Load(), "finished": r.Finished.Load(),
		"declined": r.Declined.Load(), "unknown": r.Unknown.Load(), "failed": r.Failed.Load(), "cut": r.Cut.Load(),
		"repeats": r.Repeats.Load(), "mishaps": r.Mishaps.Load(), "reads": r.Reads.Load(), "reads-short": r.ReadsShort.Load(), "copies-offered": r.Copies.Load(),
		"first-basis": int64(r.first.Basis()),
		"stale":       r.Stale.Load(), "stalls": r.Stalls.Load(), "declined-early": r.Early.Load(), "claims-unheard": r.ClaimsUnheard.Load(), "keys": int64(r.keys.Count()), "foreign": r.inner.Foreign.Load(), "garbage": r.inner.Garbage.Load(),
		"calls": r.meter.Calls.Load(), "bytes-inside": r.meter.Inside.Load(), "bytes-across": r.meter.Across.Load(),
		"bytes-unknown": r.meter.Unknown.Load(), "news-taken": r.gossip.Taken.Load(), "news-known": r.gossip.Known.Load(),
		"news-passed": r.gossip.Passed.Load(), "news-mended": r.gossip.Mended.Load(), "news-stepped": r.gossip.Stepped.Load(), "news-based": r.gossip.Based.Load(),
	}
	if r.follower != nil {
		maps.Copy(counters, r.follower.Tally())
	}
	return counters
}
