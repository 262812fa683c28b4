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
	// maxStallDeltas is the maximum duration of a disk sync, in multiples of δ. If a sync takes longer, the
	// server yields leadership.
	maxStallDeltas = 5
	// leaseMarginDivisor divides the duration of a lease; the quotient is the safety margin of the lease.
	leaseMarginDivisor = 20
	// retainedEntries is the number of applied log entries that a replica retains for members that lag behind.
	retainedEntries = 256
	// shardQueueDepth is the maximum number of tasks in the queue of a shard's loop.
	shardQueueDepth = 1024
)

// ShardReplica runs this server's replica of one shard. Only its loop accesses the replica, the state machine
// and the plain fields. Other goroutines read the values that the loop publishes in the atomic fields, and
// queue tasks to the loop.
type ShardReplica struct {
	options Options
	loop    *clock.Loop[func()]
	// runContext is the context of Run. Work that outlives the call that caused it uses this context. Run
	// sets it before anything else.
	runContext context.Context
	// initialSnapshot is the snapshot of the empty state, which is restored whenever a replica starts.
	initialSnapshot []byte

	// replica is nil while this server has no slot and is not a learner.
	replica *consensus.Replica
	// replicaStarts counts the replicas of this shard that were started in this process.
	replicaStarts uint64
	// publishedHead is the head at which the most recently published state was first published.
	publishedHead gossip.Head
	pendingReads  []*pendingRead
	// copies tracks the copies of the log while this server leads the shard.
	copies copyTracker
	// changes holds the positions of the changes that this server has appended as leader.
	changes changeHistory

	// EarlierDiskMessages counts the messages that were dropped because they were meant for an earlier disk of this
	// server. LearnerRestarts counts the learners that started over because they made no progress.
	EarlierDiskMessages, LearnerRestarts atomic.Int64
	// OvertakenChanges counts the changes that were rejected because a later one may have come first.
	OvertakenChanges atomic.Int64

	// lock guards pendingProposals.
	lock             sync.Mutex
	pendingProposals map[proposalID]chan []byte

	status     atomic.Pointer[controlapi.ShardStatus]
	membership atomic.Pointer[consensus.Membership]
	// leaseGuard is nil while this server does not lead the shard.
	leaseGuard   atomic.Pointer[enginecommand.LeaseGuard]
	reservations atomic.Pointer[reservations.Store]
	// offeredIndex is the highest log index of the snapshots that routers have offered to this replica.
	offeredIndex atomic.Uint64
}

// NewShardReplica creates a replica. Run starts it.
func NewShardReplica(options Options) *ShardReplica {
	return &ShardReplica{
		options:          options,
		loop:             clock.NewLoop[func()](options.Clock, shardQueueDepth),
		initialSnapshot:  options.StateMachine.Snapshot(),
		pendingProposals: map[proposalID]chan []byte{},
	}
}

// Run starts the replica if this server has a slot, and runs the loop until the context ends.
func (r *ShardReplica) Run(ctx context.Context) {
	r.runContext = ctx
	membership := consensus.InitialMembership(r.options.Seeds, r.options.Slots)
	if r.options.JoinExisting {
		membership = consensus.Membership{Members: make([]consensus.Member, r.options.Slots)}
	}
	r.startReplica(ctx, membership, r.options.FirstStart)
	handleTask := func(task func()) clock.Microseconds {
		task()
		return r.nextWakeTime(ctx)
	}
	r.loop.Run(ctx, handleTask, func() clock.Microseconds {
		r.tick(ctx)
		return r.nextWakeTime(ctx)
	})
}

func (r *ShardReplica) tick(ctx context.Context) {
	if r.replica == nil {
		return
	}
	stalled := clock.FromDuration(r.options.Log.StalledFor()) > maxStallDeltas*r.options.Delta
	r.replica.SetDiskStalled(stalled || r.options.Server.YieldsLeadership(r.replica.Membership()))
	now := r.options.Clock.Now()
	r.processOutput(ctx, r.replica.Tick(now))
	r.restartStalledLearner(now)
}

// startReplica starts the replica if the membership gives this server a slot. If the log on this server's
// disk has a later membership, that one is used. Only members of a fleet that starts for the first time have
// nothing to recover: a slot that was received later may have belonged to another server.
func (r *ShardReplica) startReplica(ctx context.Context, membership consensus.Membership, firstStart bool) {
	storedState := r.options.Log.ShardState(r.options.Shard)
	storedMembership, exists := consensus.LatestMembership(storedState)
	if exists && storedMembership.Epoch >= membership.Epoch {
		membership = storedMembership
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
		Stored:       storedState,
		Now:          now,
		NewCluster:   firstStart,
	})
	r.replica = replica
	r.processOutput(ctx, output)
}

