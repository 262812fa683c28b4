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

// Times and sizes of the engine's own API.
const (
	shutdownGracePeriod  = 8 * clock.Second
	registrationInterval = 300 * time.Millisecond
	maxCommandBytes      = 1 << 20
	maxCancelBytes       = 4096
)

// maxSettingValue bounds the numeric settings, which are counts, microseconds or milliseconds.
const maxSettingValue = 10_000_000

// Settings of an emulated engine.
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
	LogLevel string `long:"log-level" description:"lowest level that is logged" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"info"` //nolint:staticcheck // go-flags reads a repeated choice tag as a list.
}

// Check returns errcode.InvalidSetting for settings that cannot work.
func (s Settings) Check() error {
	required := map[string]string{
		"name":    s.Name,
		"hall":    s.Zone,
		"service": s.Service,
		"version": s.Version,
	}
	for name, value := range required {
		if value == "" {
			return errcode.New(errcode.InvalidSetting, "--%s is needed", name)
		}
	}
	addressesByFlag := map[string][]string{
		"address": {s.Address},
		"core":    s.ControlPlane,
	}
	for name, addresses := range addressesByFlag {
		for _, address := range addresses {
			if transport.CheckAddress(address) != nil {
				return errcode.New(errcode.InvalidSetting, "--%s: %q is not an IP number with a port", name, address)
			}
		}
	}
	if len(s.ControlPlane) == 0 {
		return errcode.New(errcode.InvalidSetting, "--core is needed at least once")
	}
	numbers := map[string]int{
		"slots":    s.MaxRuns,
		"read-us":  s.PrefillMicroseconds,
		"write-us": s.DecodeMicroseconds,
		"keep-ms":  s.KVRetentionMilliseconds,
	}
	for name, value := range numbers {
		if value < 1 || value > maxSettingValue {
			return errcode.New(errcode.InvalidSetting, "--%s: %d is out of bounds", name, value)
		}
	}
	return nil
}

// storedKVCache is a KV cache that waits for the bearer of its ticket.
type storedKVCache struct {
	engineapi.KVCache
	// expiresAt is on the engine's clock.
	expiresAt clock.Microseconds
}

// Engine is one incarnation of an emulated engine.
type Engine struct {
	Settings
	Observer *Observer
	// WrapHandler, if set before Run, wraps the handler of all requests; tests use it to make
	// the engine misbehave.
	WrapHandler func(http.Handler) http.Handler

	incarnation string
	clock       *clock.Clock
	startedAt   clock.Microseconds
	client      *http.Client

	// lock guards the fields from role to cancelled.
	lock    sync.Mutex
	role    string
	command enginecommand.Command
	// draining is set when the process is to end, drainedAt when the leader's drain command came.
	draining  bool
	drainedAt clock.Microseconds
	running   int
	// prefixes are the prompt prefixes whose KV cache the engine has.
	prefixes map[string]bool
	// kvCaches are the caches that wait for transfer, by ticket.
	kvCaches map[string]storedKVCache
	// runs are the cancel functions of the runs in progress, by run ID; cancelled has the IDs
	// that were ever cancelled, so that a late start is rejected.
	runs      map[string]context.CancelFunc
	cancelled map[string]bool

	// prefillBusy and decodeBusy are the microseconds spent so far.
	prefillBusy atomic.Int64
	decodeBusy  atomic.Int64
	completed   atomic.Int64
}

// New makes an incarnation of an engine from settings, which it checks. The observer may be
// shared with earlier and later incarnations of the same engine.
func New(settings Settings, observer *Observer, network transport.Network) (*Engine, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	monotonicClock := clock.New()
	httpTransport := transport.NewHTTPTransport(transport.Options{
		Network: network,
		Meter:   topology.NewTrafficMeter(settings.Zone),
	})
	return &Engine{
		Settings:    settings,
		Observer:    observer,
		incarnation: rand.Text(),
		clock:       monotonicClock,
		startedAt:   monotonicClock.Now(),
		client:      &http.Client{Transport: httpTransport},
		role:        pairing.RoleBoth,
		prefixes:    map[string]bool{},
		kvCaches:    map[string]storedKVCache{},
		runs:        map[string]context.CancelFunc{},
		cancelled:   map[string]bool{},
	}, nil
}

