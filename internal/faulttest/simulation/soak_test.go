package simulation

import (
	"testing"

	"coursepass/internal/clock"
)

// TestMixedFaults runs the soak for some seeds.
func TestMixedFaults(t *testing.T) {
	for seed := range uint64(24) {
		soak := NewSoak(seed)
		if violations := soak.Run(60 * clock.Second); len(violations) > 0 {
			t.Errorf("replay with: coursepass-faulttest simulate --first %d --seeds 1\n%s", seed, soak.Report())
			return
		}
		t.Log(soak.Report())
	}
}