// replicaConfig returns the configuration of a replica that starts now. Its incarnation differs from the
// incarnations of earlier replicas in this process.
func (r *ShardReplica) replicaConfig(slot int, membership consensus.Membership) consensus.Config {
	leaseDuration := r.options.LeaseDuration
	return consensus.Config{
		Shard:             r.options.Shard,
		Config:            election.Config{Slots: r.options.Slots, Self: slot, Delta: r.options.Delta},
		Timing:            lease.Timing{LeaseDuration: leaseDuration, SafetyMargin: leaseDuration / leaseMarginDivisor},
		RetainedEntries:   retainedEntries,
		Incarnation:       r.options.Incarnation + r.replicaStarts,
		LocalMember:       r.options.Self,
		InitialMembership: membership,
	}
}

// resetState discards the state that an earlier replica has built.
func (r *ShardReplica) resetState() {
	r.options.StateMachine.Restore(r.initialSnapshot)
	r.publishedHead = gossip.Head{}
	r.offeredIndex.Store(0)
	r.replicaStarts++
}

// nextWakeTime returns the time of the replica's next tick. It stops the replica if its slot was given to another
// server.
func (r *ShardReplica) nextWakeTime(ctx context.Context) clock.Microseconds {
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

// ObserveIdentity informs the replica of the identity of the data directory at another server's address.
func (r *ShardReplica) ObserveIdentity(ctx context.Context, address, identity string) {
	r.loop.Put(ctx, func() {
		if r.replica != nil {
			r.replica.ObserveIdentity(r.options.Clock.Now(), address, identity)
		}
	})
}

// stopReplica stops a replica that has lost its slot.
func (r *ShardReplica) stopReplica(membership consensus.Membership) {
	log.Warn().Str("server", r.options.Self.Name).Int("shard", r.options.Shard).Uint64("epoch", membership.Epoch).
		Msg("slot lost")
	r.discardReplica(membership)
}

// discardReplica ends the replica. Its pending proposals end with an unknown outcome, and its pending reads fail.
func (r *ShardReplica) discardReplica(membership consensus.Membership) {
	r.completeProposals(consensus.Output{ProposalsDropped: true})
	r.replica = nil
	r.completeReads()
	r.options.Server.SlotLost(r.options.Shard, r.options.Clock.Now())
	r.reservations.Store(nil)
	r.membership.Store(&membership)
	r.leaseGuard.Store(nil)
	r.status.Store(&controlapi.ShardStatus{Shard: r.options.Shard, Slot: NoSlot, Leader: NoSlot})
}

// Receive passes a message to the replica. It blocks while the queue of the loop is full.
func (r *ShardReplica) Receive(ctx context.Context, message consensus.Message) {
	if !message.IsFor(r.options.Self) {
		r.EarlierDiskMessages.Add(1)
		return
	}
	r.loop.Put(ctx, func() {
		if r.shouldStartLearner(message) {
			r.startLearner(ctx, message.To)
		}
		if r.replica != nil {
			r.processOutput(ctx, r.replica.Receive(r.options.Clock.Now(), message))
			r.completePromotion()
		}
	})
}

// processOutput carries out the actions that the replica requests: it publishes the status, sends messages,
// appends records to the log and answers proposals and reads. The status is published before any answer is
// sent, so that a reader that knows of an acknowledgement finds the acknowledged entry in the heads of a
// majority.
func (r *ShardReplica) processOutput(ctx context.Context, output consensus.Output) {
	r.publishStatus(ctx, output.StateChanged)
	for _, message := range output.Messages {
		r.options.Server.SendMessage(message)
	}
	if len(output.Records)+len(output.MessagesAfterSync) > 0 {
		slot := r.replica.Self
		r.options.Log.Append(output.Records, func() { r.sendAfterSync(slot, output.MessagesAfterSync) })
	}
	if len(output.DeferredRecords) > 0 {
		r.options.Log.Append(output.DeferredRecords, func() {})
	}
	r.completeProposals(output)
	r.completeReads()
}

// sendAfterSync sends the messages that had to wait for a disk sync. It runs in the goroutine of the log, which
// must not wait for the loop; messages to this server's own slot are therefore queued by another goroutine.
func (r *ShardReplica) sendAfterSync(slot int, messages []consensus.Message) {
	for _, message := range messages {
		if message.To == slot {
			go r.Receive(r.runContext, message)
			continue
		}
		r.options.Server.SendMessage(message)
	}
}

// RunInLoop runs a query in the shard's loop and waits until the query has ended. It returns false if the
// context ended first; the query may then still run.
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
