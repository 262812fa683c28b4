package wal

import (
	"context"
	"errors"
	"io"
	"path/filepath"
	"sync"
	"time"

	"coursepass/internal/errcode"
)

// The names of the files in the log's directory.
const (
	fileName        = "journal"
	temporarySuffix = ".new"
	damagedName     = "journal.damaged"
	reserveName     = "reserve"
	lockName        = "lock"
)

// The delay between two attempts to write to a disk that refuses doubles from minRetryDelay to
// maxRetryDelay.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	backoffFactor = 2
)

// Disk is called before each append and rewrite. Simulations implement it by a disk that takes
// its time, or refuses.
type Disk interface{ Commit() error }

// Options say where and how a log is kept.
type Options struct {
	// Directory is the log's own directory; it is made if it does not exist.
	Directory string
	// RewriteThreshold is the file length in bytes from which the file is rewritten.
	RewriteThreshold int64
	// ReservedSpace is the least number of bytes that are reserved for a rewrite on a full disk;
	// 0 reserves none.
	ReservedSpace int64
	// Disk is a simulated disk, or nil.
	Disk Disk
	// FileSystem is the file system; nil is the real one.
	FileSystem FileSystem
}

// Log is a write-ahead log. Open makes one.
type Log struct {
	Counters
	Options

	// Only Run uses these once it has begun.
	file          logFile
	directory     directoryState
	reserve       spaceReserve
	damaged       bool
	dataLost      bool
	failureLogged bool

	mutex sync.Mutex
	// state is the sum of all records ever appended, synced or not.
	state *State
	queue batchQueue
	// needsRewrite is set while the file must be replaced before any callback is called.
	needsRewrite bool

	// notifications wakes Run.
	notifications chan struct{}
	busy          busyTimer
}

// logFile is the file that records are appended to.
type logFile struct {
	File
	length int64
	// rewrittenLength is the length that the last rewrite gave it.
	rewrittenLength int64
	// postponedThreshold is the length up to which a rewrite is put off after one has failed.
	postponedThreshold int64
}

// Open reads the log in a directory, without a torn end. It fails only if another process uses
// the directory. A disk that refuses is no error: the log then has what could be read, and
// calls no callback until the disk takes writes.
func Open(options Options) (*Log, error) {
	opened := &Log{
		Options:       options,
		state:         NewState(),
		needsRewrite:  true,
		notifications: make(chan struct{}, 1),
	}
	if opened.FileSystem == nil {
		opened.FileSystem = OSFileSystem{}
	}
	err := opened.prepareDirectory()
	if errors.Is(err, errLocked) {
		return nil, errcode.Wrap(err, errcode.InvalidSetting, "--data: another daemon uses "+opened.Directory)
	}
	if err != nil {
		opened.busy.start()
		opened.recordFailure(err, "open")
	}
	opened.load()
	return opened, nil
}

// State returns what the file held when it was opened. It must not be used after Run has begun.
func (l *Log) State() *State {
	return l.state
}

// DataLost reports whether this directory ever had a file with lost records. What they held may
// have been acknowledged, so their absence proves nothing.
func (l *Log) DataLost() bool {
	return l.dataLost
}

// ShardState returns a copy of a shard's state, with what is still queued for the disk. Whatever
// is said because of it must be said in the callback of a later Append.
func (l *Log) ShardState(shard int) ShardState {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	shardState := *l.state.Shard(shard)
	shardState.Entries = append([]Entry(nil), shardState.Entries...)
	return shardState
}

// QueueLength returns the number of batches that wait for the disk.
func (l *Log) QueueLength() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.queue.batches.Len()
}

// StalledFor returns for how long the disk has not completed what it was given, or has refused
// it; 0 while the disk is idle.
func (l *Log) StalledFor() time.Duration {
	return l.busy.elapsed()
}

// Append queues records as one batch and returns at once. onSynced is called from Run's
// goroutine after they are synced. If the queue is full, the callbacks of all batches in it are
// dropped, as if their messages had been lost on the way; their records are kept.
func (l *Log) Append(records []Record, onSynced func()) {
	l.mutex.Lock()
	for _, record := range records {
		l.state.Apply(record)
	}
	l.enqueue(writeBatch{records: records, onSynced: onSynced})
	l.mutex.Unlock()
	l.notify()
}

// enqueue queues a batch; the caller holds the mutex. The records of dropped batches are in the
// state alone, so the file has to be rewritten from it.
func (l *Log) enqueue(batch writeBatch) {
	if l.queue.isFull(batch) {
		l.DroppedBatches.Add(int64(l.queue.clear()))
		l.needsRewrite = true
	}
	l.queue.push(batch)
}

// requeue puts drained batches back, before those that were appended since.
func (l *Log) requeue(batches []writeBatch, needsRewrite bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	newer := l.queue.drain()
	l.needsRewrite = l.needsRewrite || needsRewrite
	for _, batch := range append(batches, newer...) {
		l.enqueue(batch)
	}
}

func (l *Log) notify() {
	select {
	case l.notifications <- struct{}{}:
	default:
	}
}

// Run writes and syncs what is appended until the context ends, and then closes the log. It
// always returns nil.
func (l *Log) Run(ctx context.Context) error {
	defer l.Close()
	delay := minRetryDelay
	retry := time.NewTimer(0)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-retry.C:
		case <-l.notifications:
			if l.busy.isRunning() {
				// The disk refuses: the timer does the next attempt.
				continue
			}
		}
		if l.flush() {
			delay = minRetryDelay
			continue
		}
		retry.Reset(delay)
		delay = min(backoffFactor*delay, maxRetryDelay)
	}
}

// Close closes the file and unlocks the directory. Nothing may be appended afterwards.
func (l *Log) Close() {
	if l.file.File != nil {
		closeIgnoringError(l.file.File)
	}
	if l.directory.lock != nil {
		closeIgnoringError(l.directory.lock)
	}
}

func (l *Log) path(name string) string {
	return filepath.Join(l.Directory, name)
}

// closeIgnoringError closes a file none of whose writes depend on it: it was only read, or what
// is needed of it is synced.
func closeIgnoringError(file io.Closer) {
	_ = file.Close()
}
