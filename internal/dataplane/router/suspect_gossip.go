package router

import (
	"context"
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/transport"
)

const (
	suspectPath    = "/router/doubt"
	suspectTimeout = 300 * clock.Millisecond
	// suspectInterval is how often at most a router tells or passes on the same doubt.
	suspectInterval = clock.Second
	// suspectFanout is how many others a doubt is passed on to.
	suspectFanout = 4
	maxSuspects   = 1024
)

// Suspect is a router's word that an engine did not answer it.
type Suspect struct{ Service, Life string }

// suspectLog remembers which were told lately, so that each is passed on once.
type suspectLog struct {
	lock       sync.Mutex
	reportedAt map[Suspect]clock.Microseconds
}

// record notes a doubt, and tells whether it was not told lately.
func (s *suspectLog) record(now clock.Microseconds, suspect Suspect) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if reportedAt, ok := s.reportedAt[suspect]; ok && now-reportedAt < suspectInterval {
		return false
	}
	if len(s.reportedAt) >= maxSuspects {
		clear(s.reportedAt)
	}
	s.reportedAt[suspect] = now
	return true
}

// ReportSuspect passes the word on that an engine did not answer here. Whoever hears it believes it
// only as far as its own experience does not speak against it.
func (r *Router) ReportSuspect(service, incarnation string) {
	suspect := Suspect{service, incarnation}
	if r.suspects.record(r.clock.Now(), suspect) {
		r.forwardSuspect(suspect)
	}
}

func (r *Router) forwardSuspect(suspect Suspect) {
	sent := 0
	for _, peer := range r.gossip.Members() {
		if peer.Role != r.Role || sent >= suspectFanout {
			continue
		}
		sent++
		go func() {
			_, _ = transport.Call[Suspect, controlapi.SnapshotOfferResponse](context.Background(), r.internal, peer.Inner, suspectPath, suspectTimeout, &suspect)
		}()
	}
}

func (r *Router) registerSuspectHandler() {
	transport.Handle(r.internal, suspectPath, func(_ context.Context, suspect *Suspect) (*controlapi.SnapshotOfferResponse, error) {
		if r.dataPlane != nil && r.suspects.record(r.clock.Now(), *suspect) {
			r.dataPlane.HandleSuspect(suspect.Service, suspect.Life)
			r.forwardSuspect(*suspect)
		}
		return &controlapi.SnapshotOfferResponse{Taken: 1}, nil
	})
}
