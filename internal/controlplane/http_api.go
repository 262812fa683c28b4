package controlplane

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

// EngineEntry is an engine in the list, as operators and the platform see it.
type EngineEntry struct {
	registry.Engine
	Role     string `json:"part"`
	Assigned bool   `json:"live"`
}

// ConfigurationResponse is a configuration as operators see it.
type ConfigurationResponse struct {
	Revision           uint64               `json:"sequence"`
	Document           string               `json:"document"`
	Changes            map[string]string    `json:"changes"`
	EvacuatedZones     []string             `json:"evacuated"`
	MaintenanceWindows []maintenance.Window `json:"notices,omitempty"`
	Plan               config.Plan          `json:"plan"`
}

// RouterStatus is a router that has asked this core for heads.
type RouterStatus struct {
	Name          string             `json:"name"`
	Zone          string             `json:"hall"`
	Public        string             `json:"public"`
	SinceLastSeen clock.Microseconds `json:"agoMicroseconds"`
	// ActiveCalls counts the calls under way at engines of regions under notice, by engine.
	ActiveCalls map[string]int `json:"live,omitempty"`
}

// FleetStatus is what a core knows of routers and, where it leads, of engines.
type FleetStatus struct {
	Routers []RouterStatus    `json:"routers"`
	Engines []registry.Report `json:"engines"`
}

func (s *Server) fleetStatus() FleetStatus {
	fleet, now := FleetStatus{Routers: []RouterStatus{}, Engines: []registry.Report{}}, s.clock.Now()
	s.lock.Lock()
	for _, router := range s.routers {
		fleet.Routers = append(fleet.Routers, RouterStatus{Name: router.Name, Zone: router.Hall, Public: router.Public, SinceLastSeen: now - router.lastSeen, ActiveCalls: router.activeCalls})
	}
	s.lock.Unlock()
	for _, leader := range s.serviceLeaders {
		fleet.Engines = append(fleet.Engines, leader.recentReports()...)
	}
	return fleet
}

// ServerStatus is a core's status.
type ServerStatus struct {
	Name     string           `json:"name"`
	Zone     string           `json:"hall"`
	Identity string           `json:"identity"`
	Shards   []Status         `json:"parts"`
	Counters map[string]int64 `json:"counters"`
}

func (s *Server) publicHandler() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("GET /live", func(writer http.ResponseWriter, _ *http.Request) { transport.WriteJSON(writer, 200, "live") })
	routes.HandleFunc("GET /ready", s.handleReady)
	routes.HandleFunc("GET /v1/status", func(writer http.ResponseWriter, _ *http.Request) { transport.WriteJSON(writer, 200, s.serverStatus()) })
	routes.HandleFunc("GET /v1/fleet", func(writer http.ResponseWriter, _ *http.Request) { transport.WriteJSON(writer, 200, s.fleetStatus()) })
	routes.HandleFunc("GET /counters", func(writer http.ResponseWriter, _ *http.Request) { transport.WriteJSON(writer, 200, s.counters()) })
	routes.Handle("GET /metrics", metrics.Handler(s.counters))
	routes.HandleFunc("POST /v1/operations", s.handleSubmitOperation)
	routes.HandleFunc("GET /v1/operations/{key}", s.handleGetOperation)
	routes.HandleFunc("GET /v1/configuration", s.handleGetConfiguration)
	routes.HandleFunc("GET /v1/services/{service}/engines", s.handleListEngines)
	routes.HandleFunc("POST /v1/engines", s.handleRegisterEngine)
	routes.HandleFunc("POST /v1/services/{service}/engines/{name}/leave", s.handleDeregisterEngine)
	return routes
}

// electionRetryDelay is the time in which an election is over, unless something else is wrong.
func (s *Server) electionRetryDelay() clock.Microseconds { return 9 * s.DeltaDuration() }

func (s *Server) handleReady(writer http.ResponseWriter, _ *http.Request) {
	for _, shard := range s.shards {
		if status := shard.currentStatus(); status == nil || status.CatchingUp || !status.UpToDate {
			transport.WriteError(writer, errcode.New(errcode.NoQuorum, "part %d", shard.index), "", s.electionRetryDelay())
			return
		}
	}
	transport.WriteJSON(writer, 200, "ready")
}

func (s *Server) counters() map[string]int64 {
	counters := map[string]int64{
		"messages-sent": s.Sent.Load(), "messages-taken": s.Received.Load(), "messages-dropped": s.Dropped.Load(),
		"messages-late": s.Late.Load(), "foreign": s.internalTransport.ForeignRequests.Load(), "garbage": s.internalTransport.MalformedRequests.Load(),
		"calls": s.zoneMeter.Calls.Load(), "bytes-inside": s.zoneMeter.IntraZoneBytes.Load(), "bytes-across": s.zoneMeter.CrossZoneBytes.Load(),
		"bytes-unknown": s.zoneMeter.UnknownZoneBytes.Load(), "journal-records": s.wal.Records.Load(), "journal-syncs": s.wal.Syncs.Load(),
		"journal-rewrites": s.wal.Rewrites.Load(), "journal-cut": s.wal.TornTails.Load(), "journal-waiting": int64(s.wal.QueueLength()),
		"news-taken": s.gossip.Accepted.Load(), "news-known": s.gossip.Duplicates.Load(), "news-passed": s.gossip.Forwarded.Load(), "news-mended": s.gossip.Repaired.Load(), "news-stepped": s.gossip.AppliedIncrementally.Load(), "news-based": s.gossip.SnapshotsNeeded.Load(),
	}
	counters["journal-failures"], counters["journal-dropped"], counters["journal-damaged"] = s.wal.Failures.Load(), s.wal.DroppedBatches.Load(), s.wal.DamagedFiles.Load()
	counters["diary-mishaps"] = s.ReservationLogErrors.Load()
	for _, shard := range s.shards[1:] {
		if reservations := shard.reservations.Load(); reservations != nil {
			counters["claims"] += int64(reservations.Count())
		}
	}
	for _, leader := range s.serviceLeaders {
		counters["orders-sent"] += leader.dispatcher.Sent.Load()
		counters["orders-acked"] += leader.dispatcher.Acknowledged.Load()
		counters["orders-held"] += leader.dispatcher.Blocked.Load()
		counters["orders-mishaps"] += leader.dispatcher.Failed.Load()
		counters["polls"] += leader.polls.Load()
		counters["rulings"] += leader.retryDecisions.Load()
		counters["rulings-retry"] += leader.retries.Load()
	}
	return counters
}

