package autoscale

// Reason says why a number of engines is wanted.
type Reason int

// The reasons. Those that begin with ReasonHold say why the number stays although fewer engines may be enough.
const (
	// ReasonSufficient means that the engines are as many as are needed.
	ReasonSufficient Reason = iota
	// ReasonLimits means that the number was outside the bounds of the configuration.
	ReasonLimits
	// ReasonDemand means that the forecast load needs more engines.
	ReasonDemand
	// ReasonZoneHeadroom means that the loss of a zone would leave too few engines.
	ReasonZoneHeadroom
	// ReasonSaturation means that the engines are saturated, so that the load is not known.
	ReasonSaturation
	// ReasonSurplus means that fewer engines have been enough for a complete span.
	ReasonSurplus
	// ReasonHoldZone means that the zone is evacuated, under maintenance or lost.
	ReasonHoldZone
	// ReasonHoldEngines means that the engines of the zone are not yet, or not any more, those that were ordered,
	// or that it is not known yet how many stand there.
	ReasonHoldEngines
	// ReasonHoldData means that the demand is known in part or not at all, or that there was none yet.
	ReasonHoldData
	// ReasonHoldSpan means that the need has not been lower for a complete span.
	ReasonHoldSpan
)

// reasonNames are the names of reasons in logs.
var reasonNames = map[Reason]string{
	ReasonSufficient:   "sufficient",
	ReasonLimits:       "limits",
	ReasonDemand:       "demand",
	ReasonZoneHeadroom: "zone-headroom",
	ReasonSaturation:   "saturation",
	ReasonSurplus:      "surplus",
	ReasonHoldZone:     "hold-zone",
	ReasonHoldEngines:  "hold-engines",
	ReasonHoldData:     "hold-data",
	ReasonHoldSpan:     "hold-span",
}

// String returns the name of the reason in logs.
func (r Reason) String() string { return reasonNames[r] }

// Decision is the number of engines that a service should have in a zone.
type Decision struct {
	Service string
	Zone    string
	// Wanted lies between the bounds of the configuration.
	Wanted int
	// Base is the number that is to be changed. If it is not Known, it is the present one, and nothing may be
	// ordered yet.
	Base   int
	Known  bool
	Reason Reason
}

// Change returns by how many engines the number changes.
func (d Decision) Change() int {
	if !d.Known {
		return 0
	}
	return d.Wanted - d.Base
}
