package core

import (
	"net/http"
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/metrics"
	"coursepass/internal/state/config"
	"coursepass/internal/state/maintenance"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

// Listed is an engine in the list, as operators and the platform see it.
type Listed struct {
	catalogue.Engine
	Part string `json:"part"`
	Live bool   `json:"live"`
}

// Shown is a configuration as operators see it.
type Shown struct {
	Sequence  uint64             `json:"sequence"`
	Document  string             `json:"document"`
	Changes   map[string]string  `json:"changes"`
	Evacuated []string           `json:"evacuated"`
	Notices   []notice.Notice    `json:"notices,omitempty"`
	Plan      configuration.Plan `json:"plan"`
}

// RouterHeard is a router that has asked this core for heads.
type RouterHeard struct {
	Name   string                `json:"name"`
	Hall   string                `json:"hall"`
	Public string                `json:"public"`
	Ago    schedule.Microseconds `json:"agoMicroseconds"`
	// Live counts the calls under way at engines of regions under notice, by engine.
	Live map[string]int `json:"live,omitempty"`
}

// Fleet is what a core knows of routers and, where it leads, of engines.
type Fleet struct {
	Routers []RouterHeard      `json:"routers"`
	Engines []catalogue.Report `json:"engines"`
}

func (s *Core) fleet() Fleet {
	found, now := Fleet{Routers: []RouterHeard{}, Engines: []catalogue.Report{}}, s.clock.Now()
	s.lock.Lock()
	for _, each := range s.routers {
		found.Routers = append(found.Routers, RouterHeard{Name: each.Name, Hall: each.Hall, Public: each.Public, Ago: now - each.at, Live: each.live})
	}
	s.lock.Unlock()
	for _, duty := range s.duties {
		found.Engines = append(found.Engines, duty.told()...)
	}
	return found
}

// Overview is a core's status.
type Overview struct {
	Name     string           `json:"name"`
	Hall     string           `json:"hall"`
	Identity string           `json:"identity"`
	Parts    []Status         `json:"parts"`
	Counters map[string]int64 `json:"counters"`
}

func (s *Core) public() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("GET /live", func(writer http.ResponseWriter, _ *http.Request) { circuit.WriteJSON(writer, 200, "live") })
	routes.HandleFunc("GET /ready", s.ready)
	routes.HandleFunc("GET /v1/status", func(writer http.ResponseWriter, _ *http.Request) { circuit.WriteJSON(writer, 200, s.overview()) })
	routes.HandleFunc("GET /v1/fleet", func(writer http.ResponseWriter, _ *http.Request) { circuit.WriteJSON(writer, 200, s.fleet()) })
	routes.HandleFunc("GET /counters", func(writer http.ResponseWriter, _ *http.Request) { circuit.WriteJSON(writer, 200, s.counters()) })
	routes.Handle("GET /metrics", metric.Page(s.counters))
	routes.HandleFunc("POST /v1/operations", s.takeOperation)
	routes.HandleFunc("GET /v1/operations/{key}", s.showOperation)
	routes.HandleFunc("GET /v1/configuration", s.showConfiguration)
	routes.HandleFunc("GET /v1/services/{service}/engines", s.listEngines)
	routes.HandleFunc("POST /v1/engines", s.enrolEngine)
	routes.HandleFunc("POST /v1/services/{service}/engines/{name}/leave", s.leaveEngine)
	return routes
}

// comeBack is the time in which an election is over, unless something else is wrong.
func (s *Core) comeBack() schedule.Microseconds { return 9 * s.DeltaSpan() }

func (s *Core) ready(writer http.ResponseWriter, _ *http.Request) {
	for _, shard := range s.shards {
		if status := shard.standing(); status == nil || status.Recovering || !status.Current {
			circuit.WriteDecline(writer, mishap.New(mishap.NoMajority, "part %d", shard.index), "", s.comeBack())
			return
		}
	}
	circuit.WriteJSON(writer, 200, "ready")
}

func (s *Core) counters() map[string]int64 {
	counters := map[string]int64{
		"messages-sent": s.Sent.Load(), "messages-taken": s.Taken.Load(), "messages-dropped": s.Dropped.Load(),
		"messages-late": s.Late.Load(), "foreign": s.inner.Foreign.Load(), "garbage": s.inner.Garbage.Load(),
		"calls": s.meter.Calls.Load(), "bytes-inside": s.meter.Inside.Load(), "bytes-across": s.meter.Across.Load(),
		"bytes-unknown": s.meter.Unknown.Load(), "journal-records": s.journal.Records.Load(), "journal-syncs": s.journal.Syncs.Load(),
		"journal-rewrites": s.journal.Rewrites.Load(), "journal-cut": s.journal.Cut.Load(), "journal-waiting": int64(s.journal.Waiting()),
		"news-taken": s.gossip.Taken.Load(), "news-known": s.gossip.Known.Load(), "news-passed": s.gossip.Passed.Load(), "news-mended": s.gossip.Mended.Load(), "news-stepped": s.gossip.Stepped.Load(), "news-based": s.gossip.Based.Load(),
	}
	counters["journal-failures"], counters["journal-dropped"], counters["journal-damaged"] = s.journal.Failures.Load(), s.journal.Dropped.Load(), s.journal.Damaged.Load()
	counters["diary-mishaps"] = s.DiaryMishaps.Load()
	for _, shard := range s.shards[1:] {
		if claims := shard.claims.Load(); claims != nil {
			counters["claims"] += int64(claims.Count())
		}
	}
	for _, duty := range s.duties {
		counters["orders-sent"] += duty.desk.Sent.Load()
		counters["orders-acked"] += duty.desk.Acked.Load()
		counters["orders-held"] += duty.desk.Held.Load()
		counters["orders-mishaps"] += duty.desk.Mishaps.Load()
		counters["polls"] += duty.polls.Load()
		counters["rulings"] += duty.rulings.Load()
		counters["rulings-retry"] += duty.retries.Load()
	}
	return counters
}

