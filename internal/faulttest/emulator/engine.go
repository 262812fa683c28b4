package engine

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/enginecommand"
	"coursepass/internal/errcode"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
	"coursepass/internal/topology"
	"coursepass/internal/transport"
)

// Settings of a stand-in engine.
type Settings struct {
	Settings string   `long:"settings" description:"settings file (INI); flags go before it" no-ini:"true"`
	Name     string   `long:"name" description:"name of this engine"`
	Hall     string   `long:"hall" description:"hall (zone) it stands in"`
	Service  string   `long:"service" description:"the model service it is for"`
	Version  string   `long:"version" description:"the model version it carries"`
	Address  string   `long:"address" description:"IP number and port it serves on"`
	Cores    []string `long:"core" description:"public address of a core to enrol with; several"`
	Slots    int      `long:"slots" description:"runs it takes at a time" default:"8"`
	Read     int      `long:"read-us" description:"microseconds to read one prompt token" default:"20"`
	Write    int      `long:"write-us" description:"microseconds to make one token" default:"8000"`
	HandOver int      `long:"handover-us" description:"microseconds to hand prompt memory over" default:"3000"`
	Keep     int      `long:"keep-ms" description:"milliseconds that prompt memory is held for a ticket" default:"5000"`
	Book     string   `long:"book" description:"file of the book of runs begun, so that it outlives the process; kept in memory if not given"`
	Lease    int      `long:"lease-ms" description:"the fleet's lease-ms, for the observer" default:"3000"`
	//lint:ignore SA5008 go-flags reads a repeated choice tag as a list
	Level string `long:"log-level" description:"lowest level that is logged" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"info"`
}

// Check declines settings that can't work.
func (s Settings) Check() error {
	for name, value := range map[string]string{"name": s.Name, "hall": s.Hall, "service": s.Service, "version": s.Version} {
		if value == "" {
			return mishap.New(mishap.SettingBad, "--%s is needed", name)
		}
	}
	for name, addresses := range map[string][]string{"address": {s.Address}, "core": s.Cores} {
		for _, address := range addresses {
			if circuit.CheckAddress(address) != nil {
				return mishap.New(mishap.SettingBad, "--%s: %q is not an IP number with a port", name, address)
			}
		}
	}
	if len(s.Cores) == 0 {
		return mishap.New(mishap.SettingBad, "--core is needed at least once")
	}
	for name, value := range map[string]int{"slots": s.Slots, "read-us": s.Read, "write-us": s.Write, "keep-ms": s.Keep} {
		if value < 1 || value > 10_000_000 {
			return mishap.New(mishap.SettingBad, "--%s: %d is out of bounds", name, value)
		}
	}
	return nil
}

type memory struct {
	Memory
	until schedule.Microseconds
}

// Engine is one life of a stand-in engine.
type Engine struct {
	Settings
	Observer *Observer
	// Meddle, if set, stands before all that the engine answers: tests make it hostile.
	Meddle      func(http.Handler) http.Handler
	incarnation string
	clock       *schedule.Clock
	born        schedule.Microseconds
	client      *http.Client
	lock        sync.Mutex
	part        string
	standing    order.Order
	draining    bool
	drainedAt   schedule.Microseconds
	running     int
	prefixes    map[string]bool
	memories    map[string]memory
	runs        map[string]context.CancelFunc
	cancelled   map[string]bool
	prefillBusy atomic.Int64
	decodeBusy  atomic.Int64
	completed   atomic.Int64
}

// New makes an engine. The observer may outlive it.
func New(settings Settings, observer *Observer, network circuit.Network) (*Engine, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	clock := schedule.NewClock()
	return &Engine{
		Settings: settings, Observer: observer, incarnation: rand.Text(), clock: clock, born: clock.Now(),
		client: &http.Client{Transport: circuit.NewTransport(circuit.Options{Network: network, Meter: hall.NewMeter(settings.Hall)})},
		part:   contract.Both, prefixes: map[string]bool{}, memories: map[string]memory{},
		runs: map[string]context.CancelFunc{}, cancelled: map[string]bool{},
	}, nil
}

