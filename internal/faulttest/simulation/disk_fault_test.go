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
)

// acknowledgementTime sends changes until one is acknowledged, and returns how long that took.
func (t *testFleet) acknowledgementTime() time.Duration {
	observer := newFleetObserver(&fleetSoak{testFleet: t, startedAt: time.Now()}, "")
	for startedAt := time.Now(); time.Since(startedAt) < 30*time.Second; time.Sleep(50 * time.Millisecond) {
		if observer.sendChange(evacuationRequest("sur")).resultCode == errcode.OK {
			return time.Since(startedAt)
		}
	}
	return time.Hour
}

// The disk of the leader stalls, fills, fails in the middle of a record, or gets slow: the leader is
// replaced in bounded time, or goes on leading if the stall is short.
func TestLeader_DiskFaults(t *testing.T) {
	for name, testCase := range map[string]struct {
		injectFault     func(*testFleet, string)
		keepsLeadership bool
	}{
		"stalls": {func(fleet *testFleet, leader string) { fleet.StallDisk(leader) }, false},
		"fills":  {func(fleet *testFleet, leader string) { fleet.FillDisk(leader) }, false},
		"stalls for a moment": {func(fleet *testFleet, leader string) {
			fleet.StallDisk(leader)
			time.Sleep(800 * time.Millisecond)
			fleet.RepairDisks()
		}, true},
		"is slow": {func(fleet *testFleet, leader string) { fleet.SlowDisk(leader, 700*clock.Millisecond) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(fleet *testFleet) {
				checkCompleteShare(t, fleet.loadDuring(16, func() {
					leader := fleet.shardLeader(0)
					testCase.injectFault(fleet, leader)
					duration := fleet.acknowledgementTime()
					if t.Logf("a change is acknowledged after %v", duration); duration > 4*time.Second {
						t.Errorf("a change was acknowledged only after %v", duration)
					}
					time.Sleep(3 * time.Second)
					if next := fleet.shardLeader(0); (next == leader) != testCase.keepsLeadership || next == "" {
						t.Errorf("%s led, %s leads", leader, next)
					}
					fleet.RepairDisks()
				}), 0.98)
			})
		})
	}
}

// TestServer_RecoversFromTornLog has a write-ahead log end in a torn record, again and again: the server
// truncates the tail, comes back and loses nothing.
func TestServer_RecoversFromTornLog(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		for length := range 10 {
			name := []string{"core-0", "core-1", "core-2"}[length%3]
			fleet.killDaemon(name)
			path := filepath.Join(fleet.dataDirectory, name, "journal")
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, append(text, []byte{90, 0, 0, 0, 1, 2, 3, 4, 5, 6}[:length+1]...), 0o644); err != nil {
				t.Fatal(err)
			}
			fleet.startDaemon(name)
			time.Sleep(3 * time.Second)
			if !fleet.votesInAllShards("127.0.0." + name[5:] + ":2") {
				t.Errorf("%s did not come back with %d torn bytes", name, length+1)
			}
		}
		var configuration struct{ Sequence uint64 }
		if err := fleet.newChange().Get("/v1/configuration", &configuration); err != nil || configuration.Sequence != 1 {
			t.Errorf("the latest revision is %d, not 1 (%v)", configuration.Sequence, err)
		}
	})
}

// TestServer_RecoversFromCorruptLog has a write-ahead log corrupted in its middle, again and again: the
// server stays up, quarantines the file, and recovers from the others as after the loss of its disk.
func TestServer_RecoversFromCorruptLog(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		for number := range 3 {
			name := fmt.Sprint("core-", number)
			fleet.acknowledgementTime()
			fleet.killDaemon(name)
			path := filepath.Join(fleet.dataDirectory, name, "journal")
			content, err := os.ReadFile(path)
			if err != nil || len(content) < 100 {
				t.Fatal(err, len(content))
			}
			content[20] ^= 1
			if err := os.WriteFile(path, content, 0o644); err != nil {
				t.Fatal(err)
			}
			fleet.startDaemon(name)
			fleet.checkVotesWithin(name, 10*time.Second)
			fleet.checkServersRunning()
			quarantined, err := os.ReadFile(path + ".damaged")
			if err != nil || !bytes.Equal(quarantined, content) {
				t.Errorf("the corrupt file of %s was not quarantined: %v", name, err)
			}
		}
		var configuration struct{ Sequence uint64 }
		if err := fleet.newChange().Get("/v1/configuration", &configuration); err != nil || configuration.Sequence < 4 {
			t.Errorf("the latest revision is %d, not 4 (%v)", configuration.Sequence, err)
		}
	})
}

