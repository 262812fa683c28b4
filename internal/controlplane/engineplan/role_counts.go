package engineplan

import (
	"coursepass/internal/clock"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

// roleCounts contains the number of engines of a group in each role. The total includes engines without a role.
type roleCounts struct {
	total, prefill, decode, both int
}

// countRoles counts the engines in each role.
func countRoles(engines []registry.Engine) roleCounts {
	counts := roleCounts{total: len(engines)}
	for _, engine := range engines {
		switch engine.Role {
		case pairing.RolePrefill:
			counts.prefill++
		case pairing.RoleDecode:
			counts.decode++
		case pairing.RoleBoth:
			counts.both++
		}
	}
	return counts
}

// isSplit reports whether the engines are split between the two roles: there are at least minSplitGroup, and none
// has both roles.
func (r roleCounts) isSplit() bool {
	return r.total >= minSplitGroup && r.both == 0
}

// missingRole returns the role that no engine of a split group has, and the time for which it must be
// missing before an engine changes to it. The role is empty if none is missing.
func (r roleCounts) missingRole() (string, clock.Microseconds) {
	switch {
	case !r.isSplit():
		return "", 0
	case r.prefill == 0:
		return pairing.RolePrefill, missingPrefillDelay
	case r.decode == 0:
		return pairing.RoleDecode, missingDecodeDelay
	default:
		return "", 0
	}
}
