package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// actionWeights are the relative frequencies of the enabled kinds of action in a walk.
//
//nolint:mnd // a table of weights
var actionWeights = map[ActionKind]int{
	ActionDeliver:         500,
	ActionDuplicate:       6,
	ActionSync:            300,
	ActionTick:            60,
	ActionStabilize:       12,
	ActionCrash:           5,
	ActionRestart:         30,
	ActionWipe:            8,
	ActionFreeze:          2,
	ActionThaw:            15,
	ActionStallDisk:       2,
	ActionUnstallDisk:     15,
	ActionIsolate:         3,
	ActionHeal:            15,
	ActionPropose:         12,
	ActionRead:            12,
	ActionReplace:         3,
	ActionForceReplace:    2,
	ActionQueryMembership: 30,
}

// WalkBudget bounds the faults and requests of a walk.
//
//nolint:mnd // a table of bounds
var WalkBudget = Budget{
	Crashes:      60,
	Wipes:        10,
	Freezes:      20,
	Partitions:   20,
	Duplicates:   200,
	Proposals:    200,
	Reads:        200,
	Replacements: 10,
	DiskStalls:   20,
}

// WalkMaxInFlight is how many messages may be in flight in a walk.
const WalkMaxInFlight = 40

const (
	// walkStream selects the random stream of walks for a seed.
	walkStream = 2
	// walkParentDepth is how many of the latest labels a walk builds changes on.
	walkParentDepth = 3
	// walkOperators is how many operators send conflicting changes.
	walkOperators = 2
)

// AcknowledgedCount returns how many proposals and reads were answered.
func (s *State) AcknowledgedCount() int { return len(s.checker.acknowledgements) }

// RandomWalk takes a number of random steps, and stops at the first violation.
func (s *State) RandomWalk(seed uint64, steps int) {
	random := rand.New(rand.NewPCG(seed, walkStream))
	for range steps {
		if len(s.Violations) > 0 {
			return
		}
		s.Apply(s.randomAction(random))
	}
}

// randomAction chooses a kind by its weight, and then one of its enabled actions. Proposals build on
// what has been applied somewhere, so that they go on being accepted.
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
		choice -= actionWeights[kind]
		if choice >= 0 {
			continue
		}
		action := byKind[kind][random.IntN(len(byKind[kind]))]
		if kind == ActionPropose {
			action.Change = s.randomChange(random)
		}
		return action
	}
	return Action{Kind: ActionTick}
}

// randomChange returns a change of one of the operators, on the latest label or an earlier one; some
// are repeated.
func (s *State) randomChange(random *rand.Rand) Change {
	parentLabel := uint64(0)
	if s.checker.longestHistory != nil {
		parentLabel = s.checker.longestHistory.state.Label
	}
	parentLabel -= min(parentLabel, uint64(random.IntN(walkParentDepth)))
	return Change{
		Label:       parentLabel + 1,
		ParentLabel: parentLabel,
		Digest:      fmt.Sprint("operator", random.IntN(walkOperators)),
	}
}

// Replay takes steps on a new group until the first violation; actions that are not enabled are
// skipped.
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

// Shrink returns a failing path without the actions that it does not need: it leaves out ever
// smaller runs of actions as long as the rest still fails.
func Shrink(options *Options, actions []Action) Counterexample {
	shortest := Replay(options, actions)
	for size := len(actions) / 2; size > 0; { //nolint:mnd // halves
		shrunk := false
		path := shortest.Path()
		for start := 0; start+size <= len(path); {
			candidate := Replay(options, slices.Concat(path[:start], path[start+size:]))
			if len(candidate.Violations) > 0 && len(candidate.Path()) < len(path) {
				shortest = candidate
				path = candidate.Path()
				shrunk = true
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
