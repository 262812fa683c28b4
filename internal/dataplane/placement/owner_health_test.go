package placement_test

import (
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/placement"
)

const ownerAddress = "10.0.0.1:7300"

func TestOwnerHealth_AsksAgainAfterGrowingBackoff(t *testing.T) {
	health, now := placement.OwnerHealth{}, clock.Second
	var waits []clock.Microseconds
	for range 8 {
		if !health.Allow(now, ownerAddress) {
			t.Fatal("the owner may not be asked after its backoff")
		}
		health.RecordFailure(now, ownerAddress)
		failedAt := now
		for !health.Allow(now, ownerAddress) {
			now += 10 * clock.Millisecond
		}
		waits = append(waits, now-failedAt)
		// The call that Allow has permitted fails too.
		health.RecordFailure(now, ownerAddress)
		now += 3 * clock.Second
	}
	if waits[0] != 100*clock.Millisecond {
		t.Errorf("the first backoff is %v, want 100 ms", waits[0])
	}
	for index, wait := range waits[1:] {
		if wait < waits[index] || wait > 2*clock.Second {
			t.Errorf("a backoff is shorter than the one before or longer than 2 s: %v", waits)
		}
	}
}

func TestOwnerHealth_OneCallerProbes(t *testing.T) {
	health, now := placement.OwnerHealth{}, clock.Second
	health.RecordFailure(now, ownerAddress)
	now += 200 * clock.Millisecond
	allowed := 0
	for range 50 {
		if health.Allow(now, ownerAddress) {
			allowed++
		}
	}
	if allowed != 1 {
		t.Errorf("%d concurrent callers may ask an owner that did not answer, want 1", allowed)
	}
	health.RecordAnswer(ownerAddress)
	if !health.Allow(now, ownerAddress) {
		t.Error("an owner that has answered may not be asked")
	}
	if !health.Allow(now, "10.0.0.2:7300") {
		t.Error("another owner may not be asked")
	}
}
