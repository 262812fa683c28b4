package autoscale

// policy gives the orders of a moment.
type policy func(m *model)

// standing orders nothing.
func standing() policy { return func(*model) {} }

// alwaysMinimum orders the minimum at once.
func alwaysMinimum() policy {
	return func(m *model) {
		for _, zone := range m.zones {
			if _, hasOrder := m.ordered[zone]; !hasOrder {
				m.give(zone, m.scaling.Min)
			}
		}
	}
}

// reactive orders what the measured load needs at each moment: no forecast, no hysteresis, no spare zone.
func reactive(options Options) policy {
	options.ZoneHeadroom, options.MaxGrowth = false, 0
	tracker := newDemandTracker(options)
	return func(m *model) {
		tracker.record(m.now, m.reports[:])
		demand := tracker.demand(m.now, "s")
		if demand.IsZero() {
			return
		}
		needed := options.need(demand.Load).engines
		perZone := min(max((needed+len(m.zones)-1)/len(m.zones), m.scaling.Min), m.scaling.Max)
		for _, zone := range m.zones {
			present, hasOrder := m.ordered[zone]
			if !hasOrder {
				present = m.standing
			}
			if perZone != present {
				m.give(zone, perZone)
			}
		}
	}
}

// scaled has a Scaler decide.
func scaled(options Options) policy {
	scaler := NewScaler(options)
	return func(m *model) {
		scaler.RecordReports(m.now, m.reports[:])
		for _, decision := range scaler.Decide(m.now, m.serviceState()) {
			if decision.Change() != 0 {
				m.give(decision.Zone, decision.Wanted)
			}
		}
	}
}

func (m *model) serviceState() ServiceState {
	return ServiceState{Service: "s", Scaling: m.scaling, WarmUp: warmUpTime, Zones: m.zoneStates()}
}

// namedPolicy is a policy of the comparison. A new one is made for each day.
type namedPolicy struct {
	name string
	make func() policy
}

// The names of the policies.
const (
	policyStanding   = "standing"
	policyReactive   = "reactive"
	policyNoHeadroom = "forecast, hysteresis"
	policyDefault    = "forecast, hysteresis, zone headroom"
)

func policies() []namedPolicy {
	withoutHeadroom := DefaultOptions()
	withoutHeadroom.ZoneHeadroom = false
	beforeDemand := DefaultOptions()
	beforeDemand.StepDownBeforeDemand = true
	return []namedPolicy{
		{policyStanding, standing},
		{"minimum", alwaysMinimum},
		{policyReactive, func() policy { return reactive(DefaultOptions()) }},
		{policyNoHeadroom, func() policy { return scaled(withoutHeadroom) }},
		{policyDefault, func() policy { return scaled(DefaultOptions()) }},
		{"the same, also down before the first demand", func() policy { return scaled(beforeDemand) }},
	}
}
