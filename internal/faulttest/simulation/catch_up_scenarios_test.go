package simulation

import (
	"fmt"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
)

const (
	// halfOfTenMegabitLink is half of a link of 10 Mbit/s, in bytes a second: clients use the rest.
	halfOfTenMegabitLink = 10_000_000 / 8 / 2
	// catchUpLimit is the shortest catch-up-s of the deployments.
	catchUpLimit    = 6 * clock.Second
	maxContentBytes = 64 << 10
)

// TestReplica_CatchesUpAfterHundredsOfChanges has a replica come back after hundreds of changes, with its
// disk and without, while changes go on and a fifth of all snapshot chunks is lost. It catches up in time,
// and until then neither leads nor reports to be current, and for one lease it grants none, but for the
// term that is promised on its disk.
func TestReplica_CatchesUpAfterHundredsOfChanges(t *testing.T) {
	for _, wiped := range []bool{false, true} {
		t.Run(fmt.Sprint("wiped ", wiped), func(t *testing.T) { checkCatchUp(t, wiped) })
	}
}

func checkCatchUp(t *testing.T, wiped bool) {
	t.Helper()
	group := newReplicaGroup(5, 3, halfOfTenMegabitLink, 2*clock.Millisecond)
	group.proposeChanges(t, 60, 10*clock.Millisecond)
	lagging := group.replicas[(group.leader().slot+1)%3]
	promised := lagging.consensus.Term()
	lagging.stop(wiped)
	group.proposeChanges(t, 340, 10*clock.Millisecond)
	needed, restartedAt := group.label, group.Now()
	group.dropMessage = func(message consensus.Message) bool {
		early := message.Granted && message.From == lagging.slot && group.Now()-restartedAt < LeaseTiming.LeaseDuration
		if early && (wiped || message.Term != promised) {
			t.Fatalf("wiped %v: granted within a lease of its return", wiped)
		}
		return message.Kind == consensus.MsgFetchResponse && group.Random.IntN(5) == 0
	}
	restartedAt = group.Now()
	lagging.start(false)
	duration, caughtUp := group.runUntil(2*catchUpLimit, func() bool {
		_, current := lagging.consensus.CommitIndex()
		isTrusted := current || lagging.consensus.IsLeader()
		if isTrusted && lagging.state.Label < needed {
			t.Fatalf("wiped %v: current or leading at label %d of %d", wiped, lagging.state.Label, needed)
		}
		if group.Random.IntN(20) == 0 {
			group.proposeChange()
		}
		return lagging.isCaughtUp()
	})
	if !caughtUp || duration > catchUpLimit {
		t.Errorf("wiped %v: caught up %v after %d ms, at label %d of %d, %+v",
			wiped, caughtUp, duration/clock.Millisecond, lagging.state.Label, group.label,
			lagging.consensus.TransferCounters())
	}
	if transfers := lagging.consensus.TransferCounters(); transfers.Installed == 0 || transfers.Received < 3 {
		t.Errorf("wiped %v: no snapshot came in chunks: %+v", wiped, transfers)
	}
	for _, member := range group.replicas {
		if member.largestMessage > max(maxContentBytes, routingEntrySize()+maxContentBytes) {
			t.Errorf("wiped %v: member %d sent %d bytes in one message", wiped, member.slot, member.largestMessage)
		}
	}
}

// TestNewLeader_FetchesMissingEntries has a replica become leader that lacks more entries than one response
// has: it fetches them before it leads, and no committed entry is lost.
func TestNewLeader_FetchesMissingEntries(t *testing.T) {
	for seed := range uint64(6) {
		group := newReplicaGroup(seed, 3, halfOfTenMegabitLink, 2*clock.Millisecond)
		group.proposeChanges(t, 30, 10*clock.Millisecond)
		first := group.leader()
		next := group.replicas[(first.slot+1)%3]
		next.stop(false)
		group.proposeChanges(t, 300, 5*clock.Millisecond)
		group.Run(clock.Second)
		first.stop(false)
		next.start(false)
		duration, hasLeader := group.runUntil(30*clock.Second, func() bool { return group.leader() != nil })
		if !hasLeader {
			t.Fatalf("seed %d: nobody leads", seed)
		}
		if leader := group.leader(); leader.state.Label != group.label {
			t.Errorf("seed %d: member %d leads at label %d of %d", seed, leader.slot, leader.state.Label, group.label)
		}
		t.Logf("seed %d: led by %d after %d ms, %+v",
			seed, group.leader().slot, duration/clock.Millisecond, group.leader().consensus.TransferCounters())
		group.proposeChanges(t, 3, 50*clock.Millisecond)
		first.start(false)
		_, caughtUp := group.runUntil(10*clock.Second, func() bool {
			return first.isCaughtUp() && next.isCaughtUp() || group.leader() == nil
		})
		if !caughtUp || group.leader() == nil {
			t.Errorf("seed %d: not all caught up", seed)
		}
	}
}
