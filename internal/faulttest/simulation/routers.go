package simulation

import (
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/dataplane/router"
	"coursepass/internal/gossip"
)

const (
	freshnessLimit        = 1600 * clock.Millisecond
	propagationLimit      = 2 * clock.Second
	readInterval          = 300 * clock.Millisecond
	gateCheckInterval     = 50 * clock.Millisecond
	engineCommandInterval = 250 * clock.Millisecond
	// EngineCommandTimeout is how long a command may take until it is given up.
	EngineCommandTimeout = 600 * clock.Millisecond
)

// Router is a simulated router: the real freshness gate over a copy of the shard's state.
type Router struct {
	cluster      *Cluster
	number       int
	gate         *router.FreshnessGate
	snapshot     wal.Entry
	stateMachine AppendLog
	now          func() clock.Microseconds
	// ReadyChecks and UnreadyChecks count the checks of the gate by its state.
	ReadyChecks   int
	UnreadyChecks int
	revision      uint64
}

// NewRouter starts a router on a host, which reads the heads of all servers periodically.
func (c *Cluster) NewRouter(host int) *Router {
	created := &Router{
		cluster: c,
		number:  host,
		gate:    router.NewFreshnessGate(freshnessLimit, 1, c.Slots),
		now:     c.Now,
	}
	c.Every(readInterval, func() bool {
		created.readServers()
		return true
	})
	c.Every(gateCheckInterval, func() bool {
		created.checkFreshness()
		return true
	})
	return created
}

func (r *Router) installedRevision(int) (uint64, bool) { return r.revision, true }

// readServers reads the head and the state of all servers, as they answer.
func (r *Router) readServers() {
	startedAt := r.now()
	var responses []controlapi.HeadsResponse
	for _, server := range r.cluster.Servers {
		r.cluster.Send(r.number, server.slot, func() {
			server.runInIncarnation(server.incarnation, func() {
				head := server.head()
				state := wal.Entry{
					Index: server.replica.AppliedIndex(),
					Term:  server.replica.AppliedTerm(),
					Data:  server.replica.TakeSnapshot(),
				}
				incarnation := server.incarnation
				r.cluster.Send(server.slot, r.number, func() {
					responses = append(responses, controlapi.HeadsResponse{Heads: []controlapi.ShardHead{head}})
					r.gate.RecordRead(startedAt, responses)
					r.installSnapshot(server, incarnation, head, state)
				})
			})
		})
	}
}

// head returns what the server answers a router about its shard.
func (s *Server) head() controlapi.ShardHead {
	_, current := s.replica.CommitIndex()
	return controlapi.ShardHead{
		Slot: s.slot,
		Head: gossip.Head{
			Index:    s.replica.AppliedIndex(),
			Revision: uint64(len(s.stateMachine.Entries)),
		},
		Current:    current,
		Recovering: s.replica.Recovering(),
	}
}

// installSnapshot installs a state that is later than the present one. To a server that recovers it
// offers its own state.
func (r *Router) installSnapshot(from *Server, incarnation uint64, head controlapi.ShardHead, state wal.Entry) {
	if head.Recovering {
		offered := r.snapshot
		r.cluster.Send(r.number, from.slot, func() {
			from.runInIncarnation(incarnation, func() { from.replica.OfferSnapshot(offered) })
		})
		return
	}
	_, content, _ := consensus.DecodeSnapshot(state.Data)
	if state.Index <= r.snapshot.Index || uint64(len(content)/entryBytes) < r.revision {
		return
	}
	r.snapshot = state
	r.stateMachine.Restore(content)
	r.revision = uint64(len(r.stateMachine.Entries))
}

// checkFreshness checks that a router with an open gate has all entries that were acknowledged
// propagationLimit ago.
func (r *Router) checkFreshness() {
	if !r.gate.IsOpen(r.now(), r.installedRevision) {
		r.UnreadyChecks++
		return
	}
	r.ReadyChecks++
	for entry, at := range r.cluster.AcknowledgedAt {
		age := r.cluster.Now() - at
		if age > propagationLimit && !slices.Contains(r.stateMachine.Entries, entry) {
			r.cluster.ReportViolation("router %d is ready without entry %d, acknowledged %d ms ago",
				r.number, entry, age/clock.Millisecond)
		}
	}
}
