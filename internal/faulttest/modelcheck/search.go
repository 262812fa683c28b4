package explore

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// orders are what two operators send in a search: conflicting ones on one base.
var orders = []Order{{1, 0, "a"}, {1, 0, "b"}, {2, 1, "c"}, {2, 0, "d"}}

// Enabled are the events that can happen now, failures in the bounds that are left.
func (s *World) Enabled() []Event {
	events := []Event{{Kind: Tick}, {Kind: Calm, Other: 2}, {Kind: Calm, Other: int(s.options.Lease/s.options.Delta) + 9}}
	events = append(events, s.messageEvents()...)
	for number, each := range s.daemons {
		events = append(events, s.daemonEvents(number, each)...)
	}
	if len(s.cuts) > 0 {
		events = append(events, Event{Kind: Heal})
	}
	return events
}

func (s *World) messageEvents() []Event {
	var events []Event
	seen := map[string]bool{}
	for place, name := range s.names() {
		each := s.network[place]
		if alike, _, _ := strings.Cut(name, "#"); seen[alike] || !s.deliverable(each) {
			continue
		}
		seen[name] = true
		events = append(events, Event{Kind: Deliver, Message: name})
		if s.left.Repeats > 0 {
			events = append(events, Event{Kind: Repeat, Message: name})
		}
	}
	return events
}

func (s *World) daemonEvents(number int, each *daemon) []Event {
	var events []Event
	add := func(possible bool, kind EventKind, other int) {
		if possible {
			events = append(events, Event{Kind: kind, Daemon: number, Other: other})
		}
	}
	left, running := s.left, each.running()
	add(s.syncable(each), Sync, 0)
	add(!each.down && left.Crashes > 0 && each.member != nil, Crash, 0)
	add(!each.down && left.Crashes > 0 && len(each.pending) > 0, Crash, 1)
	add(each.down, Restart, 0)
	add(each.down && left.Wipes > 0 && !each.wiped, Wipe, 0)
	add(running && left.Freezes > 0 && each.member != nil, Freeze, 0)
	add(each.frozen, Thaw, 0)
	add(running && !each.stalled && left.Stalls > 0 && each.member != nil, Stall, 0)
	add(each.stalled, Unstall, 0)
	for way := range 3 {
		add(left.Cuts > 0 && each.member != nil && len(s.cuts) == 0, Isolate, way)
	}
	for other, asked := range s.daemons {
		add(left.Seeks > 0 && running && each.member == nil && each.seeks == "" && other < s.options.Members && other != number, Seek, other)
		add(left.Seeks > 0 && running && each.member == nil && each.seeks == "" && other < s.options.Members && other != number, Override, other)
		add(s.asks(each, asked) && (each.seeks != "" || asked.known.Epoch > each.known.Epoch), Ask, other)
	}
	if running && each.member != nil && each.member.Confirmed(s.Now) {
		add(left.Reads > 0, Read, 0)
		for _, order := range orders {
			if left.Orders > 0 {
				events = append(events, Event{Kind: Send, Daemon: number, Order: order})
			}
		}
	}
	return events
}

// Path is the list of events that led here.
func (s *World) Path() []Event {
	var events []Event
	for step := s.path; step != nil; step = step.before {
		events = append(events, step.event)
	}
	slices.Reverse(events)
	return events
}

// Format writes a path so that ParseEvents reads it.
func Format(events []Event) string {
	words := make([]string, len(events))
	for place, event := range events {
		words[place] = event.String()
	}
	return strings.Join(words, " ")
}

// Failure is a path to a state that must never be.
type Failure struct {
	Path       []Event
	Violations []string
}

// Level is what one depth of a search found.
type Level struct {
	Depth, Made, Distinct int
}

// Search is a breadth-first search.
type Search struct {
	// Depth bounds the events of a path, States those that are kept for going on, and
	// Workers how many states are expanded at once.
	Depth, States, Workers int
	Levels                 []Level
	Distinct, Made         int
	Cut                    bool
	Elapsed                time.Duration
	Failures               []Failure
}

// Run searches from a state. It stops after the first depth with failures, and says in
// Cut that a level had more states than may be kept.
func (s *Search) Run(start *World) {
	began := time.Now()
	seen := map[Fingerprint]bool{start.Fingerprint(): true}
	frontier := []*World{start}
	s.Distinct = 1
	for depth := 1; depth <= s.Depth && len(frontier) > 0 && len(s.Failures) == 0; depth++ {
		frontier = s.level(frontier, seen, depth)
	}
	s.Elapsed = time.Since(began)
}

type expansion struct {
	world *World
	print Fingerprint
}

// level expands all states of one depth; the order of what it finds does not depend on
// the number of workers.
func (s *Search) level(frontier []*World, seen map[Fingerprint]bool, depth int) []*World {
	level := Level{Depth: depth}
	var next []*World
	const chunk = 256
	for start := 0; start < len(frontier) && len(s.Failures) == 0; start += chunk {
		part := frontier[start:min(start+chunk, len(frontier))]
		for _, found := range s.expandAll(part) {
			for _, each := range found {
				level.Made++
				if seen[each.print] {
					continue
				}
				seen[each.print] = true
				level.Distinct++
				switch {
				case len(each.world.Violations) > 0:
					s.Failures = append(s.Failures, Failure{each.world.Path(), each.world.Violations})
				case depth == s.Depth:
				case len(next) < s.States:
					next = append(next, each.world)
				default:
					s.Cut = true
				}
			}
		}
		clear(part)
	}
	s.Levels = append(s.Levels, level)
	s.Distinct, s.Made = s.Distinct+level.Distinct, s.Made+level.Made
	return next
}

func (s *Search) expandAll(part []*World) [][]expansion {
	found := make([][]expansion, len(part))
	var group sync.WaitGroup
	places := make(chan int)
	for range max(s.Workers, 1) {
		group.Go(func() {
			for place := range places {
				found[place] = expand(part[place])
			}
		})
	}
	for place := range part {
		places <- place
	}
	close(places)
	group.Wait()
	return found
}

func expand(world *World) []expansion {
	var found []expansion
	for _, event := range world.Enabled() {
		next := world.clone()
		if next.Apply(event) {
			found = append(found, expansion{next, next.Fingerprint()})
		}
	}
	return found
}

// String is a line for each depth and one for all.
func (s *Search) String() string {
	var text strings.Builder
	for _, level := range s.Levels {
		fmt.Fprintf(&text, "  depth %d: %d steps, %d new states\n", level.Depth, level.Made, level.Distinct)
	}
	fmt.Fprintf(&text, "  %d distinct states, %d steps, %.0f steps a second", s.Distinct, s.Made, float64(s.Made)/s.Elapsed.Seconds())
	if s.Cut {
		fmt.Fprintf(&text, "; cut: more than %d states at one depth", s.States)
	}
	return text.String() + "\n"
}
