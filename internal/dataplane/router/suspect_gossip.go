package router

import (
	"context"
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/transport"
)

const (
	// suspectPath is the procedure by which routers tell each other of suspects.
	suspectPath    = "/router/doubt"
	suspectTimeout = 300 * clock.Millisecond
	// suspectInterval is how often at most a router reports or forwards the same suspect.
	suspectInterval = clock.Second
	// suspectFanout is how many other routers a suspect is forwarded to.
	suspectFanout = 4
	// maxSuspects bounds the suspects that are remembered.
	maxSuspects = 1024
)

// Suspect is an engine's incarnation that did not answer a router.
type Suspect struct{ Service, Life string }

// suspectLog remembers which suspects were reported recently, so that each is forwarded once.
type suspectLog struct {
	lock       sync.Mutex
	reportedAt map[Suspect]clock.Microseconds
}

// newSuspectLog makes an empty log.
func newSuspectLog() suspectLog {
	return suspectLog{reportedAt: map[Suspect]clock.Microseconds{}}
}

// record notes a suspect, and reports whether it had not been recorded recently.
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

// ReportSuspect tells other routers that an engine did not answer here. They believe it only as far
// as their own experience does not contradict it.
func (r *Router) ReportSuspect(service, incarnation string) {
	suspect := Suspect{service, incarnation}
	if r.suspects.record(r.clock.Now(), suspect) {
		r.forwardSuspect(context.Background(), suspect)
	}
}

// forwardSuspect tells a few other routers of a suspect. It does not wait for them.
func (r *Router) forwardSuspect(parent context.Context, suspect Suspect) {
	sent := 0
	for _, peer := range r.gossip.Members() {
		if peer.Role != r.Role || sent >= suspectFanout {
			continue
		}
		sent++
		go func() {
			// A lost message is not sent again: each router finds out by itself in the end.
			target := transport.Target{Address: peer.InternalAddress, Procedure: suspectPath, Timeout: suspectTimeout}
			_, _ = transport.Call[Suspect, controlapi.SnapshotOfferResponse](
				context.WithoutCancel(parent), r.internal, target, &suspect,
			)
		}()
	}
}

// registerSuspectHandler serves other routers' suspects. They matter to a data plane only; without one
// they are dropped.
func (r *Router) registerSuspectHandler() {
	transport.Handle(r.internal, suspectPath, func(ctx context.Context, suspect *Suspect) (*controlapi.SnapshotOfferResponse, error) {
		if r.dataPlane != nil && r.suspects.record(r.clock.Now(), *suspect) {
			r.dataPlane.HandleSuspect(suspect.Service, suspect.Life)
			r.forwardSuspect(ctx, *suspect)
		}
		return &controlapi.SnapshotOfferResponse{Taken: 1}, nil
	})
}
