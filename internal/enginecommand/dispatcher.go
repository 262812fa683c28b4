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

// timeoutDivisor divides the timeout of a command: its call and the kernel's retransmissions end within the
// quotient each, so that nothing of it arrives after the timeout.
const timeoutDivisor = 2

// Counters of a dispatcher. Blocked counts writes that the lease did not allow.
type Counters struct {
	Sent         atomic.Int64
	Blocked      atomic.Int64
	Acknowledged atomic.Int64
	Failed       atomic.Int64
}

// PostFunc sends a command to an address through the dispatcher's client, which checks the lease at each
// write. An error means that the command may have arrived or not.
type PostFunc func(ctx context.Context, client *http.Client, command Command, address string) error

// Options of a dispatcher.
type Options struct {
	// Leader names the commanding server in commands.
	Leader string
	// Timeout is the time within which a command must lie within the lease.
	Timeout clock.Microseconds
	Clock   *clock.Clock
	// Lease is the lease in force, nil without one. The shard's replica writes it.
	Lease *atomic.Pointer[LeaseGuard]
	// Transport has the network and the traffic meter; the dispatcher sets the rest.
	Transport transport.Options
}

// Dispatcher sends the commands of one shard's leader. Its methods may be called from several goroutines.
type Dispatcher struct {
	Counters
	// Post may be replaced before the first command.
	Post    PostFunc
	options Options
	client  *http.Client

	// lock guards what follows.
	lock sync.Mutex
	// records have the last command of each engine, by name.
	records       map[string]*commandRecord
	lastCommandID uint64
}

// commandRecord is the last command of an engine. The dispatcher's lock guards it; its Command and state
// never change.
type commandRecord struct {
	Command
	encodedState string
	incarnation  string
	acknowledged bool
	inFlight     bool
}

// NewDispatcher makes a dispatcher that sends commands as the stand-in engine takes them.
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

// LeaseCovers tells whether a command that begins now lies within the lease.
func (d *Dispatcher) LeaseCovers(leaseGuard *LeaseGuard, now clock.Microseconds) bool {
	return leaseGuard.Covers(now, d.options.Timeout)
}

// checkLease is called before each write to an engine's connection.
func (d *Dispatcher) checkLease() error {
	if d.LeaseCovers(d.options.Lease.Load(), d.options.Clock.Now()) {
		return nil
	}
	d.Blocked.Add(1)
	return errcode.New(errcode.LeaseExpired, "write to an engine")
}

// EnsureState commands the desired state under the lease, unless the engine has acknowledged it in this term
// or a command to it is in flight. The report names the engine and must be recent. EnsureState does not wait
// for the command.
func (d *Dispatcher) EnsureState(
	ctx context.Context, leaseGuard *LeaseGuard, report registry.Report, desired DesiredState,
) {
	if !d.LeaseCovers(leaseGuard, d.options.Clock.Now()) {
		return
	}
	encodedState, _ := json.Marshal(desired) // It has strings and booleans only, and never fails.
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

// satisfies tells whether the engine has acknowledged the same state in the same term and incarnation.
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

// Forget makes the last command of an engine no longer count as acknowledged. A command in flight stays.
func (d *Dispatcher) Forget(name string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if record, exists := d.records[name]; exists && !record.inFlight {
		delete(d.records, name)
	}
}
