package modelcheck

import (
	"fmt"
	"math/rand/v2"
)

// actionWeights are how often a walk takes an event of each kind, if it can happen.
var actionWeights = map[ActionKind]int{
	ActionDeliver: 500, ActionDuplicate: 6, ActionSync: 300, ActionTick: 60, ActionStabilize: 12, ActionCrash: 5, ActionRestart: 30, ActionWipe: 8, ActionFreeze: 2, ActionThaw: 15, ActionStallDisk: 2,
	ActionUnstallDisk: 15, ActionIsolate: 3, ActionHeal: 15, ActionPropose: 12, ActionRead: 12, ActionReplace: 3, ActionForceReplace: 2, ActionQueryMembership: 30,
}

// WalkBudget bounds the failures of a walk.
var WalkBudget = Budget{Crashes: 60, Wipes: 10, Freezes: 20, Partitions: 20, Duplicates: 200, Proposals: 200, Reads: 200, Replacements: 10, DiskStalls: 20}

// WalkMaxInFlight is how many messages may be under way in a walk.
const WalkMaxInFlight = 40

// AcknowledgedCount is how many orders and reads were answered.
func (s *State) AcknowledgedCount() int { return len(s.checker.acknowledgements) }

// RandomWalk takes so many random steps, and stops at the first violation.
func (s *State) RandomWalk(seed uint64, steps int) {
	random := rand.New(rand.NewPCG(seed, 2))
	for range steps {
		if len(s.Violations) > 0 {
			return
		}
		s.Apply(s.randomAction(random))
	}
}

// randomAction chooses a kind by its weight, and then one of its events. Orders build on what is
// in force somewhere, so that a walk is not done after a few.
func (s *State) randomAction(random *rand.Rand) Action {
	byKind := map[ActionKind][]Action{}
	var kinds []ActionKind
	total := 0
	for _, action := range s.EnabledActions() {
		if byKind[action.Kind] == nil {
			kinds = append(kinds, action.Kind)
			total += actionWeights[action.Kind]
		}
		byKind[action.Kind] = append(byKind[action.Kind], action)
	}
	choice := random.IntN(total)
	for _, kind := range kinds {
		if choice -= actionWeights[kind]; choice < 0 {
			action := byKind[kind][random.IntN(len(byKind[kind]))]
			if kind == ActionPropose {
				action.Change = s.randomChange(random)
			}
			return action
		}
	}
	return Action{Kind: ActionTick}
}

// randomChange is an order of one of two operators, on a base that is in force or was; some
// are sent again.
func (s *State) randomChange(random *rand.Rand) Change {
	parentLabel := uint64(0)
	if s.checker.longestHistory != nil {
		parentLabel = s.checker.longestHistory.state.Label
	}
	parentLabel -= min(parentLabel, uint64(random.IntN(3)))
	return Change{Label: parentLabel + 1, ParentLabel: parentLabel, Digest: fmt.Sprint("operator", random.IntN(2))}
}

// Replay lets events happen on a fresh group; those that can't happen are left out.
func Replay(options *Options, actions []Action) *State {
	state := New(options)
	for _, action := range actions {
		if len(state.Violations) > 0 {
			break
		}
		state.Apply(action)
	}
	return state
}

// Shrink leaves out what a failing path does not need.
func Shrink(options *Options, actions []Action) Counterexample {
	shortest := Replay(options, actions)
	for size := len(actions) / 2; size > 0; {
		shrunk := false
		path := shortest.Path()
		for start := 0; start+size <= len(path); {
			candidate := Replay(options, append(append([]Action(nil), path[:start]...), path[start+size:]...))
			if len(candidate.Violations) > 0 && len(candidate.Path()) < len(path) {
				shortest, path, shrunk = candidate, candidate.Path(), true
				continue
			}
			start += size
		}
		if size > 1 || !shrunk {
			size /= 2
		}
	}
	return Counterexample{shortest.Path(), shortest.Violations}
}