func (s *Core) overview() Overview {
	overview := Overview{Name: s.Machine.Name, Hall: s.Machine.Hall, Identity: s.seat.Identity, Counters: s.counters()}
	for _, shard := range s.shards {
		if status := shard.standing(); status != nil {
			shown := *status
			if claims := shard.claims.Load(); claims != nil {
				shown.ClaimsWhole = claims.whole(s.clock.Now())
			}
			overview.Parts = append(overview.Parts, shown)
		}
	}
	return overview
}

func (s *Core) answer(writer http.ResponseWriter, request *http.Request, errand *Errand, write func(*Errands)) {
	answer, err := s.operate(request.Context(), errand)
	if err == nil && answer.Code != mishap.Fine {
		err = mishap.New(answer.Code, "%s", answer.Text)
	}
	if err != nil {
		retry := schedule.Microseconds(0)
		if code := mishap.CodeOf(err, mishap.OutcomeUnknown); code == mishap.NotOwner || code == mishap.NoMajority {
			retry = s.comeBack()
		}
		circuit.WriteDecline(writer, err, "", retry)
		return
	}
	write(answer)
}

func (s *Core) takeOperation(writer http.ResponseWriter, request *http.Request) {
	var wanted configuration.Request
	if err := circuit.ReadJSON(writer, request, configuration.Largest+(1<<20), &wanted); err != nil {
		circuit.WriteDecline(writer, err, "", 0)
		return
	}
	if wanted.Key == "" || len(wanted.Key) > 128 {
		circuit.WriteDecline(writer, mishap.New(mishap.KeyMissing, "operation"), "", 0)
		return
	}
	s.answer(writer, request, &Errand{Configure: &wanted}, func(answer *Errands) { circuit.WriteJSON(writer, 200, answer.Outcome) })
}

func (s *Core) showOperation(writer http.ResponseWriter, request *http.Request) {
	s.answer(writer, request, &Errand{Read: true, Outcome: request.PathValue("key")}, func(answer *Errands) {
		circuit.WriteJSON(writer, 200, answer.Outcome)
	})
}

func (s *Core) showConfiguration(writer http.ResponseWriter, request *http.Request) {
	s.answer(writer, request, &Errand{Read: true}, func(answer *Errands) {
		view := answer.View
		circuit.WriteJSON(writer, 200, Shown{view.Sequence, view.Document, view.Changes, view.Evacuated, view.Notices, view.Plan})
	})
}

func (s *Core) listEngines(writer http.ResponseWriter, request *http.Request) {
	service := request.PathValue("service")
	s.answer(writer, request, &Errand{Read: true, Service: service}, func(answer *Errands) {
		listed := []Listed{}
		parts := answer.Engines.Contracts[service].Parts
		for name, engine := range answer.Engines.Engines {
			if engine.Service == service {
				part, live := parts[name]
				listed = append(listed, Listed{Engine: engine, Part: part, Live: live})
			}
		}
		slices.SortFunc(listed, func(left, right Listed) int {
			if left.Name < right.Name {
				return -1
			}
			return 1
		})
		circuit.WriteJSON(writer, 200, listed)
	})
}

func (s *Core) enrolEngine(writer http.ResponseWriter, request *http.Request) {
	var engine catalogue.Engine
	if err := circuit.ReadJSON(writer, request, 64<<10, &engine); err != nil {
		circuit.WriteDecline(writer, err, "", 0)
		return
	}
	if engine.Name == "" || engine.Service == "" || engine.Hall == "" || engine.Incarnation == "" || circuit.CheckAddress(engine.Address) != nil {
		circuit.WriteDecline(writer, mishap.New(mishap.Malformed, "an engine needs name, service, hall, incarnation and an IP address"), "", 0)
		return
	}
	errand := &Errand{Service: engine.Service, Engines: &catalogue.Operation{Kind: catalogue.Enrol, Engine: engine}}
	s.answer(writer, request, errand, func(answer *Errands) { circuit.WriteJSON(writer, 200, answer.Outcome) })
}

func (s *Core) leaveEngine(writer http.ResponseWriter, request *http.Request) {
	engine := catalogue.Engine{Name: request.PathValue("name"), Service: request.PathValue("service")}
	errand := &Errand{Service: engine.Service, Engines: &catalogue.Operation{Kind: catalogue.Leave, Engine: engine}}
	s.answer(writer, request, errand, func(answer *Errands) { circuit.WriteJSON(writer, 200, answer.Outcome) })
}
