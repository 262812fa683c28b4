// Package order carries the leader's orders to engines, which neither check nor
// remember rounds: one order in flight per engine, each wholly inside a grant.
package order

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

// Partner is an engine to hand prompt memory to.
type Partner struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Standing is what an engine is to do until told otherwise.
type Standing struct {
	Part     string    `json:"part"`
	Drain    bool      `json:"drain"`
	Partners []Partner `json:"partners"`
}

// Order is a standing order under a leader's round.
type Order struct {
	Standing
	Service  string `json:"service"`
	Round    uint64 `json:"round"`
	Sequence uint64 `json:"sequence"`
	Holder   string `json:"holder"`
}

// Right is a leader's right to give orders, as the guard reads it.
type Right struct {
	Round uint64
	Quiet schedule.Microseconds
	Until schedule.Microseconds
}

// Covers tells whether an order begun now and done within the budget lies inside
// the right.
func (l *Right) Covers(now, budget schedule.Microseconds) bool {
	return l != nil && now >= l.Quiet && now+budget < l.Until
}

// Counters are the desk's counters.
type Counters struct {
	Sent    atomic.Int64
	Held    atomic.Int64
	Acked   atomic.Int64
	Mishaps atomic.Int64
}

type last struct {
	Order
	text        string
	incarnation string
	acked       bool
	busy        bool
}

// Desk gives the orders of one part.
type Desk struct {
	Counters
	Holder string
	Budget schedule.Microseconds
	// Post sends an order through the desk's client, which asks the guard at each write.
	// It may be replaced before the first order is given.
	Post   func(ctx context.Context, client *http.Client, order Order, address string) error
	clock  *schedule.Clock
	right  *atomic.Pointer[Right]
	client *http.Client
	lock   sync.Mutex
	given  map[string]*last
	count  uint64
}

// NewDesk makes the desk of a holder. Each write to the kernel asks the guard,
// and the kernel gives up a circuit within half the budget.
func NewDesk(holder string, budget schedule.Microseconds, clock *schedule.Clock, right *atomic.Pointer[Right], options circuit.Options) *Desk {
	desk := &Desk{Holder: holder, Budget: budget, Post: post, clock: clock, right: right, given: map[string]*last{}}
	options.Guard, options.Silence, options.Single = desk.guard, budget/2, true
	desk.client = &http.Client{Transport: circuit.NewTransport(options)}
	return desk
}

func (d *Desk) guard() error {
	if d.right.Load().Covers(d.clock.Now(), d.Budget) {
		return nil
	}
	d.Held.Add(1)
	return mishap.New(mishap.GrantSpent, "write to an engine")
}

// Give makes sure that an engine has its standing order under this right. It
// returns at once; the engine's own report must have been answered lately.
func (d *Desk) Give(parent context.Context, right *Right, report catalogue.Report, standing Standing) {
	if !right.Covers(d.clock.Now(), d.Budget) {
		return
	}
	text, _ := json.Marshal(standing)
	d.lock.Lock()
	defer d.lock.Unlock()
	given, known := d.given[report.Name]
	if known && (given.busy || given.acked && given.text == string(text) && given.Round == right.Round && given.incarnation == report.Incarnation) {
		return
	}
	d.count++
	given = &last{
		Order:       Order{Standing: standing, Service: report.Service, Round: right.Round, Sequence: d.count, Holder: d.Holder},
		text:        string(text),
		incarnation: report.Incarnation,
		busy:        true,
	}
	d.given[report.Name] = given
	go d.send(parent, given, report.Address)
}

func (d *Desk) send(parent context.Context, given *last, address string) {
	bounded, cancel := context.WithTimeout(parent, (d.Budget / 2).Duration())
	defer cancel()
	d.Sent.Add(1)
	err := d.Post(bounded, d.client, given.Order, address)
	d.lock.Lock()
	defer d.lock.Unlock()
	given.busy, given.acked = false, err == nil
	if err != nil {
		d.Mishaps.Add(1)
		return
	}
	d.Acked.Add(1)
}

// Forget has an engine's last order no longer count as given, unless it is under way.
func (d *Desk) Forget(name string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if given, known := d.given[name]; known && !given.busy {
		delete(d.given, name)
	}
}

func post(bounded context.Context, client *http.Client, order Order, address string) error {
	body, _ := json.Marshal(order)
	request, err := http.NewRequestWithContext(bounded, http.MethodPost, "http://"+address+"/order", bytes.NewReader(body))
	if err != nil {
		return mishap.Wrap(err, mishap.Garbage, address)
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	answer, err := client.Do(request)
	if err != nil {
		return mishap.Wrap(err, mishap.CircuitLost, address)
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(answer.Body, 64<<10)); err != nil {
		return mishap.Wrap(err, mishap.CircuitLost, address)
	}
	if answer.StatusCode != http.StatusOK {
		return mishap.New(mishap.CircuitLost, "%s answered %d", address, answer.StatusCode)
	}
	return nil
}
