package journal

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// sickDevice refuses for as long as it is told to, or answers nothing.
type sickDevice struct {
	err   atomic.Pointer[error]
	stall atomic.Int64
}

func (f *sickDevice) Commit() error {
	time.Sleep(time.Duration(f.stall.Swap(0)))
	if err := f.err.Load(); err != nil {
		return *err
	}
	return nil
}

func modelEntry(index uint64, length int) Record {
	return Record{Append, 1, Entry{index, 1, make([]byte, length)}}
}

// running has a journal run over a device until the act ends.
func running(test *testing.T, files Files, act func(*Journal, *sickDevice)) {
	synctest.Test(test, func(test *testing.T) {
		device := &sickDevice{}
		journal, err := Open(Options{Folder: modelFolder, Rewrite: 1 << 30, Files: files, Device: device})
		if err != nil {
			test.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- journal.Run(ctx) }()
		act(journal, device)
		if len(ended) > 0 {
			test.Error("the journal ended by itself")
		}
		stop()
		if err := <-ended; err != nil {
			test.Error(err)
		}
	})
}

// A disk that refuses for 20 s ends nothing: nothing is answered, the journal counts as
// stalled all the time, and soon after the disk takes bytes all is answered, in order.
func TestARefusingDiskIsTriedAgain(test *testing.T) {
	for _, refusal := range []error{errFull, errBroken} {
		running(test, newModelDisk(), func(journal *Journal, device *sickDevice) {
			time.Sleep(time.Second)
			synctest.Wait()
			device.err.Store(&refusal)
			var answered []uint64
			for index := range uint64(200) {
				journal.Write([]Record{modelEntry(index+1, 10)}, func() { answered = append(answered, index) })
				time.Sleep(100 * time.Millisecond)
			}
			synctest.Wait()
			if len(answered) > 0 || journal.Stalled() < 19*time.Second || journal.Failures.Load() == 0 {
				test.Errorf("%d answered, stalled for %v, %d failures", len(answered), journal.Stalled(), journal.Failures.Load())
			}
			device.err.Store(nil)
			time.Sleep(lastRetry + time.Millisecond)
			synctest.Wait()
			if len(answered) != 200 || journal.Stalled() != 0 || journal.Waiting() != 0 {
				test.Errorf("%d answered, stalled for %v, %d wait", len(answered), journal.Stalled(), journal.Waiting())
			}
			for place, index := range answered {
				if uint64(place) != index {
					test.Fatalf("answer %d came as number %d", index, place)
				}
			}
		})
	}
}

