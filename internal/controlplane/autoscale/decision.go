package autoscale

// Reason is the reason for the wanted number of engines in a Decision.
type Reason int

// The reasons of decisions. A reason that begins with ReasonHold explains why the number is not reduced, although
// fewer engines might suffice.
const (
	// ReasonSufficient means that the present number of engines is the required one.
	ReasonSufficient Reason = iota
	// ReasonLimits means that the number was outside the limits of the configuration.
	ReasonLimits
	// ReasonDemand means that the forecast load requires more engines.
	ReasonDemand
	// ReasonZoneHeadroom means that too few engines would remain after the loss of a zone.
	ReasonZoneHeadroom
	// ReasonSaturation means that the engines are saturated, so the measured load is lower than the demand.
	ReasonSaturation
	// ReasonSurplus means that fewer engines have sufficed for a complete stable span.
	ReasonSurplus
	// ReasonHoldZone means that a zone is evacuated, under maintenance or lost, or lacks engines.
	ReasonHoldZone
	// ReasonHoldEngines means that the engines of a zone differ from the intended number, that the list of engines
	// is outdated, or that the intended number is not known yet.
	ReasonHoldEngines
	// ReasonHoldData means that the demand is unknown or only partially known, or that there was none yet.
	ReasonHoldData
	// ReasonHoldSpan means that the requirement has not been lower for a complete stable span.
	ReasonHoldSpan
)

// reasonNames maps each reason to its name in logs and in the status.
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

// String returns the name of the reason in logs and in the status.
func (r Reason) String() string { return reasonNames[r] }

// Decision is the number of engines that a service should have in one zone.
type Decision struct {
	Service string
	Zone    string
	// Wanted is the number of engines, within the limits of the configuration.
	Wanted int
	// Base is the intended number of engines before this decision. Known reports whether that number is known;
	// otherwise Base is the present number of engines, and nothing may be ordered yet.
	Base   int
	Known  bool
	Reason Reason
}

// Change returns the difference between the wanted and the intended number of engines, or 0 while the intended
// number is not known.
func (d Decision) Change() int {
	if !d.Known {
		return 0
	}
	return d.Wanted - d.Base
}
