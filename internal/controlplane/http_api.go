package controlplane

import (
	"net/http"
	"slices"
	"strings"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/errcode"
	"coursepass/internal/metrics"
	"coursepass/internal/state/config"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

const (
	// electionDurationDeltas is the time within which an election ends if no other fault occurs, in multiples of δ.
	// Clients are told to wait this long before they retry a request that failed without a leader.
	electionDurationDeltas = 9
	// maxOperationKeyBytes is the maximum length of an operation key in bytes.
	maxOperationKeyBytes = 128
	// operationOverheadBytes is the maximum size in bytes of an operation's body in addition to its document.
	operationOverheadBytes = 1 << 20
	// maxEngineBytes is the maximum size in bytes of the body of an engine registration.
	maxEngineBytes = 64 << 10
)

// publicHandler returns the handler of the public HTTP interface.
func (s *Server) publicHandler() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("GET /live", handleValue(func() string { return "live" }))
	routes.HandleFunc("GET /ready", s.handleReady)
	routes.HandleFunc("GET /v1/status", handleValue(s.serverStatus))
	routes.HandleFunc("GET /v1/fleet", handleValue(s.fleetStatus))
	routes.HandleFunc("GET /v1/outbox", s.handleOutbox)
	routes.HandleFunc("GET /v1/capacity", handleValue(s.capacityStatus))
	routes.HandleFunc("GET /counters", handleValue(s.counters))
	routes.Handle("GET /metrics", metrics.Handler(s.counters, metrics.ResourceCollector(string(s.Role), s.resourceSnapshot)))
	routes.HandleFunc("POST /v1/operations", s.handleSubmitOperation)
	routes.HandleFunc("GET /v1/operations/{key}", s.handleGetOperation)
	routes.HandleFunc("GET /v1/configuration", s.handleGetConfiguration)
	routes.HandleFunc("GET /v1/services/{service}/engines", s.handleListEngines)
	routes.HandleFunc("POST /v1/engines", s.handleRegisterEngine)
	routes.HandleFunc("POST /v1/services/{service}/engines/{name}/leave", s.handleDeregisterEngine)
	return routes
}

// handleValue returns a handler that calls read for each request and responds with the value.
func handleValue[Value any](read func() Value) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) { writeOK(writer, read()) }
}

func writeOK(writer http.ResponseWriter, value any) {
	transport.WriteJSON(writer, http.StatusOK, value)
}

// writeError responds with an error and does not ask the client to wait before a retry.
func writeError(writer http.ResponseWriter, err error) { transport.WriteError(writer, err, "", 0) }

// electionRetryDelay returns how long a client should wait before it retries a request that failed without a leader.
func (s *Server) electionRetryDelay() clock.Microseconds {
	return electionDurationDeltas * s.DeltaDuration()
}

func (s *Server) handleOutbox(writer http.ResponseWriter, request *http.Request) {
	writeOK(writer, s.outboxStatus(request.Context()))
}

func (s *Server) handleReady(writer http.ResponseWriter, _ *http.Request) {
	for _, shard := range s.shards {
		status := shard.CurrentStatus()
		if status == nil || status.CatchingUp || !status.UpToDate {
			err := errcode.New(errcode.NoQuorum, "the replica of shard %d is not up to date", shard.Index())
			transport.WriteError(writer, err, "", s.electionRetryDelay())
			return
		}
	}
	writeOK(writer, "ready")
}

// respond executes a request. It responds with the error if the request failed, and otherwise calls write with the
// response.
func (s *Server) respond(
	writer http.ResponseWriter, request *http.Request, controlRequest *ControlRequest, write func(*ControlResponse),
) {
	response, err := s.Execute(request.Context(), controlRequest)
	if err == nil && response.Code != errcode.OK {
		err = errcode.New(response.Code, "%s", response.Text)
	}
	if err == nil {
		write(response)
		return
	}
	retryAfter := clock.Microseconds(0)
	code := errcode.CodeOf(err, errcode.OutcomeUnknown)
	if code == errcode.NotLeader || code == errcode.NoQuorum {
		retryAfter = s.electionRetryDelay()
	}
	transport.WriteError(writer, err, "", retryAfter)
}

