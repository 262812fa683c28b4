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

// figures are what a number of changes leaves, and what a member without its disk needs
// to catch up with them.
type figures struct {
	changes int
	// log are the bytes of entries that are held, snapshot those of the last snapshot.
	log, snapshot int
	// written are all bytes that were given to the disk, rewritten those that a rewrite leaves.
	written, rewritten int
	// memory is what the state, its snapshot and the log take in memory.
	memory int
	// content is the span until the member had all content, current until it may answer.
	content, current schedule.Microseconds
	// processor is the time that the member's own steps took.
	processor time.Duration
}

// threadTime is the processor time of the calling thread.
func threadTime() time.Duration {
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

func measure(test *testing.T, changes, rate int) figures {
	fleet := newReplicas(9, 3, rate, 2*schedule.Millisecond)
	fleet.changes(test, changes, 350, 30*schedule.Millisecond)
	leader := fleet.leader()
	late := fleet.members[(leader.slot+1)%3]
	found := figures{changes: changes, written: late.written, snapshot: len(leader.member.Base.Data)}
	for _, entry := range leader.member.Entries {
		found.log += len(entry.Data)
	}
	for _, record := range late.disk.Records() {
		found.rewritten += len(journal.Frame(nil, []journal.Record{record}))
	}
	before := heapSize()
	copied := configuration.NewState()
	copied.Restore(leader.state.Snapshot())
	found.memory = heapSize() - before + found.snapshot + found.log
	runtime.KeepAlive(copied)
	late.stop(true)
	fleet.World.Run(schedule.Second)
	late.used = 0
	late.start(false)
	returned := fleet.Now()
	fleet.until(60*schedule.Second, func() bool { return late.state.Label == fleet.label || late.caughtUp() })
	found.content = fleet.Now() - returned
	if _, caught := fleet.until(60*schedule.Second, late.caughtUp); !caught {
		test.Fatalf("%d changes: not caught up, %+v", changes, late.member.Transfers())
	}
	found.current, found.processor = fleet.Now()-returned, late.used
	return found
}

// Size and span grow with the number of changes only by what each accepted order leaves.
func TestFiguresOfCatchingUp(test *testing.T) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	links := []struct {
		name    string
		rate    int
		share   float64
		changes []int
	}{
		{"100 Mbit/s, 0.512 of a core", 100_000_000 / 8 / 2, 0.512, []int{1600}},
		{"10 Mbit/s, 0.192 of a core", halfTenMegabits, 0.192, []int{100, 400, 1600}},
	}
	for _, link := range links {
		smallest := 0
		for _, changes := range link.changes {
			found := measure(test, changes, link.rate)
			charged := schedule.Microseconds(float64(found.processor.Microseconds()) / link.share)
			test.Logf("%s: %d changes: log %d, snapshot %d, written %d, rewritten %d, memory %d bytes; content after %d ms, current after %d ms, processor %d ms (%d ms at its share)",
				link.name, changes, found.log, found.snapshot, found.written, found.rewritten, found.memory,
				found.content/schedule.Millisecond, found.current/schedule.Millisecond, found.processor.Milliseconds(), charged/schedule.Millisecond)
			if span := found.current + charged; span > catchUpSpan {
				test.Errorf("%s: %d changes: caught up after %d ms", link.name, changes, span/schedule.Millisecond)
			}
			if smallest == 0 {
				smallest = found.rewritten
			}
			if most := 2*smallest + 64*changes + 256*1024; found.rewritten > most || found.snapshot > most {
				test.Errorf("%s: %d changes leave %d bytes, more than %d", link.name, changes, found.rewritten, most)
			}
		}
	}
}
