package simulation_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
)

// acknowledges says how long it takes from now until a change is acknowledged.
func (t *stage) acknowledges() time.Duration {
	watch := newWatch(&soak{stage: t, begun: time.Now()}, "")
	for begun := time.Now(); time.Since(begun) < 30*time.Second; time.Sleep(50 * time.Millisecond) {
		if watch.operate(configuration.Request{Kind: configuration.Evacuate, Whichever: true, Hall: "sur"}).code == mishap.Fine {
			return time.Since(begun)
		}
	}
	return time.Hour
}

// The leader's disk stalls, fills, fails in the middle of a record, or gets slow: it
// gives way in bounded time, or keeps its place where the stall is short.
func TestLeadersDisk(test *testing.T) {
	for name, each := range map[string]struct {
		ail   func(*stage, string)
		keeps bool
	}{
		"stalls": {func(stage *stage, leader string) { stage.StallDisk(leader) }, false},
		"fills":  {func(stage *stage, leader string) { stage.FillDisk(leader) }, false},
		"stalls for a moment": {func(stage *stage, leader string) {
			stage.StallDisk(leader)
			time.Sleep(800 * time.Millisecond)
			stage.MendDisks()
		}, true},
		"is slow": {func(stage *stage, leader string) { stage.SlowDisk(leader, 700*schedule.Millisecond) }, true},
	} {
		test.Run(name, func(test *testing.T) {
			play(test, func(stage *stage) {
				most(test, stage.during(16, func() {
					leader := stage.owner(0)
					each.ail(stage, leader)
					span := stage.acknowledges()
					if test.Logf("a change is acknowledged after %v", span); span > 4*time.Second {
						test.Errorf("a change was acknowledged only after %v", span)
					}
					time.Sleep(3 * time.Second)
					if next := stage.owner(0); (next == leader) != each.keeps || next == "" {
						test.Errorf("%s led, %s leads", leader, next)
					}
					stage.MendDisks()
				}), 0.98)
			})
		})
	}
}

// A core's journal ends in a torn record, again and again: it cuts the tail, comes back
// and loses nothing.
func TestTornJournals(test *testing.T) {
	play(test, func(stage *stage) {
		for length := range 10 {
			name := []string{"core-0", "core-1", "core-2"}[length%3]
			stage.kill(name)
			path := filepath.Join(stage.folder, name, "journal")
			text, err := os.ReadFile(path)
			if err != nil {
				test.Fatal(err)
			}
			if err := os.WriteFile(path, append(text, []byte{90, 0, 0, 0, 1, 2, 3, 4, 5, 6}[:length+1]...), 0o644); err != nil {
				test.Fatal(err)
			}
			stage.wake(name)
			time.Sleep(3 * time.Second)
			if !stage.seated("127.0.0." + name[5:] + ":2") {
				test.Errorf("%s did not come back with %d torn bytes", name, length+1)
			}
		}
		var shown struct{ Sequence uint64 }
		if err := stage.change().Get("/v1/configuration", &shown); err != nil || shown.Sequence != 1 {
			test.Errorf("sequence %d is in force, not 1 (%v)", shown.Sequence, err)
		}
	})
}

// A core's journal is damaged in its middle: the core stays up, sets the file aside, and
// recovers from the others as after the loss of its disk, again and again.
func TestADamagedJournal(test *testing.T) {
	play(test, func(stage *stage) {
		for number := range 3 {
			name := fmt.Sprint("core-", number)
			stage.acknowledges()
			stage.kill(name)
			path := filepath.Join(stage.folder, name, "journal")
			content, err := os.ReadFile(path)
			if err != nil || len(content) < 100 {
				test.Fatal(err, len(content))
			}
			content[20] ^= 1
			if err := os.WriteFile(path, content, 0o644); err != nil {
				test.Fatal(err)
			}
			stage.wake(name)
			stage.votesAgain(name, 10*time.Second)
			stage.stayUp()
			aside, err := os.ReadFile(path + ".damaged")
			if err != nil || !bytes.Equal(aside, content) {
				test.Errorf("the damaged file of %s was not set aside: %v", name, err)
			}
		}
		var shown struct{ Sequence uint64 }
		if err := stage.change().Get("/v1/configuration", &shown); err != nil || shown.Sequence < 4 {
			test.Errorf("sequence %d is in force, not 4 (%v)", shown.Sequence, err)
		}
	})
}

