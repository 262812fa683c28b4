package replication

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/wal"
)

// sentMessages is a Server that records the messages that a replica sends.
type sentMessages struct {
	recordingServer
	lock     sync.Mutex
	messages []consensus.Message
}

func (s *sentMessages) SendMessage(message consensus.Message) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.messages = append(s.messages, message)
}

// take returns the messages since the last call.
func (s *sentMessages) take() []consensus.Message {
	s.lock.Lock()
	defer s.lock.Unlock()
	messages := s.messages
	s.messages = nil
	return messages
}

var learnerLeader = consensus.Member{Identity: "leader", Name: "core-5", Address: "10.0.0.5:1"}

// appendFrom returns a leader's MsgAppend of one entry to the server of startShardReplica as learner of slot 2.
func appendFrom(leader consensus.Member, term uint64, receiver string) consensus.Message {
	return consensus.Message{
		Kind: consensus.MsgAppend, From: 1, To: 2, Sender: leader, Term: term, Learner: true,
		Address: "10.0.0.1:1", Receiver: receiver,
		Entries: []wal.Entry{{Index: 1, Term: term}},
	}
}

// runReplicaTest runs a test of one replica under a virtual clock.
func runReplicaTest(t *testing.T, test func(shard *ShardReplica, server *sentMessages, settle func())) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		Convey("", t, func() {
			server := &sentMessages{}
			shard := startShardReplica(t, server)
			test(shard, server, func() { time.Sleep((10 * clock.Millisecond).Duration()) })
		})
	})
}

// Guards against a learner that an append to an earlier disk starts: its log would begin with a membership of long ago,
// and no newer one would replace it.
func TestLearner_IsStartedOnlyForThisDisk(t *testing.T) {
	runReplicaTest(t, func(shard *ShardReplica, server *sentMessages, settle func()) {
		ctx := context.Background()
		for _, receiver := range []string{"earlier", ""} {
			shard.Receive(ctx, appendFrom(learnerLeader, 3, receiver))
			settle()
			So(shard.PublishedStatus().CatchingUp, ShouldBeFalse)
			So(server.take(), ShouldBeEmpty)
		}
		So(shard.EarlierDiskMessages.Load(), ShouldEqual, 1)
		shard.Receive(ctx, appendFrom(learnerLeader, 3, "own"))
		settle()
		So(shard.PublishedStatus().CatchingUp, ShouldBeTrue)
		messages := server.take()
		So(messages, ShouldHaveLength, 1)
		So(messages[0].Address, ShouldEqual, learnerLeader.Address)
	})
}

// Guards against a learner that knows only the membership in the part of the log that it has copied.
func TestLearner_AdoptsLaterMembership(t *testing.T) {
	runReplicaTest(t, func(shard *ShardReplica, _ *sentMessages, settle func()) {
		ctx := context.Background()
		shard.Receive(ctx, appendFrom(learnerLeader, 3, "own"))
		settle()
		shard.ApplyMembership(ctx, membershipWith(7, learnerLeader))
		settle()
		So(shard.Membership().Epoch, ShouldEqual, 7)
		So(shard.PublishedStatus().CatchingUp, ShouldBeTrue)
	})
}

// Guards against a learner that waits for ever for a leader that is gone: it has copied entries of a term that no later
// leader has, and rejects all others.
func TestLearner_WithoutProgressStartsOver(t *testing.T) {
	runReplicaTest(t, func(shard *ShardReplica, server *sentMessages, settle func()) {
		ctx := context.Background()
		shard.Receive(ctx, appendFrom(learnerLeader, 9, "own"))
		settle()
		So(shard.PublishedStatus().CatchingUp, ShouldBeTrue)
		time.Sleep((learnerStallTimeout - clock.Second).Duration())
		shard.Receive(ctx, appendFrom(learnerLeader, 3, "own"))
		settle()
		So(shard.LearnerRestarts.Load(), ShouldEqual, 0)
		time.Sleep((2 * clock.Second).Duration())
		So(shard.LearnerRestarts.Load(), ShouldEqual, 1)
		So(shard.PublishedStatus().CatchingUp, ShouldBeFalse)
		stored := shard.options.Log.ShardState(0)
		last, term := stored.LastPosition()
		So([]uint64{last, term}, ShouldResemble, []uint64{1, 0})

		server.take()
		shard.Receive(ctx, appendFrom(learnerLeader, 3, "own"))
		settle()
		messages := server.take()
		So(messages, ShouldHaveLength, 1)
		So(messages[0].Accepted, ShouldBeTrue)
	})
}
