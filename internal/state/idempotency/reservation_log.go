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
	// fieldSeparator stands between the key and the address in a record.
	fieldSeparator = "\x00"
	// minCompactionLength is the length below which the log isn't compacted, in bytes.
	minCompactionLength = 4 << 20
	// compactionGrowth is how many times longer than after the last compaction the log may get.
	compactionGrowth = 2
	// logErrorDetail is the place that errors name.
	logErrorDetail = "reservation log"
)

// Log is a replica's reservation log on disk. A reservation is written before it is answered
// but not synced: it survives a killed process, not a loss of power, so that a replica never
// counts as recovered because of it. After a failed write the log may have no file; it needs
// compaction then, which writes a new one. It is safe for concurrent use.
type Log struct {
	files wal.FileSystem
	path  string
	lock  sync.Mutex
	// file is nil while the log can't be written.
	file            wal.File
	length          int64
	compactedLength int64
	// recovered are the records of earlier incarnations.
	recovered []wal.Record
}

// OpenLog reads the records of earlier incarnations and truncates a torn tail. If the disk
// fails, the log holds what could be read, and needs compaction.
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

// truncateTornTail drops what stands behind the last complete frame. A file that can't be
// truncated is given up: what is written behind a torn frame would never be read.
func (l *Log) truncateTornTail() {
	err := l.file.Truncate(l.length)
	if err == nil {
		_, err = l.file.Seek(l.length, io.SeekStart)
	}
	if err != nil {
		l.close()
	}
}

// Replay applies the recovered records of one consensus shard to a store, as if they had just
// been made: the clock may have jumped, and a reservation must never expire early.
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

// Append writes reservations that were made and released. Its errors have the code
// LogWriteFailed.
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
		return errcode.New(errcode.LogWriteFailed, "%s: needs compaction", logErrorDetail)
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

// NeedsCompaction reports whether the log has grown long, or has no file to write to.
func (l *Log) NeedsCompaction() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	hasGrown := l.length > minCompactionLength && l.length > compactionGrowth*l.compactedLength
	return l.file == nil || hasGrown
}

// Compact replaces the log by the present content of the stores, by consensus shard. A
// leftover temporary file is removed and not truncated: after a loss of power it may be
// another name of the log itself.
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

// writeStores writes the content of all stores, a frame for each shard of a store.
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

// Close closes the file. Later writes fail.
func (l *Log) Close() {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.close()
}

// close closes the file, if there is one. The caller holds the lock.
func (l *Log) close() {
	if l.file == nil {
		return
	}
	_ = l.file.Close() // Nothing is buffered, and nothing relies on the file being synced.
	l.file = nil
}
