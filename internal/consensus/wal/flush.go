package wal

import (
	"errors"

	"github.com/phuslu/log"
	"golang.org/x/sys/unix"
)

const (
	// rewriteGrowthFactor limits the growth of the file: the file is rewritten once it is longer
	// than this multiple of its length after the last rewrite, but never at a length of
	// RewriteThreshold or less.
	rewriteGrowthFactor = 2
	// postponementDivisor scales the delay of a rewrite after a failed one: until the next attempt,
	// the file may grow by RewriteThreshold divided by postponementDivisor.
	postponementDivisor = 4
)

// flush writes and syncs everything that is queued, and reports whether the disk completed it.
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

// persist makes the file equivalent to the state, by an append or by a rewrite, and calls the
// callbacks of the synced batches.
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
		// The old file is intact and in its place, so records can be appended to it until it is
		// longer than postponedThreshold.
		l.Failures.Add(1)
		l.file.postponedThreshold = l.file.length + l.RewriteThreshold/postponementDivisor
		l.notify()
		return nil
	}
	return err
}

// rewriteLength returns the file length, in bytes, above which the file is rewritten.
func (l *Log) rewriteLength() int64 {
	return max(l.RewriteThreshold, rewriteGrowthFactor*l.file.rewrittenLength, l.file.postponedThreshold)
}

// appendQueued appends everything that is queued as one frame, syncs the file, and calls the
// callbacks. After a failure it is unknown which bytes of the file are durable, so the file has to
// be rewritten.
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

// append appends a frame to the file and syncs the file.
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

// recordFailure counts a failure of the disk, and logs the first one of consecutive failures.
func (l *Log) recordFailure(err error, operation string) {
	l.Failures.Add(1)
	if !l.failureLogged {
		log.Error().Err(err).Str("directory", l.Directory).Str("operation", operation).
			Msg("the disk refuses writes: no write is acknowledged until the disk accepts writes again")
	}
	l.failureLogged = true
}

// recordSuccess logs that the disk has recovered, if the last operation failed.
func (l *Log) recordSuccess() {
	if l.failureLogged {
		log.Info().Str("directory", l.Directory).Msg("the disk accepts writes again")
	}
	l.failureLogged = false
}

func isDiskFull(err error) bool {
	return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT)
}
