package controlplane

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/controlplane/reservations"
	"coursepass/internal/controlplane/shardstate"
	"coursepass/internal/enginecommand"
)

const (
	// maxStallDeltas is how many δ a disk sync may take before the server yields leadership.
	maxStallDeltas = 5
	// shardQueueDepth is how many tasks may wait for a shard's loop.
	shardQueueDepth = 1024
)

// shardReplica drives this server's replica of one shard. Its loop alone touches the replica, the state
// machine and the plain fields; other goroutines read what it publishes in the atomic ones, and hand it
// work with Put.
type shardReplica struct {
	*clock.Loop[func()]
	server       *Server
	index        int
	stateMachine shardstate.StateMachine
	// initialSnapshot is the empty state, to which a replica that starts again is reset.
	initialSnapshot []byte

	// replica is nil while this server has no slot and is no learner.
	replica *consensus.Replica
	// restarts counts the replicas that were started in this process.
	restarts uint64
	// publishedIndex is the last log index that was published to gossip.
	publishedIndex uint64
	pendingReads   []*pendingRead

	// lock guards pendingProposals.
	lock             sync.Mutex
	pendingProposals map[proposalID]chan []byte

	status     atomic.Pointer[controlapi.ShardStatus]
	membership atomic.Pointer[consensus.Membership]
	// leaseGuard is nil while this server does not lead the shard.
	leaseGuard   atomic.Pointer[enginecommand.LeaseGuard]
	reservations atomic.Pointer[reservations.Store]
	// offeredIndex is the highest index of a snapshot that a router has offered to this replica.
	offeredIndex atomic.Uint64
}

func newShardReplica(server *Server, index int, state shardstate.StateMachine) *shardReplica {
	return &shardReplica{
		Loop:             clock.NewLoop[func()](server.clock, shardQueueDepth),
		server:           server,
		index:            index,
		stateMachine:     state,
		initialSnapshot:  state.Snapshot(),
		pendingProposals: map[proposalID]chan []byte{},
	}
}

// run starts the replica, if this server has a slot, and serves the loop until the context ends.
func (r *shardReplica) run(ctx context.Context) {
	membership := consensus.InitialMembership(r.server.Seeds, r.server.ShardReplicas())
	if r.server.JoinExisting {
		membership = consensus.Membership{Seats: make([]consensus.Member, r.server.ShardReplicas())}
	}
	r.startReplica(ctx, membership, r.server.FirstStart)
	handleTask := func(task func()) clock.Microseconds {
		task()
		return r.nextWake(ctx)
	}
	r.Run(ctx, handleTask, func() clock.Microseconds {
		r.tick(ctx)
		return r.nextWake(ctx)
	})
}

func (r *shardReplica) tick(ctx context.Context) {
	if r.replica == nil {
		return
	}
	stalled := clock.FromDuration(r.server.wal.StalledFor()) > maxStallDeltas*r.server.DeltaDuration()
	r.replica.SetDiskStalled(stalled || r.server.yieldsLeadership(r.replica.Membership()))
	r.processOutput(ctx, r.replica.Tick(r.Clock.Now()))
}

// startReplica starts the replica if the membership gives this server a slot; its own disk may know a
// later membership. Only the members of a first start have nothing to recover: a slot that was received
// later may have been another's.
func (r *shardReplica) startReplica(ctx context.Context, membership consensus.Membership, firstStart bool) {
	stored := r.server.wal.ShardState(r.index)
	latest, exists := consensus.LatestMembership(stored)
	if exists && latest.Epoch >= membership.Epoch {
		membership = latest
	}
	r.membership.Store(&membership)
	slot := membership.Slot(r.server.self)
	if slot < 0 {
		r.status.Store(&controlapi.ShardStatus{Shard: r.index, Slot: slot, Leader: noSlot})
		return
	}
	r.resetState()
	r.startReservations(slot)
	replicaConfig := r.replicaConfig(slot, membership)
	replica, output := consensus.StartReplica(replicaConfig, consensus.StartOptions{
		StateMachine: r.stateMachine,
		Stored:       stored,
		Now:          r.Clock.Now(),
		NewCluster:   firstStart,
	})
	r.replica = replica
	r.processOutput(ctx, output)
}

