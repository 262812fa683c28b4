package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"coursepass/internal/clock"
	"coursepass/internal/enginecommand"
	"coursepass/internal/faulttest/emulator"
	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

// registryPort is the port of all hollow engines.
const registryPort = "7399"

// registry is the hollow engines: a directory of them, and their answers to reports and
// orders. All listen at one port, each at an address of its own within 127.1.0.0/16.
type registry struct {
	lock    sync.Mutex
	engines []port.Engine
	places  map[string]int
	lives   int
	lists   atomic.Int64
	reports atomic.Int64
	orders  atomic.Int64
	served  served
	length  int
}

func newRegistry(settings Settings, sizes Sizes) *registry {
	made := &registry{places: map[string]int{}}
	for number := range sizes.Engines {
		service := number % sizes.Services
		part := contract.Decode
		if number/sizes.Services%3 == 0 {
			part = contract.Prefill
		}
		address := fmt.Sprintf("127.1.%d.%d:%s", number/250, number%250+1, registryPort)
		made.places[address] = number
		made.engines = append(made.engines, port.Engine{
			Life: made.life(), Service: serviceName(service), Address: address, Hall: settings.hall(number / sizes.Services), Slots: 8, Part: part, Weights: 1,
		})
	}
	text, _ := json.Marshal(made.engines)
	made.length = len(text)
	return made
}

// begin has the engines answer for themselves, where the leader asks each.
func (e *registry) begin(stand *stand) error {
	if !stand.Reports {
		return nil
	}
	listener, err := stand.Network("engines").Listen("0.0.0.0:" + registryPort)
	if err != nil {
		return err
	}
	stand.launch("engines", func(running context.Context) error {
		return circuit.Serve(running, counting(listener, &e.served), e, schedule.Second)
	})
	return nil
}

func serviceName(number int) string { return fmt.Sprintf("model-%d", number) }

func (e *registry) life() string {
	e.lives++
	return fmt.Sprintf("life-%07d", e.lives)
}

// restart gives an engine another life.
func (e *registry) restart(number int) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.engines[number%len(e.engines)].Life = e.life()
}

// List lists all hollow engines.
func (e *registry) List(context.Context) ([]port.Engine, error) {
	e.lists.Add(1)
	e.lock.Lock()
	defer e.lock.Unlock()
	return append([]port.Engine(nil), e.engines...), nil
}

// Part has an engine change its part.
func (e *registry) Part(_ context.Context, _ *http.Client, address, part, _ string, _ uint64) error {
	e.orders.Add(1)
	e.lock.Lock()
	defer e.lock.Unlock()
	e.engines[e.places[address]].Part = part
	return nil
}

// ServeHTTP answers as the engine at whose address the circuit came in.
func (e *registry) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	address := request.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
	e.lock.Lock()
	place, known := e.places[address]
	if !known {
		e.lock.Unlock()
		http.NotFound(writer, request)
		return
	}
	listed := &e.engines[place]
	if request.URL.Path == engine.OrderPath {
		var given order.Order
		if json.NewDecoder(request.Body).Decode(&given) == nil && given.Part != "" {
			listed.Part = given.Part
		}
		e.orders.Add(1)
	}
	report := reportOf(place, *listed)
	e.lock.Unlock()
	if request.URL.Path == engine.ReportPath {
		e.reports.Add(1)
	}
	circuit.WriteJSON(writer, http.StatusOK, report)
}

func reportOf(place int, listed port.Engine) catalogue.Report {
	return catalogue.Report{
		Name: fmt.Sprintf("engine-%d", place), Service: listed.Service, Hall: listed.Hall, Address: listed.Address, Incarnation: listed.Life,
		Version: "r1", Part: listed.Part, Capacity: listed.Slots, Running: 4, Prefixes: []string{"system", "manual"}, PrefillBusy: schedule.Second, DecodeBusy: schedule.Second,
	}
}

// enrolments are what the engines send at their start, where the leader asks them.
func (e *registry) enrolments() []catalogue.Operation {
	e.lock.Lock()
	defer e.lock.Unlock()
	var all []catalogue.Operation
	for place, listed := range e.engines {
		report := reportOf(place, listed)
		all = append(all, catalogue.Operation{Kind: catalogue.Enrol, Engine: catalogue.Engine{
			Name: report.Name, Service: report.Service, Hall: report.Hall, Address: report.Address, Incarnation: report.Incarnation,
		}})
	}
	return all
}
