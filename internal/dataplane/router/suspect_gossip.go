package router

import (
	"context"
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/transport"
)

const (
	// suspectPath is the path of calls by which routers report suspects to each other.
	suspectPath = "/router/doubt"
	// suspectTimeout is the timeout of a report to another router.
	suspectTimeout = 300 * clock.Millisecond
	// suspectInterval is the minimum time between two reports of the same suspect by one router.
	suspectInterval = clock.Second
	// suspectFanout is the maximum number of other routers to which a router forwards a suspect.
	suspectFanout = 4
	// maxSuspects is the maximum number of suspects in a suspectLog.
	maxSuspects = 1024
)

// Suspect is an incarnation of an engine that did not respond to a router. It is sent to other routers
// by encoding/gob, so the field names are part of the wire format.
type Suspect struct{ Service, Life string }

// suspectLog records when each suspect was last reported, so that a router does not forward it again
// within suspectInterval. It is safe for concurrent use.
type suspectLog struct {
	lock       sync.Mutex
	reportedAt map[Suspect]clock.Microseconds
}

// newSuspectLog returns an empty log.
func newSuspectLog() suspectLog {
	return suspectLog{reportedAt: map[Suspect]clock.Microseconds{}}
}

// record records a suspect unless it was recorded within the last suspectInterval, and reports whether
// it did so. A full log is cleared first, so some suspects may be forwarded again.
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

// ReportSuspect tells other routers that an engine did not respond to this router. A router to which
// the engine has just responded keeps sending work to the engine.
func (r *Router) ReportSuspect(service, incarnation string) {
	suspect := Suspect{service, incarnation}
	if r.suspects.record(r.clock.Now(), suspect) {
		r.forwardSuspect(context.Background(), suspect)
	}
}

// forwardSuspect sends a suspect to up to suspectFanout other routers. It does not wait for their
// responses.
func (r *Router) forwardSuspect(parent context.Context, suspect Suspect) {
	sent := 0
	for _, peer := range r.gossip.Members() {
		if peer.Role != r.Role || sent >= suspectFanout {
			continue
		}
		sent++
		go func() {
			// A lost message is not sent again: each router will also notice by itself that the engine
			// does not respond.
			target := transport.Target{Address: peer.InternalAddress, Procedure: suspectPath, Timeout: suspectTimeout}
			_, _ = transport.Call[Suspect, controlapi.SnapshotOfferResponse](
				context.WithoutCancel(parent), r.internal, target, &suspect,
			)
		}()
	}
}

// registerSuspectHandler registers the handler of suspects that other routers report. Suspects are
// used by a DataPlane only; without one, the handler ignores them.
func (r *Router) registerSuspectHandler() {
	transport.Handle(r.internal, suspectPath, func(ctx context.Context, suspect *Suspect) (*controlapi.SnapshotOfferResponse, error) {
		if r.dataPlane != nil && r.suspects.record(r.clock.Now(), *suspect) {
			r.dataPlane.HandleSuspect(suspect.Service, suspect.Life)
			r.forwardSuspect(ctx, *suspect)
		}
		return &controlapi.SnapshotOfferResponse{Taken: 1}, nil
	})
}
