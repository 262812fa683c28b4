package autoscale

// policy issues the orders of one decision.
type policy func(m *model)

// keepInitial keeps the initial engines: it orders nothing.
func keepInitial() policy { return func(*model) {} }

// alwaysMinimum orders the minimum in every zone at the first decision, and nothing later.
func alwaysMinimum() policy {
	return func(m *model) {
		for _, zone := range m.zones {
			if _, hasOrder := m.ordered[zone]; !hasOrder {
				m.placeOrder(zone, m.scaling.Min)
			}
		}
	}
}

// reactive orders the engines that the measured load requires at each decision, without forecast, hysteresis or
// headroom for the loss of a zone.
func reactive(options Options) policy {
	options.ZoneHeadroom, options.MaxGrowth = false, 0
	tracker := newDemandTracker(options)
	return func(m *model) {
		tracker.record(m.now, m.reports[:])
		demand := tracker.demand(m.now, "s")
		if demand.IsZero() {
			return
		}
		needed := options.requirementFor(demand.Load).engines
		perZone := min(max((needed+len(m.zones)-1)/len(m.zones), m.scaling.Min), m.scaling.Max)
		for _, zone := range m.zones {
			present, hasOrder := m.ordered[zone]
			if !hasOrder {
				present = m.initialPerZone
			}
			if perZone != present {
				m.placeOrder(zone, perZone)
			}
		}
	}
}

// scalerPolicy orders what a Scaler decides.
func scalerPolicy(options Options) policy {
	scaler := NewScaler(options)
	return func(m *model) {
		scaler.RecordReports(m.now, m.reports[:])
		for _, decision := range scaler.Decide(m.now, m.serviceState()) {
			if decision.Change() != 0 {
				m.placeOrder(decision.Zone, decision.Wanted)
			}
		}
	}
}

func (m *model) serviceState() ServiceState {
	return ServiceState{Service: "s", Scaling: m.scaling, WarmUp: warmUpTime, Zones: m.zoneStates()}
}

// namedPolicy is a policy of the comparison. make returns a new instance, since policies hold state: each day is
// simulated with its own instance.
type namedPolicy struct {
	name string
	make func() policy
}

// The names of policies that checks refer to.
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
		{policyStanding, keepInitial},
		{"minimum", alwaysMinimum},
		{policyReactive, func() policy { return reactive(DefaultOptions()) }},
		{policyNoHeadroom, func() policy { return scalerPolicy(withoutHeadroom) }},
		{policyDefault, func() policy { return scalerPolicy(DefaultOptions()) }},
		{"the same, also down before the first demand", func() policy { return scalerPolicy(beforeDemand) }},
	}
}
