package controlplane

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/enginecommand"
	"coursepass/internal/errcode"
	"coursepass/internal/gossip"
)

// stateMachine is a part's state as a core keeps it.
type stateMachine interface {
	consensus.StateMachine
	Revision() uint64
}

// A sync that takes longer than so many δ has its core give way as a candidate.
const maxStallDeltas = 5

type proposalID struct{ index, term uint64 }

// Status is what a core says of one part.
type Status struct {
	Shard        int    `json:"part"`
	Slot         int    `json:"slot"`
	Epoch        uint64 `json:"epoch"`
	Leader       int    `json:"leader"`
	Term         uint64 `json:"round"`
	PromisedTerm uint64 `json:"promised"`
	CommitIndex  uint64 `json:"commit"`
	Revision     uint64 `json:"sequence"`
	Isolated     bool   `json:"alone"`
	Owner        bool   `json:"owner"`
	UpToDate     bool   `json:"current"`
	CatchingUp   bool   `json:"recovering"`
	// ReservationsComplete says that the one-shot keys of this slot are known, so that it may grant claims.
	ReservationsComplete bool               `json:"claimsWhole"`
	LeaseRemaining       clock.Microseconds `json:"grantLeftMicroseconds"`
	// ConfirmedUntil is until when, on this core's clock, it may speak as owner.
	ConfirmedUntil       clock.Microseconds `json:"-"`
	QuietPeriodRemaining clock.Microseconds `json:"quietLeftMicroseconds"`
}

// shardReplica drives one part's member: it alone touches the member and its state.
type shardReplica struct {
	*clock.Loop[func()]
	server          *Server
	index           int
	replica         *consensus.Replica
	stateMachine    stateMachine
	initialSnapshot []byte
	restarts        uint64
	// publishedIndex is the last index that was passed on as news.
	publishedIndex   uint64
	lock             sync.Mutex
	pendingProposals map[proposalID]chan []byte
	pendingReads     []*pendingRead
	status           atomic.Pointer[Status]
	membership       atomic.Pointer[consensus.Membership]
	leaseGuard       atomic.Pointer[enginecommand.LeaseGuard]
	reservations     atomic.Pointer[reservationStore]
	head             atomic.Pointer[gossip.Head]
	// offeredIndex is the highest index of a copy that a router has offered to this life.
	offeredIndex atomic.Uint64
}

func (s *shardReplica) run(ctx context.Context) {
	initialMembership := consensus.InitialMembership(s.server.Seeds, s.server.ShardReplicas())
	if s.server.JoinExisting {
		initialMembership = consensus.Membership{Seats: make([]consensus.Member, s.server.ShardReplicas())}
	}
	s.startReplica(ctx, initialMembership, s.server.FirstStart)
	s.Run(ctx, func(task func()) clock.Microseconds {
		task()
		return s.nextWake(ctx)
	}, func() clock.Microseconds {
		if s.replica != nil {
			stalled := clock.FromDuration(s.server.wal.StalledFor()) > maxStallDeltas*s.server.DeltaDuration()
			s.replica.SetDiskStalled(stalled || s.server.yieldsLeadership(s.replica.Membership()))
			s.processOutput(ctx, s.replica.Tick(s.Clock.Now()))
		}
		return s.nextWake(ctx)
	})
}

// startReplica starts the member that the bindings give to this daemon, if any; its own
// disk may know later ones. Only the seats of a first start have nothing to recover: one
// that is given later may have been another's.
func (s *shardReplica) startReplica(ctx context.Context, membership consensus.Membership, firstStart bool) {
	history := s.server.wal.ShardState(s.index)
	if stored, exists := consensus.LatestMembership(history); exists && stored.Epoch >= membership.Epoch {
		membership = stored
	}
	s.membership.Store(&membership)
	slot := membership.Slot(s.server.self)
	if slot < 0 {
		s.status.Store(&Status{Shard: s.index, Slot: slot, Leader: -1})
		return
	}
	s.resetState()
	s.startReservations(slot)
	replicaConfig := s.server.replicaConfig(s.index, slot, membership)
	replicaConfig.Incarnation += s.restarts
	replica, output := consensus.StartReplica(replicaConfig, s.stateMachine, history, s.Clock.Now(), firstStart)
	s.replica = replica
	s.processOutput(ctx, output)
}

