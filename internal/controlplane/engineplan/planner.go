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
	// RoleChangeDelay is how long an engine must be out of the committed assignment before a leader
	// that polls engines commands a new role: longer than a router may go on without a fresh
	// majority read.
	RoleChangeDelay = 1900 * clock.Millisecond
	// roleChangeTimeout is how long a commanded engine may take to be listed with its new role.
	roleChangeTimeout = 30 * clock.Second
	// missingPrefillDelay is how long a group must have no prefill engine before one is made: less
	// urgent than a missing decode engine, since decode engines can prefill.
	missingPrefillDelay = 5 * clock.Second
	// missingDecodeDelay is how long a group must have no decode engine before one is made.
	missingDecodeDelay = clock.Second
	// imbalanceWindow is how long the load must lean to one role before an engine changes.
	imbalanceWindow = 2 * clock.Second
	// concurrentChangeDivisor limits the changes under way to one in so many engines of a group.
	concurrentChangeDivisor = 6
	// rebalanceStepDivisor is the part of the way to the target, as one in so many, that a
	// rebalancing step goes at once.
	rebalanceStepDivisor = 2
	// minSplitGroup is the least number of engines that can divide the two roles between them.
	minSplitGroup = 2
)

// roleChange is an engine on its way to another role: first it leaves the assignment, then it is
// commanded, and it is assigned again once the directory lists the new role. Times are 0 until then.
type roleChange struct {
	engineName       string
	role             string
	fillsMissingRole bool
	unpairedAt       clock.Microseconds
	firstCommandedAt clock.Microseconds
	lastCommandedAt  clock.Microseconds
}

// Planner plans the role changes of engines. It treats the engines of a service that have the same
// model version as one group, and changes a few of a group at a time.
type Planner struct {
	// All maps but failures are by group, see groupName.
	pending      map[string][]*roleChange
	missingRoles map[string]*StabilityTimer
	roleSplits   map[string]*pairing.RoleBalancer
	// failures has the time of the last change that an engine did not complete, by engine.
	failures map[string]clock.Microseconds
}

// NewPlanner returns a planner without any change under way.
func NewPlanner() *Planner {
	return &Planner{
		pending:      map[string][]*roleChange{},
		missingRoles: map[string]*StabilityTimer{},
		roleSplits:   map[string]*pairing.RoleBalancer{},
		failures:     map[string]clock.Microseconds{},
	}
}

// changingSet returns the names of the engines whose role is changing.
func (p *Planner) changingSet() map[string]bool {
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
	changing := p.changingSet()
	for _, engine := range live {
		if changing[engine.Name] {
			names = append(names, engine.Name)
		}
	}
	slices.Sort(names)
	return names
}

// Candidates returns the live engines that may be assigned: those whose role is not changing.
func (p *Planner) Candidates(live []registry.Engine) []pairing.Candidate {
	var candidates []pairing.Candidate
	changing := p.changingSet()
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

// Plan ends and begins role changes in a service. A change is costly: one begins only where a role
// has no engine at all, or where the known load has leaned to a role for imbalanceWindow.
func (p *Planner) Plan(now clock.Microseconds, service string, live []registry.Engine, share PrefillShare) {
	enginesByVersion := map[int][]registry.Engine{}
	for _, engine := range live {
		enginesByVersion[engine.Weights] = append(enginesByVersion[engine.Weights], engine)
	}
	for modelVersion, engines := range enginesByVersion {
		p.planGroup(now, groupName(service, modelVersion), engines, share)
	}
}

// groupName names the engines of a service that have the same model version.
func groupName(service string, modelVersion int) string {
	return service + "/" + strconv.Itoa(modelVersion)
}

func (p *Planner) planGroup(now clock.Microseconds, group string, engines []registry.Engine, share PrefillShare) {
	counts := countRoles(engines)
	missingRole, delay := counts.missingRole()
	missingFor := p.missingTimer(group).UnchangedFor(now, missingRole)
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

func (p *Planner) missingTimer(group string) *StabilityTimer {
	timer, exists := p.missingRoles[group]
	if !exists {
		timer = &StabilityTimer{}
		p.missingRoles[group] = timer
	}
	return timer
}

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

// isFinished tells whether a change is complete, has timed out, or is not needed any more before it
// was commanded. The roles are those of the group's live engines.
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

// planRebalance begins changes where the load has leaned to one role for imbalanceWindow. A large
// group goes half of the way at once.
func (p *Planner) planRebalance(
	now clock.Microseconds, group string, engines []registry.Engine, prefillFraction float64,
) {
	pendingChanges := p.pending[group]
	prefillCount := countRoles(engines).prefill
	for _, change := range pendingChanges {
		prefillCount += prefillDelta(change.role)
	}
	targetPrefill := p.roleSplit(group).PrefillCount(now, len(engines), prefillCount, prefillFraction)
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
	distance := math.Abs(prefillFraction*float64(len(engines)) - float64(prefillCount))
	count := max(int(distance/rebalanceStepDivisor), 1)
	changing := p.changingSet()
	eligible := slices.DeleteFunc(slices.Clone(engines), func(engine registry.Engine) bool { return changing[engine.Name] })
	for _, name := range p.chooseEngines(now, eligible, role, min(count, maxChanges-len(pendingChanges))) {
		p.pending[group] = append(p.pending[group], &roleChange{engineName: name, role: role})
	}
}

func (p *Planner) roleSplit(group string) *pairing.RoleBalancer {
	split, exists := p.roleSplits[group]
	if !exists {
		split = &pairing.RoleBalancer{StabilizationWindow: imbalanceWindow}
		p.roleSplits[group] = split
	}
	return split
}

// prefillDelta returns how a change to a role changes the number of prefill engines.
func prefillDelta(role string) int {
	if role == pairing.RolePrefill {
		return 1
	}
	return -1
}
