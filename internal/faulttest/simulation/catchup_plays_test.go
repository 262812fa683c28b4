package simulation

import (
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
)

const (
	// halfTenMegabits is the half of a link of 10 Mbit/s, in bytes a second: clients have the rest.
	halfTenMegabits = 10_000_000 / 8 / 2
	// catchUpSpan is the least catch-up-s of the deployments.
	catchUpSpan = 6 * schedule.Second
	mostContent = 64 << 10
)

// A member comes back after hundreds of changes, with its disk and without, while changes
// go on and a fifth of all content is lost. It catches up in time, and until then neither
// leads nor calls what it holds current, and for a whole
// lease it grants none, but for the term that its disk shows as promised.
func TestAMemberCatchesUpAfterHundredsOfChanges(test *testing.T) {
	for _, wiped := range []bool{false, true} {
		fleet := newReplicas(5, 3, halfTenMegabits, 2*schedule.Millisecond)
		fleet.changes(test, 60, 350, 10*schedule.Millisecond)
		late := fleet.members[(fleet.leader().slot+1)%3]
		promised := late.member.Round()
		late.stop(wiped)
		fleet.changes(test, 340, 350, 10*schedule.Millisecond)
		needed, returned := fleet.label, fleet.Now()
		fleet.drop = func(message part.Message) bool {
			early := message.Granted && message.From == late.slot && fleet.Now()-returned < Terms.Lease
			if early && (wiped || message.Round != promised) {
				test.Fatalf("wiped %v: granted within a lease of its return", wiped)
			}
			return message.Kind == part.Content && fleet.Chance.IntN(5) == 0
		}
		returned = fleet.Now()
		late.start(false)
		span, caught := fleet.until(2*catchUpSpan, func() bool {
			if _, current := late.member.Current(); (current || late.member.Owns()) && late.state.Label < needed {
				test.Fatalf("wiped %v: current or leading at label %d of %d", wiped, late.state.Label, needed)
			}
			if fleet.Chance.IntN(20) == 0 {
				fleet.change(350)
			}
			return late.caughtUp()
		})
		if !caught || span > catchUpSpan {
			test.Errorf("wiped %v: caught up %v after %d ms, at label %d of %d, %+v", wiped, caught, span/schedule.Millisecond, late.state.Label, fleet.label, late.member.Transfers())
		}
		if moved := late.member.Transfers(); moved.Installed == 0 || moved.Taken < 3 {
			test.Errorf("wiped %v: no snapshot came in pieces: %+v", wiped, moved)
		}
		for _, each := range fleet.members {
			if each.largest > max(mostContent, entrySize()+mostContent) {
				test.Errorf("wiped %v: member %d sent %d bytes in one message", wiped, each.slot, each.largest)
			}
		}
	}
}

// The one that follows on is behind the others by more than an answer holds: it fetches
// the rest before it leads, and nothing that was committed is lost.
func TestANewLeaderFetchesWhatItLacks(test *testing.T) {
	for seed := range uint64(6) {
		fleet := newReplicas(seed, 3, halfTenMegabits, 2*schedule.Millisecond)
		fleet.changes(test, 30, 350, 10*schedule.Millisecond)
		first := fleet.leader()
		next := fleet.members[(first.slot+1)%3]
		next.stop(false)
		fleet.changes(test, 300, 350, 5*schedule.Millisecond)
		fleet.World.Run(schedule.Second)
		first.stop(false)
		next.start(false)
		span, led := fleet.until(30*schedule.Second, func() bool { return fleet.leader() != nil })
		if !led {
			test.Fatalf("seed %d: nobody leads", seed)
		}
		if leader := fleet.leader(); leader.state.Label != fleet.label {
			test.Errorf("seed %d: member %d leads at label %d of %d", seed, leader.slot, leader.state.Label, fleet.label)
		}
		test.Logf("seed %d: led by %d after %d ms, %+v", seed, fleet.leader().slot, span/schedule.Millisecond, fleet.leader().member.Transfers())
		fleet.changes(test, 3, 350, 50*schedule.Millisecond)
		first.start(false)
		if _, caught := fleet.until(10*schedule.Second, func() bool { return first.caughtUp() && next.caughtUp() || fleet.leader() == nil }); !caught || fleet.leader() == nil {
			test.Errorf("seed %d: not all caught up", seed)
		}
	}
}
