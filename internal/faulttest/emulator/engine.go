package emulator

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
	"coursepass/internal/engineapi"
	"coursepass/internal/enginecommand"
	"coursepass/internal/errcode"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
	"coursepass/internal/topology"
	"coursepass/internal/transport"
)

// Settings of a stand-in engine.
type Settings struct {
	SettingsFile            string   `long:"settings" description:"settings file (INI); flags override it" no-ini:"true"`
	Name                    string   `long:"name" description:"name of this engine"`
	Zone                    string   `long:"zone" description:"zone that it runs in"`
	Service                 string   `long:"service" description:"model service that it serves"`
	Version                 string   `long:"version" description:"model version that it serves"`
	Address                 string   `long:"address" description:"IP address and port that it serves on"`
	ControlPlane            []string `long:"core" description:"public address of a core to register with; can be given several times"`
	MaxRuns                 int      `long:"max-runs" description:"runs that it executes at the same time" default:"8"`
	PrefillMicroseconds     int      `long:"prefill-us" description:"microseconds to prefill one prompt token" default:"20"`
	DecodeMicroseconds      int      `long:"decode-us" description:"microseconds to decode one token" default:"8000"`
	TransferMicroseconds    int      `long:"transfer-us" description:"microseconds to transfer a KV cache" default:"3000"`
	KVRetentionMilliseconds int      `long:"kv-retention-ms" description:"milliseconds for which a KV cache is kept for its handle" default:"5000"`
	RunLogFile              string   `long:"run-log" description:"file of the log of started runs, so that it outlives the process; kept in memory if not given"`
	LeaseMilliseconds       int      `long:"lease-ms" description:"--lease-ms of the fleet, for the observer" default:"3000"`
	//lint:ignore SA5008 go-flags reads a repeated choice tag as a list
	LogLevel string `long:"log-level" description:"lowest level that is logged" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"info"`
}

// Check declines settings that can't work.
func (s Settings) Check() error {
	for name, value := range map[string]string{"name": s.Name, "zone": s.Zone, "service": s.Service, "version": s.Version} {
		if value == "" {
			return errcode.New(errcode.InvalidSetting, "--%s is needed", name)
		}
	}
	for name, addresses := range map[string][]string{"address": {s.Address}, "core": s.ControlPlane} {
		for _, address := range addresses {
			if transport.CheckAddress(address) != nil {
				return errcode.New(errcode.InvalidSetting, "--%s: %q is not an IP address with a port", name, address)
			}
		}
	}
	if len(s.ControlPlane) == 0 {
		return errcode.New(errcode.InvalidSetting, "--core is needed at least once")
	}
	for name, value := range map[string]int{"max-runs": s.MaxRuns, "prefill-us": s.PrefillMicroseconds, "decode-us": s.DecodeMicroseconds, "kv-retention-ms": s.KVRetentionMilliseconds} {
		if value < 1 || value > 10_000_000 {
			return errcode.New(errcode.InvalidSetting, "--%s: %d is out of bounds", name, value)
		}
	}
	return nil
}

type storedKVCache struct {
	engineapi.KVCache
	expiresAt clock.Microseconds
}

// Engine is one life of a stand-in engine.
type Engine struct {
	Settings
	Observer *Observer
	// WrapHandler, if set, stands before all that the engine answers: tests make it hostile.
	WrapHandler func(http.Handler) http.Handler
	incarnation string
	clock       *clock.Clock
	startedAt   clock.Microseconds
	client      *http.Client
	lock        sync.Mutex
	role        string
	command     enginecommand.Command
	draining    bool
	drainedAt   clock.Microseconds
	running     int
	prefixes    map[string]bool
	kvCaches    map[string]storedKVCache
	runs        map[string]context.CancelFunc
	cancelled   map[string]bool
	prefillBusy atomic.Int64
	decodeBusy  atomic.Int64
	completed   atomic.Int64
}

// New makes an engine. The observer may outlive it.
func New(settings Settings, observer *Observer, network transport.Network) (*Engine, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	monotonicClock := clock.New()
	return &Engine{
		Settings: settings, Observer: observer, incarnation: rand.Text(), clock: monotonicClock, startedAt: monotonicClock.Now(),
		client: &http.Client{Transport: transport.NewHTTPTransport(transport.Options{Network: network, Meter: topology.NewTrafficMeter(settings.Zone)})},
		role:   pairing.RoleBoth, prefixes: map[string]bool{}, kvCaches: map[string]storedKVCache{},
		runs: map[string]context.CancelFunc{}, cancelled: map[string]bool{},
	}, nil
}

