package replication

import (
	"context"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/errcode"
	"coursepass/internal/gossip"
	"coursepass/internal/state/config"
	"coursepass/internal/state/idempotency"
)

// recordingServer is a Server that drops messages and published states, and counts lost slots.
type recordingServer struct {
	lock      sync.Mutex
	lostSlots int
}

func (r *recordingServer) SendMessage(consensus.Message) {}

func (r *recordingServer) YieldsLeadership(consensus.Membership) bool { return false }

func (r *recordingServer) StateApplied(int, clock.Microseconds) {}

func (r *recordingServer) PublishState(context.Context, gossip.Update, gossip.State) {}

func (r *recordingServer) SlotLost(int, clock.Microseconds) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.lostSlots++
}

func (r *recordingServer) lostSlotCount() int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.lostSlots
}

// startShardReplica runs a replica of shard 0 until the test ends. The shard has three slots and no members yet.
func startShardReplica(t *testing.T, server Server) *ShardReplica {
	t.Helper()
	directory := t.TempDir()
	log, err := wal.Open(wal.Options{Directory: directory, RewriteThreshold: 1 << 20})
	So(err, ShouldBeNil)
	reservationLog := idempotency.OpenLog(wal.OSFileSystem{}, directory)
	shard := NewShardReplica(Options{
		Server:         server,
		StateMachine:   config.NewState(),
		Self:           consensus.Member{Identity: "own", Name: "core-0", Address: "10.0.0.1:1", Zone: "norte"},
		Clock:          clock.New(),
		Log:            log,
		ReservationLog: reservationLog,
		Slots:          3,
		Delta:          100 * clock.Millisecond,
		LeaseDuration:  clock.Second,
		Incarnation:    1,
		JoinExisting:   true,
	})
	ctx, stop := context.WithCancel(context.Background())
	var goroutines sync.WaitGroup
	goroutines.Go(func() { _ = log.Run(ctx) }) // The test does not read the log, so a write error does not matter.
	goroutines.Go(func() { shard.Run(ctx) })
	t.Cleanup(func() {
		stop()
		goroutines.Wait()
		reservationLog.Close()
	})
	return shard
}

// membershipWith returns a membership of three slots whose first slot has the given member.
func membershipWith(epoch uint64, member consensus.Member) consensus.Membership {
	return consensus.Membership{Epoch: epoch, Members: []consensus.Member{member, {}, {}}}
}

// A server without a slot publishes a status, but does not propose, read or admit members.
func TestShardReplica_WithoutSlotRejectsOperations(t *testing.T) {
	Convey("a replica without a slot has a status, and neither proposes nor reads", t, func() {
		shard := startShardReplica(t, &recordingServer{})
		So(shard.RunInLoop(t.Context(), func() {}), ShouldBeTrue)
		So(shard.PublishedStatus().Slot, ShouldEqual, NoSlot)
		So(shard.LeaseGuard().Load(), ShouldBeNil)
		_, isMember := shard.Echo()
		So(isMember, ShouldBeFalse)
		_, err := shard.Propose(t.Context(), func() ([]byte, error) { return nil, nil })
		So(errcode.CodeOf(err, errcode.OK), ShouldEqual, errcode.NotLeader)
		err = shard.LinearizableRead(t.Context(), func() { t.Error("the query of a server without a slot was run") })
		So(errcode.CodeOf(err, errcode.OK), ShouldEqual, errcode.NotLeader)
		shard.RunInLoop(t.Context(), func() {
			shard.AdmitMember(consensus.Member{}, func([]SlotContact) SlotChoice {
				t.Error("a server that does not lead the shard chose a slot")
				return SlotChoice{Slot: NoSlot}
			})
		})
	})
}

// An older membership must not return a slot to a server that has lost it, nor take the slot from its member.
func TestApplyMembership_AppliesOnlyLaterMemberships(t *testing.T) {
	Convey("a later membership is applied, an older one is ignored", t, func() {
		server := &recordingServer{}
		shard := startShardReplica(t, server)
		apply := func(membership consensus.Membership) {
			shard.ApplyMembership(t.Context(), membership)
			So(shard.RunInLoop(t.Context(), func() {}), ShouldBeTrue)
		}
		own := shard.options.Self
		other := consensus.Member{Identity: "other", Name: "core-9", Address: "10.0.0.9:1"}

		apply(membershipWith(2, own))
		So(shard.PublishedStatus().Slot, ShouldEqual, 0)
		So(shard.Reservations(), ShouldNotBeNil)
		apply(membershipWith(1, other))
		So(shard.PublishedStatus().Slot, ShouldEqual, 0)
		So(server.lostSlotCount(), ShouldEqual, 0)

		apply(membershipWith(3, other))
		So(shard.PublishedStatus().Slot, ShouldEqual, NoSlot)
		So(shard.Reservations(), ShouldBeNil)
		So(shard.Membership().Epoch, ShouldEqual, 3)
		So(server.lostSlotCount(), ShouldEqual, 1)
		apply(membershipWith(2, own))
		So(shard.PublishedStatus().Slot, ShouldEqual, NoSlot)
	})
}
