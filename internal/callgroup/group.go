// Package callgroup tracks calls in flight, so that a server that stops can wait for them.
package callgroup

import (
	"context"
	"sync"
)

// Group tracks calls in flight until it is closed. Unlike a sync.WaitGroup, it permits that a call begins while
// another goroutine closes the group: the call is then either waited for or rejected. The zero value is an
// open group without calls.
type Group struct {
	// lock guards the fields below.
	lock     sync.Mutex
	inFlight int
	// ended is nil while the group is open. Afterwards it is closed once no call is in flight.
	ended chan struct{}
}

// Begin begins a call, which must end with End. It reports false if the group is closed; the call must not
// run then.
func (g *Group) Begin() bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.ended != nil {
		return false
	}
	g.inFlight++
	return true
}

// End ends a call that has begun.
func (g *Group) End() {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.inFlight--
	if g.ended != nil && g.inFlight == 0 {
		close(g.ended)
	}
}

// Close closes the group, then waits until no call is in flight. It returns the error of the context if the context
// ends first. Close may be called repeatedly.
func (g *Group) Close(ctx context.Context) error {
	select {
	case <-g.close():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// close closes the group and returns the channel that is closed once no call is in flight.
func (g *Group) close() <-chan struct{} {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.ended == nil {
		g.ended = make(chan struct{})
		if g.inFlight == 0 {
			close(g.ended)
		}
	}
	return g.ended
}