// respondOutcome executes a request and responds with the outcome of its operation.
func (s *Server) respondOutcome(writer http.ResponseWriter, request *http.Request, controlRequest *ControlRequest) {
	s.respond(writer, request, controlRequest, func(response *ControlResponse) { writeOK(writer, response.Outcome) })
}

func (s *Server) handleSubmitOperation(writer http.ResponseWriter, request *http.Request) {
	var operation config.Request
	err := transport.ReadJSON(writer, request, config.MaxDocumentBytes+operationOverheadBytes, &operation)
	if err != nil {
		writeError(writer, err)
		return
	}
	if operation.Key == "" || len(operation.Key) > maxOperationKeyBytes {
		writeError(writer, errcode.New(errcode.KeyMissing, "an operation key has 1 to %d bytes", maxOperationKeyBytes))
		return
	}
	s.respondOutcome(writer, request, &ControlRequest{Configure: &operation})
}

func (s *Server) handleGetOperation(writer http.ResponseWriter, request *http.Request) {
	s.respondOutcome(writer, request, &ControlRequest{Read: true, Outcome: request.PathValue("key")})
}

func (s *Server) handleGetConfiguration(writer http.ResponseWriter, request *http.Request) {
	s.respond(writer, request, &ControlRequest{Read: true}, func(response *ControlResponse) {
		view := response.View
		writeOK(writer, controlapi.ConfigurationResponse{
			Revision:           view.Revision,
			Document:           view.Document,
			Changes:            view.Changes,
			EvacuatedZones:     view.Evacuated,
			MaintenanceWindows: view.MaintenanceWindows,
			Plan:               view.Plan,
		})
	})
}

func (s *Server) handleListEngines(writer http.ResponseWriter, request *http.Request) {
	service := request.PathValue("service")
	s.respond(writer, request, &ControlRequest{Read: true, Service: service}, func(response *ControlResponse) {
		writeOK(writer, engineEntries(service, response.Engines))
	})
}

// engineEntries returns the registered engines of a service, sorted by name.
func engineEntries(service string, view registry.View) []controlapi.EngineEntry {
	entries := []controlapi.EngineEntry{}
	roles := view.Assignments[service].Roles
	for name, engine := range view.Engines {
		if engine.Service == service {
			role, assigned := roles[name]
			entries = append(entries, controlapi.EngineEntry{Engine: engine, Role: role, Assigned: assigned})
		}
	}
	slices.SortFunc(entries, func(left, right controlapi.EngineEntry) int {
		return strings.Compare(left.Name, right.Name)
	})
	return entries
}

func (s *Server) handleRegisterEngine(writer http.ResponseWriter, request *http.Request) {
	var engine registry.Engine
	if err := transport.ReadJSON(writer, request, maxEngineBytes, &engine); err != nil {
		writeError(writer, err)
		return
	}
	if err := checkRegistration(engine); err != nil {
		writeError(writer, err)
		return
	}
	s.respondOutcome(writer, request, &ControlRequest{
		Service: engine.Service,
		Engines: &registry.Operation{Kind: registry.OperationRegister, Engine: engine},
	})
}

func checkRegistration(engine registry.Engine) error {
	complete := engine.Name != "" && engine.Service != "" && engine.Zone != "" && engine.Incarnation != ""
	if !complete || transport.CheckAddress(engine.Address) != nil {
		return errcode.New(errcode.Malformed, "an engine needs name, service, hall, incarnation, and an IP address with a port")
	}
	return nil
}

func (s *Server) handleDeregisterEngine(writer http.ResponseWriter, request *http.Request) {
	engine := registry.Engine{Name: request.PathValue("name"), Service: request.PathValue("service")}
	s.respondOutcome(writer, request, &ControlRequest{
		Service: engine.Service,
		Engines: &registry.Operation{Kind: registry.OperationDrain, Engine: engine},
	})
}
