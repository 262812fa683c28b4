package controlplane

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"

	"coursepass/internal/clock"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

const (
	// roleChangeTimeout is how long an ordered engine may take to show its new part.
	roleChangeTimeout = 30 * clock.Second
	// roleChangeBackoff is how long one that did not is ordered after the others only.
	roleChangeBackoff = 300 * clock.Second
	// commandRetryInterval lies between two tries of an order that was not acknowledged.
	commandRetryInterval = 5 * clock.Second
	// missingDecodeDelay is how long token makers must be lacking. Prompt readers are less urgent,
	// since token makers can read.
	missingDecodeDelay = clock.Second
	// imbalanceWindow is how long the load must lean to one part; a move itself takes longer.
	imbalanceWindow = 2 * clock.Second
	// concurrentChangeDivisor is the part of a group, as one in so many, that may move at a time.
	concurrentChangeDivisor = 6
	// unpairedDelay is how long an engine is out of the contract before it is ordered: routers hear
	// of it within a few reads, and one that did not is declined by the engine as not run.
	unpairedDelay = clock.Second
)

// roleChange is one engine on its way to another part: first out of the contract, then
// ordered, and back once the list shows it.
type roleChange struct {
	engineName, role string
	fillsMissingRole bool
	unpairedAt       clock.Microseconds
	firstCommandedAt clock.Microseconds
	lastCommandedAt  clock.Microseconds
}

// roleChangePlanner are the changes of parts under way, a few at a time among all engines of a service
// that have the same weights.
type roleChangePlanner struct {
	pending      map[string][]*roleChange
	missingRoles map[string]*stabilityTimer
	roleSplits   map[string]*pairing.RoleBalancer
	failures     map[string]clock.Microseconds
}

// roleCommand is an engine with the part that it is to have; a first order forgets what an
// earlier move had acknowledged.
type roleCommand struct {
	registry.Engine
	firstAttempt bool
}

func newRoleChangePlanner() roleChangePlanner {
	return roleChangePlanner{map[string][]*roleChange{}, map[string]*stabilityTimer{}, map[string]*pairing.RoleBalancer{}, map[string]clock.Microseconds{}}
}

// isChangingRole tells whether an engine is about to change its part.
func (r *roleChangePlanner) isChangingRole(engine registry.Engine) bool {
	for _, group := range r.pending {
		if slices.ContainsFunc(group, func(change *roleChange) bool { return change.engineName == engine.Name }) {
			return true
		}
	}
	return false
}

// changingNames are the live engines that are about to change their part, in order.
func (r *roleChangePlanner) changingNames(live []registry.Engine) []string {
	var names []string
	for _, engine := range live {
		if r.isChangingRole(engine) {
			names = append(names, engine.Name)
		}
	}
	slices.Sort(names)
	return names
}

// candidates are the live engines that are not about to change their part.
func (r *roleChangePlanner) candidates(live []registry.Engine) []pairing.Candidate {
	var candidates []pairing.Candidate
	for _, engine := range live {
		if !r.isChangingRole(engine) {
			candidates = append(candidates, pairing.Candidate{Name: engine.Name, Zone: engine.Hall, Version: strconv.Itoa(engine.Weights), Role: engine.Part})
		}
	}
	return candidates
}

// plan ends and begins moves. Orders are dear: one is begun only where a part has no
// engine at all, or where the load is told and leans for long.
func (r *roleChangePlanner) plan(now clock.Microseconds, service string, live []registry.Engine, prefillFraction float64, reported bool) {
	groups := map[string][]registry.Engine{}
	for _, engine := range live {
		group := service + "/" + strconv.Itoa(engine.Weights)
		groups[group] = append(groups[group], engine)
	}
	for group, engines := range groups {
		r.planGroup(now, group, engines, prefillFraction, reported)
	}
}

func (r *roleChangePlanner) planGroup(now clock.Microseconds, group string, engines []registry.Engine, prefillFraction float64, reported bool) {
	countByRole := map[string]int{}
	for _, engine := range engines {
		countByRole[engine.Part]++
	}
	prefillCount, splitRoles, missingRole, delay := countByRole[pairing.RolePrefill], len(engines) >= 2 && countByRole[pairing.RoleBoth] == 0, "", clock.Microseconds(0)
	switch {
	case splitRoles && prefillCount == 0:
		missingRole, delay = pairing.RolePrefill, stabilizationWindow
	case splitRoles && countByRole[pairing.RoleDecode] == 0:
		missingRole, delay = pairing.RoleDecode, missingDecodeDelay
	}
	missingTimer, exists := r.missingRoles[group]
	if !exists {
		missingTimer = &stabilityTimer{}
		r.missingRoles[group] = missingTimer
	}
	missingFor := missingTimer.unchangedFor(now, missingRole)
	r.pending[group] = slices.DeleteFunc(r.pending[group], func(change *roleChange) bool { return r.isFinished(now, change, engines, missingRole) })
	if len(r.pending[group]) == 0 {
		delete(r.pending, group)
	}
	switch {
	case missingRole != "":
		if missingFor >= delay && len(r.pending[group]) == 0 {
			r.pending[group] = []*roleChange{{engineName: r.chooseEngine(now, engines, missingRole), role: missingRole, fillsMissingRole: true}}
		}
	case splitRoles && reported:
		r.planRebalance(now, group, engines, prefillCount, prefillFraction)
	}
}

