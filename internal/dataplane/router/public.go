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

func (router *Router) inForce() InForce {
	view := router.view.Load()
	if view == nil {
		return InForce{}
	}
	sum := sha256.Sum256([]byte(view.Document))
	return InForce{view.Sequence, hex.EncodeToString(sum[:]), view.Changes, view.Evacuated}
}

func (router *Router) public() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("GET /live", func(writer http.ResponseWriter, _ *http.Request) { circuit.WriteJSON(writer, 200, "live") })
	routes.HandleFunc("GET /ready", func(writer http.ResponseWriter, _ *http.Request) {
		if err := router.invites(); err != nil {
			circuit.WriteDecline(writer, err, "", router.retry(nil, mishap.CodeOf(err, mishap.RouterStale)))
			return
		}
		circuit.WriteJSON(writer, 200, "ready")
	})
	routes.HandleFunc("GET /counters", func(writer http.ResponseWriter, _ *http.Request) { circuit.WriteJSON(writer, 200, router.counters()) })
	routes.Handle("GET /metrics", metric.Page(router.counters, router.histograms()...))
	routes.HandleFunc("GET /v1/status", func(writer http.ResponseWriter, _ *http.Request) {
		circuit.WriteJSON(writer, 200, Overview{
			Name: router.Machine.Name, Hall: router.Machine.Hall, Ready: router.invites() == nil, InForce: router.inForce(),
			Heads: router.gossip.Heads(), Siblings: router.gossip.Members(), Counters: router.counters(),
		})
	})
	routes.HandleFunc("POST /v1/answer", router.answer)
	return routes
}

// takes says why no new work is taken now, if so.
func (router *Router) takes() error {
	if router.stopped.Load() {
		return mishap.New(mishap.RouterLeaving, "%s", router.Machine.Name)
	}
	if !router.Fresh() {
		return mishap.New(mishap.RouterStale, "%s", router.Machine.Name)
	}
	return nil
}

func (router *Router) histograms() []prometheus.Collector {
	if router.follower == nil {
		return nil
	}
	return router.follower.Histograms()
}

func (router *Router) counters() map[string]int64 {
	counters := map[string]int64{
		"received": router.Received.Load(), "enrolled": router.Enrolled.Load(), "finished": router.Finished.Load(),
		"declined": router.Declined.Load(), "unknown": router.Unknown.Load(), "failed": router.Failed.Load(), "cut": router.Cut.Load(),
		"repeats": router.Repeats.Load(), "mishaps": router.Mishaps.Load(), "reads": router.Reads.Load(), "reads-short": router.ReadsShort.Load(), "copies-offered": router.Copies.Load(),
		"first-basis": int64(router.first.Basis()),
		"stale":       router.Stale.Load(), "stalls": router.Stalls.Load(), "declined-early": router.Early.Load(), "claims-unheard": router.ClaimsUnheard.Load(), "keys": int64(router.keys.Count()), "foreign": router.inner.Foreign.Load(), "garbage": router.inner.Garbage.Load(),
		"calls": router.meter.Calls.Load(), "bytes-inside": router.meter.Inside.Load(), "bytes-across": router.meter.Across.Load(),
		"bytes-unknown": router.meter.Unknown.Load(), "news-taken": router.gossip.Taken.Load(), "news-known": router.gossip.Known.Load(),
		"news-passed": router.gossip.Passed.Load(), "news-mended": router.gossip.Mended.Load(), "news-stepped": router.gossip.Stepped.Load(), "news-based": router.gossip.Based.Load(),
	}
	if router.follower != nil {
		maps.Copy(counters, router.follower.Tally())
	}
	return counters
}
