package router

import (
	"context"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/state/registry"
)

const (
	lookAgain = 5 * time.Millisecond
	// A try is never held to have stalled sooner than this.
	leastStall = 100 * schedule.Millisecond
	// Retry-After is never shorter nor longer than these.
	leastRetry = 100 * schedule.Millisecond
	mostRetry  = 10 * schedule.Second
)

// find waits for engines with room as long as the start can still be met. A request
// that by the pace of the last ones would not have its turn in time is declined at once.
func (r *Router) find(bounded context.Context, passing *passage, work string, choose func(schedule.Microseconds, catalogue.Want) (found, fit bool)) error {
	want := catalogue.Want{Hall: r.Machine.Hall, Versions: passing.service.Versions, Avoid: passing.avoid, Match: r.match(passing)}
	waiting := false
	defer func() {
		if waiting {
			passing.table.Leave()
		}
	}()
	for {
		now := r.clock.Now()
		found, fit := choose(now, want)
		if found {
			passing.table.Turn(now, waiting)
			return nil
		}
		if !fit && len(passing.avoid) > 0 {
			clear(passing.avoid)
			continue
		}
		if !waiting && fit {
			if turn := passing.table.Wait(now); now+turn > passing.start {
				r.Early.Add(1)
				return mishap.New(mishap.BudgetSpent, "room to %s is %d ms away", work, turn/schedule.Millisecond)
			}
			passing.table.Join()
			waiting = true
		}
		if now >= passing.start {
			if fit {
				return mishap.New(mishap.BudgetSpent, "no engine had room to %s", work)
			}
			return mishap.New(mishap.NoEngine, "none can %s for %s", work, passing.template.Service)
		}
		select {
		case <-bounded.Done():
			return mishap.New(mishap.Cancelled, "the caller left")
		case <-time.After(lookAgain):
		}
	}
}

// vigil bounds one try: its engine must show something in time, and then go on showing.
type vigil struct {
	context.Context
	stop    context.CancelFunc
	stalled *time.Timer
	last    *time.Timer
	silence time.Duration
}

// watched bounds a try. An engine that shows nothing within the larger share of what is
// left of the start budget has stalled: it gets no other work from here for a while, and
// a try that may be repeated is given up. A one-shot try is given up when the start is
// late by as much as its budget, and a stream when it falls silent: its caller then has
// the answer at once, not at the abandon budget.
func (r *Router) watched(bounded context.Context, passing *passage, pick *catalogue.Pick) *vigil {
	trying, stop := context.WithCancel(bounded)
	now := r.clock.Now()
	stall := max((passing.start-now)*6/10, leastStall)
	giveUp := func() {
		r.Stalls.Add(1)
		passing.table.Shun(pick.Name, r.clock.Now())
		stop()
	}
	watched := &vigil{Context: trying, stop: stop, silence: (schedule.Microseconds(r.Silence) * schedule.Millisecond).Duration()}
	watched.stalled = time.AfterFunc(stall.Duration(), func() {
		if !passing.template.OneShot() {
			giveUp()
			return
		}
		passing.table.Shun(pick.Name, r.clock.Now())
	})
	watched.last = time.AfterFunc(max(2*passing.start-passing.begun-now, 2*leastStall).Duration(), giveUp)
	return watched
}

// shown notes a frame.
func (a *vigil) shown() {
	a.stalled.Stop()
	a.last.Reset(a.silence)
}

func (a *vigil) end() {
	a.stalled.Stop()
	a.last.Stop()
	a.stop()
}

// retry is when a caller who was declined should come back, by what is known here; zero
// where coming back is no use.
func (r *Router) retry(passing *passage, code mishap.Code) schedule.Microseconds {
	now := r.clock.Now()
	span := schedule.Microseconds(0)
	switch code {
	case mishap.RouterStale:
		// A gate that has been shut for long is not tried as often as one that just shut.
		span = max(r.gate.Shut(now)/2, readEvery)
	case mishap.RouterLeaving:
		span = readEvery
	case mishap.ClaimUnheard:
		span = shunSeat
	case mishap.KeysFull:
		span = r.keys.Lapse(now)
	case mishap.NoEngine, mishap.QueueFull, mishap.BudgetSpent, mishap.RepeatsSpent:
		if span = leastRetry; passing != nil && passing.table != nil {
			span = passing.table.Wait(now)
		}
	default:
		return 0
	}
	return min(max(span, leastRetry), mostRetry)
}