// The core whose turn it is next has a stalled disk when the leader falls silent for a
// moment: it must not hold the part that it can't lead.
func TestACoreWithAStalledDiskDoesNotLead(test *testing.T) {
	play(test, func(stage *stage) {
		stage.during(14, func() {
			leader := stage.owner(0)
			next := fmt.Sprint("core-", (int(leader[5]-'0')+1)%3)
			stage.StallDisk(next)
			time.Sleep(1200 * time.Millisecond)
			stage.Isolate(leader, stage.names())
			time.Sleep(1500 * time.Millisecond)
			stage.Heal()
			span := stage.acknowledges()
			if test.Logf("%s led, %s has the stalled disk, %s leads; a change is acknowledged after %v", leader, next, stage.owner(0), span); span > 4*time.Second {
				test.Errorf("a change was acknowledged only after %v", span)
			}
			if stage.owner(0) == next {
				test.Errorf("%s leads with a stalled disk", next)
			}
		})
	})
}

// Any two cores lose their disks right after an acknowledgement, and all routers are
// restarted: what was acknowledged is still there, since the third core holds it too, if
// only its disk is not slower than the acknowledgement waits.
func TestAcknowledgedThenWiped(test *testing.T) {
	for spared := range 3 {
		test.Run(fmt.Sprint("spared ", spared), func(test *testing.T) {
			play(test, func(stage *stage) {
				lost := 0
				for turn := range 4 {
					watch := newWatch(&soak{stage: stage, begun: time.Now()}, "")
					stage.SlowDisk(fmt.Sprint("core-", spared), 120*schedule.Millisecond)
					done := watch.operate(configuration.Request{Kind: configuration.Evacuate, Whichever: true, Hall: []string{"sur", "norte"}[turn%2]})
					if done.code != mishap.Fine {
						test.Fatalf("not acknowledged: %d", done.code)
					}
					wiped := []string{fmt.Sprint("core-", (spared+1)%3), fmt.Sprint("core-", (spared+2)%3)}
					gone := append([]string{"router-0", "router-1", "router-2", fmt.Sprint("core-", spared)}, wiped...)
					for _, name := range gone {
						stage.kill(name)
					}
					for _, name := range wiped {
						stage.wipe(name)
					}
					for _, name := range gone {
						stage.wake(name)
					}
					if span := stage.recovers(); span > recovery {
						test.Errorf("serving came back only after %v", span)
					}
					if shown, _ := watch.shown(); shown.Sequence < done.outcome.Sequence {
						lost++
					}
				}
				if lost > 0 {
					test.Errorf("%d of 4 acknowledged changes are gone", lost)
				}
			})
		})
	}
}

// changes counts what was acknowledged in a span of changes one after the other, and the
// longest time that one of them waited.
func (t *stage) changes(span time.Duration) (acknowledged int, longest time.Duration) {
	for begun := time.Now(); time.Since(begun) < span; time.Sleep(300 * time.Millisecond) {
		longest = max(longest, t.acknowledges())
		acknowledged++
	}
	return acknowledged, longest
}

// ended tells whether a daemon has ended by itself.
func (t *stage) ended(name string) bool {
	select {
	case <-t.lives[name].done:
		return true
	default:
		return false
	}
}

// stayUp fails for each core that has ended by itself.
func (t *stage) stayUp() {
	for name := range t.lives {
		if strings.HasPrefix(name, "core-") && t.ended(name) {
			t.Errorf("%s has ended by itself", name)
		}
	}
}

// votesAgain waits until a core has a seat in every part and may vote.
func (t *stage) votesAgain(name string, span time.Duration) {
	for begun := time.Now(); !t.seated("127.0.0." + name[5:] + ":2"); time.Sleep(100 * time.Millisecond) {
		if time.Since(begun) > span {
			t.Errorf("%s does not vote %v after its disk takes bytes", name, span)
			return
		}
	}
}

// The leader's disk is full for twenty seconds and then freed: no process ends, another
// core leads, changes go on being acknowledged, and afterwards any other core may be lost.
func TestTheLeadersDiskIsFullForLong(test *testing.T) {
	play(test, func(stage *stage) {
		most(test, stage.during(40, func() {
			leader := stage.owner(0)
			stage.FillDisk(leader)
			count, longest := stage.changes(20 * time.Second)
			if test.Logf("%d changes with a full disk, each within %v", count, longest); longest > 4*time.Second {
				test.Errorf("a change waited for %v", longest)
			}
			stage.stayUp()
			if next := stage.owner(0); next == leader || next == "" {
				test.Errorf("%s with a full disk led, %s leads", leader, next)
			}
			stage.MendDisks()
			stage.votesAgain(leader, 3*time.Second)
			time.Sleep(time.Second)
			lost := stage.owner(0)
			stage.kill(lost)
			if span := stage.acknowledges(); span > 4*time.Second {
				test.Errorf("a change waited for %v with %s lost after %s was freed", span, lost, leader)
			}
			stage.wake(lost)
		}), 0.95)
	})
}