// The next candidate for the leadership has a stalled disk when the leader is isolated for a short time:
// it must not lead.
func TestServer_WithStalledDiskDoesNotLead(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		fleet.loadDuring(14, func() {
			leader := fleet.shardLeader(0)
			next := fmt.Sprint("core-", (int(leader[5]-'0')+1)%3)
			fleet.StallDisk(next)
			time.Sleep(1200 * time.Millisecond)
			fleet.Isolate(leader, fleet.daemonNames())
			time.Sleep(1500 * time.Millisecond)
			fleet.Heal()
			duration := fleet.acknowledgementTime()
			t.Logf("%s led, %s has the stalled disk, %s leads; a change is acknowledged after %v",
				leader, next, fleet.shardLeader(0), duration)
			if duration > 4*time.Second {
				t.Errorf("a change was acknowledged only after %v", duration)
			}
			if fleet.shardLeader(0) == next {
				t.Errorf("%s leads with a stalled disk", next)
			}
		})
	})
}

// TestAcknowledgedChange_SurvivesTwoWipedDisks has two servers lose their disks right after an
// acknowledgement, and all routers restarted: the change survives, since the third server has it, too, if
// its disk is not slower than the acknowledgement waits.
func TestAcknowledgedChange_SurvivesTwoWipedDisks(t *testing.T) {
	for survivor := range 3 {
		t.Run(fmt.Sprint("spared ", survivor), func(t *testing.T) {
			runScenario(t, func(fleet *testFleet) { wipeTwoDisksRepeatedly(fleet, survivor) })
		})
	}
}

// wipeTwoDisksRepeatedly has changes acknowledged, each of which must survive the loss of the disks of all
// servers but one, and expects all of them.
func wipeTwoDisksRepeatedly(fleet *testFleet, survivor int) {
	missingChanges := 0
	for iteration := range 4 {
		observer := newFleetObserver(&fleetSoak{testFleet: fleet, startedAt: time.Now()}, "")
		fleet.SlowDisk(fmt.Sprint("core-", survivor), 120*clock.Millisecond)
		zone := []string{"sur", "norte"}[iteration%2]
		done := observer.sendChange(evacuationRequest(zone))
		if done.resultCode != errcode.OK {
			fleet.Fatalf("not acknowledged: %d", done.resultCode)
		}
		wiped := []string{fmt.Sprint("core-", (survivor+1)%3), fmt.Sprint("core-", (survivor+2)%3)}
		restarted := append([]string{"router-0", "router-1", "router-2", fmt.Sprint("core-", survivor)}, wiped...)
		for _, name := range restarted {
			fleet.killDaemon(name)
		}
		for _, name := range wiped {
			fleet.wipeDisk(name)
		}
		for _, name := range restarted {
			fleet.startDaemon(name)
		}
		if duration := fleet.awaitRecovery(); duration > recoveryLimit {
			fleet.Errorf("the fleet served only after %v", duration)
		}
		if configuration, _ := observer.currentConfiguration(); configuration.Revision < done.outcome.Revision {
			missingChanges++
		}
	}
	if missingChanges > 0 {
		fleet.Errorf("%d of 4 acknowledged changes are lost", missingChanges)
	}
}

// sendChangesFor sends changes one after the other for a duration, and returns how many were acknowledged
// and the longest time that one of them took.
func (t *testFleet) sendChangesFor(duration time.Duration) (acknowledged int, longest time.Duration) {
	for startedAt := time.Now(); time.Since(startedAt) < duration; time.Sleep(300 * time.Millisecond) {
		longest = max(longest, t.acknowledgementTime())
		acknowledged++
	}
	return acknowledged, longest
}

// hasExited reports whether a daemon has ended by itself.
func (t *testFleet) hasExited(name string) bool {
	select {
	case <-t.processes[name].done:
		return true
	default:
		return false
	}
}

// checkServersRunning checks that no server has ended by itself.
func (t *testFleet) checkServersRunning() {
	for name := range t.processes {
		if strings.HasPrefix(name, "core-") && t.hasExited(name) {
			t.Errorf("%s has ended by itself", name)
		}
	}
}

// checkVotesWithin checks that a server votes in every shard within a duration.
func (t *testFleet) checkVotesWithin(name string, duration time.Duration) {
	for startedAt := time.Now(); !t.votesInAllShards("127.0.0." + name[5:] + ":2"); time.Sleep(100 * time.Millisecond) {
		if time.Since(startedAt) > duration {
			t.Errorf("%s does not vote %v after its disk accepts writes", name, duration)
			return
		}
	}
}

// TestLeader_DiskFullForTwentySeconds has the disk of the leader full for twenty seconds: no process ends,
// another server leads, changes go on being acknowledged, and afterwards any other server may be lost.
func TestLeader_DiskFullForTwentySeconds(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		checkCompleteShare(t, fleet.loadDuring(40, func() {
			leader := fleet.shardLeader(0)
			fleet.FillDisk(leader)
			count, longest := fleet.sendChangesFor(20 * time.Second)
			t.Logf("%d changes with a full disk, each within %v", count, longest)
			if longest > 4*time.Second {
				t.Errorf("a change waited for %v", longest)
			}
			fleet.checkServersRunning()
			if next := fleet.shardLeader(0); next == leader || next == "" {
				t.Errorf("%s with a full disk led, %s leads", leader, next)
			}
			fleet.RepairDisks()
			fleet.checkVotesWithin(leader, 3*time.Second)
			time.Sleep(time.Second)
			victim := fleet.shardLeader(0)
			fleet.killDaemon(victim)
			if duration := fleet.acknowledgementTime(); duration > 4*time.Second {
				t.Errorf("a change waited for %v with %s lost after %s was freed", duration, victim, leader)
			}
			fleet.startDaemon(victim)
		}), 0.95)
	})
}

