package pairing

import "coursepass/internal/clock"

const (
	// shareTolerance is the maximum difference between the share of prefill work and the share of
	// prefill engines that causes no role change.
	shareTolerance = 0.12
	// minBalancedEngines is the minimum number of engines for which roles are balanced.
	minBalancedEngines = 2
	// redundancyThreshold is the number of engines from which each role has at least
	// redundantRoleSize engines, so that one is left after the loss of a zone.
	redundancyThreshold = 4
	// redundantRoleSize is the minimum number of engines of each role from redundancyThreshold on.
	redundantRoleSize = 2
	// redundantDecodeThreshold is the number of engines from which at least redundantDecodeEngines
	// engines decode. Only decode engines can decode, so if one of three is lost while another is
	// still warming up, one is left.
	redundantDecodeThreshold = 6
	// redundantDecodeEngines is the minimum number of decode engines from redundantDecodeThreshold on.
	redundantDecodeEngines = 3
)

// RoleBalancer determines how many engines of a group prefill, based on the share of prefill
// in the busy time of all engines. It changes the role of one engine at a time, and only after
// the share has been out of tolerance in one direction for the whole stabilization window. A
// RoleBalancer is not safe for concurrent use.
type RoleBalancer struct {
	// StabilizationWindow is the time for which the share must be out of tolerance in one
	// direction before each role change.
	StabilizationWindow clock.Microseconds
	// outOfToleranceSince is the time of the last change of direction or of the last role change.
	outOfToleranceSince clock.Microseconds
	// direction is 1 while more prefill engines are needed, -1 while fewer are needed, and 0
	// otherwise.
	direction int
}

// minRoleSizes returns the minimum numbers of prefill and decode engines among count engines.
func minRoleSizes(count int) (prefill, decode int) {
	prefill, decode = 1, 1
	if count >= redundancyThreshold {
		prefill, decode = redundantRoleSize, redundantRoleSize
	}
	if count >= redundantDecodeThreshold {
		decode = redundantDecodeEngines
	}
	return prefill, decode
}

// PrefillCount returns the number of engines among count that should prefill from now on. The
// arguments are the current number of prefill engines and the share of prefill in the busy
// time of all engines, from 0 to 1.
func (r *RoleBalancer) PrefillCount(now clock.Microseconds, count, current int, prefillFraction float64) int {
	if count < minBalancedEngines {
		return current
	}
	minPrefill, minDecode := minRoleSizes(count)
	maxPrefill := count - minDecode
	current = min(max(current, minPrefill), maxPrefill)
	currentFraction := float64(current) / float64(count)
	direction := 0
	switch {
	case prefillFraction > currentFraction+shareTolerance && current < maxPrefill:
		direction = 1
	case prefillFraction < currentFraction-shareTolerance && current > minPrefill:
		direction = -1
	}
	if direction != r.direction {
		r.direction, r.outOfToleranceSince = direction, now
	}
	if direction != 0 && now-r.outOfToleranceSince >= r.StabilizationWindow {
		r.outOfToleranceSince = now
		return current + direction
	}
	return current
}
