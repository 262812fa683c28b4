package controlplane

import (
	"net"
	"net/http"
	"sync"

	"coursepass/internal/controlplane/observation"
	"coursepass/internal/controlplane/replication"
)

// ErrOvertaken is the cause of an error that rejects a change because a later one may have been made since its caller sent
// it. The change was not executed. A caller that still waits may ask again at once: the answer shows that it does.
var ErrOvertaken = replication.ErrOvertaken

// ListenToCallers returns a listener that observes the committed state for the callers that connect to it. Its
// connections must be served by a handler of HandleCallers.
func (s *Server) ListenToCallers(listener net.Listener) net.Listener {
	return observation.Listen(listener, observation.Source{
		Heads:          s.committedHeads,
		RecentlyPaused: func() bool { return s.pauseDetector.RecentlyPaused(s.clock.Now()) },
	})
}

// HandleCallers returns a handler that observes the committed state directly before each answer to a caller.
func (s *Server) HandleCallers(handler http.Handler) http.Handler {
	return observation.Handler(handler)
}

// committedHeads returns the highest head of each shard that this server knows to be committed: that of its own replica
// or one that a member has reported.
func (s *Server) committedHeads() []observation.Head {
	heads := s.reportedHeads.all(len(s.shards))
	for index, shard := range s.shards {
		if status := shard.PublishedStatus(); status != nil && status.CommitIndex > heads[index].Index {
			heads[index] = observation.Head{Index: status.CommitIndex, Revision: status.Revision}
		}
	}
	return heads
}

// reportedHeads holds the highest committed head of each shard that members have reported to this server.
type reportedHeads struct {
	lock  sync.Mutex
	heads map[int]observation.Head
}

// record notes the head of a shard that a member has reported.
func (r *reportedHeads) record(shard int, head observation.Head) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.heads == nil {
		r.heads = map[int]observation.Head{}
	}
	if head.Index > r.heads[shard].Index {
		r.heads[shard] = head
	}
}

// all returns the heads of a number of shards.
func (r *reportedHeads) all(shards int) []observation.Head {
	r.lock.Lock()
	defer r.lock.Unlock()
	heads := make([]observation.Head, shards)
	for shard, head := range r.heads {
		heads[shard] = head
	}
	return heads
}
