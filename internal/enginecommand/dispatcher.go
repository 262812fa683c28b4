// Package enginecommand carries the leader's orders to engines, which neither check nor
// remember rounds: one order in flight per engine, each wholly inside a grant.
package enginecommand

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

// TransferTarget is an engine to hand prompt memory to.
type TransferTarget struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// DesiredState is what an engine is to do until told otherwise.
type DesiredState struct {
	Role            string           `json:"part"`
	Drain           bool             `json:"drain"`
	TransferTargets []TransferTarget `json:"partners"`
}

// Command is a standing order under a leader's round.
type Command struct {
	DesiredState
	Service   string `json:"service"`
	Term      uint64 `json:"round"`
	CommandID uint64 `json:"sequence"`
	Leader    string `json:"holder"`
}

// LeaseGuard is a leader's right to give orders, as the guard reads it.
type LeaseGuard struct {
	Term      uint64
	NotBefore clock.Microseconds
	NotAfter  clock.Microseconds
}

// Covers tells whether an order begun now and done within the budget lies inside
// the right.
func (l *LeaseGuard) Covers(now, timeout clock.Microseconds) bool {
	return l != nil && now >= l.NotBefore && now+timeout < l.NotAfter
}

// Counters are the desk's counters.
type Counters struct {
	Sent         atomic.Int64
	Blocked      atomic.Int64
	Acknowledged atomic.Int64
	Failed       atomic.Int64
}

type commandRecord struct {
	Command
	encodedState string
	incarnation  string
	acknowledged bool
	inFlight     bool
}

// Dispatcher gives the orders of one part.
type Dispatcher struct {
	Counters
	Leader  string
	Timeout clock.Microseconds
	// Post sends an order through the desk's client, which asks the guard at each write.
	// It may be replaced before the first order is given.
	Post          func(ctx context.Context, client *http.Client, command Command, address string) error
	clock         *clock.Clock
	leaseGuard    *atomic.Pointer[LeaseGuard]
	client        *http.Client
	lock          sync.Mutex
	records       map[string]*commandRecord
	lastCommandID uint64
}

// NewDispatcher makes the desk of a holder. Each write to the kernel asks the guard,
// and the kernel gives up a circuit within half the budget.
func NewDispatcher(leader string, timeout clock.Microseconds, timeSource *clock.Clock, leaseGuard *atomic.Pointer[LeaseGuard], options transport.Options) *Dispatcher {
	dispatcher := &Dispatcher{Leader: leader, Timeout: timeout, Post: postCommand, clock: timeSource, leaseGuard: leaseGuard, records: map[string]*commandRecord{}}
	options.WriteGuard, options.UserTimeout, options.SingleConnection = dispatcher.checkLease, timeout/2, true
	dispatcher.client = &http.Client{Transport: transport.NewHTTPTransport(options)}
	return dispatcher
}

func (d *Dispatcher) checkLease() error {
	if d.leaseGuard.Load().Covers(d.clock.Now(), d.Timeout) {
		return nil
	}
	d.Blocked.Add(1)
	return errcode.New(errcode.LeaseExpired, "write to an engine")
}

// EnsureState makes sure that an engine has its standing order under this right. It
// returns at once; the engine's own report must have been answered lately.
func (d *Dispatcher) EnsureState(parent context.Context, leaseGuard *LeaseGuard, report registry.Report, desired DesiredState) {
	if !leaseGuard.Covers(d.clock.Now(), d.Timeout) {
		return
	}
	encodedState, _ := json.Marshal(desired)
	d.lock.Lock()
	defer d.lock.Unlock()
	record, exists := d.records[report.Name]
	if exists && (record.inFlight || record.acknowledged && record.encodedState == string(encodedState) && record.Term == leaseGuard.Term && record.incarnation == report.Incarnation) {
		return
	}
	d.lastCommandID++
	record = &commandRecord{
		Command:      Command{DesiredState: desired, Service: report.Service, Term: leaseGuard.Term, CommandID: d.lastCommandID, Leader: d.Leader},
		encodedState: string(encodedState),
		incarnation:  report.Incarnation,
		inFlight:     true,
	}
	d.records[report.Name] = record
	go d.send(parent, record, report.Address)
}

func (d *Dispatcher) send(parent context.Context, record *commandRecord, address string) {
	ctx, cancel := context.WithTimeout(parent, (d.Timeout / 2).Duration())
	defer cancel()
	d.Sent.Add(1)
	err := d.Post(ctx, d.client, record.Command, address)
	d.lock.Lock()
	defer d.lock.Unlock()
	record.inFlight, record.acknowledged = false, err == nil
	if err != nil {
		d.Failed.Add(1)
		return
	}
	d.Acknowledged.Add(1)
}

// Forget has an engine's last order no longer count as given, unless it is under way.
func (d *Dispatcher) Forget(name string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if record, exists := d.records[name]; exists && !record.inFlight {
		delete(d.records, name)
	}
}

func postCommand(ctx context.Context, client *http.Client, command Command, address string) error {
	body, _ := json.Marshal(command)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/order", bytes.NewReader(body))
	if err != nil {
		return errcode.Wrap(err, errcode.MalformedMessage, address)
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return errcode.Wrap(err, errcode.ConnectionLost, address)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, 64<<10)); err != nil {
		return errcode.Wrap(err, errcode.ConnectionLost, address)
	}
	if response.StatusCode != http.StatusOK {
		return errcode.New(errcode.ConnectionLost, "%s answered %d", address, response.StatusCode)
	}
	return nil
}
