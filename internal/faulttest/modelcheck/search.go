package modelcheck

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// conflictingChanges are what two operators send in a search: conflicting ones on one base.
var conflictingChanges = []Change{{1, 0, "a"}, {1, 0, "b"}, {2, 1, "c"}, {2, 0, "d"}}

// EnabledActions are the events that can happen now, failures in the bounds that are left.
func (s *State) EnabledActions() []Action {
	actions := []Action{{Kind: ActionTick}, {Kind: ActionStabilize, Other: 2}, {Kind: ActionStabilize, Other: int(s.options.LeaseDuration/s.options.Delta) + 9}}
	actions = append(actions, s.messageActions()...)
	for number, daemon := range s.daemons {
		actions = append(actions, s.daemonActions(number, daemon)...)
	}
	if len(s.partitions) > 0 {
		actions = append(actions, Action{Kind: ActionHeal})
	}
	return actions
}

func (s *State) messageActions() []Action {
	var actions []Action
	seen := map[string]bool{}
	for index, name := range s.messageNames() {
		packet := s.inFlight[index]
		if baseName, _, _ := strings.Cut(name, "#"); seen[baseName] || !s.isDeliverable(packet) {
			continue
		}
		seen[name] = true
		actions = append(actions, Action{Kind: ActionDeliver, Message: name})
		if s.remainingBudget.Duplicates > 0 {
			actions = append(actions, Action{Kind: ActionDuplicate, Message: name})
		}
	}
	return actions
}

func (s *State) daemonActions(number int, daemon *daemonState) []Action {
	var actions []Action
	add := func(possible bool, kind ActionKind, other int) {
		if possible {
			actions = append(actions, Action{Kind: kind, Daemon: number, Other: other})
		}
	}
	budget, running := s.remainingBudget, daemon.isRunning()
	add(s.canSync(daemon), ActionSync, 0)
	add(!daemon.crashed && budget.Crashes > 0 && daemon.replica != nil, ActionCrash, 0)
	add(!daemon.crashed && budget.Crashes > 0 && len(daemon.pendingWrites) > 0, ActionCrash, 1)
	add(daemon.crashed, ActionRestart, 0)
	add(daemon.crashed && budget.Wipes > 0 && !daemon.diskWiped, ActionWipe, 0)
	add(running && budget.Freezes > 0 && daemon.replica != nil, ActionFreeze, 0)
	add(daemon.frozen, ActionThaw, 0)
	add(running && !daemon.diskStalled && budget.DiskStalls > 0 && daemon.replica != nil, ActionStallDisk, 0)
	add(daemon.diskStalled, ActionUnstallDisk, 0)
	for direction := range 3 {
		add(budget.Partitions > 0 && daemon.replica != nil && len(s.partitions) == 0, ActionIsolate, direction)
	}
	for other, target := range s.daemons {
		add(budget.Replacements > 0 && running && daemon.replica == nil && daemon.replaces == "" && other < s.options.Members && other != number, ActionReplace, other)
		add(budget.Replacements > 0 && running && daemon.replica == nil && daemon.replaces == "" && other < s.options.Members && other != number, ActionForceReplace, other)
		add(s.canQueryMembership(daemon, target) && (daemon.replaces != "" || target.membership.Epoch > daemon.membership.Epoch), ActionQueryMembership, other)
	}
	if running && daemon.replica != nil && daemon.replica.LeadershipConfirmed(s.Now) {
		add(budget.Reads > 0, ActionRead, 0)
		for _, change := range conflictingChanges {
			if budget.Proposals > 0 {
				actions = append(actions, Action{Kind: ActionPropose, Daemon: number, Change: change})
			}
		}
	}
	return actions
}

// Path is the list of events that led here.
func (s *State) Path() []Action {
	var actions []Action
	for step := s.lastStep; step != nil; step = step.previous {
		actions = append(actions, step.action)
	}
	slices.Reverse(actions)
	return actions
}

