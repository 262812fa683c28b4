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
func (watch *watch) look() {
	watch.lock.Lock()
	defer watch.lock.Unlock()
	if watch.ended {
		return
	}
	now := watch.way.now()
	if now-watch.next > stalled {
		// What did not come while this process stood still proves nothing.
		watch.due = now + watch.patience
		watch.way.pool.Alive(now, watch.life)
	}
	if now < watch.due && !watch.way.pool.Silent(now, watch.life) {
		watch.again(now, watch.due-now)
		return
	}
	if watch.may && watch.way.arrivals.pay(watch.way.carrier.repeats.Take) {
		watch.way.carrier.Silent.Add(1)
		watch.cancel()
		return
	}
	watch.note(now)
	if watch.may || !watch.noted {
		watch.again(now, lookEvery)
	}
}

// note counts a fault of the engine once an attempt that is not given up has waited twice as
// long as its patience.
func (watch *watch) note(now schedule.Microseconds) {
	if watch.noted || now-watch.due < watch.patience {
		return
	}
	watch.noted = true
	watch.way.pool.Fault(now, watch.life)
	// An engine that has answered others meanwhile has more than a long queue.
	if tell := watch.way.carrier.Tell; tell != nil && watch.way.pool.HeardSince(watch.life, watch.began) {
		go tell(watch.way.service, watch.life)
	}
}

func (watch *watch) again(now, span schedule.Microseconds) {
	watch.next = now + span
	watch.alarm.Reset(span.Duration())
}

// alive notes that something has come, and how long the next may take.
func (watch *watch) alive(patience schedule.Microseconds) {
	watch.lock.Lock()
	defer watch.lock.Unlock()
	watch.due, watch.patience = watch.way.now()+patience, patience
}

// keep says that the attempt is not given up any more.
func (watch *watch) keep() {
	watch.lock.Lock()
	defer watch.lock.Unlock()
	watch.may = false
}

// end ends the watch and the attempt.
func (watch *watch) end() {
	watch.lock.Lock()
	defer watch.lock.Unlock()
	watch.ended = true
	watch.alarm.Stop()
	watch.cancel()
}