// replicaConfig is the configuration of a replica that starts now. Its incarnation differs from those of
// earlier replicas in this process.
func (r *shardReplica) replicaConfig(slot int, membership consensus.Membership) consensus.Config {
	replicaConfig := r.server.replicaConfig(r.index, slot, membership)
	replicaConfig.Incarnation += r.restarts
	return replicaConfig
}

// resetState empties what an earlier replica has built.
func (r *shardReplica) resetState() {
	r.stateMachine.Restore(r.initialSnapshot)
	r.publishedIndex = 0
	r.offeredIndex.Store(0)
	r.restarts++
}

// nextWake returns when the replica wants its next tick. It ends a replica whose slot is another's.
func (r *shardReplica) nextWake(ctx context.Context) clock.Microseconds {
	if r.replica == nil {
		return clock.Never
	}
	if r.replica.Removed() {
		r.stopReplica(r.replica.Membership())
		return clock.Never
	}
	if r.replica.IsLeader() {
		r.processOutput(ctx, r.replica.RecordMemberIdentity(r.Clock.Now()))
	}
	return r.replica.NextTick()
}

func (r *shardReplica) stopReplica(membership consensus.Membership) {
	log.Warn().Str("server", r.server.Name).Int("shard", r.index).Uint64("epoch", membership.Epoch).Msg("slot lost")
	r.completeProposals(consensus.Output{ProposalsDropped: true})
	r.replica = nil
	r.completeReads()
	if r.index == 0 {
		r.server.maintenance.Update(r.Clock.Now(), nil)
	}
	r.reservations.Store(nil)
	r.membership.Store(&membership)
	r.leaseGuard.Store(nil)
	r.status.Store(&controlapi.ShardStatus{Shard: r.index, Slot: noSlot, Leader: noSlot})
}

// receive hands a message to the replica. It blocks while the queue of the loop is full.
func (r *shardReplica) receive(ctx context.Context, message consensus.Message) {
	r.Put(ctx, func() {
		if r.startsLearner(message) {
			r.startLearner(ctx, message.To)
		}
		if r.replica != nil {
			r.processOutput(ctx, r.replica.Receive(r.Clock.Now(), message))
			r.completePromotion()
		}
	})
}

// processOutput carries out what the replica asks for. The status is published before anything is
// answered, so that a reader who knows of an acknowledgement finds its entry in the heads of a majority.
func (r *shardReplica) processOutput(ctx context.Context, output consensus.Output) {
	r.publishStatus(ctx, output.StateChanged)
	for _, message := range output.Messages {
		r.server.sendMessage(message)
	}
	if len(output.Records)+len(output.MessagesAfterSync) > 0 {
		slot := r.replica.Self
		r.server.wal.Append(output.Records, func() { r.sendSynced(slot, output.MessagesAfterSync) })
	}
	if len(output.DeferredRecords) > 0 {
		r.server.wal.Append(output.DeferredRecords, func() {})
	}
	r.completeProposals(output)
	r.completeReads()
}

// sendSynced sends the messages that had to wait for a sync. Those to the own slot go through the loop,
// for which the log's goroutine must not wait.
func (r *shardReplica) sendSynced(slot int, messages []consensus.Message) {
	for _, message := range messages {
		if message.To == slot {
			go r.receive(r.server.runContext, message)
			continue
		}
		r.server.sendMessage(message)
	}
}

// runInLoop runs a query in the shard's loop and waits for its end; false says that the context ended
// before, and the query may still run.
func (r *shardReplica) runInLoop(ctx context.Context, query func()) bool {
	done := make(chan struct{})
	queued := r.Put(ctx, func() {
		query()
		close(done)
	})
	if !queued {
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}
