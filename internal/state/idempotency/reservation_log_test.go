package idempotency_test

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/state/idempotency"
)

// fullDiskFiles is a file system that can be full: files are then not created, and each write
// fails after half of its data.
type fullDiskFiles struct {
	wal.OSFileSystem
	full, truncateFails *bool
}

func (f fullDiskFiles) Open(path string, flags int) (wal.File, error) {
	if *f.full && flags&os.O_CREATE != 0 {
		return nil, syscall.ENOSPC
	}
	file, err := f.OSFileSystem.Open(path, flags)
	return fullDiskFile{file, f}, err
}

type fullDiskFile struct {
	wal.File
	files fullDiskFiles
}

func (f fullDiskFile) Write(data []byte) (int, error) {
	if !*f.files.full {
		return f.File.Write(data)
	}
	count, _ := f.File.Write(data[:len(data)/2])
	return count, syscall.ENOSPC
}

func (f fullDiskFile) Truncate(size int64) error {
	if *f.files.truncateFails {
		return syscall.EIO
	}
	return f.File.Truncate(size)
}

// appendKeys appends a reservation of each key to the log, for consensus shard 1.
func appendKeys(reservationLog *idempotency.Log, keys ...string) error {
	var reservations []idempotency.Claim
	for _, key := range keys {
		reservations = append(reservations, idempotency.Claim{Key: key, By: idempotency.RequestID{Life: 1}})
	}
	return reservationLog.Append(1, reservations, nil)
}

// countReplayed returns the number of reservations that the next incarnation recovers from the
// log in the directory.
func countReplayed(directory string) int {
	reservationLog := idempotency.OpenLog(wal.OSFileSystem{}, directory)
	defer reservationLog.Close()
	store := idempotency.NewStore(testRetention, 64)
	reservationLog.Replay(clock.Second, 1, store)
	return store.Count()
}

// A full disk leaves a partly written record in the log. The log must truncate it, because
// records behind it couldn't be read. If the truncation fails, the log must reject records and
// need compaction, and accept records again after the compaction.
func TestLog_FullDisk(t *testing.T) {
	for _, truncateFails := range []bool{false, true} {
		directory, full, truncateFailing := t.TempDir(), false, false
		files := fullDiskFiles{full: &full, truncateFails: &truncateFailing}
		reservationLog := idempotency.OpenLog(files, directory)
		truncateFailing = truncateFails
		store := idempotency.NewStore(testRetention, 64)
		for number := range 4 {
			key := fmt.Sprint("key-", number)
			store.Reserve(clock.Second, idempotency.Claim{Key: key, By: idempotency.RequestID{Life: 1}})
			full = number == 1
			err := appendKeys(reservationLog, key)
			shouldFail := number == 1 || truncateFails && number > 1
			if (err != nil) != shouldFail {
				t.Errorf("record %d: error %v, want an error: %v", number, err, shouldFail)
			}
		}
		if reservationLog.NeedsCompaction() != truncateFails {
			t.Errorf("needs compaction: %v, want %v", reservationLog.NeedsCompaction(), truncateFails)
		}
		if known := countReplayed(directory); known != 3 && !truncateFails {
			t.Errorf("%d reservations were recovered, want 3", known)
		}
		err := reservationLog.Compact(clock.Second, map[int]*idempotency.Store{1: store})
		if err != nil || appendKeys(reservationLog, "last") != nil {
			t.Error("the log failed to compact or to accept a record after the compaction: ", err)
		}
		reservationLog.Close()
		if known := countReplayed(directory); known != 5 {
			t.Errorf("%d reservations were recovered after the compaction, want 5", known)
		}
	}
}

// A log that is opened on a full disk must accept records after the disk has space again and
// the log is compacted, also if an earlier compaction has left a temporary file.
func TestLog_OpenedOnFullDisk(t *testing.T) {
	directory, full := t.TempDir(), true
	reservationLog := idempotency.OpenLog(fullDiskFiles{full: &full, truncateFails: new(bool)}, directory)
	if appendKeys(reservationLog, "early") == nil || !reservationLog.NeedsCompaction() {
		t.Error("a log without a file accepted a record or doesn't need compaction")
	}
	if reservationLog.Compact(clock.Second, nil) == nil {
		t.Error("the compaction succeeded on a full disk")
	}
	full = false
	if err := os.WriteFile(filepath.Join(directory, "claims.new"), []byte("leftover"), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := reservationLog.Compact(clock.Second, nil); err != nil || appendKeys(reservationLog, "late") != nil {
		t.Error("the log failed to compact or to accept a record after the compaction: ", err)
	}
	reservationLog.Close()
	if known := countReplayed(directory); known != 1 {
		t.Errorf("%d reservations were recovered, want 1", known)
	}
}

// A power loss leaves each of three unsynced records intact, missing or partly written. The
// log must open with the records before the first damaged one and accept new records.
func TestLog_PowerLoss(t *testing.T) {
	directory := t.TempDir()
	path := filepath.Join(directory, "claims")
	var content []byte
	var ends []int
	for number := range 3 {
		reservationLog := idempotency.OpenLog(wal.OSFileSystem{}, directory)
		if err := appendKeys(reservationLog, fmt.Sprint("key-", number)); err != nil {
			t.Fatal(err)
		}
		reservationLog.Close()
		content, _ = os.ReadFile(path)
		ends = append(ends, len(content))
	}
	for state := range 27 {
		damaged, intact, start := append([]byte(nil), content...), 0, 0
		for index, damage := range []int{state % 3, state / 3 % 3, state / 9} {
			damagedFrom := []int{ends[index], start, (start + ends[index]) / 2}[damage]
			if damagedFrom < ends[index] {
				clear(damaged[damagedFrom:ends[index]])
			} else if intact == index {
				intact++
			}
			start = ends[index]
		}
		if err := os.WriteFile(path, damaged, 0o644); err != nil {
			t.Fatal(err)
		}
		reservationLog := idempotency.OpenLog(wal.OSFileSystem{}, directory)
		if err := appendKeys(reservationLog, "later"); err != nil || reservationLog.NeedsCompaction() {
			t.Errorf("state %d: the log rejected a record or needs compaction: %v", state, err)
		}
		reservationLog.Close()
		if known := countReplayed(directory); known != intact+1 {
			t.Errorf("state %d: %d reservations were recovered, want %d", state, known, intact+1)
		}
	}
}
