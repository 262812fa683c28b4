package scalebench

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"coursepass/internal/clock"
	"coursepass/internal/engineapi"
	"coursepass/internal/enginecommand"
	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

const (
	// enginePort is the port of all simulated engines.
	enginePort = "7399"
	// enginesPerSubnet is how many engines have an address in one 127.1.x.0/24.
	enginesPerSubnet = 250
	// Of rolePattern engines of a service the first is for prefill, the others for decode.
	rolePattern = 3
	// reportedRuns is how many runs each engine reports.
	reportedRuns = 4
)

// engineDirectory simulates all engines: it lists them, and answers their reports and commands.
// All listen at one port, each at an address of its own within 127.1.0.0/16.
type engineDirectory struct {
	// lock guards engines and incarnationCount.
	lock             sync.Mutex
	engines          []platformport.Engine
	incarnationCount int
	// indexOfAddress and listBytes, the size of the list as JSON, do not change.
	indexOfAddress map[string]int
	listBytes      int

	listCalls     atomic.Int64
	reports       atomic.Int64
	commands      atomic.Int64
	servedTraffic servedTraffic
}

func newEngineDirectory(settings Settings, sizes Sizes) *engineDirectory {
	created := &engineDirectory{indexOfAddress: map[string]int{}}
	for number := range sizes.Engines {
		service := number % sizes.Services
		role := pairing.RoleDecode
		if number/sizes.Services%rolePattern == 0 {
			role = pairing.RolePrefill
		}
		address := fmt.Sprintf("127.1.%d.%d:%s", number/enginesPerSubnet, number%enginesPerSubnet+1, enginePort)
		created.indexOfAddress[address] = number
		created.engines = append(created.engines, platformport.Engine{
			Incarnation:  created.nextIncarnation(),
			Service:      serviceName(service),
			Address:      address,
			Zone:         settings.zoneName(number / sizes.Services),
			Slots:        engineSlots,
			Role:         role,
			ModelVersion: 1,
		})
	}
	// A list of strings and numbers can always be marshalled.
	text, _ := json.Marshal(created.engines)
	created.listBytes = len(text)
	return created
}

// serveReports has the engines listen, if the settings have the leader poll their reports.
func (e *engineDirectory) serveReports(fleet *benchFleet) error {
	if !fleet.settings.PollReports {
		return nil
	}
	listener, err := fleet.Network("engines").Listen("0.0.0.0:" + enginePort)
	if err != nil {
		return err
	}
	fleet.runDaemon(roleEngines, func(ctx context.Context) error {
		return transport.Serve(ctx, newCountingListener(listener, &e.servedTraffic), e, clock.Second)
	})
	return nil
}

func serviceName(number int) string { return fmt.Sprintf("model-%d", number) }

// nextIncarnation returns a new incarnation. The lock must be held, but in the constructor.
func (e *engineDirectory) nextIncarnation() string {
	e.incarnationCount++
	return fmt.Sprintf("life-%07d", e.incarnationCount)
}

// restart gives an engine a new incarnation.
func (e *engineDirectory) restart(number int) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.engines[number%len(e.engines)].Incarnation = e.nextIncarnation()
}

// List returns all engines.
func (e *engineDirectory) List(context.Context) ([]platformport.Engine, error) {
	e.listCalls.Add(1)
	e.lock.Lock()
	defer e.lock.Unlock()
	return append([]platformport.Engine(nil), e.engines...), nil
}

// SetRole changes the role of an engine.
func (e *engineDirectory) SetRole(_ context.Context, _ *http.Client, command platformport.RoleCommand) error {
	e.commands.Add(1)
	e.lock.Lock()
	defer e.lock.Unlock()
	e.engines[e.indexOfAddress[command.Address]].Role = command.Role
	return nil
}

// ServeHTTP answers as the engine at whose address the connection came in.
func (e *engineDirectory) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	address := request.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
	e.lock.Lock()
	index, known := e.indexOfAddress[address]
	if !known {
		e.lock.Unlock()
		http.NotFound(writer, request)
		return
	}
	engine := &e.engines[index]
	if request.URL.Path == engineapi.CommandPath {
		var command enginecommand.Command
		if json.NewDecoder(request.Body).Decode(&command) == nil && command.Role != "" {
			engine.Role = command.Role
		}
		e.commands.Add(1)
	}
	report := reportOf(index, *engine)
	e.lock.Unlock()
	if request.URL.Path == engineapi.ReportPath {
		e.reports.Add(1)
	}
	transport.WriteJSON(writer, http.StatusOK, report)
}

// reportOf returns the report of an engine, with typical numbers.
func reportOf(index int, engine platformport.Engine) registry.Report {
	return registry.Report{
		Name:        fmt.Sprintf("engine-%d", index),
		Service:     engine.Service,
		Zone:        engine.Zone,
		Address:     engine.Address,
		Incarnation: engine.Incarnation,
		Version:     "r1",
		Role:        engine.Role,
		Capacity:    engine.Slots,
		Running:     reportedRuns,
		Prefixes:    []string{"system", "manual"},
		PrefillBusy: clock.Second,
		DecodeBusy:  clock.Second,
	}
}

// registrations returns what the engines would send at their start.
func (e *engineDirectory) registrations() []registry.Operation {
	e.lock.Lock()
	defer e.lock.Unlock()
	var collected []registry.Operation
	for index, engine := range e.engines {
		report := reportOf(index, engine)
		collected = append(collected, registry.Operation{
			Kind: registry.OperationRegister,
			Engine: registry.Engine{
				Name:        report.Name,
				Service:     report.Service,
				Zone:        report.Zone,
				Address:     report.Address,
				Incarnation: report.Incarnation,
			},
		})
	}
	return collected
}