// FormatActions writes a path so that ParseEvents reads it.
func FormatActions(actions []Action) string {
	tokens := make([]string, len(actions))
	for index, action := range actions {
		tokens[index] = action.String()
	}
	return strings.Join(tokens, " ")
}

// Counterexample is a path to a state that must never be.
type Counterexample struct {
	Path       []Action
	Violations []string
}

// Level is what one depth of a search found.
type Level struct {
	Depth, Generated, Distinct int
}

// Search is a breadth-first search.
type Search struct {
	// MaxDepth bounds the events of a path, States those that are kept for going on, and
	// Workers how many states are expanded at once.
	MaxDepth, MaxStates, Workers int
	Levels                       []Level
	Distinct, Generated          int
	Truncated                    bool
	Elapsed                      time.Duration
	Counterexamples              []Counterexample
}

// Run searches from a state. It stops after the first depth with failures, and says in
// Cut that a level had more states than may be kept.
func (s *Search) Run(start *State) {
	startedAt := time.Now()
	seen := map[Fingerprint]bool{start.Fingerprint(): true}
	frontier := []*State{start}
	s.Distinct = 1
	for depth := 1; depth <= s.MaxDepth && len(frontier) > 0 && len(s.Counterexamples) == 0; depth++ {
		frontier = s.expandLevel(frontier, seen, depth)
	}
	s.Elapsed = time.Since(startedAt)
}

type successor struct {
	state       *State
	fingerprint Fingerprint
}

// expandLevel expands all states of one depth; the order of what it finds does not depend on
// the number of workers.
func (s *Search) expandLevel(frontier []*State, seen map[Fingerprint]bool, depth int) []*State {
	level := Level{Depth: depth}
	var next []*State
	const chunk = 256
	for start := 0; start < len(frontier) && len(s.Counterexamples) == 0; start += chunk {
		batch := frontier[start:min(start+chunk, len(frontier))]
		for _, successors := range s.expandAll(batch) {
			for _, child := range successors {
				level.Generated++
				if seen[child.fingerprint] {
					continue
				}
				seen[child.fingerprint] = true
				level.Distinct++
				switch {
				case len(child.state.Violations) > 0:
					s.Counterexamples = append(s.Counterexamples, Counterexample{child.state.Path(), child.state.Violations})
				case depth == s.MaxDepth:
				case len(next) < s.MaxStates:
					next = append(next, child.state)
				default:
					s.Truncated = true
				}
			}
		}
		clear(batch)
	}
	s.Levels = append(s.Levels, level)
	s.Distinct, s.Generated = s.Distinct+level.Distinct, s.Generated+level.Generated
	return next
}

func (s *Search) expandAll(batch []*State) [][]successor {
	successors := make([][]successor, len(batch))
	var group sync.WaitGroup
	indexes := make(chan int)
	for range max(s.Workers, 1) {
		group.Go(func() {
			for index := range indexes {
				successors[index] = expand(batch[index])
			}
		})
	}
	for index := range batch {
		indexes <- index
	}
	close(indexes)
	group.Wait()
	return successors
}

func expand(state *State) []successor {
	var successors []successor
	for _, action := range state.EnabledActions() {
		next := state.clone()
		if next.Apply(action) {
			successors = append(successors, successor{next, next.Fingerprint()})
		}
	}
	return successors
}

// String is a line for each depth and one for all.
func (s *Search) String() string {
	var text strings.Builder
	for _, level := range s.Levels {
		fmt.Fprintf(&text, "  depth %d: %d steps, %d new states\n", level.Depth, level.Generated, level.Distinct)
	}
	fmt.Fprintf(&text, "  %d distinct states, %d steps, %.0f steps a second", s.Distinct, s.Generated, float64(s.Generated)/s.Elapsed.Seconds())
	if s.Truncated {
		fmt.Fprintf(&text, "; cut: more than %d states at one depth", s.MaxStates)
	}
	return text.String() + "\n"
}
