package proxy

import (
	"strconv"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/dataplane/placement"
)

// requestPhase is a phase of a request before its response begins.
type requestPhase int

// The phases, in the order in which a request passes through them.
const (
	// phaseQueue: the request waits in this router for a placement or for an engine with a free slot.
	phaseQueue requestPhase = iota
	// phasePrefillWait: the part of a prefill call beyond the expected computing time, such as time in
	// the engine's queue.
	phasePrefillWait
	// phasePrefill: the part of a prefill call up to the expected computing time of the prompt.
	phasePrefill
	// phaseFirstToken: the decode engine fetches the KV cache, and the request waits there for a slot
	// and for its first token.
	phaseFirstToken
	// phaseFailedCalls: calls that ended without a response.
	phaseFailedCalls

	requestPhaseCount = 5
)

// phasePause is the metric label for a pause between two events. It is not a requestPhase, because it is
// not part of the time to the first event.
const phasePause = "pause"

// String returns the name of the phase in metrics and logs.
func (r requestPhase) String() string {
	return [requestPhaseCount]string{"queue", "prefill_wait", "prefill", "first_token", "failed_calls"}[r]
}

// requestEnd classifies how a request ended for its client. Its value is a metric label.
type requestEnd string

// The classes. A request is late if its first or a later event missed the route's target.
const (
	endInTime    requestEnd = "in_time"
	endLate      requestEnd = "late"
	endNotServed requestEnd = "not_served"
)

// requestTiming is the time that one request spent in each phase. Only the goroutine that called Forward
// uses it.
type requestTiming struct {
	phases [requestPhaseCount]clock.Microseconds
	// timeToHead is the time from the start of Forward to the response head, 0 if there was none.
	timeToHead clock.Microseconds
	// longestPause is the longest time between two reads of data from the stream.
	longestPause clock.Microseconds
	// lastData is the time of the last read of data from the stream, 0 before the first.
	lastData clock.Microseconds
	// selection is the selection of engines in the last attempt.
	selection balancer.Selection
}

// add adds a duration to a phase.
func (r *requestTiming) add(phase requestPhase, duration clock.Microseconds) {
	r.phases[phase] += max(duration, 0)
}

// addPrefill splits the duration of a prefill call into the expected computing time, which is added to
// phasePrefill, and the remainder, which is added to phasePrefillWait.
func (r *requestTiming) addPrefill(elapsed, expected clock.Microseconds) {
	expected = min(expected, elapsed)
	r.add(phasePrefill, expected)
	r.add(phasePrefillWait, elapsed-expected)
}

// recordData records the time of a read of data from the stream.
func (r *requestTiming) recordData(now clock.Microseconds) {
	if r.lastData > 0 {
		r.longestPause = max(r.longestPause, now-r.lastData)
	}
	r.lastData = now
}

// longestPhase returns the phase with the longest duration.
func (r *requestTiming) longestPhase() requestPhase {
	longest := phaseQueue
	for phase := range r.phases {
		if r.phases[phase] > r.phases[longest] {
			longest = requestPhase(phase)
		}
	}
	return longest
}

// classifyEnd classifies how the request ended, and returns the name of the phase that took longest. If the
// first event was in time and a later event was not, it returns phasePause instead of a phase.
func (f *forwardedRequest) classifyEnd(completed bool) (requestEnd, string) {
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

// timingMetrics holds the metrics of the phases and ends of requests.
type timingMetrics struct {
	// phaseSeconds holds phase durations by priority and phase.
	phaseSeconds *prometheus.HistogramVec
	// ends counts ended requests by priority, end and longest phase.
	ends *prometheus.CounterVec
}

const (
	priorityLabel = "priority"
	phaseLabel    = "phase"
	endLabel      = "end"
	// The upper bounds of the histogram buckets double from 5 ms to 2.56 s.
	firstPhaseBucketSeconds = 0.005
	phaseBucketFactor       = 2
	phaseBucketCount        = 10
	// maxPriorityLabel is the largest value of the priority label. Greater priorities are counted under
	// it, which limits the number of time series.
	maxPriorityLabel = 3
)

// newTimingMetrics returns metrics without observations.
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

// collectors returns the metrics as Prometheus collectors.
func (t timingMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{t.phaseSeconds, t.ends}
}

// recordTiming updates the metrics for a request that has ended, and logs the request if it was late or
// not served and the rate limit allows it.
func (f *forwardedRequest) recordTiming(completed bool) {
	priority := strconv.Itoa(min(max(f.priority, 0), maxPriorityLabel))
	end, phase := f.classifyEnd(completed)
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
	if end != endInTime && f.proxy.slowLogLimiter.allow(f.now()) {
		f.logTiming(end, phase)
	}
}

// observe adds a duration to the histogram for a priority and phase.
func (t timingMetrics) observe(priority, phase string, duration clock.Microseconds) {
	t.phaseSeconds.WithLabelValues(priority, phase).Observe(float64(duration) / float64(clock.Second))
}

// logTiming logs the phase durations of a request that was late or not served.
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
