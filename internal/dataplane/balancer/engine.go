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
func (member *member) strangers(now schedule.Microseconds) float64 {
	age := now - member.told
	if !member.load.Told || age >= toldFor {
		return 0
	}
	fade := 1 - float64(age)/float64(toldFor)
	return fade * float64(max(member.load.Running+member.load.Waiting-member.running, 0))
}

func (member *member) holds(now schedule.Microseconds, name string) bool {
	at, known := member.held[name]
	return known && now-at < heldFor
}

// unread is how many tokens of a prompt the engine would have to read. Home says that the
// prompt's shared pieces are at home there, so that other routers send them there too.
func (member *member) unread(now schedule.Microseconds, prompt []port.Piece, home bool) int {
	tokens, whole := 0, true
	for place, piece := range prompt {
		shared := place < len(prompt)-1
		if whole = whole && shared && (home || member.holds(now, piece.Name)); !whole {
			tokens += piece.Tokens
		}
	}
	return tokens
}

func (member *member) keep(now schedule.Microseconds, prompt []port.Piece) {
	if len(member.held) > mostHeld {
		clear(member.held)
	}
	for _, piece := range prompt {
		member.held[piece.Name] = now
	}
}

func (member *member) fail(now schedule.Microseconds) {
	member.fails++
	member.fault(now, 1)
	pause := doubtLeast << min(member.fails-1, 3)
	member.doubt = now + min(pause, doubtMost)
}

func (member *member) answer(now schedule.Microseconds, load port.Load) {
	member.fails, member.doubt, member.heard = 0, 0, now
	if load.Told {
		member.load, member.told = load, now
	}
}

// silent tells whether the engine owes answers and has shown nothing for longer than any
// answer takes.
func (member *member) silent(now schedule.Microseconds, pace float64) bool {
	return member.mute(now, pace, silence)
}

// slow tells whether an engine that owes answers has shown nothing for longer than well
// ones do, so that new work is better sent elsewhere.
func (member *member) slow(now schedule.Microseconds, pace float64) bool {
	return member.mute(now, pace, slowness)
}

func (member *member) mute(now schedule.Microseconds, pace float64, span schedule.Microseconds) bool {
	if member.owed == 0 {
		return false
	}
	queue := schedule.Microseconds(float64(member.reading) / pace * 1000)
	return now-member.heard > span+2*queue
}

// slowness is longer than most answers take to show something.
const slowness = 350 * schedule.Millisecond

// silence is longer than a well engine that owes an answer goes without showing anything.
const silence = 700 * schedule.Millisecond
