// Package journal keeps what a control daemon must not forget: one append-only file of
// checksummed records, rewritten when it is long.
//
// A write is answered once its records are synced, and never before. A disk that refuses
// writes or syncs does not end the daemon: from then on nothing is answered, the journal
// says that it is stalled, and it tries again and again to write everything it was given
// into a new file, which replaces the old one. After a failed sync nobody knows what of
// the old file is durable, so it is never appended to again.
package journal

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
	fileName    = "journal"
	newSuffix   = ".new"
	damagedName = "journal.damaged"
	lockName    = "lock"

	// queueLimit bounds what waits for the disk, in bytes.
	queueLimit = 8 << 20
	// batchCost is what one batch costs beside its records' data, with the messages that wait for it.
	batchCost  = 512
	recordCost = 64

	firstRetry = 50 * time.Millisecond
	lastRetry  = time.Second
)

// Counters are the journal's counters.
type Counters struct {
	Records  atomic.Int64
	Syncs    atomic.Int64
	Rewrites atomic.Int64
	// Cut counts torn ends that were dropped when the file was opened.
	Cut atomic.Int64
	// Failures counts writes, syncs and rewrites that the disk refused.
	Failures atomic.Int64
	// Dropped counts batches whose answers were given up because too many waited.
	Dropped atomic.Int64
	// Damaged counts files that were set aside because synced records in them were lost.
	Damaged atomic.Int64
}

// batch is what one call of Write brought.
type batch struct {
	records []Record
	done    func()
}

func (w batch) cost() int {
	cost := batchCost
	for _, record := range w.records {
		cost += recordCost + len(record.Data)
	}
	return cost
}

// Device is asked before each append, rewrite and opening; in simulations it takes a
// disk's time, or fails.
type Device interface{ Commit() error }

// Options say where a journal is kept.
type Options struct {
	Folder string
	// Rewrite is the length from which the file is rewritten.
	Rewrite int64
	// Reserve is the least space that is kept free for a rewrite; none where it is 0.
	Reserve int64
	// Device is the simulated disk, if there is one.
	Device Device
	// Files is the file system; the real one where it is nil.
	Files Files
}

// Journal is the file. Appends from many parts share one sync.
type Journal struct {
	Counters
	Options

	// Only Run touches these once it has begun.
	file         File
	guard        io.Closer
	lasting      bool
	damaged      bool
	lost         bool
	failing      bool
	length       int64
	shortest     int64
	postponed    int64
	reserved     int64
	reserveAfter time.Time

	lock sync.Mutex
	// image is the sum of all records ever written, synced or not.
	image  *Image
	queue  deque.Deque[batch]
	queued int
	// broken says that the file must be replaced before anything is answered.
	broken bool

	filled chan struct{}
	busy   atomic.Pointer[time.Time]
}

// Open reads the file in the folder, up to a torn end. A file that has lost synced
// records is set aside, and the journal begins empty, as after the loss of the disk. A
// disk that can't be written to is no error: the journal then has what could be read, and
// answers nothing until the disk can. The only error is another daemon in the folder.
//
// Run begins with a rewrite. What the file holds beyond its last sync, or under a name
// that was never synced, thus becomes durable before anything is said because of it.
func Open(options Options) (*Journal, error) {
	journal := &Journal{Options: options, image: NewImage(), broken: true, filled: make(chan struct{}, 1)}
	if journal.Files == nil {
		journal.Files = OperatingSystem{}
	}
	if err := journal.prepare(); errors.Is(err, errLocked) {
		return nil, mishap.Wrap(err, mishap.SettingBad, "--data: another daemon uses "+journal.Folder)
	} else if err != nil {
		journal.begin()
		journal.fail(err, "open")
	}
	journal.load()
	return journal, nil
}

func (l *Journal) path(name string) string { return filepath.Join(l.Folder, name) }

// Image is what the file held when it was opened; it is not safe to use once
// Run has begun.
func (l *Journal) Image() *Image { return l.image }

// Lost tells whether this folder ever had a file that was damaged: what that held was once
// answered for, so nothing may be founded on its absence.
func (l *Journal) Lost() bool { return l.lost }

// Close gives the folder back; nothing may be written afterwards.
func (l *Journal) Close() {
	if l.file != nil {
		l.file.Close()
	}
	if l.guard != nil {
		l.guard.Close()
	}
}

// Past is a copy of what is known of a part, with what still waits for the disk. Whatever
// is said because of it must be said by a later Write.
func (l *Journal) Past(part int) Past {
	l.lock.Lock()
	defer l.lock.Unlock()
	past := *l.image.Past(part)
	past.Entries = append([]Entry(nil), past.Entries...)
	return past
}

// Write queues records; done is called after they are synced, in order. It never waits
// for the disk. Where more waits than the bound allows, the oldest answers are given up,
// as if they had been lost on their way; their records are kept.
func (l *Journal) Write(records []Record, done func()) {
	l.lock.Lock()
	for _, record := range records {
		l.image.Take(record)
	}
	l.push(batch{records, done})
	l.lock.Unlock()
	l.wake()
}

func (l *Journal) wake() {
	select {
	case l.filled <- struct{}{}:
	default:
	}
}

// push queues a batch under the lock. The records of batches that are given up stand in
// the image alone, so the file has to be rewritten from it.
func (l *Journal) push(added batch) {
	if l.queued+added.cost() > queueLimit && l.queue.Len() > 0 {
		l.Dropped.Add(int64(l.queue.Len()))
		l.queue.Clear()
		l.queued, l.broken = 0, true
	}
	l.queue.PushBack(added)
	l.queued += added.cost()
}

// drain takes all that waits, under the lock.
func (l *Journal) drain() []batch {
	batches := make([]batch, 0, l.queue.Len())
	for l.queue.Len() > 0 {
		batches = append(batches, l.queue.PopFront())
	}
	l.queued = 0
	return batches
}

// requeue puts batches back before those that came since.
func (l *Journal) requeue(batches []batch, broken bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	later := l.drain()
	l.broken = l.broken || broken
	for _, each := range append(batches, later...) {
		l.push(each)
	}
}

// Waiting is the number of batches that wait for the disk.
func (l *Journal) Waiting() int {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.queue.Len()
}

// Stalled is how long the disk has not finished what it was given, or has refused it.
func (l *Journal) Stalled() time.Duration {
	if since := l.busy.Load(); since != nil {
		return time.Since(*since)
	}
	return 0
}

// begin notes since when the disk is busy; a disk that refuses stays so until it takes bytes.
func (l *Journal) begin() {
	now := time.Now()
	l.busy.CompareAndSwap(nil, &now)
}

// Run writes and syncs until the context ends.
func (l *Journal) Run(ctx context.Context) error {
	defer l.Close()
	pause, retry := firstRetry, time.NewTimer(0)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-retry.C:
		case <-l.filled:
			if l.busy.Load() != nil {
				// The disk refuses; the timer tries it again.
				continue
			}
		}
		if l.flush() {
			pause = firstRetry
			continue
		}
		retry.Reset(pause)
		pause = min(2*pause, lastRetry)
	}
}