func (s *Server) serverStatus() ServerStatus {
	summary := ServerStatus{Name: s.Node.Name, Zone: s.Node.Hall, Identity: s.self.Identity, Counters: s.counters()}
	for _, shard := range s.shards {
		if status := shard.currentStatus(); status != nil {
			statusCopy := *status
			if reservations := shard.reservations.Load(); reservations != nil {
				statusCopy.ReservationsComplete = reservations.isComplete(s.clock.Now())
			}
			summary.Shards = append(summary.Shards, statusCopy)
		}
	}
	return summary
}

func (s *Server) respond(writer http.ResponseWriter, request *http.Request, controlRequest *ControlRequest, write func(*ControlResponse)) {
	response, err := s.execute(request.Context(), controlRequest)
	if err == nil && response.Code != errcode.OK {
		err = errcode.New(response.Code, "%s", response.Text)
	}
	if err != nil {
		retryAfter := clock.Microseconds(0)
		if code := errcode.CodeOf(err, errcode.OutcomeUnknown); code == errcode.NotLeader || code == errcode.NoQuorum {
			retryAfter = s.electionRetryDelay()
		}
		transport.WriteError(writer, err, "", retryAfter)
		return
	}
	write(response)
}

func (s *Server) handleSubmitOperation(writer http.ResponseWriter, request *http.Request) {
	var operation config.Request
	if err := transport.ReadJSON(writer, request, config.MaxDocumentBytes+(1<<20), &operation); err != nil {
		transport.WriteError(writer, err, "", 0)
		return
	}
	if operation.Key == "" || len(operation.Key) > 128 {
		transport.WriteError(writer, errcode.New(errcode.KeyMissing, "operation"), "", 0)
		return
	}
	s.respond(writer, request, &ControlRequest{Configure: &operation}, func(response *ControlResponse) { transport.WriteJSON(writer, 200, response.Outcome) })
}

func (s *Server) handleGetOperation(writer http.ResponseWriter, request *http.Request) {
	s.respond(writer, request, &ControlRequest{Read: true, Outcome: request.PathValue("key")}, func(response *ControlResponse) {
		transport.WriteJSON(writer, 200, response.Outcome)
	})
}

func (s *Server) handleGetConfiguration(writer http.ResponseWriter, request *http.Request) {
	s.respond(writer, request, &ControlRequest{Read: true}, func(response *ControlResponse) {
		view := response.View
		transport.WriteJSON(writer, 200, ConfigurationResponse{view.Sequence, view.Document, view.Changes, view.Evacuated, view.Notices, view.Plan})
	})
}

func (s *Server) handleListEngines(writer http.ResponseWriter, request *http.Request) {
	service := request.PathValue("service")
	s.respond(writer, request, &ControlRequest{Read: true, Service: service}, func(response *ControlResponse) {
		entries := []EngineEntry{}
		roles := response.Engines.Contracts[service].Parts
		for name, engine := range response.Engines.Engines {
			if engine.Service == service {
				role, assigned := roles[name]
				entries = append(entries, EngineEntry{Engine: engine, Role: role, Assigned: assigned})
			}
		}
		slices.SortFunc(entries, func(left, right EngineEntry) int {
			if left.Name < right.Name {
				return -1
			}
			return 1
		})
		transport.WriteJSON(writer, 200, entries)
	})
}

func (s *Server) handleRegisterEngine(writer http.ResponseWriter, request *http.Request) {
	var engine registry.Engine
	if err := transport.ReadJSON(writer, request, 64<<10, &engine); err != nil {
		transport.WriteError(writer, err, "", 0)
		return
	}
	if engine.Name == "" || engine.Service == "" || engine.Hall == "" || engine.Incarnation == "" || transport.CheckAddress(engine.Address) != nil {
		transport.WriteError(writer, errcode.New(errcode.Malformed, "an engine needs name, service, hall, incarnation and an IP address"), "", 0)
		return
	}
	controlRequest := &ControlRequest{Service: engine.Service, Engines: &registry.Operation{Kind: registry.OperationRegister, Engine: engine}}
	s.respond(writer, request, controlRequest, func(response *ControlResponse) { transport.WriteJSON(writer, 200, response.Outcome) })
}

func (s *Server) handleDeregisterEngine(writer http.ResponseWriter, request *http.Request) {
	engine := registry.Engine{Name: request.PathValue("name"), Service: request.PathValue("service")}
	controlRequest := &ControlRequest{Service: engine.Service, Engines: &registry.Operation{Kind: registry.OperationDrain, Engine: engine}}
	s.respond(writer, request, controlRequest, func(response *ControlResponse) { transport.WriteJSON(writer, 200, response.Outcome) })
}
