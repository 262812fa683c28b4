package simulation_test

import (
	"context"
	"crypto/rand"
	"fmt"
	"slices"
	"testing"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
)

const (
	cutSpan = 20 * time.Second
	// settleSpan is how long after a cut the rest must acknowledge a change.
	settleSpan = 4 * time.Second
	// unconfirmedSpan is how long a leader that is cut off may still call itself owner.
	unconfirmedSpan = time.Second
)

// readAt asks one core for what is in force, as an operator does.
func (t *stage) readAt(name string) (uint64, bool) {
	begun := time.Now()
	view, err := t.cores[name].Read(context.Background())
	if took := time.Since(begun); took > 900*time.Millisecond {
		t.Errorf("%s took %v for a read", name, took)
	}
	return view.Sequence, err == nil
}

// refusedAt asks one core for what only the state forbids, and says whether it was refused.
func (t *stage) refusedAt(name string) (string, bool) {
	request := configuration.Request{Kind: configuration.Evacuate, Key: rand.Text(), Whichever: true, Hall: "nowhere"}
	outcome, err := t.cores[name].Configure(context.Background(), request)
	return outcome.Text, err == nil && outcome.Code != mishap.Fine
}

// changedBy has a change acknowledged by one of some cores, and says its sequence.
func (t *stage) changedBy(names []string, within time.Duration) (uint64, bool) {
	request := configuration.Request{Kind: configuration.Evacuate, Key: rand.Text(), Whichever: true, Hall: t.halls[2]}
	begun := time.Now()
	for turn := 0; time.Since(begun) < within; turn++ {
		outcome, err := t.cores[names[turn%len(names)]].Configure(context.Background(), request)
		if err == nil && outcome.Code == mishap.Fine {
			return outcome.Sequence, true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0, false
}

// ownerAmong is which of some cores owns part 0.
func (t *stage) ownerAmong(names []string) string {
	for number, address := range t.corePub {
		if !slices.Contains(names, fmt.Sprint("core-", number)) {
			continue
		}
		if overview := t.overview(address); len(overview.Parts) > 0 && overview.Parts[0].Owner {
			return overview.Name
		}
	}
	return ""
}

// reach is what a leader that is cut off still hears of the others.
type reach uint8

const (
	nothing reach = iota
	// others: it hears them and is not heard, so it follows the next leader.
	others
	// all: it is only late.
	all
)

// cutOff cuts the leader of part 0 off for twenty seconds, and checks that it serves nothing
// as current, that the rest acknowledges soon, and that its return unseats nobody.
func cutOff(test *testing.T, hears reach, cut func(*stage, string, []string)) {
	play(test, func(stage *stage) {
		leader := stage.owner(0)
		var public string
		var names []string
		for number, address := range stage.corePub {
			if name := fmt.Sprint("core-", number); name == leader {
				public = address
			} else {
				names = append(names, name)
			}
		}
		cut(stage, leader, names)
		begun := time.Now()
		acknowledged := make(chan uint64, 1)
		go func() {
			sequence, done := stage.changedBy(names, settleSpan)
			if !done {
				test.Errorf("the rest acknowledged nothing within %v", settleSpan)
			}
			test.Logf("the rest acknowledged %v after the cut", time.Since(begun))
			acknowledged <- sequence
		}()
		known, owner := uint64(0), ""
		for time.Since(begun) < cutSpan {
			select {
			case known = <-acknowledged:
				owner = stage.ownerAmong(names)
			default:
			}
			if sequence, read := stage.readAt(leader); read && (hears != all || sequence < known) {
				test.Errorf("%v after the cut it told sequence %d, and %d was acknowledged", time.Since(begun), sequence, known)
			}
			if told, refused := stage.refusedAt(leader); refused && hears != all {
				test.Errorf("%v after the cut it refused by its own view: %s", time.Since(begun), told)
			}
			overview := stage.overview(public)
			for _, part := range overview.Parts[:min(1, len(overview.Parts))] {
				if (part.Owner && hears != all || part.Current && hears == nothing) && time.Since(begun) > unconfirmedSpan {
					test.Errorf("%v after the cut it says owner %v, current %v", time.Since(begun), part.Owner, part.Current)
				}
			}
			time.Sleep(250 * time.Millisecond)
		}
		stage.Heal()
		for back := time.Now(); time.Since(back) < 5*time.Second; time.Sleep(100 * time.Millisecond) {
			if sequence, read := stage.readAt(leader); read && sequence < known {
				test.Errorf("%v after its return it told sequence %d, not %d", time.Since(back), sequence, known)
			}
			if now := stage.ownerAmong(names); now != owner {
				test.Errorf("%v after the return the owner is %q, not %q", time.Since(back), now, owner)
			}
		}
	})
}

func TestTheLeaderIsCutOffFromTheOtherCores(test *testing.T) {
	cutOff(test, nothing, func(stage *stage, leader string, others []string) { stage.Isolate(leader, others) })
}

func TestTheLeaderHearsNobody(test *testing.T) {
	cutOff(test, nothing, func(stage *stage, leader string, others []string) {
		for _, other := range others {
			stage.Cut(other, leader)
		}
	})
}

func TestNobodyHearsTheLeader(test *testing.T) {
	cutOff(test, others, func(stage *stage, leader string, others []string) {
		for _, other := range others {
			stage.Cut(leader, other)
		}
	})
}

func TestTheLeaderStandsStill(test *testing.T) {
	cutOff(test, all, func(stage *stage, leader string, _ []string) { stage.Freeze(leader, schedule.Of(cutSpan)) })
}

func TestTheLeadersClockIsSteppedByTwentySeconds(test *testing.T) {
	cutOff(test, all, func(stage *stage, leader string, _ []string) { stage.Suspend(leader, schedule.Of(cutSpan)) })
}

// A follower that hears nobody, but is heard, does not unseat the leader, and neither does its return.
func TestAFollowerHearsNobody(test *testing.T) {
	play(test, func(stage *stage) {
		leader, deaf := stage.owner(0), ""
		for number := range stage.corePub {
			if name := fmt.Sprint("core-", number); name != leader {
				deaf = name
			}
		}
		for number := range stage.corePub {
			if name := fmt.Sprint("core-", number); name != deaf {
				stage.Cut(name, deaf)
			}
		}
		watch := func(span time.Duration, when string) {
			for begun := time.Now(); time.Since(begun) < span; time.Sleep(100 * time.Millisecond) {
				if owner := stage.owner(0); owner != leader {
					test.Fatalf("%s, after %v, the owner is %q, not %q", when, time.Since(begun), owner, leader)
				}
			}
		}
		watch(cutSpan, "while it is deaf")
		stage.Heal()
		watch(5*time.Second, "after its return")
	})
}