// nextWake also ends a member whose seat is another's.
func (s *shardReplica) nextWake(ctx context.Context) clock.Microseconds {
	if s.replica == nil {
		return clock.Never
	}
	if s.replica.Removed() {
		s.stopReplica(s.replica.Membership())
		return clock.Never
	}
	if s.replica.IsLeader() {
		s.processOutput(ctx, s.replica.RecordMemberIdentity(s.Clock.Now()))
	}
	return s.replica.NextTick()
}

func (s *shardReplica) stopReplica(membership consensus.Membership) {
	log.Warn().Str("core", s.server.Node.Name).Int("part", s.index).Uint64("epoch", membership.Epoch).Msg("this core has no seat any more")
	s.completeProposals(consensus.Output{ProposalsDropped: true})
	s.replica = nil
	s.completeReads()
	if s.index == 0 {
		s.server.maintenance.Update(s.Clock.Now(), nil)
	}
	s.reservations.Store(nil)
	s.membership.Store(&membership)
	s.leaseGuard.Store(nil)
	s.status.Store(&Status{Shard: s.index, Slot: -1, Leader: -1})
}

func (s *shardReplica) receive(ctx context.Context, message consensus.Message) {
	s.Put(ctx, func() {
		if s.startsLearner(message) {
			s.startLearner(ctx, message.To)
		}
		if s.replica != nil {
			s.processOutput(ctx, s.replica.Receive(s.Clock.Now(), message))
			s.completePromotion()
		}
	})
}

// What others read is shown before anything is answered, so that whoever hears an
// acknowledgement finds it in the heads of a majority.
func (s *shardReplica) processOutput(ctx context.Context, output consensus.Output) {
	s.publishStatus(ctx, output.StateChanged)
	for _, message := range output.Messages {
		s.server.sendMessage(message)
	}
	if len(output.Records)+len(output.MessagesAfterSync) > 0 {
		slot := s.replica.Self
		s.server.wal.Append(output.Records, func() {
			for _, message := range output.MessagesAfterSync {
				if message.To == slot {
					go s.receive(s.server.runContext, message)
					continue
				}
				s.server.sendMessage(message)
			}
		})
	}
	if len(output.DeferredRecords) > 0 {
		s.server.wal.Append(output.DeferredRecords, func() {})
	}
	s.completeProposals(output)
	s.completeReads()
}

func (s *shardReplica) completeProposals(output consensus.Output) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, result := range output.Results {
		key := proposalID{result.Index, result.Term}
		if waiter, exists := s.pendingProposals[key]; exists {
			waiter <- result.Response
			delete(s.pendingProposals, key)
		}
	}
	if output.ProposalsDropped {
		for key, waiter := range s.pendingProposals {
			close(waiter)
			delete(s.pendingProposals, key)
		}
	}
}

