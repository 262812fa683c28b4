package peers

import (
	"testing"

	"coursepass/internal/clock"
)

func TestStateBudget_LimitsLargeStates(t *testing.T) {
	for _, size := range []int{maxPushBytes + 1, 370 << 10, 5 << 20} {
		budget := newStateBudget(clock.Second)
		admitted, bytes := 0, 0
		const milliseconds = 10_000
		for elapsed := range clock.Microseconds(milliseconds) {
			if budget.admit(clock.Second+elapsed*clock.Millisecond, size) {
				admitted++
				bytes += size
			}
		}
		limit := stateBurstBytes + stateBytesPerSecond*milliseconds/1000
		if bytes > limit+size || bytes < limit-size {
			t.Errorf("admitted %d states of %d bytes, %d bytes in total, want about %d bytes", admitted, size, bytes, limit)
		}
	}
}

func TestStateBudget_AdmitsSmallStates(t *testing.T) {
	budget := newStateBudget(clock.Second)
	for range 1000 {
		if !budget.admit(clock.Second, maxPushBytes) {
			t.Fatal("a state of maxPushBytes was not admitted")
		}
	}
	if !budget.admit(clock.Second, 100*stateBurstBytes) || budget.admit(2*clock.Second, maxPushBytes+1) {
		t.Error("a state larger than the burst must be admitted once and delay the next large state")
	}
}
