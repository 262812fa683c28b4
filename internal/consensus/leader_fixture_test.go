package consensus_test

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/faulttest/simulation"
)

// leaderFixture is the leader of a cluster of three slots, with slot 1 as its only follower. The
// leader's records are synced at once.
type leaderFixture struct {
	*consensus.Replica
	now clock.Microseconds
	// followerMuted is set if the fixture sends no responses on behalf of slot 1.
	followerMuted bool
}

// handleOutput delivers the messages of an output to slots 0 and 1.
func (l *leaderFixture) handleOutput(output consensus.Output) {
	for _, message := range output.MessagesAfterSync {
		if message.To == l.Self {
			l.handleOutput(l.Receive(l.now, message))
		}
	}
	for _, message := range output.Messages {
		if message.To == 1 && !l.followerMuted {
			l.respondAsFollower(message)
		}
	}
}

// respondAsFollower answers a message on behalf of slot 1.
func (l *leaderFixture) respondAsFollower(message consensus.Message) {
	response := consensus.Message{
		From: 1, Term: message.Term, PromisedTerm: message.Term, Accepted: true,
		RequestedAt: message.RequestedAt, Sender: testMembers()[1], Incarnation: 1,
	}
	switch message.Kind {
	case consensus.MsgPrepare:
		response.Kind = consensus.MsgPromise
	case consensus.MsgAppend:
		response.Kind, response.Commit = consensus.MsgAppendResponse, message.Commit
		response.Index = message.Index + uint64(len(message.Entries))
	default:
		return
	}
	l.handleOutput(l.Receive(l.now, response))
}

// runFor advances the time by a duration. answered is set if slot 1 receives and answers messages.
func (l *leaderFixture) runFor(duration clock.Microseconds, answered bool) {
	for end := l.now + duration; l.now < end; {
		l.now += simulation.MaxMessageAge / 4
		output := l.Tick(l.now)
		if answered {
			l.handleOutput(output)
			l.deliverEcho(l.now, 0)
		}
	}
}

// deliverEcho delivers an echo of slot 1 that shows a promised term, in answer to a message that
// was sent at sentAt.
func (l *leaderFixture) deliverEcho(sentAt clock.Microseconds, promised uint64) {
	l.handleOutput(l.ReceiveEcho(l.now, sentAt, "1", consensus.Echo{Slot: 1, PromisedTerm: promised}))
}

// newLeaderFixture returns a leader that has committed an entry of its term.
func newLeaderFixture() *leaderFixture {
	leader := &leaderFixture{now: clock.Second}
	replica, output := consensus.StartReplica(testConfig(0), consensus.StartOptions{
		StateMachine: &simulation.AppendLog{},
		Now:          leader.now,
		NewCluster:   true,
	})
	leader.Replica = replica
	leader.handleOutput(output)
	leader.runFor(clock.Second, true)
	return leader
}
