package replication

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/lease"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/controlplane/reservations"
	"coursepass/internal/enginecommand"
	"coursepass/internal/gossip"
)

const (
	// maxStallDeltas is how many δ a disk sync may take before the server yields leadership.
	maxStallDeltas = 5
	// leaseMarginDivisor is the safety margin of a lease, as one in so many of its duration.
	leaseMarginDivisor = 20
	// retainedEntries is how many applied entries a replica keeps for members that are behind.
	retainedEntries = 256
	// shardQueueDepth is how many tasks may wait for a shard's loop.
	shardQueueDepth = 1024
)

// ShardReplica drives this server's replica of one shard. Its loop alone touches the replica, the state
// machine and the plain fields; other goroutines read what it publishes in the atomic ones, and put work
// into the loop.
type ShardReplica struct {
	options Options
	loop    *clock.Loop[func()]
	// runContext is Run's context, for what outlives the call that caused it. Run sets it first.
	runContext context.Context
	// initialSnapshot is the empty state, to which a replica that starts again is reset.
	initialSnapshot []byte

	// replica is nil while this server has no slot and is no learner.
	replica *consensus.Replica
	// restarts counts the replicas that were started in this process.
	restarts uint64
	// publishedHead is the first published head with the state that was published last.
	publishedHead gossip.Head
	pendingReads  []*pendingRead

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

// NewShardReplica makes a replica that has not started yet.
func NewShardReplica(options Options) *ShardReplica {
	return &ShardReplica{
		options:          options,
		loop:             clock.NewLoop[func()](options.Clock, shardQueueDepth),
		initialSnapshot:  options.StateMachine.Snapshot(),
		pendingProposals: map[proposalID]chan []byte{},
	}
}

// Run starts the replica, if this server has a slot, and serves the loop until the context ends.
func (r *ShardReplica) Run(ctx context.Context) {
	r.runContext = ctx
	membership := consensus.InitialMembership(r.options.Seeds, r.options.Slots)
	if r.options.JoinExisting {
		membership = consensus.Membership{Members: make([]consensus.Member, r.options.Slots)}
	}
	r.startReplica(ctx, membership, r.options.FirstStart)
	handleTask := func(task func()) clock.Microseconds {
		task()
		return r.nextWake(ctx)
	}
	r.loop.Run(ctx, handleTask, func() clock.Microseconds {
		r.tick(ctx)
		return r.nextWake(ctx)
	})
}

func (r *ShardReplica) tick(ctx context.Context) {
	if r.replica == nil {
		return
	}
	stalled := clock.FromDuration(r.options.Log.StalledFor()) > maxStallDeltas*r.options.Delta
	r.replica.SetDiskStalled(stalled || r.options.Server.YieldsLeadership(r.replica.Membership()))
	r.processOutput(ctx, r.replica.Tick(r.options.Clock.Now()))
}

// startReplica starts the replica if the membership gives this server a slot; its own disk may know a
// later membership. Only the members of a first start have nothing to recover: a slot that was received
// later may have been another's.
func (r *ShardReplica) startReplica(ctx context.Context, membership consensus.Membership, firstStart bool) {
	stored := r.options.Log.ShardState(r.options.Shard)
	latest, exists := consensus.LatestMembership(stored)
	if exists && latest.Epoch >= membership.Epoch {
		membership = latest
	}
	r.membership.Store(&membership)
	slot := membership.Slot(r.options.Self)
	if slot < 0 {
		r.status.Store(&controlapi.ShardStatus{Shard: r.options.Shard, Slot: slot, Leader: NoSlot})
		return
	}
	r.resetState()
	r.startReservations(slot)
	now := r.options.Clock.Now()
	replicaConfig := r.replicaConfig(slot, membership)
	replica, output := consensus.StartReplica(replicaConfig, consensus.StartOptions{
		StateMachine: r.options.StateMachine,
		Stored:       stored,
		Now:          now,
		NewCluster:   firstStart,
	})
	r.replica = replica
	r.processOutput(ctx, output)
}

// replicaConfig is the configuration of a replica that starts now. Its incarnation differs from those of
// earlier replicas in this process.
func (r *ShardReplica) replicaConfig(slot int, membership consensus.Membership) consensus.Config {
	leaseDuration := r.options.LeaseDuration
	return consensus.Config{
		Shard:             r.options.Shard,
		Config:            election.Config{Slots: r.options.Slots, Self: slot, Delta: r.options.Delta},
		Timing:            lease.Timing{LeaseDuration: leaseDuration, SafetyMargin: leaseDuration / leaseMarginDivisor},
		RetainedEntries:   retainedEntries,
		Incarnation:       r.options.Incarnation + r.restarts,
		LocalMember:       r.options.Self,
		InitialMembership: membership,
	}
}

// resetState empties what an earlier replica has built.
func (r *ShardReplica) resetState() {
	r.options.StateMachine.Restore(r.initialSnapshot)
	r.publishedHead = gossip.Head{}
	r.offeredIndex.Store(0)
	r.restarts++
}

// nextWake returns when the replica wants its next tick. It ends a replica whose slot is another's.
func (r *ShardReplica) nextWake(ctx context.Context) clock.Microseconds {
	if r.replica == nil {
		return clock.Never
	}
	if r.replica.Removed() {
		r.stopReplica(r.replica.Membership())
		return clock.Never
	}
	if r.replica.IsLeader() {
		r.processOutput(ctx, r.replica.RecordMemberIdentity(r.options.Clock.Now()))
	}
	return r.replica.NextTick()
}

func (r *ShardReplica) stopReplica(membership consensus.Membership) {
	log.Warn().Str("server", r.options.Self.Name).Int("shard", r.options.Shard).Uint64("epoch", membership.Epoch).
		Msg("slot lost")
	r.completeProposals(consensus.Output{ProposalsDropped: true})
	r.replica = nil
	r.completeReads()
	r.options.Server.SlotLost(r.options.Shard, r.options.Clock.Now())
	r.reservations.Store(nil)
	r.membership.Store(&membership)
	r.leaseGuard.Store(nil)
	r.status.Store(&controlapi.ShardStatus{Shard: r.options.Shard, Slot: NoSlot, Leader: NoSlot})
}

// Receive hands a message to the replica. It blocks while the queue of the loop is full.
func (r *ShardReplica) Receive(ctx context.Context, message consensus.Message) {
	r.loop.Put(ctx, func() {
		if r.startsLearner(message) {
			r.startLearner(ctx, message.To)
		}
		if r.replica != nil {
			r.processOutput(ctx, r.replica.Receive(r.options.Clock.Now(), message))
			r.completePromotion()
		}
	})
}

// processOutput carries out what the replica asks for. The status is published before anything is
// answered, so that a reader who knows of an acknowledgement finds its entry in the heads of a majority.
func (r *ShardReplica) processOutput(ctx context.Context, output consensus.Output) {
	r.publishStatus(ctx, output.StateChanged)
	for _, message := range output.Messages {
		r.options.Server.SendMessage(message)
	}
	if len(output.Records)+len(output.MessagesAfterSync) > 0 {
		slot := r.replica.Self
		r.options.Log.Append(output.Records, func() { r.sendSynced(slot, output.MessagesAfterSync) })
	}
	if len(output.DeferredRecords) > 0 {
		r.options.Log.Append(output.DeferredRecords, func() {})
	}
	r.completeProposals(output)
	r.completeReads()
}

// sendSynced sends the messages that had to wait for a sync. Those to the own slot go through the loop,
// for which the log's goroutine must not wait.
func (r *ShardReplica) sendSynced(slot int, messages []consensus.Message) {
	for _, message := range messages {
		if message.To == slot {
			go r.Receive(r.runContext, message)
			continue
		}
		r.options.Server.SendMessage(message)
	}
}

// RunInLoop runs a query in the shard's loop and waits for its end; false says that the context ended
// before, and the query may still run.
func (r *ShardReplica) RunInLoop(ctx context.Context, query func()) bool {
	done := make(chan struct{})
	queued := r.loop.Put(ctx, func() {
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