// isFinished tells whether a move is done, is not needed any more before it was ordered, or
// takes too long.
func (r *roleChangePlanner) isFinished(now clock.Microseconds, change *roleChange, engines []registry.Engine, missingRole string) bool {
	index := slices.IndexFunc(engines, func(engine registry.Engine) bool { return engine.Name == change.engineName })
	commanded := change.firstCommandedAt > 0
	switch {
	case index >= 0 && engines[index].Part == change.role:
		return true
	case commanded && now-change.firstCommandedAt >= roleChangeTimeout:
		r.failures[change.engineName] = now
		return true
	case !commanded && (index < 0 || change.fillsMissingRole && missingRole != change.role):
		return true
	}
	return false
}

// planRebalance begins a move where the load has leaned to one part for long.
func (r *roleChangePlanner) planRebalance(now clock.Microseconds, group string, engines []registry.Engine, prefillCount int, prefillFraction float64) {
	split, exists := r.roleSplits[group]
	if !exists {
		split = &pairing.RoleBalancer{StabilizationWindow: imbalanceWindow}
		r.roleSplits[group] = split
	}
	pendingChanges := r.pending[group]
	for _, change := range pendingChanges {
		prefillCount += prefillDelta(change.role)
	}
	role := pairing.RoleDecode
	targetPrefill := split.PrefillCount(now, len(engines), prefillCount, prefillFraction)
	if targetPrefill > prefillCount {
		role = pairing.RolePrefill
	}
	opposing := slices.ContainsFunc(pendingChanges, func(change *roleChange) bool { return change.role != role })
	if targetPrefill == prefillCount || opposing || len(pendingChanges) >= max(len(engines)/concurrentChangeDivisor, 1) {
		return
	}
	// In a large group half of the way is gone at once.
	count := max(int(math.Abs(prefillFraction*float64(len(engines))-float64(prefillCount))/2), 1)
	for ; count > 0 && len(r.pending[group]) < max(len(engines)/concurrentChangeDivisor, 1); count-- {
		eligible := slices.DeleteFunc(slices.Clone(engines), r.isChangingRole)
		if !slices.ContainsFunc(eligible, func(engine registry.Engine) bool { return engine.Part != role }) {
			return
		}
		r.pending[group] = append(r.pending[group], &roleChange{engineName: r.chooseEngine(now, eligible, role), role: role})
	}
}

// prefillDelta is how a move to a part changes the number of readers.
func prefillDelta(role string) int {
	if role == pairing.RolePrefill {
		return 1
	}
	return -1
}

// chooseEngine is the engine that is best moved to a part: one that has not failed to move
// lately, is warm, and stands in the hall with the most of the other part.
func (r *roleChangePlanner) chooseEngine(now clock.Microseconds, engines []registry.Engine, role string) string {
	zones := map[string]int{}
	var candidates []registry.Engine
	for _, engine := range engines {
		if engine.Part != role {
			zones[engine.Hall]++
			candidates = append(candidates, engine)
		}
	}
	cost := func(engine registry.Engine) int {
		cost := -zones[engine.Hall]
		if engine.Cold {
			cost += 1 << 20
		}
		if failedAt, hasFailed := r.failures[engine.Name]; hasFailed && now-failedAt < roleChangeBackoff {
			cost += 1 << 30
		}
		return cost
	}
	return slices.MinFunc(candidates, func(left, right registry.Engine) int {
		return cmp.Or(cmp.Compare(cost(left), cost(right)), cmp.Compare(left.Name, right.Name))
	}).Name
}

// readyCommands are the engines to be ordered now: every router that takes work has heard that they
// are out of the contract.
func (r *roleChangePlanner) readyCommands(now clock.Microseconds, live []registry.Engine, committed pairing.Assignment) []roleCommand {
	var commands []roleCommand
	for _, change := range slices.Concat(slices.Collect(maps.Values(r.pending))...) {
		index := slices.IndexFunc(live, func(engine registry.Engine) bool { return engine.Name == change.engineName })
		if index < 0 {
			continue
		}
		if _, paired := committed.Parts[change.engineName]; paired {
			change.unpairedAt = 0
			continue
		}
		if change.unpairedAt == 0 {
			change.unpairedAt = now
		}
		if now-change.unpairedAt < unpairedDelay || change.lastCommandedAt > 0 && now-change.lastCommandedAt < commandRetryInterval {
			continue
		}
		engine := live[index]
		engine.Part = change.role
		commands = append(commands, roleCommand{engine, change.firstCommandedAt == 0})
		if change.lastCommandedAt = now; change.firstCommandedAt == 0 {
			change.firstCommandedAt = now
		}
	}
	return commands
}
