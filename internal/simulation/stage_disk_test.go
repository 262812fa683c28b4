package simulation_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"coursepass/internal/configuration"
	"coursepass/internal/mishap"
	"coursepass/internal/schedule"
)

// acknowledges says how long it takes from now until a change is acknowledged.
func (stage *stage) acknowledges() time.Duration {
	watch := newWatch(&soak{stage: stage, begun: time.Now()}, "")
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
// and loses nothing; damage in the middle stops it.
func TestTornJournals(test *testing.T) {
	play(test, func(stage *stage) {
		for length := range 10 {
			name := []string{"core-0", "core-1", "core-2"}[length%3]
			stage.kill(name)
			path := filepath.Join(stage.folder, name, "journal")
			text, failure := os.ReadFile(path)
			if failure != nil {
				test.Fatal(failure)
			}
			if failure := os.WriteFile(path, append(text, []byte{90, 0, 0, 0, 1, 2, 3, 4, 5, 6}[:length+1]...), 0o644); failure != nil {
				test.Fatal(failure)
			}
			stage.wake(name)
			time.Sleep(3 * time.Second)
			if !stage.seated("127.0.0." + name[5:] + ":2") {
				test.Errorf("%s did not come back with %d torn bytes", name, length+1)
			}
		}
		var shown struct{ Sequence uint64 }
		if failure := stage.change().Get("/v1/configuration", &shown); failure != nil || shown.Sequence != 1 {
			test.Errorf("sequence %d is in force, not 1 (%v)", shown.Sequence, failure)
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
