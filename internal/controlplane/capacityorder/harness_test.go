package capacityorder

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/autoscale"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/errcode"
	"coursepass/internal/platformport"
	"coursepass/internal/state/config"
	"coursepass/internal/state/outbox"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
	"coursepass/internal/state/route"
)

// jsonCodec encodes orders as JSON.
type jsonCodec struct{}

func (jsonCodec) EncodeCapacity(order platformport.CapacityOrder) []byte {
	encoded, _ := json.Marshal(order) // Encoding an order can't fail.
	return encoded
}

func (jsonCodec) DecodeCapacity(body []byte) (platformport.CapacityOrder, error) {
	var order platformport.CapacityOrder
	err := json.Unmarshal(body, &order)
	return order, errcode.Wrap(err, errcode.MalformedMessage, "order")
}

// harness simulates a fleet with one service, "s", the state machine of its shard, and the task at the shard's leader.
type harness struct {
	*testing.T
	*Task
	Counters
	now     clock.Microseconds
	status  *controlapi.ShardStatus
	engines *registry.State
	config  config.View
	// routers holds the names of the routers. work is the cumulative work that each of them reports.
	routers     []string
	work        registry.BusyTime
	unavailable map[string]bool
	// directoryOutdated makes the last read of the engine directory appear outdated.
	directoryOutdated bool
	// discardDrafts makes drafts be discarded instead of committed.
	discardDrafts    bool
	lastEngineNumber int
}

var (
	_ Shard = (*harness)(nil)
	_ Fleet = (*harness)(nil)
)

// newHarness returns a harness with 8 engines in each of the zones a and b, and no orders.
func newHarness(t *testing.T) *harness {
	t.Helper()
	service := route.Service{
		Name:           "s",
		WarmUpDuration: 3 * clock.Second,
		Scaling:        &route.Scaling{Min: 4, Max: 20, StartUp: 8 * clock.Second},
	}
	h := &harness{
		T:           t,
		now:         clock.Second,
		status:      &controlapi.ShardStatus{Owner: true, Term: 3},
		engines:     registry.NewState(),
		config:      config.View{RouteTable: route.Table{Services: map[string]route.Service{"s": service}}},
		routers:     []string{"r1", "r2"},
		work:        registry.BusyTime{Service: "s"},
		unavailable: map[string]bool{},
	}
	h.setEngines("a", 8)
	h.setEngines("b", 8)
	h.restart()
	return h
}

// restart simulates a change of the leader: it creates a new task with a later term.
func (h *harness) restart() {
	h.status = &controlapi.ShardStatus{Owner: true, Term: h.status.Term + 2}
	h.Task = NewTask(Options{
		Server:  "server",
		Fleet:   h,
		Shard:   h,
		Shards:  2,
		Engines: h.engines,
		EnginesReadAt: func() clock.Microseconds {
			if h.directoryOutdated {
				return h.now - 10*clock.Second
			}
			return h.now
		},
		Codec:    jsonCodec{},
		Policy:   autoscale.DefaultOptions(),
		Counters: &h.Counters,
	})
}

func (h *harness) Index() int                             { return 1 }
func (h *harness) CurrentStatus() *controlapi.ShardStatus { return h.status }

func (h *harness) RunInLoop(_ context.Context, query func()) bool {
	query()
	return true
}

func (h *harness) ReadConfiguration(context.Context) (config.View, bool) { return h.config, true }

func (h *harness) ZoneUnavailable(_ *config.View, zone string) bool { return h.unavailable[zone] }

func (h *harness) RouterReports() []autoscale.RouterReport {
	var reports []autoscale.RouterReport
	for _, name := range h.routers {
		reports = append(reports, autoscale.RouterReport{
			Router: name, ReportedAt: h.now, BusyTimes: []registry.BusyTime{h.work},
		})
	}
	return reports
}

// setEngines replaces the engines of a zone by a number of new ones, half of them of each role.
func (h *harness) setEngines(zone string, count int) {
	engines := map[string]registry.Engine{}
	for name, engine := range h.engines.Engines {
		if engine.Zone != zone {
			engines[name] = engine
		}
	}
	for number := range count {
		h.lastEngineNumber++
		name := fmt.Sprint("engine-", h.lastEngineNumber)
		role := []string{pairing.RolePrefill, pairing.RoleDecode}[number%2]
		engines[name] = registry.Engine{Name: name, Service: "s", Zone: zone, Role: role}
	}
	h.engines.Engines = engines
}

// step advances the time under a load, and commits the drafted entries unless discardDrafts is set. It returns the
// drafted entries, and fails the test if one of them is rejected.
func (h *harness) step(passed clock.Microseconds, load autoscale.Load) []outbox.Entry {
	h.Helper()
	h.now += passed
	seconds := float64(passed) / float64(len(h.routers))
	h.work.Prefill += clock.Microseconds(load.Prefill * seconds)
	h.work.Decode += clock.Microseconds(load.Decode * seconds)
	entries := h.Draft(h.Context(), h.now, h.engines.Outbox.View)
	if h.discardDrafts {
		return entries
	}
	operation := outbox.Operation{Drafts: entries}
	for _, code := range h.engines.Outbox.Apply(operation).Codes {
		if code != errcode.OK {
			h.Errorf("outbox rejected a drafted entry: %v", code)
		}
	}
	return entries
}

// advance moves the time forward by some seconds, in steps of 200 ms as the runner does, and returns all drafted
// orders.
func (h *harness) advance(seconds int, load autoscale.Load) []platformport.CapacityOrder {
	h.Helper()
	var orders []platformport.CapacityOrder
	for range seconds * 5 {
		for _, entry := range h.step(clock.Second/5, load) {
			orders = append(orders, h.orderOf(entry))
		}
	}
	return orders
}

// orderOf decodes the order of an entry.
func (h *harness) orderOf(entry outbox.Entry) platformport.CapacityOrder {
	h.Helper()
	order, err := jsonCodec{}.DecodeCapacity(entry.Payload)
	if err != nil {
		h.Fatal(err)
	}
	return order
}

// latest returns the number of engines in the last committed order of a zone, or 0 without an order.
func (h *harness) latest(zone string) int {
	h.Helper()
	entry, known := h.engines.Outbox.Latest(outbox.Subject{Kind: platformport.SingletonCapacity, Name: "s/" + zone})
	if !known {
		return 0
	}
	return h.orderOf(entry).Engines
}

// carryOut gives each zone the number of engines in its last committed order.
func (h *harness) carryOut() {
	for _, zone := range []string{"a", "b"} {
		if wanted := h.latest(zone); wanted > 0 {
			h.setEngines(zone, wanted)
		}
	}
}