// Run serves until the context ends, and then finishes its runs within the grace.
func (e *Engine) Run(parent context.Context, listener net.Listener) error {
	registrationContext, stop := context.WithCancel(parent)
	defer stop()
	go e.register(registrationContext)
	log.Info().Str("engine", e.Name).Str("incarnation", e.incarnation).Msg("engine runs")
	go func() {
		<-parent.Done()
		e.lock.Lock()
		e.draining = true
		e.lock.Unlock()
	}()
	handler := e.routes()
	if e.WrapHandler != nil {
		handler = e.WrapHandler(handler)
	}
	return transport.Serve(parent, listener, handler, 8*clock.Second)
}

func (e *Engine) routes() http.Handler {
	handler := http.NewServeMux()
	handler.HandleFunc("GET /live", func(writer http.ResponseWriter, _ *http.Request) { transport.WriteJSON(writer, 200, "live") })
	handler.HandleFunc("GET "+engineapi.ReportPath, func(writer http.ResponseWriter, _ *http.Request) { transport.WriteJSON(writer, 200, e.report()) })
	handler.HandleFunc("GET "+RunLogPath, func(writer http.ResponseWriter, _ *http.Request) {
		transport.WriteJSON(writer, 200, e.runLogResponse())
	})
	handler.HandleFunc("POST "+engineapi.CommandPath, e.handleCommand)
	handler.HandleFunc("POST "+engineapi.PrefillPath, e.prefill)
	handler.HandleFunc("POST "+engineapi.DecodePath, e.decode)
	handler.HandleFunc("POST "+engineapi.TransferPath, e.transferKVCache)
	handler.HandleFunc("POST "+engineapi.CancelPath, e.cancel)
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		e.lock.Lock()
		writer.Header().Set(engineapi.RunningHeader, strconv.Itoa(e.running+1))
		e.lock.Unlock()
		handler.ServeHTTP(writer, request)
	})
}

// register tells the cores of this life until one of them has it in the list.
func (e *Engine) register(ctx context.Context) {
	body, _ := json.Marshal(registry.Engine{
		Name: e.Name, Service: e.Service, Hall: e.Zone, Address: e.Address, Incarnation: e.incarnation,
	})
	for attempt := 0; ; attempt++ {
		request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.ControlPlane[attempt%len(e.ControlPlane)]+"/v1/engines", bytes.NewReader(body))
		response, err := e.client.Do(request)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
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

func (e *Engine) report() registry.Report {
	e.lock.Lock()
	defer e.lock.Unlock()
	report := registry.Report{
		Name: e.Name, Service: e.Service, Hall: e.Zone, Address: e.Address, Incarnation: e.incarnation,
		Version: e.Version, Part: e.role, Running: e.running, Capacity: e.MaxRuns,
		PrefillBusy: clock.Microseconds(e.prefillBusy.Load()), DecodeBusy: clock.Microseconds(e.decodeBusy.Load()),
		Age: e.clock.Now() - e.startedAt, Completed: e.completed.Load(), Tickets: len(e.kvCaches),
		Draining: e.draining, Drained: e.command.Drain, Round: e.Observer.Term(), OrderSequence: e.command.CommandID,
		OrderViolations: int64(len(e.Observer.Violations())),
	}
	for prefix := range e.prefixes {
		report.Prefixes = append(report.Prefixes, prefix)
	}
	return report
}

func (e *Engine) runLogResponse() RunLogResponse {
	return RunLogResponse{Records: e.Observer.Records(), Violations: e.Observer.Violations()}
}

func (e *Engine) handleCommand(writer http.ResponseWriter, request *http.Request) {
	var command enginecommand.Command
	if err := transport.ReadJSON(writer, request, 1<<20, &command); err != nil {
		transport.WriteError(writer, err, "", 0)
		return
	}
	e.lock.Lock()
	e.Observer.RecordCommand(e.Observer.Now(), command)
	if command.Drain && !e.command.Drain {
		e.drainedAt = e.clock.Now()
	}
	e.command, e.role = command, command.Role
	e.lock.Unlock()
	transport.WriteJSON(writer, 200, e.report())
}

func (e *Engine) cancel(writer http.ResponseWriter, request *http.Request) {
	var cancelRequest engineapi.CancelRequest
	if err := transport.ReadJSON(writer, request, 4096, &cancelRequest); err != nil {
		transport.WriteError(writer, err, "", 0)
		return
	}
	e.lock.Lock()
	if stop, ok := e.runs[cancelRequest.Run]; ok {
		stop()
	}
	e.cancelled[cancelRequest.Run] = true
	for name, cache := range e.kvCaches {
		if cache.Run == cancelRequest.Run {
			delete(e.kvCaches, name)
		}
	}
	e.lock.Unlock()
	transport.WriteJSON(writer, 200, cancelRequest)
}
