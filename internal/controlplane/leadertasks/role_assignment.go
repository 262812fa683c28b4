package leadertasks

import (
	"slices"
	"strings"

	"coursepass/internal/clock"
	"coursepass/internal/state/pairing"
)

const (
	// minEnginesToSplit is the minimum number of engines among which the two roles are divided. Fewer engines have
	// both roles.
	minEnginesToSplit = 2
	// evenSplitDivisor divides the number of engines into two equal halves for the first split.
	evenSplitDivisor = 2
	// evenPrefillFraction is the share of prefill in the busy time that is assumed while no work is known.
	evenPrefillFraction = 0.5
	// baselineStepDivisor is the divisor of the step by which the baseline moves toward the reported busy times
	// with each draft: the step is 1/8 of the difference.
	baselineStepDivisor = 8
)

// assignRoles sets the desired roles of the reporting engines of a service. Each model version is handled
// separately, since only engines of the same version can be paired. The lock must be held.
func (l *ServiceLeader) assignRoles(now clock.Microseconds, service string, reporting []*engineObservation) {
	byVersion := map[string][]*engineObservation{}
	for _, observation := range reporting {
		byVersion[observation.Version] = append(byVersion[observation.Version], observation)
	}
	for version, engines := range byVersion {
		l.assignGroupRoles(now, service+"/"+version, engines)
	}
}

// assignGroupRoles sets the desired roles of the engines of one model version. A single engine has both roles.
// An engine that is temporarily unresponsive or suspected still counts, so that the other engines do not change
// their roles because of it. The first split gives each role half of the engines. After that the split follows
// the share of prefill in the busy time, one engine at a time. The lock must be held.
func (l *ServiceLeader) assignGroupRoles(now clock.Microseconds, groupKey string, engines []*engineObservation) {
	slices.SortFunc(engines, func(left, right *engineObservation) int { return strings.Compare(left.Name, right.Name) })
	balancer := l.roleBalancer(groupKey)
	prefillCount := l.adoptReportedRoles(engines)
	prefillFraction := advanceBaselines(engines)
	if len(engines) < minEnginesToSplit {
		for _, observation := range engines {
			l.desiredRoles[observation.Name] = pairing.RoleBoth
		}
		return
	}
	if prefillCount == 0 {
		prefillCount = len(engines) / evenSplitDivisor
	}
	l.distributeRoles(engines, balancer.PrefillCount(now, len(engines), prefillCount, prefillFraction))
}

// roleBalancer returns the role balancer of a group, and creates it if there is none. The lock must be held.
func (l *ServiceLeader) roleBalancer(groupKey string) *pairing.RoleBalancer {
	balancer, exists := l.roleBalancers[groupKey]
	if !exists {
		balancer = &pairing.RoleBalancer{StabilizationWindow: stabilizationWindow}
		l.roleBalancers[groupKey] = balancer
	}
	return balancer
}

// adoptReportedRoles sets the desired role of each engine that has none to the role that the engine reports. It
// returns the number of engines whose desired role is prefill. The lock must be held.
func (l *ServiceLeader) adoptReportedRoles(engines []*engineObservation) int {
	prefillCount := 0
	for _, observation := range engines {
		if l.desiredRoles[observation.Name] == "" && observation.Role != pairing.RoleBoth {
			l.desiredRoles[observation.Name] = observation.Role
		}
		if l.desiredRoles[observation.Name] == pairing.RolePrefill {
			prefillCount++
		}
	}
	return prefillCount
}

// advanceBaselines returns the share of prefill in the busy time of the engines since their baselines, and moves
// the baselines a step closer to the reports. The lock must be held.
func advanceBaselines(engines []*engineObservation) float64 {
	prefill, decode := 0.0, 0.0
	for _, observation := range engines {
		baseline := &observation.baseline
		prefillDifference := observation.PrefillBusy - baseline.PrefillBusy
		decodeDifference := observation.DecodeBusy - baseline.DecodeBusy
		prefill += float64(prefillDifference)
		decode += float64(decodeDifference)
		baseline.PrefillBusy += prefillDifference / baselineStepDivisor
		baseline.DecodeBusy += decodeDifference / baselineStepDivisor
	}
	if prefill+decode > 0 {
		return prefill / (prefill + decode)
	}
	return evenPrefillFraction
}
