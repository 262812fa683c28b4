package simulation

import (
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"coursepass/internal/clock"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/state/config"
)

// catchUpCost is what a number of changes leaves behind, and what a replica without its disk needs to catch
// up with them.
type catchUpCost struct {
	changes int
	// logBytes is the size of the retained entries, snapshotBytes that of the last snapshot.
	logBytes, snapshotBytes int
	// writtenBytes is the size of all writes to the disk, compactedBytes that of the rewritten log.
	writtenBytes, compactedBytes int
	// memoryBytes is the memory of the state, its snapshot and the log.
	memoryBytes int
	// contentTime is the time until the replica has all content, currentTime until it may answer.
	contentTime, currentTime clock.Microseconds
	// cpuTime is the processor time of the replica's own steps.
	cpuTime time.Duration
}

// threadCPUTime is the processor time of the calling thread.
func threadCPUTime() time.Duration {
	var usage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_THREAD, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapSize() int {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

func measureCatchUp(t *testing.T, changes, rate int) catchUpCost {
	t.Helper()
	group := newReplicaGroup(9, 3, rate, 2*clock.Millisecond)
	group.proposeChanges(t, changes, 30*clock.Millisecond)
	leader := group.leader()
	lagging := group.replicas[(leader.slot+1)%3]
	cost := catchUpCost{
		changes:       changes,
		writtenBytes:  lagging.writtenBytes,
		snapshotBytes: len(leader.consensus.Snapshot.Data),
	}
	for _, entry := range leader.consensus.Entries {
		cost.logBytes += len(entry.Data)
	}
	for _, record := range lagging.disk.Records() {
		cost.compactedBytes += len(wal.AppendFrame(nil, []wal.Record{record}))
	}
	before := heapSize()
	restored := config.NewState()
	restored.Restore(leader.state.Snapshot())
	cost.memoryBytes = heapSize() - before + cost.snapshotBytes + cost.logBytes
	runtime.KeepAlive(restored)
	lagging.stop(true)
	group.Run(clock.Second)
	lagging.cpuTime = 0
	lagging.start(false)
	restartedAt := group.Now()
	group.runUntil(60*clock.Second, func() bool { return lagging.state.Label == group.label || lagging.isCaughtUp() })
	cost.contentTime = group.Now() - restartedAt
	if _, caughtUp := group.runUntil(60*clock.Second, lagging.isCaughtUp); !caughtUp {
		t.Fatalf("%d changes: not caught up, %+v", changes, lagging.consensus.TransferCounters())
	}
	cost.currentTime = group.Now() - restartedAt
	cost.cpuTime = lagging.cpuTime
	return cost
}

// TestCatchUp_CostIsBounded checks that sizes and times grow with the number of changes only by what each
// accepted change leaves behind.
func TestCatchUp_CostIsBounded(t *testing.T) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	links := []struct {
		name         string
		bandwidth    int
		cpuShare     float64
		changeCounts []int
	}{
		{"100 Mbit/s, 0.512 of a core", 100_000_000 / 8 / 2, 0.512, []int{1600}},
		{"10 Mbit/s, 0.192 of a core", halfOfTenMegabitLink, 0.192, []int{100, 400, 1600}},
	}
	for _, link := range links {
		smallest := 0
		for _, changes := range link.changeCounts {
			cost := measureCatchUp(t, changes, link.bandwidth)
			scaledCPUTime := clock.Microseconds(float64(cost.cpuTime.Microseconds()) / link.cpuShare)
			t.Logf("%s: %d changes: log %d, snapshot %d, written %d, rewritten %d, memory %d bytes; "+
				"content after %d ms, current after %d ms, processor %d ms (%d ms at its share)",
				link.name, changes, cost.logBytes, cost.snapshotBytes, cost.writtenBytes, cost.compactedBytes, cost.memoryBytes,
				cost.contentTime/clock.Millisecond, cost.currentTime/clock.Millisecond, cost.cpuTime.Milliseconds(), scaledCPUTime/clock.Millisecond)
			if duration := cost.currentTime + scaledCPUTime; duration > catchUpLimit {
				t.Errorf("%s: %d changes: caught up after %d ms", link.name, changes, duration/clock.Millisecond)
			}
			if smallest == 0 {
				smallest = cost.compactedBytes
			}
			if maximum := 2*smallest + 64*changes + 256*1024; cost.compactedBytes > maximum || cost.snapshotBytes > maximum {
				t.Errorf("%s: %d changes leave %d bytes, more than %d", link.name, changes, cost.compactedBytes, maximum)
			}
		}
	}
}
