package carrier

import (
	"context"
	"time"

	"coursepass/internal/schedule"
)

const (
	// lookFirst and lookEvery are when a try is looked at, to see whether its engine is silent.
	lookFirst = 700 * schedule.Millisecond
	lookEvery = 100 * schedule.Millisecond
)

// watch ends a try whose engine has gone silent, if the request may go elsewhere then and the
// token for that is taken.
func (way *way) watch(bounded context.Context, life string, may bool) (context.Context, func()) {
	watched, cancel := context.WithCancel(bounded)
	if !may || way.attempts >= way.route.Tries {
		return watched, cancel
	}
	var alarm *time.Timer
	look := func() {
		if watched.Err() != nil {
			return
		}
		if way.pool.Silent(way.now(), life) && way.arrivals.pay(way.carrier.repeats.Take) {
			way.carrier.Silent.Add(1)
			cancel()
			return
		}
		alarm.Reset(lookEvery.Duration())
	}
	ready := make(chan struct{})
	alarm = time.AfterFunc(lookFirst.Duration(), func() {
		<-ready
		look()
	})
	close(ready)
	return watched, func() {
		alarm.Stop()
		cancel()
	}
}
