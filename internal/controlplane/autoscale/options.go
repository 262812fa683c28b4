package autoscale

import "coursepass/internal/clock"

// Options configure a Scaler. DefaultOptions returns a consistent set of values. Fields left at zero are not
// replaced by defaults.
type Options struct {
	// RateWindow is the time over which the reported work of each router is averaged. A longer window smooths more
	// noise and delays the detection of a rise. The default is 4 s.
	RateWindow clock.Microseconds
	// TrendWindow is the time over which the growth of the load is measured. The default is 6 s.
	TrendWindow clock.Microseconds
	// MaxGrowth is the maximum growth that is forecast for the time until an ordered engine serves, as a fraction of
	// the load. 0 turns the forecast off. The default is 0.15: where the load oscillates regularly, a higher limit
	// would extrapolate the rising half of an oscillation too far.
	MaxGrowth float64
	// BurstMargin is the fraction of the forecast load that is added for bursts that rise faster than engines start.
	// The default is 0.15.
	BurstMargin float64
	// PrefillUtilization and DecodeUtilization are the target utilizations of engines for each kind of work: the
	// fraction of the time that an engine is busy. Lower values need more engines and shorten queues. Decode time is
	// measured at full batches, so the pauses between tokens grow long before the utilization reaches 1. The
	// defaults are 0.65 and 0.5.
	PrefillUtilization float64
	DecodeUtilization  float64
	// ZoneHeadroom enables headroom for the loss of a zone: the engines of the other zones must be able to carry the
	// load after the loss of the zone with the most engines. The default is true.
	ZoneHeadroom bool
	// LossUtilization is the highest accepted utilization of engines after the loss of a zone. The default is 0.9.
	LossUtilization float64
	// SaturationUtilization is the utilization from which on engines are considered saturated: the measured work is
	// then less than what callers request. SaturationSpan is how long the saturation must last before engines are
	// ordered because of it; meanwhile, changes of roles may resolve it. SaturationStep is the number of engines that
	// are then ordered, as a fraction of the present number. The defaults are 0.85, 5 s and 0.2.
	SaturationUtilization float64
	SaturationSpan        clock.Microseconds
	SaturationStep        float64
	// StableSpan is how long the requirement must have been lower, on complete data and without any change of the
	// engines, before fewer engines are ordered. It is also the minimum time between two decreases. It should cover
	// the period of regular oscillations of the load. The default is 8 s.
	StableSpan clock.Microseconds
	// StepDownBeforeDemand allows decreases before any demand has been measured. The default is false: engines that
	// exist before the first demand are kept until the demand is known.
	StepDownBeforeDemand bool
	// MaxStepDown is the maximum fraction of a service's engines that one decrease removes; a decrease may always
	// remove one engine. The limit bounds how many prefix caches are lost at a time: the load of prefilling the lost
	// prefixes again is measured before the next decrease. The default is 0.15.
	MaxStepDown float64
	// CacheReserve is the additional prefill load that is expected after a decrease, since the prefixes cached at
	// the removed engines are prefilled again. It is the fraction by which the prefill load grows, divided by the
	// fraction of the engines that is removed. The default is 0.5.
	CacheReserve float64
	// SilentAfter is the time without a report after which a router is silent and its data incomplete. From then on,
	// the weight of its last rate decreases linearly until it is zero at ForgetAfter, while the routers that take
	// over its callers report more. The defaults are 4 s and 10 s.
	SilentAfter clock.Microseconds
	ForgetAfter clock.Microseconds
	// RememberFor is how long a silent router counts as one that should report. MinReporting is the minimum fraction
	// of these routers that must report for the data to be complete. A value of MinReporting above the fraction that
	// remains after the loss of a zone's routers prevents decreases after such a loss. The defaults are 120 s and 0.6.
	RememberFor  clock.Microseconds
	MinReporting float64
	// SettleTime is how long the number of engines in a zone without an order must have been constant before it is
	// taken as the intended number. It should be longer than crashed engines take to return. The default is 8 s.
	SettleTime clock.Microseconds
	// MissingTolerance is how long a zone may have fewer engines than intended, in addition to the time that new
	// engines need to start, before the other zones replace the missing ones. The default is 20 s.
	MissingTolerance clock.Microseconds
}

// DefaultOptions returns the default options.
//
//nolint:mnd // The field names explain the numbers.
func DefaultOptions() Options {
	return Options{
		RateWindow:            4 * clock.Second,
		TrendWindow:           6 * clock.Second,
		MaxGrowth:             0.15,
		BurstMargin:           0.15,
		PrefillUtilization:    0.65,
		DecodeUtilization:     0.5,
		ZoneHeadroom:          true,
		LossUtilization:       0.9,
		SaturationUtilization: 0.85,
		SaturationSpan:        5 * clock.Second,
		SaturationStep:        0.2,
		StableSpan:            8 * clock.Second,
		MaxStepDown:           0.15,
		CacheReserve:          0.5,
		SilentAfter:           4 * clock.Second,
		ForgetAfter:           10 * clock.Second,
		RememberFor:           120 * clock.Second,
		MinReporting:          0.6,
		SettleTime:            8 * clock.Second,
		MissingTolerance:      20 * clock.Second,
	}
}
