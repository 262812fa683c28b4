package wal

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// faultyDisk is a simulated disk. It refuses operations while err is set, and delays one operation
// by stallNanoseconds.
type faultyDisk struct {
	err              atomic.Pointer[error]
	stallNanoseconds atomic.Int64
}

func (f *faultyDisk) Commit() error {
	time.Sleep(time.Duration(f.stallNanoseconds.Swap(0)))
	if err := f.err.Load(); err != nil {
		return *err
	}
	return nil
}

func modelEntryRecord(index uint64, length int) Record {
	return Record{RecordAppend, 1, Entry{index, 1, make([]byte, length)}}
}

// openLog opens a log and fails the test if that returns an error.
func openLog(t *testing.T, options Options) *Log {
	t.Helper()
	opened, err := Open(options)
	if err != nil {
		t.Fatal(err)
	}
	return opened
}

// withRunningLog opens a log on a file system and a simulated disk, and runs it with synthetic time
// while the given function runs.
func withRunningLog(t *testing.T, files FileSystem, run func(*Log, *faultyDisk)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		simulatedDisk := &faultyDisk{}
		testLog := openLog(t, Options{
			Directory:        modelDirectory,
			RewriteThreshold: 1 << 30,
			FileSystem:       files,
			Disk:             simulatedDisk,
		})
		ctx, stop := context.WithCancel(t.Context())
		result := make(chan error, 1)
		go func() { result <- testLog.Run(ctx) }()
		run(testLog, simulatedDisk)
		if len(result) > 0 {
			t.Error("Run returned before its context ended")
		}
		stop()
		if err := <-result; err != nil {
			t.Error(err)
		}
	})
}

// A disk that refuses writes for 20 s does not end the log. During that time nothing is
// acknowledged and the log counts as stalled; soon after the disk accepts writes again, all batches
// are acknowledged, in order.
func TestLog_RetriesFailingDisk(t *testing.T) {
	for _, failure := range []error{errFull, errInputOutput} {
		withRunningLog(t, newModelDisk(), func(testLog *Log, simulatedDisk *faultyDisk) {
			time.Sleep(time.Second)
			synctest.Wait()
			simulatedDisk.err.Store(&failure)
			var acknowledged []uint64
			for index := range uint64(200) {
				testLog.Append([]Record{modelEntryRecord(index+1, 10)}, func() { acknowledged = append(acknowledged, index) })
				time.Sleep(100 * time.Millisecond)
			}
			synctest.Wait()
			stalledFor, failures := testLog.StalledFor(), testLog.Failures.Load()
			if len(acknowledged) > 0 || stalledFor < 19*time.Second || failures == 0 {
				t.Errorf("while the disk refused writes: %d acknowledged, stalled for %v, %d failures", len(acknowledged), stalledFor, failures)
			}
			simulatedDisk.err.Store(nil)
			time.Sleep(maxRetryDelay + time.Millisecond)
			synctest.Wait()
			if len(acknowledged) != 200 || testLog.StalledFor() != 0 || testLog.QueueLength() != 0 {
				t.Errorf("after the disk accepted writes: %d acknowledged, stalled for %v, %d queued", len(acknowledged), testLog.StalledFor(), testLog.QueueLength())
			}
			for position, index := range acknowledged {
				if uint64(position) != index {
					t.Fatalf("batch %d was acknowledged at position %d", index, position)
				}
			}
		})
	}
}

