package router

import (
	"context"
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane"
	"coursepass/internal/transport"
)

const (
	doubtPath   = "/router/doubt"
	doubtBudget = 300 * schedule.Millisecond
	// doubtEvery is how often at most a router tells or passes on the same doubt.
	doubtEvery = schedule.Second
	// doubtFanout is how many others a doubt is passed on to.
	doubtFanout = 4
	mostDoubts  = 1024
)

// Doubt is a router's word that an engine did not answer it.
type Doubt struct{ Service, Life string }

// doubts remembers which were told lately, so that each is passed on once.
type doubts struct {
	lock sync.Mutex
	told map[Doubt]schedule.Microseconds
}

// fresh notes a doubt, and tells whether it was not told lately.
func (s *doubts) fresh(now schedule.Microseconds, doubt Doubt) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if at, known := s.told[doubt]; known && now-at < doubtEvery {
		return false
	}
	if len(s.told) >= mostDoubts {
		clear(s.told)
	}
	s.told[doubt] = now
	return true
}

// Tell passes the word on that an engine did not answer here. Whoever hears it believes it
// only as far as its own experience does not speak against it.
func (r *Router) Tell(service, life string) {
	doubt := Doubt{service, life}
	if r.doubts.fresh(r.clock.Now(), doubt) {
		r.spread(doubt)
	}
}

func (r *Router) spread(doubt Doubt) {
	sent := 0
	for _, other := range r.gossip.Members() {
		if other.Role != r.Role || sent >= doubtFanout {
			continue
		}
		sent++
		go func() {
			_, _ = circuit.Call[Doubt, core.Thanks](context.Background(), r.inner, other.Inner, doubtPath, doubtBudget, &doubt)
		}()
	}
}

func (r *Router) serveDoubts() {
	circuit.Answer(r.inner, doubtPath, func(_ context.Context, doubt *Doubt) (*core.Thanks, error) {
		if r.follower != nil && r.doubts.fresh(r.clock.Now(), *doubt) {
			r.follower.Doubt(doubt.Service, doubt.Life)
			r.spread(*doubt)
		}
		return &core.Thanks{Taken: 1}, nil
	})
}
