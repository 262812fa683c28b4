// Package pool is a router's picture of a service's engines: what they hold, how loaded
// they are, and which of them a request is best sent to. It is pure: the time is told.
package pool

import (
	"coursepass/internal/clock"
	"coursepass/internal/platformport"
)

const (
	// heldFor is how long a piece that was sent to an engine is taken to be held there.
	heldFor = 20 * schedule.Second
	// toldFor is how long what an engine told of its load counts, fading.
	toldFor = 600 * schedule.Millisecond
	// doubtLeast and doubtMost bound the pause of an engine that failed.
	doubtLeast = 500 * schedule.Millisecond
	doubtMost  = 4 * schedule.Second
	// doubtHeard is how long another router's word leaves an engine out, unless it has shown
	// something here within doubtFresh.
	doubtHeard = 700 * schedule.Millisecond
	doubtFresh = 150 * schedule.Millisecond
	mostHeld   = 4096
)

// member is one engine's life as this router knows it.
type member struct {
	port.Engine
	// reading is the number of prompt tokens, running the number of answers under way
	// here for this router.
	reading int
	running int
	load    port.Load
	told    schedule.Microseconds
	held    map[string]schedule.Microseconds
	doubt   schedule.Microseconds
	fails   int
	// faults are how many requests it failed lately, as of faultsAt; penalty is what they add
	// to its cost in the choice that is being made.
	faults   float64
	faultsAt schedule.Microseconds
	penalty  schedule.Microseconds
	sends    []schedule.Microseconds
	// chill is until when the engine is taken for cold whatever the list says.
	chill schedule.Microseconds
	// owed is how many answers the engine has not ended, heard when it showed anything last.
	owed  int
	heard schedule.Microseconds
}

// strangers is how many requests of other routers the engine is taken to have.
func (e *member) strangers(now schedule.Microseconds) float64 {
	age := now - e.told
	if !e.load.Told || age >= toldFor {
		return 0
	}
	fade := 1 - float64(age)/float64(toldFor)
	return fade * float64(max(e.load.Running+e.load.Waiting-e.running, 0))
}

func (e *member) holds(now schedule.Microseconds, name string) bool {
	at, known := e.held[name]
	return known && now-at < heldFor
}

// unread is how many tokens of a prompt the engine would have to read. Home says that the
// prompt's shared pieces are at home there, so that other routers send them there too.
func (e *member) unread(now schedule.Microseconds, prompt []port.Piece, home bool) int {
	tokens, whole := 0, true
	for place, piece := range prompt {
		shared := place < len(prompt)-1
		if whole = whole && shared && (home || e.holds(now, piece.Name)); !whole {
			tokens += piece.Tokens
		}
	}
	return tokens
}

func (e *member) keep(now schedule.Microseconds, prompt []port.Piece) {
	if len(e.held) > mostHeld {
		clear(e.held)
	}
	for _, piece := range prompt {
		e.held[piece.Name] = now
	}
}

func (e *member) fail(now schedule.Microseconds) {
	e.fails++
	e.fault(now, 1)
	pause := doubtLeast << min(e.fails-1, 3)
	e.doubt = now + min(pause, doubtMost)
}

func (e *member) answer(now schedule.Microseconds, load port.Load) {
	e.fails, e.doubt, e.heard = 0, 0, now
	if load.Told {
		e.load, e.told = load, now
	}
}

// silent tells whether the engine owes answers and has shown nothing for longer than any
// answer takes.
func (e *member) silent(now schedule.Microseconds, pace float64) bool {
	return e.mute(now, pace, silence)
}

// slow tells whether an engine that owes answers has shown nothing for longer than well
// ones do, so that new work is better sent elsewhere.
func (e *member) slow(now schedule.Microseconds, pace float64) bool {
	return e.mute(now, pace, slowness)
}

func (e *member) mute(now schedule.Microseconds, pace float64, span schedule.Microseconds) bool {
	if e.owed == 0 {
		return false
	}
	queue := schedule.Microseconds(float64(e.reading) / pace * 1000)
	return now-e.heard > span+2*queue
}

// slowness is longer than most answers take to show something.
const slowness = 350 * schedule.Millisecond

// silence is longer than a well engine that owes an answer goes without showing anything.
const silence = 700 * schedule.Millisecond