// What waits for a disk that refuses or answers nothing is bounded in bytes; the records
// of answers that were given up are in the file once the disk takes bytes again.
func TestTheQueueOfASickDiskIsBounded(test *testing.T) {
	refusal := error(errFull)
	for name, ail := range map[string]func(*sickDevice){
		"refuses": func(device *sickDevice) { device.err.Store(&refusal) },
		"stalls":  func(device *sickDevice) { device.stall.Store(int64(10 * time.Second)) },
	} {
		disk := newModelDisk()
		const entries, length = 300, 100 << 10
		running(test, disk, func(journal *Journal, device *sickDevice) {
			time.Sleep(time.Second)
			ail(device)
			highest, answered := 0, 0
			journal.Write([]Record{modelEntry(1, 10)}, func() {})
			journal.Write([]Record{{Promise, 2, Entry{Round: 7}}}, func() {})
			for index := range uint64(entries) {
				journal.Write([]Record{modelEntry(index+1, length)}, func() { answered++ })
				journal.Write([]Record{{Rebase, 1, Entry{Index: index + 1, Round: 1}}}, func() {})
				journal.lock.Lock()
				highest = max(highest, journal.queued)
				journal.lock.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
			if highest > queueLimit || journal.Dropped.Load() == 0 {
				test.Errorf("%s: %d bytes waited, %d answers were given up", name, highest, journal.Dropped.Load())
			}
			device.err.Store(nil)
			time.Sleep(20 * time.Second)
			synctest.Wait()
			if answered == 0 || answered == entries || journal.Stalled() != 0 {
				test.Errorf("%s: %d answered, stalled for %v", name, answered, journal.Stalled())
			}
		})
		again, err := Open(Options{Folder: modelFolder, Files: disk})
		if err != nil {
			test.Fatal(err)
		}
		if past := again.Past(2); past.Promised != 7 {
			test.Errorf("%s: a vote whose answer was given up is not in the file", name)
		}
		if past := again.Past(1); past.Base.Index != entries || len(past.Entries) != 0 {
			test.Errorf("%s: the file ends at %d with %d entries", name, past.Base.Index, len(past.Entries))
		}
	}
}

// A disk that refuses everything at the start ends nothing either: what can be read is
// known, and it is answered for once the disk takes bytes.
func TestAStartOnAFullDisk(test *testing.T) {
	for _, earlier := range []uint64{0, 3} {
		disk := newModelDisk()
		if earlier > 0 {
			running(test, disk, func(journal *Journal, _ *sickDevice) {
				for index := range earlier {
					journal.Write([]Record{modelEntry(index+1, 10)}, func() {})
				}
				time.Sleep(time.Second)
			})
		}
		refusal := error(errFull)
		disk.refuse = refusing(0, 1<<30, errFull)
		running(test, disk, func(journal *Journal, device *sickDevice) {
			answered := false
			journal.Write([]Record{modelEntry(earlier+1, 10)}, func() { answered = true })
			time.Sleep(10 * time.Second)
			synctest.Wait()
			if known := uint64(len(journal.Past(1).Entries)); answered || known != earlier+1 || journal.Stalled() < 9*time.Second {
				test.Errorf("%d entries known, answered: %v, stalled for %v", known, answered, journal.Stalled())
			}
			// The model is touched only while the device, in its stead, keeps the journal from it.
			device.err.Store(&refusal)
			time.Sleep(2 * lastRetry)
			synctest.Wait()
			disk.refuse = nil
			device.err.Store(nil)
			time.Sleep(2 * time.Second)
			synctest.Wait()
			if !answered {
				test.Error("not answered when the disk took bytes")
			}
		})
	}
}

// A full disk has the space of the reserve for one rewrite; without a reserve the journal
// waits until there is space.
func TestTheReserveIsForARewrite(test *testing.T) {
	for _, reserve := range []int64{0, 1} {
		disk := newModelDisk()
		disk.capacity = reserveStep + 200<<10
		journal, err := Open(Options{Folder: modelFolder, Rewrite: 1 << 20, Reserve: reserve, Files: disk})
		if err != nil {
			test.Fatal(err)
		}
		if !journal.flush() || disk.names[reserveName] == nil != (reserve == 0) {
			test.Fatalf("no reserve of %d was made", reserve)
		}
		disk.names["other"] = &node{seen: make([]byte, disk.capacity-disk.used())}
		answered := false
		journal.Write([]Record{modelEntry(1, 1000)}, func() { answered = true })
		for range 3 {
			journal.flush()
		}
		if answered != (reserve > 0) || disk.used() > disk.capacity {
			test.Errorf("reserve %d: answered %v, %d bytes used", reserve, answered, disk.used())
		}
		delete(disk.names, "other")
		if !journal.flush() || !answered {
			test.Errorf("reserve %d: not answered with space on the disk", reserve)
		}
	}
}

// A rewrite that fails for want of space leaves the old file in use.
func TestARewriteWithoutSpaceKeepsTheOldFile(test *testing.T) {
	disk := newModelDisk()
	journal, err := Open(Options{Folder: modelFolder, Rewrite: 5000, Files: disk})
	if err != nil || !journal.flush() {
		test.Fatal(err)
	}
	disk.capacity = 9500
	for index := range uint64(9) {
		answered := false
		journal.Write([]Record{modelEntry(index+1, 1000)}, func() { answered = true })
		if !journal.flush() || !answered {
			test.Fatalf("entry %d was not answered", index+1)
		}
	}
	if journal.Failures.Load() == 0 || journal.Stalled() != 0 {
		test.Error(fmt.Sprint("failures: ", journal.Failures.Load(), ", stalled for ", journal.Stalled()))
	}
	again, err := Open(Options{Folder: modelFolder, Files: disk})
	if err != nil || len(again.Past(1).Entries) != 9 {
		test.Error("entries are missing")
	}
}