// While a disk refuses or stalls, the cost of the queued batches is bounded; the records of dropped
// batches are in the file once the disk accepts writes again.
func TestLog_BoundsQueueOfFaultyDisk(t *testing.T) {
	failure := errFull
	for name, injectFault := range map[string]func(*faultyDisk){
		"refuses": func(simulatedDisk *faultyDisk) { simulatedDisk.err.Store(&failure) },
		"stalls":  func(simulatedDisk *faultyDisk) { simulatedDisk.stallNanoseconds.Store(int64(10 * time.Second)) },
	} {
		disk := newModelDisk()
		const entries, length = 300, 100 << 10
		withRunningLog(t, disk, func(testLog *Log, simulatedDisk *faultyDisk) {
			time.Sleep(time.Second)
			injectFault(simulatedDisk)
			maxQueuedBytes, acknowledged := 0, 0
			testLog.Append([]Record{modelEntryRecord(1, 10)}, func() {})
			testLog.Append([]Record{{RecordPromise, 2, Entry{Term: 7}}}, func() {})
			for index := range uint64(entries) {
				testLog.Append([]Record{modelEntryRecord(index+1, length)}, func() { acknowledged++ })
				testLog.Append([]Record{{RecordSnapshot, 1, Entry{Index: index + 1, Term: 1}}}, func() {})
				testLog.mutex.Lock()
				maxQueuedBytes = max(maxQueuedBytes, testLog.queue.bytes)
				testLog.mutex.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
			if maxQueuedBytes > queueLimit || testLog.DroppedBatches.Load() == 0 {
				t.Errorf("disk %s: up to %d bytes were queued, %d batches were dropped", name, maxQueuedBytes, testLog.DroppedBatches.Load())
			}
			simulatedDisk.err.Store(nil)
			time.Sleep(20 * time.Second)
			synctest.Wait()
			if acknowledged == 0 || acknowledged == entries || testLog.StalledFor() != 0 {
				t.Errorf("disk %s: %d of %d batches were acknowledged, stalled for %v", name, acknowledged, entries, testLog.StalledFor())
			}
		})
		reopened := openLog(t, Options{Directory: modelDirectory, FileSystem: disk})
		if shardState := reopened.ShardState(2); shardState.PromisedTerm != 7 {
			t.Errorf("disk %s: the promise of a dropped batch is not in the file", name)
		}
		if shardState := reopened.ShardState(1); shardState.Snapshot.Index != entries || len(shardState.Entries) != 0 {
			t.Errorf("disk %s: the snapshot in the file is at index %d, with %d entries after it", name, shardState.Snapshot.Index, len(shardState.Entries))
		}
	}
}

// A log that is opened on a disk that refuses all writes knows everything that could be read, and
// acknowledges appended records once the disk accepts writes.
func TestLog_StartsOnFullDisk(t *testing.T) {
	for _, existing := range []uint64{0, 3} {
		disk := newModelDisk()
		if existing > 0 {
			withRunningLog(t, disk, func(testLog *Log, _ *faultyDisk) {
				for index := range existing {
					testLog.Append([]Record{modelEntryRecord(index+1, 10)}, func() {})
				}
				time.Sleep(time.Second)
			})
		}
		failure := errFull
		disk.failOperation = failingOperations(0, 1<<30, errFull)
		withRunningLog(t, disk, func(testLog *Log, simulatedDisk *faultyDisk) {
			acknowledged := false
			testLog.Append([]Record{modelEntryRecord(existing+1, 10)}, func() { acknowledged = true })
			time.Sleep(10 * time.Second)
			synctest.Wait()
			knownEntries := uint64(len(testLog.ShardState(1).Entries))
			if acknowledged || knownEntries != existing+1 || testLog.StalledFor() < 9*time.Second {
				t.Errorf("while the disk is full: %d entries known, acknowledged: %v, stalled for %v", knownEntries, acknowledged, testLog.StalledFor())
			}
			// The model disk may be changed only while the simulated disk prevents the log from
			// using it.
			simulatedDisk.err.Store(&failure)
			time.Sleep(2 * maxRetryDelay)
			synctest.Wait()
			disk.failOperation = nil
			simulatedDisk.err.Store(nil)
			time.Sleep(2 * time.Second)
			synctest.Wait()
			if !acknowledged {
				t.Error("the batch was not acknowledged after the disk accepted writes")
			}
		})
	}
}

// On a full disk the reserve frees the space for one rewrite. Without a reserve, the log
// acknowledges nothing until the disk has space.
func TestLog_ReservedSpaceAllowsRewrite(t *testing.T) {
	for _, reservedSpace := range []int64{0, 1} {
		disk := newModelDisk()
		disk.capacity = reserveUnit + 200<<10
		testLog := openLog(t, Options{
			Directory:        modelDirectory,
			RewriteThreshold: 1 << 20,
			ReservedSpace:    reservedSpace,
			FileSystem:       disk,
		})
		if !testLog.flush() || disk.entries[reserveName] == nil != (reservedSpace == 0) {
			t.Fatalf("ReservedSpace %d: the first flush failed, or the reserve file does not match the option", reservedSpace)
		}
		disk.entries["other"] = &inode{visible: make([]byte, disk.capacity-disk.usedBytes())}
		acknowledged := false
		testLog.Append([]Record{modelEntryRecord(1, 1000)}, func() { acknowledged = true })
		for range 3 {
			testLog.flush()
		}
		if acknowledged != (reservedSpace > 0) || disk.usedBytes() > disk.capacity {
			t.Errorf("ReservedSpace %d: acknowledged %v on the full disk, %d bytes used", reservedSpace, acknowledged, disk.usedBytes())
		}
		delete(disk.entries, "other")
		if !testLog.flush() || !acknowledged {
			t.Errorf("ReservedSpace %d: not acknowledged although the disk has space", reservedSpace)
		}
	}
}

// After a rewrite that fails for lack of space, the old file stays in use.
func TestLog_RewriteWithoutSpaceKeepsOldFile(t *testing.T) {
	disk := newModelDisk()
	testLog, err := Open(Options{Directory: modelDirectory, RewriteThreshold: 5000, FileSystem: disk})
	if err != nil || !testLog.flush() {
		t.Fatal(err)
	}
	disk.capacity = 9500
	for index := range uint64(9) {
		acknowledged := false
		testLog.Append([]Record{modelEntryRecord(index+1, 1000)}, func() { acknowledged = true })
		if !testLog.flush() || !acknowledged {
			t.Fatalf("entry %d was not acknowledged", index+1)
		}
	}
	if testLog.Failures.Load() == 0 || testLog.StalledFor() != 0 {
		t.Error(fmt.Sprint("failures: ", testLog.Failures.Load(), ", stalled for ", testLog.StalledFor()))
	}
	reopened, err := Open(Options{Directory: modelDirectory, FileSystem: disk})
	if err != nil || len(reopened.ShardState(1).Entries) != 9 {
		t.Error("entries are missing after the log was reopened")
	}
}
