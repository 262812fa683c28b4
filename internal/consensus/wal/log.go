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

// The names of files in the log's directory.
const (
	fileName        = "journal"
	temporarySuffix = ".new"
	damagedName     = "journal.damaged"
	reserveName     = "reserve"
	lockName        = "lock"
)

// The delay between two attempts to write to a disk that refuses writes begins with minRetryDelay,
// and is multiplied by backoffFactor after each attempt, up to maxRetryDelay.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	backoffFactor = 2
)

// Disk is called before each append and rewrite. Simulations implement it with a disk that delays
// or refuses writes.
type Disk interface{ Commit() error }

// Options is the configuration of a log.
type Options struct {
	// Directory is the log's own directory. It is created if it does not exist.
	Directory string
	// RewriteThreshold is the length, in bytes, above which the file is rewritten.
	RewriteThreshold int64
	// ReservedSpace is the minimum number of bytes that are reserved for a rewrite on a full disk;
	// 0 reserves none.
	ReservedSpace int64
	// Disk is a simulated disk, or nil.
	Disk Disk
	// FileSystem is the file system to use; nil means OSFileSystem.
	FileSystem FileSystem
}

// Log is a write-ahead log. Open returns a new one.
type Log struct {
	Counters
	Options

	// Once Run has begun, only Run uses these fields, except for dataLost, which does not change
	// any more.
	file      logFile
	directory directoryState
	reserve   spaceReserve
	// damaged is set while the file has to be moved aside before it is replaced.
	damaged bool
	// dataLost is set if this directory has ever had a file with lost records.
	dataLost bool
	// failureLogged is set from the first of consecutive failures of the disk until the disk
	// accepts writes.
	failureLogged bool

	mutex sync.Mutex
	// state is the result of all records ever appended, synced or not.
	state *State
	queue batchQueue
	// needsRewrite is set while the file must be replaced before any callback may be called.
	needsRewrite bool

	// notifications wakes Run when batches are queued.
	notifications chan struct{}
	busy          busyTimer
}

// logFile is the open file to which records are appended.
type logFile struct {
	File
	length int64
	// rewrittenLength is the length of the file after the last rewrite, in bytes.
	rewrittenLength int64
	// postponedThreshold is the length, in bytes, up to which the next rewrite is postponed after a
	// failed one.
	postponedThreshold int64
}

// Open reads the log in a directory, except for a torn frame at its end. It fails only if another
// process uses the directory. A disk that refuses operations is not an error: the log then holds
// what could be read, and calls no callback until the disk accepts writes.
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

// State returns the state that the file had when it was opened. It must not be used after Run has
// begun.
func (l *Log) State() *State {
	return l.state
}

// DataLost reports whether this directory has ever had a file with lost records. The lost records
// may have been acknowledged, so the absence of a record proves nothing.
func (l *Log) DataLost() bool {
	return l.dataLost
}

// ShardState returns a copy of a shard's state, including records that are still queued. A message
// that depends on this state must be sent in the callback of a later Append, because the queued
// records are not durable yet.
func (l *Log) ShardState(shard int) ShardState {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	shardState := *l.state.Shard(shard)
	shardState.Entries = append([]Entry(nil), shardState.Entries...)
	return shardState
}

// QueueLength returns the number of batches that wait to be written.
func (l *Log) QueueLength() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.queue.batches.Len()
}

// StalledFor returns how long the disk has been busy without completing a write, or has refused
// writes; 0 while the disk is idle.
func (l *Log) StalledFor() time.Duration {
	return l.busy.elapsed()
}

// Append queues records as one batch and returns at once. Run's goroutine calls onSynced after the
// records are synced. If the queue is full, the callbacks of all batches in it are dropped, as if
// the network had lost their messages; their records are kept.
func (l *Log) Append(records []Record, onSynced func()) {
	l.mutex.Lock()
	for _, record := range records {
		l.state.Apply(record)
	}
	l.enqueue(writeBatch{records: records, onSynced: onSynced})
	l.mutex.Unlock()
	l.notify()
}

// enqueue adds a batch to the queue; the caller holds the mutex. The records of dropped batches are
// then only in the state, so the file has to be rewritten from the state.
func (l *Log) enqueue(batch writeBatch) {
	if l.queue.isFull(batch) {
		l.DroppedBatches.Add(int64(l.queue.clear()))
		l.needsRewrite = true
	}
	l.queue.push(batch)
}

// requeue puts drained batches back into the queue, before those that were appended since.
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

// Run writes and syncs the queued records until the context ends, and then closes the log. It
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
				// The disk refuses writes: the next attempt is made when the retry timer fires.
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

// Close closes the file and unlocks the directory. Append must not be called afterwards.
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

// closeIgnoringError closes a file without checking the error. No written data depends on it: the
// file was only read, or its relevant content is already synced.
func closeIgnoringError(file io.Closer) {
	_ = file.Close()
}