// Run serves until the context ends, and then finishes its runs within the grace.
func (e *Engine) Run(parent context.Context, listener net.Listener) error {
	enrolling, stop := context.WithCancel(parent)
	defer stop()
	go e.enrol(enrolling)
	log.Info().Str("engine", e.Name).Str("incarnation", e.incarnation).Msg("engine runs")
	go func() {
		<-parent.Done()
		e.lock.Lock()
		e.draining = true
		e.lock.Unlock()
	}()
	routes := e.routes()
	if e.Meddle != nil {
		routes = e.Meddle(routes)
	}
	return circuit.Serve(parent, listener, routes, 8*schedule.Second)
}

func (e *Engine) routes() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("GET /live", func(writer http.ResponseWriter, _ *http.Request) { circuit.WriteJSON(writer, 200, "live") })
	routes.HandleFunc("GET "+ReportPath, func(writer http.ResponseWriter, _ *http.Request) { circuit.WriteJSON(writer, 200, e.report()) })
	routes.HandleFunc("GET "+LedgerPath, func(writer http.ResponseWriter, _ *http.Request) { circuit.WriteJSON(writer, 200, e.ledger()) })
	routes.HandleFunc("POST "+OrderPath, e.takeOrder)
	routes.HandleFunc("POST "+PrefillPath, e.prefill)
	routes.HandleFunc("POST "+DecodePath, e.decode)
	routes.HandleFunc("POST "+HandOverPath, e.handOver)
	routes.HandleFunc("POST "+CancelPath, e.cancel)
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		e.lock.Lock()
		writer.Header().Set(LoadHeader, strconv.Itoa(e.running+1))
		e.lock.Unlock()
		routes.ServeHTTP(writer, request)
	})
}

// enrol tells the cores of this life until one of them has it in the list.
func (e *Engine) enrol(ctx context.Context) {
	body, _ := json.Marshal(catalogue.Engine{
		Name: e.Name, Service: e.Service, Hall: e.Hall, Address: e.Address, Incarnation: e.incarnation,
	})
	for turn := 0; ; turn++ {
		request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Cores[turn%len(e.Cores)]+"/v1/engines", bytes.NewReader(body))
		answer, err := e.client.Do(request)
		if err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				log.Info().Str("engine", e.Name).Msg("engine is in the list")
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(300 * time.Millisecond):
		}
	}
}

func (e *Engine) report() catalogue.Report {
	e.lock.Lock()
	defer e.lock.Unlock()
	report := catalogue.Report{
		Name: e.Name, Service: e.Service, Hall: e.Hall, Address: e.Address, Incarnation: e.incarnation,
		Version: e.Version, Part: e.part, Running: e.running, Capacity: e.Slots,
		PrefillBusy: schedule.Microseconds(e.prefillBusy.Load()), DecodeBusy: schedule.Microseconds(e.decodeBusy.Load()),
		Age: e.clock.Now() - e.born, Completed: e.completed.Load(), Tickets: len(e.memories),
		Draining: e.draining, Drained: e.standing.Drain, Round: e.Observer.Round(), OrderSequence: e.standing.Sequence,
		OrderViolations: int64(len(e.Observer.Violations())),
	}
	for prefix := range e.prefixes {
		report.Prefixes = append(report.Prefixes, prefix)
	}
	return report
}

func (e *Engine) ledger() Ledger {
	return Ledger{Lines: e.Observer.Lines(), Violations: e.Observer.Violations()}
}

func (e *Engine) takeOrder(writer http.ResponseWriter, request *http.Request) {
	var given order.Order
	if err := circuit.ReadJSON(writer, request, 1<<20, &given); err != nil {
		circuit.WriteDecline(writer, err, "", 0)
		return
	}
	e.lock.Lock()
	e.Observer.Order(e.Observer.Now(), given)
	if given.Drain && !e.standing.Drain {
		e.drainedAt = e.clock.Now()
	}
	e.standing, e.part = given, given.Part
	e.lock.Unlock()
	circuit.WriteJSON(writer, 200, e.report())
}

func (e *Engine) cancel(writer http.ResponseWriter, request *http.Request) {
	var ask CancelAsk
	if err := circuit.ReadJSON(writer, request, 4096, &ask); err != nil {
		circuit.WriteDecline(writer, err, "", 0)
		return
	}
	e.lock.Lock()
	if stop, known := e.runs[ask.Run]; known {
		stop()
	}
	e.cancelled[ask.Run] = true
	for name, held := range e.memories {
		if held.Run == ask.Run {
			delete(e.memories, name)
		}
	}
	e.lock.Unlock()
	circuit.WriteJSON(writer, 200, ask)
}