// publishStatus publishes what others read: status, right, head and news.
func (s *shardReplica) publishStatus(ctx context.Context, applied bool) {
	replica, now := s.replica, s.Clock.Now()
	membership := replica.Membership()
	slot := replica.Self
	if replica.IsLearner() {
		slot = -1
	}
	if slot >= 0 || membership.Epoch >= s.membership.Load().Epoch {
		s.membership.Store(&membership)
	}
	leader, term := replica.Leader()
	commitIndex, upToDate := replica.CommitIndex()
	status := &Status{
		Shard: s.index, Slot: slot, Epoch: membership.Epoch, Leader: leader, Term: term, PromisedTerm: replica.Term(),
		CommitIndex: commitIndex, Revision: s.stateMachine.Revision(), Isolated: replica.MembershipUncertain(now), Owner: replica.LeadershipConfirmed(now), UpToDate: upToDate && !replica.Isolated(now), CatchingUp: replica.Recovering(),
		ConfirmedUntil: replica.LeadershipConfirmedUntil(now),
	}
	var leaseGuard *enginecommand.LeaseGuard
	if leaseHolder := replica.LeaderLease(); leaseHolder != nil && replica.IsLeader() {
		leaseGuard = &enginecommand.LeaseGuard{Term: leaseHolder.Term, NotBefore: leaseHolder.UsableFrom(), NotAfter: leaseHolder.ExpiresAt()}
		status.LeaseRemaining = max(leaseGuard.NotAfter-now, 0)
		status.QuietPeriodRemaining = min(max(leaseGuard.NotBefore-now, 0), leaseHolder.LeaseDuration)
	}
	s.leaseGuard.Store(leaseGuard)
	previous := s.status.Swap(status)
	if previous == nil || previous.Leader != leader || previous.Owner != status.Owner || previous.CatchingUp != status.CatchingUp {
		log.Info().Str("core", s.server.Node.Name).Int("part", s.index).Int("leader", leader).Uint64("round", term).
			Bool("owner", status.Owner).Bool("recovering", status.CatchingUp).Msg("part")
	}
	if applied && s.index == 0 {
		s.server.maintenance.Update(now, s.server.configuration.Notices)
	}
	if applied && commitIndex > 0 {
		head := gossip.Head{Part: s.index, Index: replica.AppliedIndex(), Round: replica.AppliedTerm(), Sequence: status.Revision, Epoch: membership.Epoch}
		update := gossip.Update{Head: head, Data: replica.TakeSnapshot(), Steps: s.entriesSincePublished(head.Index)}
		s.publishedIndex = head.Index
		s.head.Store(&head)
		go s.server.gossip.Publish(ctx, update)
	}
}

// propose puts an operation into the log and waits for its result.
func (s *shardReplica) propose(ctx context.Context, draft func() ([]byte, error)) ([]byte, error) {
	type proposal struct {
		result chan []byte
		err    error
	}
	proposals := make(chan proposal, 1)
	queued := s.Put(ctx, func() {
		if s.replica == nil || !s.replica.LeadershipConfirmed(s.Clock.Now()) {
			proposals <- proposal{nil, errcode.New(errcode.NotLeader, "part %d", s.index)}
			return
		}
		operation, err := draft()
		if err != nil {
			proposals <- proposal{nil, err}
			return
		}
		index, term, _, output := s.replica.Propose(s.Clock.Now(), operation)
		waiter := make(chan []byte, 1)
		s.lock.Lock()
		s.pendingProposals[proposalID{index, term}] = waiter
		s.lock.Unlock()
		proposals <- proposal{waiter, nil}
		s.processOutput(ctx, output)
	})
	if !queued {
		return nil, errcode.New(errcode.NoQuorum, "part %d", s.index)
	}
	var accepted proposal
	select {
	case accepted = <-proposals:
	case <-ctx.Done():
		return nil, errcode.New(errcode.OutcomeUnknown, "part %d", s.index)
	}
	if accepted.err != nil {
		return nil, accepted.err
	}
	select {
	case result, open := <-accepted.result:
		if open {
			return result, nil
		}
	case <-ctx.Done():
	}
	return nil, errcode.New(errcode.OutcomeUnknown, "part %d", s.index)
}

// runInLoop runs a question inside the shard.
func (s *shardReplica) runInLoop(ctx context.Context, query func()) bool {
	done := make(chan struct{})
	if !s.Put(ctx, func() { query(); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// offerSnapshot hands a router's copy of the part to a member that recovers.
func (s *shardReplica) offerSnapshot(ctx context.Context, update gossip.Update) {
	s.Put(ctx, func() {
		if s.replica != nil && s.replica.Recovering() {
			if update.Index <= s.offeredIndex.Load() {
				return
			}
			s.offeredIndex.Store(update.Index)
			log.Warn().Str("core", s.server.Node.Name).Int("part", s.index).Uint64("index", update.Index).Msg("copy offered by a router")
			s.replica.OfferSnapshot(wal.Entry{Index: update.Index, Round: update.Round, Data: update.Data})
		}
	})
}
