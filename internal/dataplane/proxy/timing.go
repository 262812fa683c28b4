package proxy

import (
	"strconv"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/dataplane/placement"
)

// requestPhase is one part of the time that a request takes until its response begins.
type requestPhase int

// The phases, in the order in which a request meets them.
const (
	// phaseQueue: this router holds the request, since it waits for a placement or a free slot.
	phaseQueue requestPhase = iota
	// phasePrefillWait: a prefill engine takes longer than the prompt's own tokens need.
	phasePrefillWait
	// phasePrefill: a prefill engine computes the prompt's own tokens, by the estimate.
	phasePrefill
	// phaseFirstToken: the decode engine fetches the KV cache, and the request waits there for a slot
	// and for its first token.
	phaseFirstToken
	// phaseFailedCalls: calls that ended without a response.
	phaseFailedCalls

	requestPhaseCount = 5
)

// phasePause is the name under which a pause between two events is counted, which is no part of the
// time to the first one.
const phasePause = "pause"

// String returns the phase's name in metrics and logs.
func (r requestPhase) String() string {
	return [requestPhaseCount]string{"queue", "prefill_wait", "prefill", "first_token", "failed_calls"}[r]
}

// requestEnd is how a request ended for its client.
type requestEnd string

// The ends. A request is late if its first event or a later one missed the route's target.
const (
	endInTime    requestEnd = "in_time"
	endLate      requestEnd = "late"
	endNotServed requestEnd = "not_served"
)

// requestTiming is where the time of one request went. The goroutine that owns the request owns it.
type requestTiming struct {
	phases [requestPhaseCount]clock.Microseconds
	// timeToHead is the time until the response's head, 0 if there was none.
	timeToHead clock.Microseconds
	// longestPause is the longest time between two arrivals of data.
	longestPause clock.Microseconds
	// lastData is when data last arrived, 0 before the first.
	lastData clock.Microseconds
	// selection is the last placement.
	selection balancer.Selection
}

// add adds a duration to a phase.
func (r *requestTiming) add(phase requestPhase, duration clock.Microseconds) {
	r.phases[phase] += max(duration, 0)
}

// addPrefill divides the duration of a prefill call into the time that its tokens need and the rest.
func (r *requestTiming) addPrefill(elapsed, own clock.Microseconds) {
	own = min(own, elapsed)
	r.add(phasePrefill, own)
	r.add(phasePrefillWait, elapsed-own)
}

// recordData records that data of the response has arrived.
func (r *requestTiming) recordData(now clock.Microseconds) {
	if r.lastData > 0 {
		r.longestPause = max(r.longestPause, now-r.lastData)
	}
	r.lastData = now
}

// longestPhase returns the phase that took longest.
func (r *requestTiming) longestPhase() requestPhase {
	longest := phaseQueue
	for phase := range r.phases {
		if r.phases[phase] > r.phases[longest] {
			longest = requestPhase(phase)
		}
	}
	return longest
}

// endOf returns how the request ended, and the name of the phase that took longest. For a request
// whose first event came in time and a later one did not, that is phasePause.
func (f *forwardedRequest) endOf(completed bool) (requestEnd, string) {
	firstEventLate := f.route.StartTimeout > 0 && f.timing.timeToHead > f.route.StartTimeout
	paused := f.route.EventTimeout > 0 && f.timing.longestPause > f.route.EventTimeout
	phase := f.timing.longestPhase().String()
	switch {
	case !completed || !f.headWritten:
		return endNotServed, phase
	case firstEventLate:
		return endLate, phase
	case paused:
		return endLate, phasePause
	}
	return endInTime, phase
}

// timingMetrics are the histograms and counters of where the time of requests went.
type timingMetrics struct {
	// phaseSeconds is by priority and phase.
	phaseSeconds *prometheus.HistogramVec
	// ends is by priority, end and phase.
	ends *prometheus.CounterVec
}

const (
	priorityLabel = "priority"
	phaseLabel    = "phase"
	endLabel      = "end"
	// The buckets of a phase's duration double from 5 ms to 2.56 s.
	firstPhaseBucketSeconds = 0.005
	phaseBucketFactor       = 2
	phaseBucketCount        = 10
	// maxPriorityLabel is the largest priority with a label of its own, so that metrics stay few.
	maxPriorityLabel = 3
)

// newTimingMetrics returns empty metrics.
func newTimingMetrics() timingMetrics {
	return timingMetrics{
		phaseSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "coursepass_request_phase_seconds",
			Help: "Time of a request in a phase before its first event, and its longest pause, by the route's priority.",
			Buckets: prometheus.ExponentialBuckets(
				firstPhaseBucketSeconds, phaseBucketFactor, phaseBucketCount),
		}, []string{priorityLabel, phaseLabel}),
		ends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coursepass_requests_ended_total",
			Help: "Requests that ended, by the route's priority, by whether they met the route's targets, and by the phase that took longest.",
		}, []string{priorityLabel, endLabel, phaseLabel}),
	}
}

// collectors returns the metrics.
func (t timingMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{t.phaseSeconds, t.ends}
}

// recordTiming records where the time of a request that has ended went.
func (f *forwardedRequest) recordTiming(completed bool) {
	priority := strconv.Itoa(min(max(f.priority, 0), maxPriorityLabel))
	end, phase := f.endOf(completed)
	f.proxy.timing.ends.WithLabelValues(priority, string(end), phase).Inc()
	for index, duration := range f.timing.phases {
		if duration > 0 {
			f.proxy.timing.observe(priority, requestPhase(index).String(), duration)
		}
	}
	if duration := f.now() - f.startedAt - f.timing.timeToHead; completed && f.headWritten && f.attempts == 1 {
		f.proxy.placements.recordDecode(f.service, placement.DecodeSample{
			MaxTokens:     f.request.MaxTokens,
			ElapsedMicros: int64(duration),
		})
	}
	if f.timing.longestPause > 0 {
		f.proxy.timing.observe(priority, phasePause, f.timing.longestPause)
	}
	if end != endInTime && f.proxy.slowLog.allow(f.now()) {
		f.logTiming(end, phase)
	}
}

// observe adds a duration to the histogram of a priority and phase.
func (t timingMetrics) observe(priority, phase string, duration clock.Microseconds) {
	t.phaseSeconds.WithLabelValues(priority, phase).Observe(float64(duration) / float64(clock.Second))
}

// logTiming logs where the time of a request went that was late or not served.
func (f *forwardedRequest) logTiming(end requestEnd, phase string) {
	promptTokens := 0
	for _, chunk := range f.request.Prompt {
		promptTokens += chunk.Tokens
	}
	line := log.Info().Str("router", f.proxy.Router).Str("request", f.request.RequestID).
		Str("service", f.service).Int("priority", f.priority).
		Str("end", string(end)).Str("phase", phase).
		Int("promptTokens", promptTokens).Int("uncachedTokens", f.timing.selection.UncachedTokens).
		Int("maxTokens", f.request.MaxTokens).Int("attempts", f.attempts).
		Str("prefiller", f.timing.selection.Prefiller.Incarnation).
		Str("decoder", f.timing.selection.Decoder.Incarnation)
	for index, duration := range f.timing.phases {
		line = line.Int64(requestPhase(index).String()+"_ms", int64(duration/clock.Millisecond))
	}
	line.Int64("pause_ms", int64(f.timing.longestPause/clock.Millisecond)).
		Int64("total_ms", int64((f.now()-f.startedAt)/clock.Millisecond)).
		Msg(SlowRequestMessage)
}
