package carrier

import (
	"context"
	"sync"
	"time"

	"coursepass/internal/clock"
)

const (
	// lookEvery is how often a request whose patience is over looks for a token to go elsewhere.
	lookEvery = 50 * schedule.Millisecond
	// stalled is how late a look may come before this process itself counts as having stood
	// still.
	stalled = 50 * schedule.Millisecond
	// streamPatience is the least time that a stream may pause before it is resumed elsewhere.
	streamPatience = 800 * schedule.Millisecond
)

// watch follows one attempt at an engine. Once nothing has come for as long as its patience
// lasts, the attempt is given up if the request may go elsewhere and the token for that is
// taken. Else it waits on, and the engine has a fault once that has lasted twice as long.
type watch struct {
	way      *way
	life     string
	may      bool
	cancel   context.CancelFunc
	lock     sync.Mutex
	alarm    *time.Timer
	began    schedule.Microseconds
	patience schedule.Microseconds
	due      schedule.Microseconds
	next     schedule.Microseconds
	noted    bool
	ended    bool
}

// watch begins to follow an attempt; may says that it may be given up.
func (way *way) watch(bounded context.Context, life string, may bool, patience schedule.Microseconds) (context.Context, *watch) {
	watched, cancel := context.WithCancel(bounded)
	begun := &watch{way: way, life: life, may: may, cancel: cancel, began: way.now(), patience: patience}
	begun.lock.Lock()
	defer begun.lock.Unlock()
	begun.due = begun.began + patience
	begun.next = begun.due
	begun.alarm = time.AfterFunc(patience.Duration(), begun.look)
	return watched, begun
}

// look is called when the patience may be over.
func (a *watch) look() {
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.ended {
		return
	}
	now := a.way.now()
	if now-a.next > stalled {
		// What did not come while this process stood still proves nothing.
		a.due = now + a.patience
		a.way.pool.Alive(now, a.life)
	}
	if now < a.due && !a.way.pool.Silent(now, a.life) {
		a.again(now, a.due-now)
		return
	}
	if a.may && a.way.arrivals.pay(a.way.carrier.repeats.Take) {
		a.way.carrier.Silent.Add(1)
		a.cancel()
		return
	}
	a.note(now)
	if a.may || !a.noted {
		a.again(now, lookEvery)
	}
}

// note counts a fault of the engine once an attempt that is not given up has waited twice as
// long as its patience.
func (a *watch) note(now schedule.Microseconds) {
	if a.noted || now-a.due < a.patience {
		return
	}
	a.noted = true
	a.way.pool.Fault(now, a.life)
	// An engine that has answered others meanwhile has more than a long queue.
	if tell := a.way.carrier.Tell; tell != nil && a.way.pool.HeardSince(a.life, a.began) {
		go tell(a.way.service, a.life)
	}
}

func (a *watch) again(now, span schedule.Microseconds) {
	a.next = now + span
	a.alarm.Reset(span.Duration())
}

// alive notes that something has come, and how long the next may take.
func (a *watch) alive(patience schedule.Microseconds) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.due, a.patience = a.way.now()+patience, patience
}

// keep says that the attempt is not given up any more.
func (a *watch) keep() {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.may = false
}

// end ends the watch and the attempt.
func (a *watch) end() {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.ended = true
	a.alarm.Stop()
	a.cancel()
}
