package modelcheck

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// conflictingChanges are what operators send in a search: all but one build on the same label or
// have the same one.
var conflictingChanges = []Change{{1, 0, "a"}, {1, 0, "b"}, {2, 1, "c"}, {2, 0, "d"}}

// The stable periods of a search, in δ: a short one, and one that outlasts the lease and an
// election after it.
const (
	shortStablePeriod = 2
	electionPeriod    = 9
)

// EnabledActions returns the actions that can be taken now, faults within the remaining budget.
func (s *State) EnabledActions() []Action {
	leasePeriod := int(s.options.LeaseDuration / s.options.Delta)
	actions := []Action{
		{Kind: ActionTick},
		{Kind: ActionStabilize, Other: shortStablePeriod},
		{Kind: ActionStabilize, Other: leasePeriod + electionPeriod},
	}
	actions = append(actions, s.messageActions()...)
	for number, daemon := range s.daemons {
		actions = append(actions, s.daemonActions(number, daemon)...)
	}
	if len(s.partitions) > 0 {
		actions = append(actions, Action{Kind: ActionHeal})
	}
	return actions
}

// messageActions returns the deliveries; of messages that are alike only the first is considered.
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

// actionList collects the enabled actions of one daemon.
type actionList struct {
	daemon  int
	actions []Action
}

func (l *actionList) addIf(enabled bool, kind ActionKind, other int) {
	if enabled {
		l.actions = append(l.actions, Action{Kind: kind, Daemon: l.daemon, Other: other})
	}
}

// daemonActions returns the actions of one daemon. Their order is part of what a seed leads to.
func (s *State) daemonActions(number int, daemon *daemonState) []Action {
	list := &actionList{daemon: number}
	s.addFaults(list, daemon)
	s.addMembershipActions(list, daemon)
	s.addClientActions(list, daemon)
	return list.actions
}

func (s *State) addFaults(list *actionList, daemon *daemonState) {
	add := list.addIf
	budget := s.remainingBudget
	running := daemon.isRunning()
	add(s.canSync(daemon), ActionSync, 0)
	add(!daemon.crashed && budget.Crashes > 0 && daemon.replica != nil, ActionCrash, 0)
	add(!daemon.crashed && budget.Crashes > 0 && len(daemon.pendingWrites) > 0, ActionCrash, 1)
	add(daemon.crashed, ActionRestart, 0)
	add(daemon.crashed && budget.Wipes > 0 && !daemon.diskWiped, ActionWipe, 0)
	add(running && budget.Freezes > 0 && daemon.replica != nil, ActionFreeze, 0)
	add(daemon.frozen, ActionThaw, 0)
	add(running && !daemon.diskStalled && budget.DiskStalls > 0 && daemon.replica != nil, ActionStallDisk, 0)
	add(daemon.diskStalled, ActionUnstallDisk, 0)
	for direction := range isolationCount {
		canIsolate := budget.Partitions > 0 && daemon.replica != nil && len(s.partitions) == 0
		add(canIsolate, ActionIsolate, int(direction))
	}
}

func (s *State) addMembershipActions(list *actionList, daemon *daemonState) {
	isCandidate := s.remainingBudget.Replacements > 0 && daemon.isRunning() && daemon.replica == nil && daemon.replaces == ""
	for other, target := range s.daemons {
		canReplace := isCandidate && other < s.options.Members && other != daemon.number
		list.addIf(canReplace, ActionReplace, other)
		list.addIf(canReplace, ActionForceReplace, other)
		isUseful := daemon.replaces != "" || target.membership.Epoch > daemon.membership.Epoch
		list.addIf(s.canQueryMembership(daemon, target) && isUseful, ActionQueryMembership, other)
	}
}

func (s *State) addClientActions(list *actionList, daemon *daemonState) {
	if !daemon.isRunning() || daemon.replica == nil || !daemon.replica.LeadershipConfirmed(s.Now) {
		return
	}
	list.addIf(s.remainingBudget.Reads > 0, ActionRead, 0)
	if s.remainingBudget.Proposals <= 0 {
		return
	}
	for _, change := range conflictingChanges {
		list.actions = append(list.actions, Action{Kind: ActionPropose, Daemon: daemon.number, Change: change})
	}
}

// Path returns the actions that led to this state.
func (s *State) Path() []Action {
	var actions []Action
	for step := s.lastStep; step != nil; step = step.previous {
		actions = append(actions, step.action)
	}
	slices.Reverse(actions)
	return actions
}

// FormatActions returns a path in the replay format, which ParseActions reads.
func FormatActions(actions []Action) string {
	tokens := make([]string, len(actions))
	for index, action := range actions {
		tokens[index] = action.String()
	}
	return strings.Join(tokens, " ")
}

// Counterexample is a path to a state that violates invariants.
type Counterexample struct {
	Path       []Action
	Violations []string
}

// Level counts the steps and the new states of one depth of a search.
type Level struct {
	Depth, Generated, Distinct int
}

// Search is a breadth-first search. The caller sets the bounds and calls Run once, which sets the
// other fields.
type Search struct {
	// MaxDepth bounds the actions of a path after the start, MaxStates the states of one depth that
	// are expanded, and Workers how many states are expanded concurrently.
	MaxDepth, MaxStates, Workers int

	Levels              []Level
	Distinct, Generated int
	// Truncated is set if a depth had more than MaxStates states.
	Truncated       bool
	Elapsed         time.Duration
	Counterexamples []Counterexample
}

// Run searches from a state. It stops after the first depth with counterexamples.
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

// successor is a state that one action leads to.
type successor struct {
	state       *State
	fingerprint Fingerprint
}

// expansionBatch is how many states are expanded before their successors are taken in; it bounds
// the memory of a level.
const expansionBatch = 256

// expandLevel expands the states of one depth and returns those of the next. The result does not
// depend on the number of workers.
func (s *Search) expandLevel(frontier []*State, seen map[Fingerprint]bool, depth int) []*State {
	level := Level{Depth: depth}
	var next []*State
	for start := 0; start < len(frontier) && len(s.Counterexamples) == 0; start += expansionBatch {
		batch := frontier[start:min(start+expansionBatch, len(frontier))]
		for _, child := range slices.Concat(s.expandAll(batch)...) {
			level.Generated++
			if seen[child.fingerprint] {
				continue
			}
			seen[child.fingerprint] = true
			level.Distinct++
			switch {
			case len(child.state.Violations) > 0:
				failure := Counterexample{child.state.Path(), child.state.Violations}
				s.Counterexamples = append(s.Counterexamples, failure)
			case depth == s.MaxDepth:
			case len(next) < s.MaxStates:
				next = append(next, child.state)
			default:
				s.Truncated = true
			}
		}
		// The expanded states are no longer needed.
		clear(batch)
	}
	s.Levels = append(s.Levels, level)
	s.Distinct += level.Distinct
	s.Generated += level.Generated
	return next
}

// expandAll returns the successors of each state of a batch, in the order of the batch.
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

// expand returns the states that one enabled action leads to.
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

// String returns a line on each depth and one on the whole search.
func (s *Search) String() string {
	var text strings.Builder
	for _, level := range s.Levels {
		fmt.Fprintf(&text, "  depth %d: %d steps, %d new states\n", level.Depth, level.Generated, level.Distinct)
	}
	fmt.Fprintf(&text, "  %d distinct states, %d steps, %.0f steps a second",
		s.Distinct, s.Generated, float64(s.Generated)/s.Elapsed.Seconds())
	if s.Truncated {
		fmt.Fprintf(&text, "; truncated: more than %d states at one depth", s.MaxStates)
	}
	return text.String() + "\n"
}
