package carrier

import (
	"context"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/errcode"
	"coursepass/internal/platformport"
	"coursepass/internal/state/route"
)

// way is one request on its way.
type way struct {
	*chart
	carrier *Carrier
	route   *route.Route
	service string
	pool    *pool.Pool
	call    port.Call
	caller  port.Caller
	begun   schedule.Microseconds
	until   schedule.Microseconds
	avoid   map[string]bool
	// reads counts the calls that only read the prompt.
	reads    int
	attempts int
	// arrivals is what engines may have seen of the request, and what is paid for it.
	arrivals arrivals
	// reread says that the prompt may be read at a second engine.
	reread bool
	// headed says that the caller has the head of an answer, last the last event it has.
	headed bool
	last   string
	// taken says that the answer of the present try is passed on; release ends the try that
	// a stream is moved from as soon as another is taken, and says whether it still may be.
	taken   bool
	release func() bool
	// rested is when a move may be tried again.
	rested schedule.Microseconds
}

func (way *way) now() schedule.Microseconds { return way.carrier.clock.Now() }

// verdict is what became of one try.
type verdict int

const (
	whole verdict = iota
	// again: nothing of it ran, another engine may be tried.
	again
	// anew: nothing was sent, since the engine had its share meanwhile; choose once more.
	anew
	// lost: it may have run, and the caller has no head yet.
	lost
	// broken: the caller has a head, and the answer ended early.
	broken
	// over: the caller left or the time is up.
	over
	// unpaid: the retry budget has no token for one more arrival at an engine.
	unpaid
)

func (way *way) run(bounded context.Context) bool {
	way.step(relay.Enrolled)
	waited := false
	for {
		choice, found := way.choose()
		if !found || choice.Full && !waited {
			// A place may come free: wait a little, but no longer than leaves the caller
			// time to come back.
			if !waited && way.attempts == 0 && way.now()-way.begun < way.patience() && way.pause(bounded) {
				continue
			}
			if !found {
				way.carrier.NoEngine.Add(1)
				return way.decline(mishap.NoEngine, comeBackSoon)
			}
			waited = true
		}
		switch way.attempt(bounded, choice) {
		case whole:
			way.step(relay.Finished)
			way.carrier.Finished.Add(1)
			return true
		case anew:
		case again:
			if !way.more() {
				return way.decline(mishap.NoEngine, comeBackSoon)
			}
		case lost:
			if !way.route.MayRepeat() || !way.more() {
				return way.decline(mishap.EndingUnknown, 0)
			}
			way.step(relay.Enrolled)
			way.carrier.Repeats.Add(1)
		case broken:
			if !way.route.Resume || !way.more() {
				way.carrier.Cut.Add(1)
				return false
			}
			way.step(Resuming)
			way.carrier.Resumed.Add(1)
		case unpaid:
			return way.decline(mishap.NoEngine, comeBackSoon)
		case over:
			way.carrier.Left.Add(1)
			return way.ended(bounded)
		}
		if way.now() >= way.until || bounded.Err() != nil {
			return way.ended(bounded)
		}
	}
}

// patience is how long a request may wait for a place before it is declined.
func (way *way) patience() schedule.Microseconds {
	if way.route.Start <= 0 {
		return 100 * schedule.Millisecond
	}
	return way.route.Start / 5
}

func (way *way) pause(bounded context.Context) bool {
	way.carrier.Waited.Add(1)
	alarm := time.NewTimer((15 * schedule.Millisecond).Duration())
	defer alarm.Stop()
	select {
	case <-bounded.Done():
		return false
	case <-alarm.C:
		return true
	}
}

// choose also says no once the engines that were tried are all there are.
func (way *way) choose() (pool.Choice, bool) {
	if way.pool == nil {
		return pool.Choice{}, false
	}
	return way.pool.Choose(way.now(), way.wish())
}

func (way *way) wish() pool.Wish {
	wish := pool.Wish{Prompt: way.call.Prompt, Length: len(way.call.Body), Once: !way.route.MayRepeat(), Avoid: way.avoid, Name: way.call.Identity, Homes: way.route.Homes}
	name := way.call.Identity
	if count := len(way.call.Prompt); count > 1 {
		name = way.call.Prompt[count-2].Name
	}
	wish.Shut = way.carrier.board.Shut(way.now(), way.until, way.route.Kind == route.Stream && way.route.Resume, name)
	// A prompt that is read elsewhere counts as an attempt if it is turned away.
	wish.Whole = way.reads > 0 && !way.reread || len(way.call.Prompt) == 0
	return wish
}

// more tells whether one more engine may be asked, and pays for it.
func (way *way) more() bool {
	if way.attempts >= max(way.route.Tries, 1) || way.now() >= way.until {
		return false
	}
	return way.pay()
}

// pay takes the tokens of the retry budget that one more arrival at an engine needs. Nothing
// is sent without it.
func (way *way) pay() bool {
	if !way.arrivals.pay(way.carrier.repeats.Take) {
		way.carrier.RepeatsSpent.Add(1)
		return false
	}
	return true
}

func (way *way) ended(bounded context.Context) bool {
	if way.headed {
		way.carrier.Cut.Add(1)
		return false
	}
	if way.Unstarted() {
		return way.decline(mishap.BudgetSpent, comeBackSoon)
	}
	return way.decline(mishap.Abandoned, 0)
}

// decline answers with what is proved and no more.
func (way *way) decline(code mishap.Code, retry schedule.Microseconds) bool {
	if way.headed {
		way.carrier.Cut.Add(1)
		return false
	}
	if !way.Unstarted() && code.Status() == 503 {
		code, retry = mishap.EndingUnknown, 0
	}
	if way.Unstarted() {
		way.carrier.Declined.Add(1)
	} else {
		way.carrier.Unknown.Add(1)
	}
	way.caller.Decline(mishap.New(code, "service %s", way.service), retry)
	return true
}

func (way *way) urgency() int { return min(1+3*max(way.route.Priority, 0), 9) }

func (way *way) try(engine port.Engine) port.Try {
	made := port.Try{Call: way.call, Address: engine.Address, Life: engine.Life, Urgency: way.urgency()}
	if way.last != "" {
		made.Resume = way.last
	}
	return made
}

// missed is a try whose fate is not known.
func (way *way) missed() verdict {
	if way.headed {
		return broken
	}
	return lost
}

func (way *way) free(address, source string) {
	ticket := source[len(address)+1:]
	way.carrier.Freed.Add(1)
	go func() {
		bounded, cancel := context.WithTimeout(context.Background(), schedule.Second.Duration())
		defer cancel()
		_ = way.carrier.driver.Free(bounded, address, ticket)
	}()
}