// Run registers the engine and serves on the listener until the context ends; then it lets
// runs in progress finish within shutdownGracePeriod.
func (e *Engine) Run(parent context.Context, listener net.Listener) error {
	registrationContext, stop := context.WithCancel(parent)
	defer stop()
	go e.register(registrationContext)
	log.Info().Str("engine", e.Name).Str("incarnation", e.incarnation).Msg("engine started")
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
	return transport.Serve(parent, listener, handler, shutdownGracePeriod)
}

// routes returns the handler of the whole API. Each response has the number of runs in progress
// in its header, the request itself counted.
func (e *Engine) routes() http.Handler {
	handler := http.NewServeMux()
	handler.HandleFunc("GET /live", func(writer http.ResponseWriter, _ *http.Request) {
		transport.WriteJSON(writer, http.StatusOK, "live")
	})
	handler.HandleFunc("GET "+engineapi.ReportPath, func(writer http.ResponseWriter, _ *http.Request) {
		transport.WriteJSON(writer, http.StatusOK, e.report())
	})
	handler.HandleFunc("GET "+RunLogPath, func(writer http.ResponseWriter, _ *http.Request) {
		transport.WriteJSON(writer, http.StatusOK, e.runLogResponse())
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

// register offers this incarnation to the control plane servers, one after the other, until
// one of them has put it into the engine registry or the context ends.
func (e *Engine) register(ctx context.Context) {
	// A struct of strings can always be marshalled.
	body, _ := json.Marshal(registry.Engine{
		Name:        e.Name,
		Service:     e.Service,
		Zone:        e.Zone,
		Address:     e.Address,
		Incarnation: e.incarnation,
	})
	for attempt := 0; ; attempt++ {
		server := e.ControlPlane[attempt%len(e.ControlPlane)]
		if e.registerWith(ctx, server, body) {
			log.Info().Str("engine", e.Name).Msg("engine registered")
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(registrationInterval):
		}
	}
}

// registerWith reports whether the server at an address accepted the registration.
func (e *Engine) registerWith(ctx context.Context, server string, body []byte) bool {
	// Check has verified the address, so the request is well formed.
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server+"/v1/engines", bytes.NewReader(body))
	response, err := e.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close() // Nothing was written; only the status counts.
	return response.StatusCode == http.StatusOK
}

func (e *Engine) report() registry.Report {
	e.lock.Lock()
	defer e.lock.Unlock()
	report := registry.Report{
		Name:              e.Name,
		Service:           e.Service,
		Zone:              e.Zone,
		Address:           e.Address,
		Incarnation:       e.incarnation,
		Version:           e.Version,
		Role:              e.role,
		Running:           e.running,
		Capacity:          e.MaxRuns,
		PrefillBusy:       clock.Microseconds(e.prefillBusy.Load()),
		DecodeBusy:        clock.Microseconds(e.decodeBusy.Load()),
		Age:               e.clock.Now() - e.startedAt,
		Completed:         e.completed.Load(),
		Tickets:           len(e.kvCaches),
		Draining:          e.draining,
		Drained:           e.command.Drain,
		Term:              e.Observer.Term(),
		CommandNumber:     e.command.CommandID,
		CommandViolations: int64(len(e.Observer.Violations())),
	}
	for prefix := range e.prefixes {
		report.Prefixes = append(report.Prefixes, prefix)
	}
	return report
}

func (e *Engine) runLogResponse() RunLogResponse {
	return RunLogResponse{Records: e.Observer.Records(), Violations: e.Observer.Violations()}
}

// handleCommand takes the service leader's command into force and answers with the report.
func (e *Engine) handleCommand(writer http.ResponseWriter, request *http.Request) {
	var command enginecommand.Command
	if err := transport.ReadJSON(writer, request, maxCommandBytes, &command); err != nil {
		transport.WriteError(writer, err, "", 0)
		return
	}
	e.lock.Lock()
	e.Observer.RecordCommand(e.Observer.Now(), command)
	if command.Drain && !e.command.Drain {
		e.drainedAt = e.clock.Now()
	}
	e.command = command
	e.role = command.Role
	e.lock.Unlock()
	transport.WriteJSON(writer, http.StatusOK, e.report())
}

// cancel stops a run by its ID, drops its KV caches and has a later start of it rejected.
func (e *Engine) cancel(writer http.ResponseWriter, request *http.Request) {
	var cancelRequest engineapi.CancelRequest
	if err := transport.ReadJSON(writer, request, maxCancelBytes, &cancelRequest); err != nil {
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
	transport.WriteJSON(writer, http.StatusOK, cancelRequest)
}
