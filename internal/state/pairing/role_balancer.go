package pairing

import "coursepass/internal/clock"

const (
	// tolerance is how far the share of prefill work may be from the share of prefill engines.
	tolerance = 0.12
	// minEngines is the least number of engines with separate roles.
	minEngines = 2
	// redundancyThreshold is the number of engines from which on each role has two, so that
	// one is left after the loss of a zone.
	redundancyThreshold    = 4
	redundantRoleSize      = 2
	thirdDecodeThreshold   = 6
	redundantDecodeEngines = 3
)

// RoleBalancer decides how many engines of a group prefill, by the share of prefill in their
// busy time. It moves one engine at a time, and only after the share has been out of tolerance
// in one direction for the whole stabilization window. It is not safe for concurrent use.
type RoleBalancer struct {
	StabilizationWindow clock.Microseconds
	outOfBandSince      clock.Microseconds
	// direction is 1 while more prefill engines are needed, -1 while fewer are, else 0.
	direction int
}

// minRoleSizes returns the least number of prefill and decode engines among count. From
// thirdDecodeThreshold on three engines decode: nobody else does, so that one must be left
// with another still warming up after the loss of a third.
func minRoleSizes(count int) (prefill, decode int) {
	prefill, decode = 1, 1
	if count >= redundancyThreshold {
		prefill, decode = redundantRoleSize, redundantRoleSize
	}
	if count >= thirdDecodeThreshold {
		decode = redundantDecodeEngines
	}
	return prefill, decode
}

// PrefillCount returns the number of prefill engines wanted now among count engines, given
// their current number and the share of prefill in the busy time of all, from 0 to 1.
func (r *RoleBalancer) PrefillCount(now clock.Microseconds, count, current int, prefillFraction float64) int {
	if count < minEngines {
		return current
	}
	minPrefill, minDecode := minRoleSizes(count)
	maxPrefill := count - minDecode
	current = min(max(current, minPrefill), maxPrefill)
	currentFraction := float64(current) / float64(count)
	direction := 0
	switch {
	case prefillFraction > currentFraction+tolerance && current < maxPrefill:
		direction = 1
	case prefillFraction < currentFraction-tolerance && current > minPrefill:
		direction = -1
	}
	if direction != r.direction {
		r.direction, r.outOfBandSince = direction, now
	}
	if direction != 0 && now-r.outOfBandSince >= r.StabilizationWindow {
		r.outOfBandSince = now
		return current + direction
	}
	return current
}
