package proxy

import (
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/state/route"
)

func TestEndOf_NamesThePhaseThatTookLongest(t *testing.T) {
	target := &route.Route{StartTimeout: 400 * clock.Millisecond, EventTimeout: 200 * clock.Millisecond}
	for _, testCase := range []struct {
		name      string
		timing    requestTiming
		served    bool
		wantEnd   requestEnd
		wantPhase string
	}{
		{"in time", requestTiming{timeToHead: 300 * clock.Millisecond}, true, endInTime, "queue"},
		{
			"a late first event",
			requestTiming{
				timeToHead: 500 * clock.Millisecond,
				phases:     [requestPhaseCount]clock.Microseconds{phasePrefillWait: 300, phasePrefill: 100},
			},
			true, endLate, "prefill_wait",
		},
		{
			"a pause after a first event in time",
			requestTiming{timeToHead: 300 * clock.Millisecond, longestPause: 250 * clock.Millisecond},
			true, endLate, phasePause,
		},
		{
			"no response",
			requestTiming{phases: [requestPhaseCount]clock.Microseconds{phaseFailedCalls: 600}},
			false, endNotServed, "failed_calls",
		},
	} {
		forwarded := &forwardedRequest{route: target, timing: testCase.timing, headWritten: testCase.served}
		end, phase := forwarded.classifyEnd(testCase.served)
		if end != testCase.wantEnd || phase != testCase.wantPhase {
			t.Errorf("%s: end %s and phase %s, want %s and %s",
				testCase.name, end, phase, testCase.wantEnd, testCase.wantPhase)
		}
	}
}

func TestRequestTiming_DividesPrefillAndFindsPauses(t *testing.T) {
	timing := requestTiming{}
	timing.addPrefill(500, 200)
	timing.addPrefill(100, 200)
	if timing.phases[phasePrefill] != 300 || timing.phases[phasePrefillWait] != 300 {
		t.Errorf("phases %v, want 300 µs of prefill and 300 µs of prefill wait", timing.phases)
	}
	for _, now := range []clock.Microseconds{1000, 1100, 1500, 1600} {
		timing.recordData(now)
	}
	if timing.longestPause != 400 {
		t.Errorf("longest pause %d µs, want 400 µs", timing.longestPause)
	}
}

func TestRateLimitedLog_KeepsItsRate(t *testing.T) {
	if (&logRateLimiter{}).allow(clock.Second) {
		t.Error("a rate of zero allowed a line")
	}
	limited := logRateLimiter{perSecond: 2}
	lines := 0
	for step := range 1000 {
		if limited.allow(clock.Second + clock.Microseconds(step)*10*clock.Millisecond) {
			lines++
		}
	}
	if lines < 19 || lines > 31 {
		t.Errorf("%d lines in ten seconds at two lines per second, want 19 to 31", lines)
	}
}
