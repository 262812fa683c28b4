package capacityorder

import (
	"cmp"
	"net/url"
	"slices"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/autoscale"
	"coursepass/internal/platformport"
	"coursepass/internal/state/outbox"
)

const (
	// increaseInterval is the least time between two orders of more engines in one zone. Orders of fewer have
	// the span of the policy between them.
	increaseInterval = 2 * clock.Second
	// maxOrdersPerDecision limits the orders of one decision. The others follow with the next ones.
	maxOrdersPerDecision = 16
)

// draftOrders returns the entries for the decisions that change a number: first those of more engines, the
// largest changes first.
func (t *Task) draftOrders(now clock.Microseconds, held outbox.View, decisions []autoscale.Decision) []outbox.Entry {
	changes := slices.DeleteFunc(decisions, func(decision autoscale.Decision) bool { return decision.Change() == 0 })
	slices.SortStableFunc(changes, func(left, right autoscale.Decision) int {
		return cmp.Or(cmp.Compare(right.Change(), left.Change()),
			cmp.Compare(left.Service, right.Service), cmp.Compare(left.Zone, right.Zone))
	})
	var entries []outbox.Entry
	for _, decision := range changes {
		subject := outbox.Subject{Kind: t.Kind(), Name: subjectName(decision.Service, decision.Zone)}
		if len(entries) == maxOrdersPerDecision || t.comesTooSoon(now, subject, decision) {
			t.options.Counters.Deferred.Add(1)
			continue
		}
		t.draftedAt[subject] = now
		entries = append(entries, t.entry(held, subject, decision))
		t.recordOrder(decision)
	}
	return entries
}

// subjectName returns the name of the subject of a service and a zone, which no others have.
func subjectName(service, zone string) string {
	return url.PathEscape(service) + "/" + url.PathEscape(zone)
}

// comesTooSoon tells whether an order of more engines follows another order too soon.
func (t *Task) comesTooSoon(now clock.Microseconds, subject outbox.Subject, decision autoscale.Decision) bool {
	draftedAt, drafted := t.draftedAt[subject]
	return decision.Change() > 0 && drafted && now-draftedAt < increaseInterval
}

func (t *Task) entry(held outbox.View, subject outbox.Subject, decision autoscale.Decision) outbox.Entry {
	highest, _ := held.Highest(subject)
	order := platformport.CapacityOrder{Service: decision.Service, Zone: decision.Zone, Engines: decision.Wanted}
	entry := outbox.Entry{
		Subject:   subject,
		Number:    highest + 1,
		Retention: outbox.RetainLatest,
		Priority:  outbox.PriorityDecrease,
		Payload:   t.options.Codec.EncodeCapacity(order),
	}
	if decision.Change() > 0 {
		entry.Priority = outbox.PriorityIncrease
	}
	return entry
}

// recordOrder counts and logs an order.
func (t *Task) recordOrder(decision autoscale.Decision) {
	if decision.Change() > 0 {
		t.options.Counters.Increases.Add(1)
	} else {
		t.options.Counters.Decreases.Add(1)
	}
	log.Info().Str("server", t.options.Server).Str("service", decision.Service).Str("zone", decision.Zone).
		Int("from", decision.Base).Int("to", decision.Wanted).Stringer("reason", decision.Reason).
		Msg("engines ordered")
}
