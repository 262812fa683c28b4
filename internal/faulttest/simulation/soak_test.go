package simulation

import (
	"testing"

	"coursepass/internal/clock"
)

func TestMixedFailures(test *testing.T) {
	for seed := range uint64(24) {
		soak := NewSoak(seed)
		if violations := soak.Run(60 * schedule.Second); len(violations) > 0 {
			test.Errorf("replay with: coursepass-trial simulate --first %d --seeds 1\n%s", seed, soak.Report())
			return
		}
		test.Log(soak.Report())
	}
}
