package wal

import (
	"errors"

	"github.com/phuslu/log"
	"golang.org/x/sys/unix"
)

const (
	// rewriteGrowthFactor is the growth since the last rewrite from which the file is rewritten.
	rewriteGrowthFactor = 2
	// postponementDivisor is the part of the rewrite threshold by which the file may grow on
	// after a rewrite has failed.
	postponementDivisor = 4
)

// flush writes and syncs all that is queued, and reports whether the disk took it.
func (l *Log) flush() bool {
	l.busy.start()
	if l.Disk != nil {
		if err := l.Disk.Commit(); err != nil {
			l.recordFailure(err, "simulated disk")
			return false
		}
	}
	if err := l.persist(); err != nil {
		l.recordFailure(err, "write")
		return false
	}
	l.recordSuccess()
	l.reserveSpace()
	l.busy.stop()
	return true
}

// persist brings the file up to the state, by a rewrite or by an append, and calls the callbacks
// of what is synced.
func (l *Log) persist() error {
	l.mutex.Lock()
	needsRewrite := l.needsRewrite
	l.mutex.Unlock()
	if needsRewrite {
		_, err := l.rewriteFile()
		return err
	}
	if err := l.appendQueued(); err != nil {
		return err
	}
	if l.file.length <= l.rewriteLength() {
		return nil
	}
	replaced, err := l.rewriteFile()
	if err != nil && !replaced {
		// The old file is intact and in its place: it can be appended to for a while.
		l.Failures.Add(1)
		l.file.postponedThreshold = l.file.length + l.RewriteThreshold/postponementDivisor
		l.notify()
		return nil
	}
	return err
}

// rewriteLength returns the file length above which the file is rewritten.
func (l *Log) rewriteLength() int64 {
	return max(l.RewriteThreshold, rewriteGrowthFactor*l.file.rewrittenLength, l.file.postponedThreshold)
}

// appendQueued appends all that is queued as one frame, syncs it and calls the callbacks. After
// a failure nobody knows which bytes of the file are durable, so it has to be rewritten.
func (l *Log) appendQueued() error {
	l.mutex.Lock()
	batches := l.queue.drain()
	l.mutex.Unlock()
	var records []Record
	for _, batch := range batches {
		records = append(records, batch.records...)
	}
	if len(records) > 0 {
		if err := l.file.append(AppendFrame(nil, records)); err != nil {
			l.requeue(batches, true)
			return err
		}
		l.Syncs.Add(1)
		l.Records.Add(int64(len(records)))
	}
	completeBatches(batches)
	return nil
}

// append writes a frame to the end of the file and syncs it.
func (l *logFile) append(frame []byte) error {
	if _, err := l.Write(frame); err != nil {
		return err
	}
	if err := l.Sync(); err != nil {
		return err
	}
	l.length += int64(len(frame))
	return nil
}

// recordFailure counts a refusal of the disk, and logs the first in a row.
func (l *Log) recordFailure(err error, operation string) {
	l.Failures.Add(1)
	if !l.failureLogged {
		log.Error().Err(err).Str("directory", l.Directory).Str("operation", operation).
			Msg("the disk refuses writes: nothing is acknowledged until it takes them")
	}
	l.failureLogged = true
}

// recordSuccess logs the end of a row of failures.
func (l *Log) recordSuccess() {
	if l.failureLogged {
		log.Info().Str("directory", l.Directory).Msg("the disk takes writes again")
	}
	l.failureLogged = false
}

func isDiskFull(err error) bool {
	return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT)
}
