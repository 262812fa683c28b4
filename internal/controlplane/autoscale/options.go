package autoscale

import "coursepass/internal/clock"

// Options tune a Scaler. DefaultOptions returns values that work together; a zero value has none of its own.
type Options struct {
	// RateWindow is the time over which the work that each router reports is averaged. A longer window smooths
	// more noise and shows a rise later. The default is 4 s.
	RateWindow clock.Microseconds
	// TrendWindow is the time over which the growth of the load is measured. The default is 6 s.
	TrendWindow clock.Microseconds
	// MaxGrowth bounds the growth that is forecast until an ordered engine serves, as a part of the load. 0
	// turns the forecast off. The default is 0.15: where the load swings regularly, the rise of a swing must not be
	// taken for more.
	MaxGrowth float64
	// BurstMargin is added to the forecast load, as a part of it, for what comes faster than engines start. The
	// default is 0.15.
	BurstMargin float64
	// PrefillUtilization and DecodeUtilization are the parts of their time that engines should be busy with each
	// kind of work. Lower values cost engines and shorten queues. Decode time is counted at full batches, so
	// that pauses between tokens grow long before it reaches 1. The defaults are 0.65 and 0.5.
	PrefillUtilization float64
	DecodeUtilization  float64
	// ZoneHeadroom keeps enough engines that the others carry the load after the loss of the zone with the most.
	// The default is true.
	ZoneHeadroom bool
	// LossUtilization is the part of their time that engines may be busy after the loss of a zone. The default
	// is 0.9.
	LossUtilization float64
	// SaturationUtilization is the busy part of their time from which on engines are taken to be saturated: the
	// measured work is then less than what callers ask for. After SaturationSpan, in which roles are changed
	// first, SaturationStep more engines are ordered, as a part of the present ones. The defaults are 0.85, 5 s
	// and 0.2.
	SaturationUtilization float64
	SaturationSpan        clock.Microseconds
	SaturationStep        float64
	// StableSpan is how long the need must have been lower, on complete data and without any change of the
	// engines, before fewer are ordered; and the least time between two such steps. It should cover the period
	// of regular swings in the load. The default is 8 s.
	StableSpan clock.Microseconds
	// StepDownBeforeDemand allows steps down although there has been no demand yet. By default engines that stand
	// before the first demand are kept until it is known: the default is false.
	StepDownBeforeDemand bool
	// MaxStepDown is the largest part of a service's engines that one step takes away. It bounds how many prefix
	// caches are lost at a time: what must be read again shows in the load before the next step. At least one
	// engine may go. The default is 0.15.
	MaxStepDown float64
	// CacheReserve is how much prefill is expected in addition after a step down, since the prefixes cached at
	// the engines that go are read again: a part of the load for each part of the engines that goes. The default
	// is 0.5.
	CacheReserve float64
	// SilentAfter is how long a router may go without a report until its data is missing. From then on until
	// ForgetAfter its last rate counts less and less, while the routers that take over its callers report more.
	// The defaults are 4 s and 10 s.
	SilentAfter clock.Microseconds
	ForgetAfter clock.Microseconds
	// RememberFor is how long a silent router counts as one that should report, and MinReporting the least part
	// of these routers that must report for the data to be complete. It should be above the part that is left
	// after the loss of a zone's routers only if that is to stop steps down. The defaults are 120 s and 0.6.
	RememberFor  clock.Microseconds
	MinReporting float64
	// SettleTime is how long the number of engines in a zone must have been the same before an unordered number
	// is taken for the one that stands there: longer than engines that crash are away. The default is 8 s.
	SettleTime clock.Microseconds
	// MissingTolerance is how long fewer engines than there should be may serve in a zone, beyond the time that
	// new ones need, until the other zones have to replace them. The default is 20 s.
	MissingTolerance clock.Microseconds
}

// DefaultOptions returns the default options.
//
//nolint:mnd // The numbers are named by their fields.
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
