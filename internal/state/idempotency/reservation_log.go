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

// The kinds of a diary's records.
const (
	recordReserved wal.RecordKind = iota + 1
	recordReleased
)

const (
	logFileName         = "claims"
	compactionThreshold = 4 << 20
)

// Log is a seat's second memory of its claims. It is written before a claim is
// answered but not synced: it survives a killed process, not a lost machine. A seat
// never counts as knowing all claims because of it. On a disk that refuses writes it is
// behind, and is written anew once the disk takes them.
type Log struct {
	files           wal.FileSystem
	path            string
	lock            sync.Mutex
	file            wal.File
	length          int64
	compactedLength int64
	recovered       []wal.Record
}

// OpenLog reads what earlier lives wrote, and cuts a torn end. Where the disk refuses,
// the diary has what could be read.
func OpenLog(files wal.FileSystem, directory string) *Log {
	reservationLog := &Log{files: files, path: filepath.Join(directory, logFileName)}
	file, err := files.Open(reservationLog.path, os.O_RDWR|os.O_CREATE)
	if err != nil {
		return reservationLog
	}
	reservationLog.length = wal.ReadFrames(file, func(record wal.Record) { reservationLog.recovered = append(reservationLog.recovered, record) })
	reservationLog.file, reservationLog.compactedLength = file, reservationLog.length
	reservationLog.truncateTornTail()
	return reservationLog
}

// truncateTornTail drops what stands behind the last whole frame. A file that can't be cut is not
// appended to any more: what came after half a frame would never be read.
func (l *Log) truncateTornTail() {
	err := l.file.Truncate(l.length)
	if err == nil {
		_, err = l.file.Seek(l.length, io.SeekStart)
	}
	if err != nil {
		l.file.Close()
		l.file = nil
	}
}

// Replay puts what earlier lives wrote of a part into a registry, as if it had just been
// granted: clocks may have jumped, and a claim is never forgotten early.
func (l *Log) Replay(now clock.Microseconds, shardID int, store *Store) {
	for _, record := range l.recovered {
		key, address, _ := strings.Cut(string(record.Data), "\x00")
		requestID := RequestID{record.Round, record.Index}
		switch {
		case record.Shard != shardID:
		case record.Kind == recordReleased:
			store.Release(key, requestID)
		default:
			store.Import(now, Claim{Key: key, By: requestID, Address: address})
		}
	}
}

func newRecord(kind wal.RecordKind, shardID int, reservation Claim) wal.Record {
	return wal.Record{Kind: kind, Shard: shardID, Entry: wal.Entry{Round: reservation.By.Life, Index: reservation.By.Number, Data: []byte(reservation.Key + "\x00" + reservation.Address)}}
}

// Append writes down claims that were granted and given back.
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
	return l.writeFrames(wal.AppendFrame(nil, records))
}

func (l *Log) writeFrames(buffer []byte) error {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.file == nil {
		return errcode.New(errcode.LogWriteFailed, "claims: to be written anew")
	}
	if _, err := l.file.Write(buffer); err != nil {
		l.truncateTornTail()
		return errcode.Wrap(err, errcode.LogWriteFailed, "claims")
	}
	l.length += int64(len(buffer))
	return nil
}

// NeedsCompaction tells whether the diary is to be written anew.
func (l *Log) NeedsCompaction() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.file == nil || l.length > compactionThreshold && l.length > 2*l.compactedLength
}

// Compact replaces the diary by what the registries hold now. A leftover is removed first
// and never truncated: after a loss of power its name may stand beside the file's own.
func (l *Log) Compact(now clock.Microseconds, stores map[int]*Store) error {
	l.lock.Lock()
	defer l.lock.Unlock()
	temporaryPath := l.path + ".new"
	if err := l.files.Remove(temporaryPath); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return errcode.Wrap(err, errcode.LogWriteFailed, "claims")
	}
	file, err := l.files.Open(temporaryPath, os.O_RDWR|os.O_CREATE|os.O_EXCL)
	if err != nil {
		return errcode.Wrap(err, errcode.LogWriteFailed, "claims")
	}
	length, err := writeStores(file, now, stores)
	if err == nil {
		err = l.files.Rename(temporaryPath, l.path)
	}
	if err != nil {
		err = errors.Join(err, file.Close(), l.files.Remove(temporaryPath))
		return errcode.Wrap(err, errcode.LogWriteFailed, "claims")
	}
	l.close()
	l.file, l.length, l.compactedLength = file, length, length
	return nil
}

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
			buffer := wal.AppendFrame(nil, records)
			if _, err := file.Write(buffer); err != nil {
				return 0, err
			}
			length += int64(len(buffer))
		}
	}
	return length, nil
}

// Close ends the writing.
func (l *Log) Close() {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.close()
}

func (l *Log) close() {
	if l.file != nil {
		l.file.Close()
		l.file = nil
	}
}