// TestServer_StartsOnFullDisk has a server start on a full disk: it stays up and does not lead, the others
// go on without it, and it votes once its disk accepts writes.
func TestServer_StartsOnFullDisk(t *testing.T) {
	for _, wiped := range []bool{false, true} {
		t.Run(fmt.Sprint("wiped ", wiped), func(t *testing.T) {
			runScenario(t, func(fleet *testFleet) {
				name := fleet.shardLeader(0)
				fleet.killDaemon(name)
				if wiped {
					fleet.wipeDisk(name)
				}
				fleet.FillDisk(name)
				fleet.startDaemon(name)
				_, longest := fleet.sendChangesFor(10 * time.Second)
				fleet.checkServersRunning()
				if leads := fleet.shardLeader(0); longest > 4*time.Second || leads == name || leads == "" {
					t.Errorf("%s leads, with %s on a full disk; a change waited for %v", leads, name, longest)
				}
				fleet.RepairDisks()
				fleet.checkVotesWithin(name, 8*time.Second)
			})
		})
	}
}

// All disks are full: nothing is acknowledged and no server ends, and soon after the disks accept writes
// changes are acknowledged again.
func TestAllDisksFull(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		for number := range 3 {
			fleet.FillDisk(fmt.Sprint("core-", number))
		}
		time.Sleep(2 * time.Second)
		observer := newFleetObserver(&fleetSoak{testFleet: fleet, startedAt: time.Now()}, "")
		if done := observer.sendChange(evacuationRequest("norte")); done.resultCode == errcode.OK {
			t.Error("a change was acknowledged without a disk that accepts writes")
		}
		time.Sleep(10 * time.Second)
		fleet.checkServersRunning()
		fleet.RepairDisks()
		if duration := fleet.acknowledgementTime(); duration > 6*time.Second {
			t.Errorf("a change was acknowledged only %v after the disks accepted writes", duration)
		}
	})
}

// Two of three disks are slow, possibly that of the leader: changes are acknowledged, and the leader does
// not change.
func TestTwoOfThreeDisksSlow(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		checkCompleteShare(t, fleet.loadDuring(20, func() {
			leader := fleet.shardLeader(0)
			for number := range 2 {
				fleet.SlowDisk(fmt.Sprint("core-", number), 400*clock.Millisecond)
			}
			_, longest := fleet.sendChangesFor(12 * time.Second)
			t.Logf("a change waited for %v at most", longest)
			if longest > 4*time.Second {
				t.Errorf("a change waited for %v", longest)
			}
			if next := fleet.shardLeader(0); next != leader {
				t.Errorf("%s led, %s leads: a disk that is only slow changes no leader", leader, next)
			}
			fleet.RepairDisks()
		}), 0.98)
	})
}

// The disk of one server is full, and another server is lost with its disk while changes go on: all
// acknowledged changes are on all three servers afterwards.
func TestFullDiskAndCrashedServer(t *testing.T) {
	for _, servers := range [][3]int{{0, 1, 2}, {1, 2, 0}, {2, 0, 1}} {
		t.Run(fmt.Sprint("full ", servers[0], " lost ", servers[1]), func(t *testing.T) {
			runScenario(t, func(fleet *testFleet) {
				full, victim := fmt.Sprint("core-", servers[0]), fmt.Sprint("core-", servers[1])
				fleet.FillDisk(full)
				fleet.sendChangesFor(4 * time.Second)
				observer := newFleetObserver(&fleetSoak{testFleet: fleet, startedAt: time.Now()}, "")
				before, _ := observer.currentConfiguration()
				fleet.killDaemon(victim)
				time.Sleep(3 * time.Second)
				// Without a majority of disks that accept writes nothing may be acknowledged.
				if done := observer.sendChange(evacuationRequest("norte")); done.resultCode == errcode.OK {
					t.Error("a change was acknowledged with one disk of three")
				}
				fleet.checkServersRunning()
				fleet.startDaemon(victim)
				fleet.acknowledgementTime()
				after, _ := observer.currentConfiguration()
				fleet.killDaemon(full)
				fleet.startDaemon(full)
				fleet.checkVotesWithin(full, 10*time.Second)
				fleet.killDaemon(fmt.Sprint("core-", servers[2]))
				time.Sleep(3 * time.Second)
				configuration, _ := observer.currentConfiguration()
				hasAdvanced := before.Revision > 0 && after.Revision > before.Revision
				if !hasAdvanced || configuration.Revision < after.Revision {
					t.Errorf("the latest revision is %d, then %d, then %d", before.Revision, after.Revision, configuration.Revision)
				}
			})
		})
	}
}
