package carrier

import (
	"context"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/platformport"
	"coursepass/internal/state/maintenance"
)

const (
	// moveRest is how long a stream that could not be moved waits until it is tried again.
	moveRest = 250 * schedule.Millisecond
	// moveBudget is how long the engine that is to go on may take to answer; callers give up
	// after two seconds of silence.
	moveBudget = schedule.Second
)

// due tells whether a stream's moment has come to leave the region of its engine.
func (way *way) due(writer port.Engine) bool {
	now := way.now()
	return now >= way.rested && way.carrier.board.Any() && way.carrier.board.Due(now, way.carrier.Regions.Of(writer.Hall), way.call.Identity)
}

// move has another engine go on behind the last whole event that the caller has. The engine
// that it leaves keeps its run, unread, until the other's answer has come: a move that comes
// to nothing costs the caller no event. It says whether the stream has left.
func (way *way) move(bounded context.Context, writer port.Engine, leave func()) (verdict, bool) {
	way.rested = way.now() + moveRest
	if way.attempts >= way.route.Tries || !way.carrier.depart(writer.Life) {
		return over, false
	}
	arrived := func() { way.carrier.arrive(writer.Life) }
	choice, found := way.choose()
	if !found || choice.Full || way.late(choice, writer) || !way.more() {
		return way.stay(arrived)
	}
	moving, cancel := context.WithCancel(bounded)
	defer cancel()
	alarm := time.AfterFunc(moveBudget.Duration(), cancel)
	defer alarm.Stop()
	way.taken = false
	way.release = func() bool {
		if !alarm.Stop() {
			return false
		}
		arrived()
		leave()
		way.carrier.Moved.Add(1)
		return true
	}
	way.step(Resuming)
	result := way.attempt(moving, choice)
	if way.taken {
		return result, true
	}
	way.release = nil
	if way.State != Resuming {
		way.step(Resuming)
	}
	way.step(relay.Streaming)
	return way.stay(arrived)
}

// late tells whether a move would pause the stream for longer than its budget of pauses.
// Once the window is over it leaves all the same.
func (way *way) late(choice pool.Choice, writer port.Engine) bool {
	over := way.carrier.board.Phase(way.now(), way.carrier.Regions.Of(writer.Hall)) == notice.Over
	return !over && way.route.Gap > 0 && choice.Wait > way.route.Gap
}

func (way *way) stay(arrived func()) (verdict, bool) {
	arrived()
	way.carrier.Stayed.Add(1)
	way.rested = way.now() + moveRest
	return over, false
}

// depart begins a move from an engine, one at a time, so that the others aren't flooded.
func (p *Carrier) depart(life string) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.leaving[life] {
		return false
	}
	p.leaving[life] = true
	return true
}

func (p *Carrier) arrive(life string) {
	p.lock.Lock()
	defer p.lock.Unlock()
	delete(p.leaving, life)
}

// Live counts the calls under way at engines of regions under notice, by engine.
func (p *Carrier) Live() map[string]int {
	regions := p.board.Regions()
	if len(regions) == 0 {
		return nil
	}
	found := map[string]int{}
	p.lock.Lock()
	defer p.lock.Unlock()
	for _, each := range p.pools {
		each.Live(regions, found)
	}
	return found
}
