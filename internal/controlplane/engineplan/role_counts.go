package engineplan

import (
	"coursepass/internal/clock"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

// roleCounts are the numbers of a group's engines by role. The total includes engines without a role.
type roleCounts struct {
	total, prefill, decode, both int
}

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

// isSplit tells whether the engines divide the two roles between them.
func (r roleCounts) isSplit() bool {
	return r.total >= minSplitGroup && r.both == 0
}

// missingRole returns the role that no engine of a split group has, and how long it must be missing
// until an engine changes to it. The role is empty if none is missing.
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
