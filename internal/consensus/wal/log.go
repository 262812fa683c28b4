// Package wal keeps what a control daemon must not forget: one append-only file of
// checksummed records, rewritten when it is long.
//
// A write is answered once its records are synced, and never before. A disk that refuses
// writes or syncs does not end the daemon: from then on nothing is answered, the journal
// says that it is stalled, and it tries again and again to write everything it was given
// into a new file, which replaces the old one. After a failed sync nobody knows what of
// the old file is durable, so it is never appended to again.
package wal

import (
	"context"
	"errors"
	"io"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gammazero/deque"

	"coursepass/internal/errcode"
)

const (
	fileName        = "journal"
	temporarySuffix = ".new"
	damagedName     = "journal.damaged"
	lockName        = "lock"

	// queueLimit bounds what waits for the disk, in bytes.
	queueLimit = 8 << 20
	// batchCost is what one batch costs beside its records' data, with the messages that wait for it.
	batchCost  = 512
	recordCost = 64

	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
)

// Counters are the journal's counters.
type Counters struct {
	Records  atomic.Int64
	Syncs    atomic.Int64
	Rewrites atomic.Int64
	// TornTails counts torn ends that were dropped when the file was opened.
	TornTails atomic.Int64
	// Failures counts writes, syncs and rewrites that the disk refused.
	Failures atomic.Int64
	// DroppedBatches counts batches whose answers were given up because too many waited.
	DroppedBatches atomic.Int64
	// DamagedFiles counts files that were set aside because synced records in them were lost.
	DamagedFiles atomic.Int64
}

// writeBatch is what one call of Write brought.
type writeBatch struct {
	records  []Record
	onSynced func()
}

func (w writeBatch) cost() int {
	cost := batchCost
	for _, record := range w.records {
		cost += recordCost + len(record.Data)
	}
	return cost
}

// Disk is asked before each append, rewrite and opening; in simulations it takes a
// disk's time, or fails.
type Disk interface{ Commit() error }

// Options say where a journal is kept.
type Options struct {
	Directory string
	// RewriteThreshold is the length from which the file is rewritten.
	RewriteThreshold int64
	// ReservedSpace is the least space that is kept free for a rewrite; none where it is 0.
	ReservedSpace int64
	// Disk is the simulated disk, if there is one.
	Disk Disk
	// FileSystem is the file system; the real one where it is nil.
	FileSystem FileSystem
}

// Log is the file. Appends from many parts share one sync.
type Log struct {
	Counters
	Options

	// Only Run touches these once it has begun.
	file               File
	directoryLock      io.Closer
	directorySynced    bool
	damaged            bool
	dataLost           bool
	failing            bool
	fileLength         int64
	rewrittenLength    int64
	postponedThreshold int64
	reservedBytes      int64
	reserveRetryAt     time.Time

	mutex sync.Mutex
	// state is the sum of all records ever written, synced or not.
	state       *State
	queue       deque.Deque[writeBatch]
	queuedBytes int
	// needsRewrite says that the file must be replaced before anything is answered.
	needsRewrite bool

	notifications chan struct{}
	busySince     atomic.Pointer[time.Time]
}

// Open reads the file in the folder, up to a torn end. A file that has lost synced
// records is set aside, and the journal begins empty, as after the loss of the disk. A
// disk that can't be written to is no error: the journal then has what could be read, and
// answers nothing until the disk can. The only error is another daemon in the folder.
//
// Run begins with a rewrite. What the file holds beyond its last sync, or under a name
// that was never synced, thus becomes durable before anything is said because of it.
func Open(options Options) (*Log, error) {
	opened := &Log{Options: options, state: NewState(), needsRewrite: true, notifications: make(chan struct{}, 1)}
	if opened.FileSystem == nil {
		opened.FileSystem = OSFileSystem{}
	}
	if err := opened.prepareDirectory(); errors.Is(err, errLocked) {
		return nil, errcode.Wrap(err, errcode.InvalidSetting, "--data: another daemon uses "+opened.Directory)
	} else if err != nil {
		opened.markBusy()
		opened.recordFailure(err, "open")
	}
	opened.load()
	return opened, nil
}

