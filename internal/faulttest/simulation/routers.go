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
	engineCommandInterval = 250 * clock.Millisecond
	// EngineCommandTimeout is how long an order may take until the kernel gives it up.
	EngineCommandTimeout = 600 * clock.Millisecond
)

// Router is a simulated data-plane daemon: the real gate over a copy of the part.
type Router struct {
	cluster       *Cluster
	number        int
	gate          *router.FreshnessGate
	snapshot      wal.Entry
	stateMachine  AppendLog
	now           func() clock.Microseconds
	ReadyChecks   int
	UnreadyChecks int
	revision      uint64
}

// NewRouter reads the heads of all cores every 300 ms.
func (c *Cluster) NewRouter(host int) *Router {
	created := &Router{cluster: c, number: host, gate: router.NewFreshnessGate(freshnessLimit, 1, c.Slots), now: c.Now}
	c.Every(readInterval, func() bool { created.readServers(); return true })
	c.Every(50*clock.Millisecond, func() bool { created.checkFreshness(); return true })
	return created
}

func (r *Router) installedRevision(int) (uint64, bool) { return r.revision, true }

func (r *Router) readServers() {
	startedAt := r.now()
	var responses []controlapi.HeadsResponse
	for _, server := range r.cluster.Servers {
		r.cluster.Send(r.number, server.slot, func() {
			server.runInIncarnation(server.incarnation, func() {
				_, current := server.replica.CommitIndex()
				head := controlapi.ShardHead{Slot: server.slot, Head: gossip.Head{Index: server.replica.AppliedIndex(), Sequence: uint64(len(server.stateMachine.Entries))}, Current: current, Recovering: server.replica.Recovering()}
				state := wal.Entry{Index: server.replica.AppliedIndex(), Round: server.replica.AppliedTerm(), Data: server.replica.TakeSnapshot()}
				incarnation := server.incarnation
				r.cluster.Send(server.slot, r.number, func() {
					responses = append(responses, controlapi.HeadsResponse{Parts: []controlapi.ShardHead{head}})
					r.gate.RecordRead(startedAt, responses)
					r.installSnapshot(server, incarnation, head, state)
				})
			})
		})
	}
}

func (r *Router) installSnapshot(from *Server, incarnation uint64, head controlapi.ShardHead, state wal.Entry) {
	if head.Recovering {
		offered := r.snapshot
		r.cluster.Send(r.number, from.slot, func() {
			from.runInIncarnation(incarnation, func() { from.replica.OfferSnapshot(offered) })
		})
		return
	}
	_, content, _ := consensus.DecodeSnapshot(state.Data)
	if state.Index <= r.snapshot.Index || uint64(len(content)/8) < r.revision {
		return
	}
	r.snapshot = state
	r.stateMachine.Restore(content)
	r.revision = uint64(len(r.stateMachine.Entries))
}

// checkFreshness holds an open gate against what was acknowledged two seconds ago.
func (r *Router) checkFreshness() {
	if !r.gate.IsOpen(r.now(), r.installedRevision) {
		r.UnreadyChecks++
		return
	}
	r.ReadyChecks++
	for entry, at := range r.cluster.AcknowledgedAt {
		if r.cluster.Now()-at > propagationLimit && !slices.Contains(r.stateMachine.Entries, entry) {
			r.cluster.ReportViolation("router %d takes work without line %d, acknowledged %d ms ago", r.number, entry, (r.cluster.Now()-at)/clock.Millisecond)
		}
	}
}
