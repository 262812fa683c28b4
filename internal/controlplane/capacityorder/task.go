package capacityorder

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/autoscale"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/controlplane/singleton"
	"coursepass/internal/platformport"
	"coursepass/internal/state/config"
	"coursepass/internal/state/outbox"
	"coursepass/internal/state/registry"
	"coursepass/internal/state/route"
)

const (
	// decisionInterval is the minimum time between two rounds of decisions.
	decisionInterval = clock.Second
	// maxDirectoryAge is the maximum age of the last read of the engine directory. Beyond it, the numbers of engines
	// count as unknown and are not reduced.
	maxDirectoryAge = 4 * clock.Second
)

// Task drafts the orders for the services of one shard. Draft must be called by one goroutine only. Status is safe for
// concurrent use.
type Task struct {
	options Options
	// term is the leader's term to which the fields below belong. It is valid if hasTerm is set.
	term      uint64
	hasTerm   bool
	scaler    *autoscale.Scaler
	decidedAt clock.Microseconds
	// zones holds, by service, the zones that have had engines or an order in this term.
	zones map[string]map[string]bool
	// draftedAt holds the time of the last draft of each subject.
	draftedAt map[outbox.Subject]clock.Microseconds

	// lock guards statuses, the statuses of the last round of decisions.
	lock     sync.Mutex
	statuses []controlapi.CapacityStatus
}

var _ singleton.Task = (*Task)(nil)

// NewTask returns the task of a shard.
func NewTask(options Options) *Task { return &Task{options: options} }

// Kind returns the kind of the task's outbox subjects.
func (t *Task) Kind() string { return platformport.SingletonCapacity }

// Draft returns the orders for the numbers that change. It decides at most once per decisionInterval, and returns
// nothing in between.
func (t *Task) Draft(ctx context.Context, now clock.Microseconds, committed outbox.View) []outbox.Entry {
	if !t.resetOnNewTerm() {
		return nil
	}
	if t.decidedAt > 0 && now-t.decidedAt < decisionInterval {
		return nil
	}
	t.decidedAt = now
	configuration, engines, loaded := t.load(ctx)
	if !loaded {
		return nil
	}
	t.scaler.RecordReports(now, t.options.Fleet.RouterReports())
	decisions := t.decide(now, &configuration, engines, committed)
	return t.draftOrders(now, committed, decisions)
}

// resetOnNewTerm resets the collected state at the start of a new term, since a leader may rely only on the demand
// that it has measured itself in its term. It returns false while the term is not known.
func (t *Task) resetOnNewTerm() bool {
	status := t.options.Shard.CurrentStatus()
	if status == nil {
		return false
	}
	if !t.hasTerm || t.term != status.Term {
		t.hasTerm, t.term, t.decidedAt = true, status.Term, 0
		t.scaler = autoscale.NewScaler(t.options.Policy)
		t.zones = map[string]map[string]bool{}
		t.draftedAt = map[outbox.Subject]clock.Microseconds{}
	}
	return true
}

// load returns the applied configuration and the registered engines, or false if the context ended first.
func (t *Task) load(ctx context.Context) (config.View, registry.View, bool) {
	var engines registry.View
	if !t.options.Shard.RunInLoop(ctx, func() { engines = t.options.Engines.View }) {
		return config.View{}, registry.View{}, false
	}
	configuration, loaded := t.options.Fleet.ReadConfiguration(ctx)
	return configuration, engines, loaded
}

// decide returns the decisions for all services of this shard that have scaling limits, and stores their statuses.
func (t *Task) decide(
	now clock.Microseconds, configuration *config.View, engines registry.View, committed outbox.View,
) []autoscale.Decision {
	orders := t.committedOrders(committed)
	var decisions []autoscale.Decision
	statuses := []controlapi.CapacityStatus{}
	for _, name := range slices.Sorted(maps.Keys(configuration.RouteTable.Services)) {
		service := configuration.RouteTable.Services[name]
		if service.Scaling == nil || controlapi.ServiceShard(name, t.options.Shards) != t.options.Shard.Index() {
			continue
		}
		state := t.serviceState(service, configuration, engines, orders[name])
		state.EnginesUnknown = now-t.options.EnginesReadAt() > maxDirectoryAge
		decided := t.scaler.Decide(now, state)
		statuses = append(statuses, capacityStatuses(state, decided, t.scaler.Demand(now, name))...)
		decisions = append(decisions, decided...)
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	t.statuses = statuses
	return decisions
}

// committedOrders returns the last committed number of engines by service and zone. Entries that can't be decoded are
// logged and ignored.
func (t *Task) committedOrders(committed outbox.View) map[string]map[string]int {
	orders := map[string]map[string]int{}
	for subject, record := range committed.Subjects {
		if subject.Kind != t.Kind() || record.Latest == nil {
			continue
		}
		order, err := t.options.Codec.DecodeCapacity(record.Latest.Payload)
		if err != nil {
			log.Error().Str("server", t.options.Server).Str("subject", subject.Name).Err(err).
				Msg("committed order of engines not readable")
			continue
		}
		if orders[order.Service] == nil {
			orders[order.Service] = map[string]int{}
		}
		orders[order.Service][order.Zone] = order.Engines
	}
	return orders
}

// serviceState returns the observed state of a service. Its zones are those that have engines or an order, or have had
// either in this term.
func (t *Task) serviceState(
	service route.Service, configuration *config.View, engines registry.View, orders map[string]int,
) autoscale.ServiceState {
	zoneStates := map[string]*autoscale.ZoneState{}
	for zone := range t.updateZones(service.Name, engines, orders) {
		ordered, hasOrder := orders[zone]
		zoneStates[zone] = &autoscale.ZoneState{
			Zone:        zone,
			Ordered:     ordered,
			HasOrder:    hasOrder,
			Unavailable: t.options.Fleet.ZoneUnavailable(configuration, zone),
		}
	}
	for _, engine := range engines.Engines {
		if engine.Service == service.Name {
			countEngine(zoneStates[engine.Zone], engine)
		}
	}
	state := autoscale.ServiceState{Service: service.Name, Scaling: *service.Scaling, WarmUp: service.WarmUpDuration}
	for _, zone := range slices.Sorted(maps.Keys(zoneStates)) {
		state.Zones = append(state.Zones, *zoneStates[zone])
	}
	return state
}

// updateZones adds the zones that have engines or an order to the known zones of a service, and returns all known
// zones.
func (t *Task) updateZones(service string, engines registry.View, orders map[string]int) map[string]bool {
	zones := t.zones[service]
	if zones == nil {
		zones = map[string]bool{}
		t.zones[service] = zones
	}
	for _, engine := range engines.Engines {
		if engine.Service == service {
			zones[engine.Zone] = true
		}
	}
	for zone := range orders {
		zones[zone] = true
	}
	return zones
}
