package engineplan

import (
	"math"
	"slices"
	"strconv"

	"coursepass/internal/clock"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

const (
	// RoleChangeDelay is the minimum time for which an engine must be absent from the committed
	// assignment before a leader that polls engines commands a new role. It is longer than a router may
	// operate without a fresh majority read.
	RoleChangeDelay = 1900 * clock.Millisecond
	// roleChangeTimeout is the maximum time from the first command until the directory must list the
	// engine with its new role. After it the change has failed.
	roleChangeTimeout = 30 * clock.Second
	// missingPrefillDelay is the time for which a group must have no prefill engine before one of its
	// engines changes to prefill. It is longer than missingDecodeDelay, since decode engines can prefill.
	missingPrefillDelay = 5 * clock.Second
	// missingDecodeDelay is the time for which a group must have no decode engine before one of its
	// engines changes to decode.
	missingDecodeDelay = clock.Second
	// imbalanceWindow is the time for which one role must carry too much of the load before an engine
	// changes to that role.
	imbalanceWindow = 2 * clock.Second
	// concurrentChangeDivisor limits the pending changes of a group to 1/concurrentChangeDivisor of its
	// engines, but allows at least one.
	concurrentChangeDivisor = 6
	// rebalanceStepDivisor limits a rebalancing step to 1/rebalanceStepDivisor of the difference between
	// the ideal and the current number of prefill engines, but allows at least one engine.
	rebalanceStepDivisor = 2
	// minSplitGroup is the minimum number of engines that can be split between the two roles.
	minSplitGroup = 2
)

// roleChange is the pending change of an engine's role. The engine is first removed from the assignment,
// then commanded to change, and assigned again once the directory lists the new role. A time is 0 until
// its event happens.
type roleChange struct {
	engineName string
	// role is the new role.
	role string
	// fillsMissingRole is set if the change was planned because no engine of the group had the role.
	fillsMissingRole bool
	// unassignedAt is when the engine was first seen to be absent from the committed assignment.
	unassignedAt     clock.Microseconds
	firstCommandedAt clock.Microseconds
	lastCommandedAt  clock.Microseconds
}

// Planner plans the role changes of engines. It treats the engines of a service that have the same
// model version as one group, and limits how many engines of a group change at the same time.
type Planner struct {
	// pending holds the unfinished role changes by group. Groups are named by groupName.
	pending map[string][]*roleChange
	// missingRoleTimers measures by group how long a role has been missing.
	missingRoleTimers map[string]*StabilityTimer
	// roleBalancers holds the state of rebalancing by group.
	roleBalancers map[string]*pairing.RoleBalancer
	// failures holds by engine name when the engine last failed to change its role.
	failures map[string]clock.Microseconds
}

// NewPlanner returns a planner without pending changes.
func NewPlanner() *Planner {
	return &Planner{
		pending:           map[string][]*roleChange{},
		missingRoleTimers: map[string]*StabilityTimer{},
		roleBalancers:     map[string]*pairing.RoleBalancer{},
		failures:          map[string]clock.Microseconds{},
	}
}

// changingEngines returns the set of names of the engines whose role is changing.
func (p *Planner) changingEngines() map[string]bool {
	changing := map[string]bool{}
	for _, changes := range p.pending {
		for _, change := range changes {
			changing[change.engineName] = true
		}
	}
	return changing
}

// ChangingNames returns the sorted names of the live engines whose role is changing.
func (p *Planner) ChangingNames(live []registry.Engine) []string {
	var names []string
	changing := p.changingEngines()
	for _, engine := range live {
		if changing[engine.Name] {
			names = append(names, engine.Name)
		}
	}
	slices.Sort(names)
	return names
}

// Candidates returns the live engines that may be assigned, which are those whose role is not changing.
func (p *Planner) Candidates(live []registry.Engine) []pairing.Candidate {
	var candidates []pairing.Candidate
	changing := p.changingEngines()
	for _, engine := range live {
		if changing[engine.Name] {
			continue
		}
		candidates = append(candidates, pairing.Candidate{
			Name:    engine.Name,
			Zone:    engine.Zone,
			Version: strconv.Itoa(engine.Weights),
			Role:    engine.Role,
		})
	}
	return candidates
}

// Plan removes finished role changes of a service and starts new ones. Role changes are costly, so one
// starts only in a group where a role has no engine at all, or where the load is known and one role has
// carried too much of it for imbalanceWindow.
func (p *Planner) Plan(now clock.Microseconds, service string, live []registry.Engine, share PrefillShare) {
	enginesByVersion := map[int][]registry.Engine{}
	for _, engine := range live {
		enginesByVersion[engine.Weights] = append(enginesByVersion[engine.Weights], engine)
	}
	for modelVersion, engines := range enginesByVersion {
		p.planGroup(now, groupName(service, modelVersion), engines, share)
	}
}

// groupName returns the name of the group of a service's engines that have the given model version.
func groupName(service string, modelVersion int) string {
	return service + "/" + strconv.Itoa(modelVersion)
}

// planGroup removes the finished role changes of a group and starts new ones.
func (p *Planner) planGroup(now clock.Microseconds, group string, engines []registry.Engine, share PrefillShare) {
	counts := countRoles(engines)
	missingRole, delay := counts.missingRole()
	missingFor := p.missingRoleTimer(group).UnchangedFor(now, missingRole)
	p.removeFinished(now, group, engines, missingRole)
	if missingRole != "" {
		if missingFor >= delay && len(p.pending[group]) == 0 {
			p.pending[group] = []*roleChange{{
				engineName:       p.chooseEngines(now, engines, missingRole, 1)[0],
				role:             missingRole,
				fillsMissingRole: true,
			}}
		}
		return
	}
	if counts.isSplit() && share.Known {
		p.planRebalance(now, group, engines, share.Fraction)
	}
}

// missingRoleTimer returns the timer of a group's missing role, and creates it if it does not exist yet.
func (p *Planner) missingRoleTimer(group string) *StabilityTimer {
	timer, exists := p.missingRoleTimers[group]
	if !exists {
		timer = &StabilityTimer{}
		p.missingRoleTimers[group] = timer
	}
	return timer
}

// removeFinished removes the finished role changes of a group.
func (p *Planner) removeFinished(now clock.Microseconds, group string, engines []registry.Engine, missingRole string) {
	roles := map[string]string{}
	for _, engine := range engines {
		roles[engine.Name] = engine.Role
	}
	unfinished := slices.DeleteFunc(p.pending[group], func(change *roleChange) bool {
		return p.isFinished(now, change, roles, missingRole)
	})
	if len(unfinished) == 0 {
		delete(p.pending, group)
		return
	}
	p.pending[group] = unfinished
}

// isFinished reports whether a change is complete, has timed out, or is no longer needed and was not yet
// commanded. The roles are those of the group's live engines by name. A timeout is recorded as a failure.
func (p *Planner) isFinished(
	now clock.Microseconds, change *roleChange, roles map[string]string, missingRole string,
) bool {
	role, isLive := roles[change.engineName]
	commanded := change.firstCommandedAt > 0
	switch {
	case isLive && role == change.role:
		return true
	case commanded && now-change.firstCommandedAt >= roleChangeTimeout:
		p.failures[change.engineName] = now
		return true
	case commanded:
		return false
	default:
		return !isLive || change.fillsMissingRole && missingRole != change.role
	}
}

// planRebalance starts role changes if one role has carried too much of the load for imbalanceWindow. Each
// step covers half of the difference to the ideal number of prefill engines, within the limit of
// concurrent changes. No change starts while changes to the other role are pending.
func (p *Planner) planRebalance(
	now clock.Microseconds, group string, engines []registry.Engine, prefillFraction float64,
) {
	pendingChanges := p.pending[group]
	prefillCount := countRoles(engines).prefill
	for _, change := range pendingChanges {
		prefillCount += prefillDelta(change.role)
	}
	targetPrefill := p.roleBalancer(group).PrefillCount(now, len(engines), prefillCount, prefillFraction)
	role := pairing.RoleDecode
	if targetPrefill > prefillCount {
		role = pairing.RolePrefill
	}
	isOpposing := func(change *roleChange) bool { return change.role != role }
	maxChanges := max(len(engines)/concurrentChangeDivisor, 1)
	if targetPrefill == prefillCount || len(pendingChanges) >= maxChanges {
		return
	}
	if slices.ContainsFunc(pendingChanges, isOpposing) {
		return
	}
	difference := math.Abs(prefillFraction*float64(len(engines)) - float64(prefillCount))
	stepSize := max(int(difference/rebalanceStepDivisor), 1)
	changing := p.changingEngines()
	eligible := slices.DeleteFunc(slices.Clone(engines), func(engine registry.Engine) bool { return changing[engine.Name] })
	for _, name := range p.chooseEngines(now, eligible, role, min(stepSize, maxChanges-len(pendingChanges))) {
		p.pending[group] = append(p.pending[group], &roleChange{engineName: name, role: role})
	}
}

// roleBalancer returns the balancer of a group, and creates it if it does not exist yet.
func (p *Planner) roleBalancer(group string) *pairing.RoleBalancer {
	balancer, exists := p.roleBalancers[group]
	if !exists {
		balancer = &pairing.RoleBalancer{StabilizationWindow: imbalanceWindow}
		p.roleBalancers[group] = balancer
	}
	return balancer
}

// prefillDelta returns by how much a change to the given role changes the number of prefill engines.
func prefillDelta(role string) int {
	if role == pairing.RolePrefill {
		return 1
	}
	return -1
}
