package enginecommand

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/metrics/resources"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

// timeoutDivisor divides the timeout of a command into one part for the HTTP call and one part for the kernel's
// TCP retransmissions after the call, so that no data of the command arrives after the timeout.
const timeoutDivisor = 2

// Counters are the counters of a dispatcher. Blocked counts writes that were rejected because the lease did not
// cover them; the other counters count commands.
type Counters struct {
	Sent         atomic.Int64
	Blocked      atomic.Int64
	Acknowledged atomic.Int64
	Failed       atomic.Int64
}

// PostFunc sends a command to an address through the dispatcher's client, which checks the lease before each
// write. An error means that it is unknown whether the command arrived.
type PostFunc func(ctx context.Context, client *http.Client, command Command, address string) error

// Options configures a dispatcher.
type Options struct {
	// Leader is the name of the leader, which each command contains.
	Leader string
	// Timeout is the maximum duration of a command. A command starts only if the lease lasts longer than that.
	Timeout clock.Microseconds
	Clock   *clock.Clock
	// Lease points to the current lease, or to nil if there is none. The shard's replica updates it.
	Lease *atomic.Pointer[LeaseGuard]
	// Transport provides the network and the traffic meter. The dispatcher sets the write guard, the user timeout,
	// the single connection and the procedure.
	Transport transport.Options
}

// Dispatcher sends the commands of one shard's leader to engines. Its methods are safe for concurrent use.
type Dispatcher struct {
	Counters
	// Post sends a command. It may be replaced before the first command.
	Post    PostFunc
	options Options
	client  *http.Client

	// lock guards records and lastCommandID.
	lock sync.Mutex
	// records maps the name of an engine to its last command.
	records       map[string]*commandRecord
	lastCommandID uint64
}

// commandRecord is the last command of an engine. The dispatcher's lock guards acknowledged and inFlight; the other
// fields never change.
type commandRecord struct {
	Command
	encodedState string
	incarnation  string
	acknowledged bool
	inFlight     bool
}

// NewDispatcher returns a dispatcher that sends commands in the project's own engine protocol, which the stand-in
// engine implements.
func NewDispatcher(options Options) *Dispatcher {
	dispatcher := &Dispatcher{Post: postCommand, options: options, records: map[string]*commandRecord{}}
	transportOptions := options.Transport
	transportOptions.WriteGuard = dispatcher.checkLease
	transportOptions.UserTimeout = options.Timeout / timeoutDivisor
	transportOptions.SingleConnection = true
	transportOptions.Procedure = resources.ProcedureEngineCommands
	dispatcher.client = transport.NewHTTPClient(transportOptions)
	return dispatcher
}

// LeaseCovers reports whether a command that starts now and takes its full timeout ends within the lease.
func (d *Dispatcher) LeaseCovers(leaseGuard *LeaseGuard, now clock.Microseconds) bool {
	return leaseGuard.Covers(now, d.options.Timeout)
}

// checkLease returns an error if the current lease does not cover a command that starts now. The transport calls it
// before each write to an engine's connection.
func (d *Dispatcher) checkLease() error {
	if d.LeaseCovers(d.options.Lease.Load(), d.options.Clock.Now()) {
		return nil
	}
	d.Blocked.Add(1)
	return errcode.New(errcode.LeaseExpired, "write to an engine")
}

// EnsureState sends a command with the desired state to an engine. It does nothing if the lease does not cover the
// command, if the engine has acknowledged the same state in this term and incarnation, or if a command to the engine
// is in flight. The report identifies the engine and must be recent. EnsureState does not wait for the command.
func (d *Dispatcher) EnsureState(
	ctx context.Context, leaseGuard *LeaseGuard, report registry.Report, desired DesiredState,
) {
	if !d.LeaseCovers(leaseGuard, d.options.Clock.Now()) {
		return
	}
	encodedState, _ := json.Marshal(desired) // It contains only strings and booleans, so encoding never fails.
	wanted := &commandRecord{
		Command: Command{
			DesiredState: desired,
			Service:      report.Service,
			Term:         leaseGuard.Term,
			Leader:       d.options.Leader,
		},
		encodedState: string(encodedState),
		incarnation:  report.Incarnation,
		inFlight:     true,
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	last, exists := d.records[report.Name]
	if exists && (last.inFlight || last.satisfies(wanted)) {
		return
	}
	d.lastCommandID++
	wanted.CommandID = d.lastCommandID
	d.records[report.Name] = wanted
	go d.send(ctx, wanted, report.Address)
}

// satisfies reports whether the engine has acknowledged the wanted state in the same term and incarnation.
func (c *commandRecord) satisfies(wanted *commandRecord) bool {
	return c.acknowledged &&
		c.encodedState == wanted.encodedState &&
		c.Term == wanted.Term &&
		c.incarnation == wanted.incarnation
}

func (d *Dispatcher) send(parent context.Context, record *commandRecord, address string) {
	ctx, cancel := context.WithTimeout(parent, (d.options.Timeout / timeoutDivisor).Duration())
	defer cancel()
	d.Sent.Add(1)
	err := d.Post(ctx, d.client, record.Command, address)
	d.lock.Lock()
	defer d.lock.Unlock()
	record.inFlight = false
	record.acknowledged = err == nil
	if err != nil {
		d.Failed.Add(1)
		return
	}
	d.Acknowledged.Add(1)
}

// Forget deletes the record of an engine's last command, so that EnsureState sends the next one even if it is equal.
// A command in flight is kept.
func (d *Dispatcher) Forget(name string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if record, exists := d.records[name]; exists && !record.inFlight {
		delete(d.records, name)
	}
}