// A core starts on a full disk: it stays up and does not lead, the others go on without
// it, and it votes once its disk takes bytes.
func TestACoreStartsOnAFullDisk(test *testing.T) {
	for _, wiped := range []bool{false, true} {
		test.Run(fmt.Sprint("wiped ", wiped), func(test *testing.T) {
			play(test, func(stage *stage) {
				name := stage.owner(0)
				stage.kill(name)
				if wiped {
					stage.wipe(name)
				}
				stage.FillDisk(name)
				stage.wake(name)
				_, longest := stage.changes(10 * time.Second)
				stage.stayUp()
				if leads := stage.owner(0); longest > 4*time.Second || leads == name || leads == "" {
					test.Errorf("%s leads, with %s on a full disk; a change waited for %v", leads, name, longest)
				}
				stage.MendDisks()
				stage.votesAgain(name, 8*time.Second)
			})
		})
	}
}

// All disks are full: nothing is acknowledged and no core ends, and soon after they take
// bytes changes are acknowledged again.
func TestAllDisksAreFull(test *testing.T) {
	play(test, func(stage *stage) {
		for number := range 3 {
			stage.FillDisk(fmt.Sprint("core-", number))
		}
		time.Sleep(2 * time.Second)
		watch := newWatch(&soak{stage: stage, begun: time.Now()}, "")
		if done := watch.operate(configuration.Request{Kind: configuration.Evacuate, Whichever: true, Hall: "norte"}); done.code == mishap.Fine {
			test.Error("a change was acknowledged without any disk")
		}
		time.Sleep(10 * time.Second)
		stage.stayUp()
		stage.MendDisks()
		if span := stage.acknowledges(); span > 6*time.Second {
			test.Errorf("a change was acknowledged only %v after the disks took bytes", span)
		}
	})
}

// Two of three disks are slow, the leader's perhaps among them: changes are acknowledged,
// and the leader stays.
func TestTwoOfThreeDisksAreSlow(test *testing.T) {
	play(test, func(stage *stage) {
		most(test, stage.during(20, func() {
			leader := stage.owner(0)
			for number := range 2 {
				stage.SlowDisk(fmt.Sprint("core-", number), 400*schedule.Millisecond)
			}
			_, longest := stage.changes(12 * time.Second)
			if test.Logf("a change waited for %v at the most", longest); longest > 4*time.Second {
				test.Errorf("a change waited for %v", longest)
			}
			if next := stage.owner(0); next != leader {
				test.Errorf("%s led, %s leads: a disk that is only slow changes no leader", leader, next)
			}
			stage.MendDisks()
		}), 0.98)
	})
}

// One core's disk is full, and another core is lost with its disk while the changes go
// on: whatever was acknowledged is there afterwards, on all three.
func TestAFullDiskAndALostCore(test *testing.T) {
	for _, order := range [][3]int{{0, 1, 2}, {1, 2, 0}, {2, 0, 1}} {
		test.Run(fmt.Sprint("full ", order[0], " lost ", order[1]), func(test *testing.T) {
			play(test, func(stage *stage) {
				full, lost := fmt.Sprint("core-", order[0]), fmt.Sprint("core-", order[1])
				stage.FillDisk(full)
				stage.changes(4 * time.Second)
				watch := newWatch(&soak{stage: stage, begun: time.Now()}, "")
				before, _ := watch.shown()
				stage.kill(lost)
				time.Sleep(3 * time.Second)
				// Without a majority that has it on disk nothing may be acknowledged.
				if done := watch.operate(configuration.Request{Kind: configuration.Evacuate, Whichever: true, Hall: "norte"}); done.code == mishap.Fine {
					test.Error("a change was acknowledged with one disk of three")
				}
				stage.stayUp()
				stage.wake(lost)
				stage.acknowledges()
				after, _ := watch.shown()
				stage.kill(full)
				stage.wake(full)
				stage.votesAgain(full, 10*time.Second)
				stage.kill(fmt.Sprint("core-", order[2]))
				time.Sleep(3 * time.Second)
				if shown, _ := watch.shown(); before.Sequence == 0 || after.Sequence <= before.Sequence || shown.Sequence < after.Sequence {
					test.Errorf("sequence %d, then %d, then %d is in force", before.Sequence, after.Sequence, shown.Sequence)
				}
			})
		})
	}
}
