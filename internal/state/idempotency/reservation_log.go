package idempotency

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/errcode"
)

// The kinds of records. The values are part of the file format.
const (
	recordReserved wal.RecordKind = iota + 1
	recordReleased
)

const (
	logFileName     = "claims"
	temporarySuffix = ".new"
	// fieldSeparator separates the key from the address in a record.
	fieldSeparator = "\x00"
	// minCompactionLength is the length, in bytes, up to which the log isn't compacted.
	minCompactionLength = 4 << 20
	// compactionGrowth is the factor by which the log may grow beyond its length after the last
	// compaction before it is compacted again.
	compactionGrowth = 2
	// logErrorDetail identifies the log in error messages.
	logErrorDetail = "reservation log"
)

// Log is a replica's reservation log on disk. A reservation is written to the log before the
// replica answers the request, but the file isn't synced: the reservation survives a killed
// process but not a power loss. A replica therefore never counts as recovered because of its
// log. After a failed write the log may have no open file; it then needs compaction, which
// creates a new file. A Log is safe for concurrent use.
type Log struct {
	files wal.FileSystem
	path  string
	lock  sync.Mutex
	// file is nil while the log has no file that it can write to.
	file   wal.File
	length int64
	// compactedLength is the length of the file when it was opened or last compacted.
	compactedLength int64
	// recovered holds the records of earlier incarnations.
	recovered []wal.Record
}

// OpenLog reads the records of earlier incarnations and truncates an incomplete frame at the
// end of the file. If the disk fails, the log holds the records that could be read, and needs
// compaction.
func OpenLog(files wal.FileSystem, directory string) *Log {
	reservationLog := &Log{files: files, path: filepath.Join(directory, logFileName)}
	file, err := files.Open(reservationLog.path, os.O_RDWR|os.O_CREATE)
	if err != nil {
		return reservationLog
	}
	reservationLog.length = wal.ReadFrames(file, func(record wal.Record) {
		reservationLog.recovered = append(reservationLog.recovered, record)
	})
	reservationLog.file = file
	reservationLog.compactedLength = reservationLog.length
	reservationLog.truncateTornTail()
	return reservationLog
}

// truncateTornTail truncates the file after the last complete frame. A file that can't be
// truncated is closed, because records written after an incomplete frame could never be read.
func (l *Log) truncateTornTail() {
	err := l.file.Truncate(l.length)
	if err == nil {
		_, err = l.file.Seek(l.length, io.SeekStart)
	}
	if err != nil {
		l.close()
	}
}

// Replay applies the recovered records of one consensus shard to a store. The reservations
// get an age of zero: the clock may have jumped since they were made, and a reservation must
// never expire early.
func (l *Log) Replay(now clock.Microseconds, shardID int, store *Store) {
	for _, record := range l.recovered {
		if record.Shard != shardID {
			continue
		}
		key, address, _ := strings.Cut(string(record.Data), fieldSeparator)
		requestID := RequestID{Life: record.Term, Number: record.Index}
		if record.Kind == recordReleased {
			store.Release(key, requestID)
		} else {
			store.Import(now, Claim{Key: key, By: requestID, Address: address})
		}
	}
}

func newRecord(kind wal.RecordKind, shardID int, reservation Claim) wal.Record {
	return wal.Record{
		Kind:  kind,
		Shard: shardID,
		Entry: wal.Entry{
			Term:  reservation.By.Life,
			Index: reservation.By.Number,
			Data:  []byte(reservation.Key + fieldSeparator + reservation.Address),
		},
	}
}

// Append writes records of the reservations that were made and of those that were released.
// Its errors have the code LogWriteFailed.
func (l *Log) Append(shardID int, reserved, released []Claim) error {
	records := make([]wal.Record, 0, len(reserved)+len(released))
	for _, reservation := range reserved {
		records = append(records, newRecord(recordReserved, shardID, reservation))
	}
	for _, reservation := range released {
		records = append(records, newRecord(recordReleased, shardID, reservation))
	}
	if len(records) == 0 {
		return nil
	}
	return l.writeFrame(wal.AppendFrame(nil, records))
}

func (l *Log) writeFrame(frame []byte) error {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.file == nil {
		return errcode.New(errcode.LogWriteFailed, "%s: no writable file, needs compaction", logErrorDetail)
	}
	if _, err := l.file.Write(frame); err != nil {
		l.truncateTornTail()
		return wrapLogError(err)
	}
	l.length += int64(len(frame))
	return nil
}

func wrapLogError(err error) error {
	return errcode.Wrap(err, errcode.LogWriteFailed, logErrorDetail)
}

// NeedsCompaction reports whether the log has grown past the limits for compaction or has no
// file to write to.
func (l *Log) NeedsCompaction() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	hasGrown := l.length > minCompactionLength && l.length > compactionGrowth*l.compactedLength
	return l.file == nil || hasGrown
}

// Compact replaces the log with the current reservations of the stores, which are indexed by
// consensus shard. A temporary file left over from an earlier compaction is removed rather
// than truncated, because after a power loss it may be a second link to the log file itself.
func (l *Log) Compact(now clock.Microseconds, stores map[int]*Store) error {
	l.lock.Lock()
	defer l.lock.Unlock()
	temporaryPath := l.path + temporarySuffix
	if err := l.files.Remove(temporaryPath); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return wrapLogError(err)
	}
	file, err := l.files.Open(temporaryPath, os.O_RDWR|os.O_CREATE|os.O_EXCL)
	if err != nil {
		return wrapLogError(err)
	}
	length, err := writeStores(file, now, stores)
	if err == nil {
		err = l.files.Rename(temporaryPath, l.path)
	}
	if err != nil {
		return wrapLogError(errors.Join(err, file.Close(), l.files.Remove(temporaryPath)))
	}
	l.close()
	l.file, l.length, l.compactedLength = file, length, length
	return nil
}

// writeStores writes the reservations of all stores, in one frame for each shard of a store.
// It returns the number of bytes written.
func writeStores(file wal.File, now clock.Microseconds, stores map[int]*Store) (length int64, err error) {
	for shardID, store := range stores {
		for index := range ShardCount {
			var records []wal.Record
			for _, reservation := range store.ListReservations(now, index) {
				records = append(records, newRecord(recordReserved, shardID, reservation))
			}
			if len(records) == 0 {
				continue
			}
			frame := wal.AppendFrame(nil, records)
			if _, err := file.Write(frame); err != nil {
				return 0, err
			}
			length += int64(len(frame))
		}
	}
	return length, nil
}

// Close closes the log file. Append fails after Close.
func (l *Log) Close() {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.close()
}

// close closes the log file if it is open. The caller holds the lock.
func (l *Log) close() {
	if l.file == nil {
		return
	}
	_ = l.file.Close() // The file has no buffered data, and no caller depends on it being synced.
	l.file = nil
}
