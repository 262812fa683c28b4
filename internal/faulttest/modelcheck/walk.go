package explore

import (
	"fmt"
	"math/rand/v2"
)

// weights are how often a walk takes an event of each kind, if it can happen.
var weights = map[EventKind]int{
	Deliver: 500, Repeat: 6, Sync: 300, Tick: 60, Calm: 12, Crash: 5, Restart: 30, Wipe: 8, Freeze: 2, Thaw: 15, Stall: 2,
	Unstall: 15, Isolate: 3, Heal: 15, Send: 12, Read: 12, Seek: 3, Override: 2, Ask: 30,
}

// Generous bounds the failures of a walk.
var Generous = Budget{Crashes: 60, Wipes: 10, Freezes: 20, Cuts: 20, Repeats: 200, Orders: 200, Reads: 200, Seeks: 10, Stalls: 20}

// WalkInFlight is how many messages may be under way in a walk.
const WalkInFlight = 40

// Acknowledged is how many orders and reads were answered.
func (s *World) Acknowledged() int { return len(s.watch.acknowledged) }

// Walk takes so many random steps, and stops at the first violation.
func (s *World) Walk(seed uint64, steps int) {
	chance := rand.New(rand.NewPCG(seed, 2))
	for range steps {
		if len(s.Violations) > 0 {
			return
		}
		s.Apply(s.draw(chance))
	}
}

// draw chooses a kind by its weight, and then one of its events. Orders build on what is
// in force somewhere, so that a walk is not done after a few.
func (s *World) draw(chance *rand.Rand) Event {
	byKind := map[EventKind][]Event{}
	var kinds []EventKind
	total := 0
	for _, event := range s.Enabled() {
		if byKind[event.Kind] == nil {
			kinds = append(kinds, event.Kind)
			total += weights[event.Kind]
		}
		byKind[event.Kind] = append(byKind[event.Kind], event)
	}
	drawn := chance.IntN(total)
	for _, kind := range kinds {
		if drawn -= weights[kind]; drawn < 0 {
			event := byKind[kind][chance.IntN(len(byKind[kind]))]
			if kind == Send {
				event.Order = s.drawOrder(chance)
			}
			return event
		}
	}
	return Event{Kind: Tick}
}

// drawOrder is an order of one of two operators, on a base that is in force or was; some
// are sent again.
func (s *World) drawOrder(chance *rand.Rand) Order {
	base := uint64(0)
	if s.watch.longest != nil {
		base = s.watch.longest.state.Label
	}
	base -= min(base, uint64(chance.IntN(3)))
	return Order{Label: base + 1, On: base, Digest: fmt.Sprint("operator", chance.IntN(2))}
}

// Replay lets events happen on a fresh group; those that can't happen are left out.
func Replay(options *Options, events []Event) *World {
	world := New(options)
	for _, event := range events {
		if len(world.Violations) > 0 {
			break
		}
		world.Apply(event)
	}
	return world
}

// Shrink leaves out what a failing path does not need.
func Shrink(options *Options, events []Event) Failure {
	best := Replay(options, events)
	for span := len(events) / 2; span > 0; {
		smaller := false
		path := best.Path()
		for start := 0; start+span <= len(path); {
			tried := Replay(options, append(append([]Event(nil), path[:start]...), path[start+span:]...))
			if len(tried.Violations) > 0 && len(tried.Path()) < len(path) {
				best, path, smaller = tried, tried.Path(), true
				continue
			}
			start += span
		}
		if span > 1 || !smaller {
			span /= 2
		}
	}
	return Failure{best.Path(), best.Violations}
}