func (l *Log) path(name string) string { return filepath.Join(l.Directory, name) }

// State is what the file held when it was opened; it is not safe to use once
// Run has begun.
func (l *Log) State() *State { return l.state }

// DataLost tells whether this folder ever had a file that was damaged: what that held was once
// answered for, so nothing may be founded on its absence.
func (l *Log) DataLost() bool { return l.dataLost }

// Close gives the folder back; nothing may be written afterwards.
func (l *Log) Close() {
	if l.file != nil {
		l.file.Close()
	}
	if l.directoryLock != nil {
		l.directoryLock.Close()
	}
}

// ShardState is a copy of what is known of a part, with what still waits for the disk. Whatever
// is said because of it must be said by a later Write.
func (l *Log) ShardState(shard int) ShardState {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	shardState := *l.state.Shard(shard)
	shardState.Entries = append([]Entry(nil), shardState.Entries...)
	return shardState
}

// Append queues records; done is called after they are synced, in order. It never waits
// for the disk. Where more waits than the bound allows, the oldest answers are given up,
// as if they had been lost on their way; their records are kept.
func (l *Log) Append(records []Record, onSynced func()) {
	l.mutex.Lock()
	for _, record := range records {
		l.state.Apply(record)
	}
	l.enqueue(writeBatch{records, onSynced})
	l.mutex.Unlock()
	l.notify()
}

func (l *Log) notify() {
	select {
	case l.notifications <- struct{}{}:
	default:
	}
}

// enqueue queues a batch under the lock. The records of batches that are given up stand in
// the image alone, so the file has to be rewritten from it.
func (l *Log) enqueue(batch writeBatch) {
	if l.queuedBytes+batch.cost() > queueLimit && l.queue.Len() > 0 {
		l.DroppedBatches.Add(int64(l.queue.Len()))
		l.queue.Clear()
		l.queuedBytes, l.needsRewrite = 0, true
	}
	l.queue.PushBack(batch)
	l.queuedBytes += batch.cost()
}

// drain takes all that waits, under the lock.
func (l *Log) drain() []writeBatch {
	batches := make([]writeBatch, 0, l.queue.Len())
	for l.queue.Len() > 0 {
		batches = append(batches, l.queue.PopFront())
	}
	l.queuedBytes = 0
	return batches
}

// requeue puts batches back before those that came since.
func (l *Log) requeue(batches []writeBatch, needsRewrite bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	newer := l.drain()
	l.needsRewrite = l.needsRewrite || needsRewrite
	for _, batch := range append(batches, newer...) {
		l.enqueue(batch)
	}
}

// QueueLength is the number of batches that wait for the disk.
func (l *Log) QueueLength() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.queue.Len()
}

// StalledFor is how long the disk has not finished what it was given, or has refused it.
func (l *Log) StalledFor() time.Duration {
	if busySince := l.busySince.Load(); busySince != nil {
		return time.Since(*busySince)
	}
	return 0
}

// markBusy notes since when the disk is busy; a disk that refuses stays so until it takes bytes.
func (l *Log) markBusy() {
	now := time.Now()
	l.busySince.CompareAndSwap(nil, &now)
}

// Run writes and syncs until the context ends.
func (l *Log) Run(ctx context.Context) error {
	defer l.Close()
	delay, retry := minRetryDelay, time.NewTimer(0)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-retry.C:
		case <-l.notifications:
			if l.busySince.Load() != nil {
				// The disk refuses; the timer tries it again.
				continue
			}
		}
		if l.flush() {
			delay = minRetryDelay
			continue
		}
		retry.Reset(delay)
		delay = min(2*delay, maxRetryDelay)
	}
}
