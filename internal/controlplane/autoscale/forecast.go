package autoscale

import (
	"coursepass/internal/clock"
)

const (
	// minTrendSamples is the minimum number of samples from which a trend is computed.
	minTrendSamples = 4
	// minTrendDivisor sets the minimum time that the samples must span: the trend window divided by it.
	minTrendDivisor = 2
)

// loadHistory holds the load of a service over the trend window, oldest sample first.
type loadHistory struct {
	samples []loadSample
}

type loadSample struct {
	at   clock.Microseconds
	load Load
}

// record adds the present load, and drops samples that are older than the window.
func (h *loadHistory) record(now clock.Microseconds, load Load, window clock.Microseconds) {
	h.samples = append(h.samples, loadSample{at: now, load: load})
	for h.samples[0].at < now-window {
		h.samples = h.samples[1:]
	}
}

// forecast returns the load expected after the horizon: the present load plus its growth, which is limited to the
// fraction MaxGrowth of the load. A falling load is not extrapolated.
func (h *loadHistory) forecast(options Options, horizon clock.Microseconds) Load {
	present := h.samples[len(h.samples)-1].load
	seconds := float64(horizon) / float64(clock.Second)
	prefillTrend := h.slope(options.TrendWindow, func(load Load) float64 { return load.Prefill })
	decodeTrend := h.slope(options.TrendWindow, func(load Load) float64 { return load.Decode })
	return Load{
		Prefill: present.Prefill + min(max(prefillTrend*seconds, 0), present.Prefill*options.MaxGrowth),
		Decode:  present.Decode + min(max(decodeTrend*seconds, 0), present.Decode*options.MaxGrowth),
	}
}

// slope returns the growth per second of one kind of load, computed by least squares. It returns 0 if the samples
// are too few or span too little time.
func (h *loadHistory) slope(window clock.Microseconds, component func(Load) float64) float64 {
	count := len(h.samples)
	if count < minTrendSamples || h.samples[count-1].at-h.samples[0].at < window/minTrendDivisor {
		return 0
	}
	meanTime, meanLoad := 0.0, 0.0
	for _, sample := range h.samples {
		meanTime += h.secondsSinceFirst(sample) / float64(count)
		meanLoad += component(sample.load) / float64(count)
	}
	covariance, variance := 0.0, 0.0
	for _, sample := range h.samples {
		deviation := h.secondsSinceFirst(sample) - meanTime
		covariance += deviation * (component(sample.load) - meanLoad)
		variance += deviation * deviation
	}
	return covariance / variance
}

// secondsSinceFirst returns the time from the first sample to another one, in seconds.
func (h *loadHistory) secondsSinceFirst(sample loadSample) float64 {
	return float64(sample.at-h.samples[0].at) / float64(clock.Second)
}
