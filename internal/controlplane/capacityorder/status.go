package capacityorder

import (
	"slices"

	"coursepass/internal/controlplane/autoscale"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

// countEngine adds a registered engine to the counts of its zone.
func countEngine(zone *autoscale.ZoneState, engine registry.Engine) {
	switch {
	case engine.Draining:
		zone.Draining++
		return
	case engine.Role == pairing.RolePrefill:
		zone.Prefill++
	case engine.Role == pairing.RoleDecode:
		zone.Decode++
	default:
		zone.Both++
	}
	if engine.WarmingUp {
		zone.WarmingUp++
	}
}

// capacityStatuses returns the decisions for a service in the form that is shown to operators.
func capacityStatuses(
	state autoscale.ServiceState, decisions []autoscale.Decision, demand autoscale.Demand,
) []controlapi.CapacityStatus {
	var statuses []controlapi.CapacityStatus
	for _, zone := range state.Zones {
		index := slices.IndexFunc(decisions, func(decision autoscale.Decision) bool { return decision.Zone == zone.Zone })
		if index < 0 {
			continue
		}
		statuses = append(statuses, controlapi.CapacityStatus{
			Service:     state.Service,
			Zone:        zone.Zone,
			Wanted:      decisions[index].Wanted,
			Present:     zone.Serving(),
			WarmingUp:   zone.WarmingUp,
			Draining:    zone.Draining,
			Ordered:     zone.HasOrder,
			Reason:      decisions[index].Reason.String(),
			PrefillLoad: demand.Prefill,
			DecodeLoad:  demand.Decode,
		})
	}
	return statuses
}

// Status returns the last decisions, sorted by service and zone, or nil if this server does not lead the shard.
func (t *Task) Status() []controlapi.CapacityStatus {
	status := t.options.Shard.CurrentStatus()
	if status == nil || !status.Owner {
		return nil
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	return slices.Clone(t.statuses)
}
