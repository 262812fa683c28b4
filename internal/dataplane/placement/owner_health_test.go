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
			t.Fatal("not asked after its backoff")
		}
		health.RecordFailure(now, ownerAddress)
		failedAt := now
		for !health.Allow(now, ownerAddress) {
			now += 10 * clock.Millisecond
		}
		waits = append(waits, now-failedAt)
		// The caller that was allowed fails too.
		health.RecordFailure(now, ownerAddress)
		now += 3 * clock.Second
	}
	if waits[0] != 100*clock.Millisecond {
		t.Errorf("first backoff %v", waits[0])
	}
	for index, wait := range waits[1:] {
		if wait < waits[index] || wait > 2*clock.Second {
			t.Errorf("backoffs %v", waits)
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
		t.Errorf("%d callers at once ask an owner that did not answer", allowed)
	}
	health.RecordAnswer(ownerAddress)
	if !health.Allow(now, ownerAddress) {
		t.Error("an owner that has answered is not asked")
	}
	if !health.Allow(now, "10.0.0.2:7300") {
		t.Error("another owner is not asked")
	}
}
