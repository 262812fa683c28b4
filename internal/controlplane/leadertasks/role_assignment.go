package leadertasks

import (
	"slices"
	"strings"

	"coursepass/internal/clock"
	"coursepass/internal/state/pairing"
)

const (
	// minRoleGroup is the least number of engines that divide the two roles between them.
	minRoleGroup = 2
	// evenSplitDivisor makes the first split half and half.
	evenSplitDivisor = 2
	// evenPrefillFraction is the share of prefill as long as no work is known.
	evenPrefillFraction = 0.5
	// baselineStepDivisor is the part of the way, as one in so many, that the baseline of busy times
	// follows them with each draft.
	baselineStepDivisor = 8
)

// assignRoles sets the desired roles of the reporting engines of a service, for each model version
// separately, since only engines of one version can be paired. The lock must be held.
func (l *ServiceLeader) assignRoles(now clock.Microseconds, service string, reporting []*engineObservation) {
	byVersion := map[string][]*engineObservation{}
	for _, observation := range reporting {
		byVersion[observation.Version] = append(byVersion[observation.Version], observation)
	}
	for version, engines := range byVersion {
		l.assignGroupRoles(now, service+"/"+version, engines)
	}
}

// assignGroupRoles sets how many engines of one model version have which role; a single one has both.
// An engine that is unresponsive or suspected for a moment still counts, so that the others don't
// change role because of it. The first split is half and half; then it follows the mix of busy time,
// one engine at a time.
func (l *ServiceLeader) assignGroupRoles(now clock.Microseconds, group string, engines []*engineObservation) {
	slices.SortFunc(engines, func(left, right *engineObservation) int { return strings.Compare(left.Name, right.Name) })
	split := l.roleSplit(group)
	prefillCount := l.adoptReportedRoles(engines)
	prefillFraction := advanceBaselines(engines)
	if len(engines) < minRoleGroup {
		for _, observation := range engines {
			l.desiredRoles[observation.Name] = pairing.RoleBoth
		}
		return
	}
	if prefillCount == 0 {
		prefillCount = len(engines) / evenSplitDivisor
	}
	l.distributeRoles(engines, split.PrefillCount(now, len(engines), prefillCount, prefillFraction))
}

func (l *ServiceLeader) roleSplit(group string) *pairing.RoleBalancer {
	split, exists := l.roleSplits[group]
	if !exists {
		split = &pairing.RoleBalancer{StabilizationWindow: stabilizationWindow}
		l.roleSplits[group] = split
	}
	return split
}

// adoptReportedRoles takes the reported role as the desired one where there is none yet, and returns
// the number of desired prefill engines.
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

// advanceBaselines returns the share of prefill in the busy time of the engines since their baselines,
// and moves these a step closer to the reports.
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
