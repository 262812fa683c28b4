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
	// increaseInterval is the minimum time between an order for a zone and a later increase of the same service
	// there. Decreases are spaced by the policy's StableSpan instead.
	increaseInterval = 2 * clock.Second
	// maxOrdersPerDecision is the maximum number of orders that are drafted at a time. The remaining ones follow in
	// later rounds.
	maxOrdersPerDecision = 16
)

// draftOrders returns the outbox entries for the decisions that change a number. They are sorted by descending
// change: the largest increase is first, the largest decrease last.
func (t *Task) draftOrders(
	now clock.Microseconds, committed outbox.View, decisions []autoscale.Decision,
) []outbox.Entry {
	changes := slices.DeleteFunc(decisions, func(decision autoscale.Decision) bool { return decision.Change() == 0 })
	slices.SortStableFunc(changes, func(left, right autoscale.Decision) int {
		return cmp.Or(cmp.Compare(right.Change(), left.Change()),
			cmp.Compare(left.Service, right.Service), cmp.Compare(left.Zone, right.Zone))
	})
	var entries []outbox.Entry
	for _, decision := range changes {
		subject := outbox.Subject{Kind: t.Kind(), Name: subjectName(decision.Service, decision.Zone)}
		if len(entries) == maxOrdersPerDecision || t.isWithinIncreaseInterval(now, subject, decision) {
			t.options.Counters.Deferred.Add(1)
			continue
		}
		t.draftedAt[subject] = now
		entries = append(entries, t.entry(committed, subject, decision))
		t.recordOrder(decision)
	}
	return entries
}

// subjectName returns the name of the outbox subject of a service in a zone. Both names are escaped, so that
// different pairs have different subject names.
func subjectName(service, zone string) string {
	return url.PathEscape(service) + "/" + url.PathEscape(zone)
}

// isWithinIncreaseInterval reports whether a decision is an increase within increaseInterval of the last order for its
// subject.
func (t *Task) isWithinIncreaseInterval(
	now clock.Microseconds, subject outbox.Subject, decision autoscale.Decision,
) bool {
	draftedAt, drafted := t.draftedAt[subject]
	return decision.Change() > 0 && drafted && now-draftedAt < increaseInterval
}

// entry returns the outbox entry for a decision.
func (t *Task) entry(committed outbox.View, subject outbox.Subject, decision autoscale.Decision) outbox.Entry {
	highest, _ := committed.Highest(subject)
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

// recordOrder counts and logs a drafted order.
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
