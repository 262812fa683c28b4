package wal

import (
	"errors"

	"github.com/phuslu/log"
	"golang.org/x/sys/unix"
)

// flush gives the disk all that waits, and tells whether it took it.
func (l *Log) flush() bool {
	l.markBusy()
	if l.Disk != nil {
		if err := l.Disk.Commit(); err != nil {
			l.recordFailure(err, "device")
			return false
		}
	}
	if err := l.persist(); err != nil {
		l.recordFailure(err, "write")
		return false
	}
	l.markHealthy()
	l.reserveSpace()
	l.busySince.Store(nil)
	return true
}

// persist brings the file up to the image, and answers for it.
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
	if l.fileLength <= max(l.RewriteThreshold, 2*l.rewrittenLength, l.postponedThreshold) {
		return nil
	}
	replaced, err := l.rewriteFile()
	if err != nil && !replaced {
		// The old file is whole and in its place: it can be appended to for a while yet.
		l.Failures.Add(1)
		l.postponedThreshold = l.fileLength + l.RewriteThreshold/4
		l.notify()
		return nil
	}
	return err
}

// appendQueued writes what waits as one frame, and answers once it is synced. After a failure
// nobody knows what of the file is durable.
func (l *Log) appendQueued() error {
	l.mutex.Lock()
	batches := l.drain()
	l.mutex.Unlock()
	var records []Record
	for _, batch := range batches {
		records = append(records, batch.records...)
	}
	if len(records) > 0 {
		buffer := AppendFrame(nil, records)
		_, err := l.file.Write(buffer)
		if err == nil {
			err = l.file.Sync()
		}
		if err != nil {
			l.requeue(batches, true)
			return err
		}
		l.Syncs.Add(1)
		l.Records.Add(int64(len(records)))
		l.fileLength += int64(len(buffer))
	}
	completeBatches(batches)
	return nil
}

func completeBatches(batches []writeBatch) {
	for _, batch := range batches {
		batch.onSynced()
	}
}

// rewriteFile replaces the file by the fewest records that say the same, and answers all that
// waited until then. It tells whether the old file may have been replaced.
func (l *Log) rewriteFile() (replaced bool, err error) {
	l.mutex.Lock()
	records, batches, needsRewrite := l.state.Records(), l.drain(), l.needsRewrite
	l.needsRewrite = false
	l.mutex.Unlock()
	if replaced, err = l.replaceFile(records); err != nil {
		l.requeue(batches, needsRewrite || replaced)
		return replaced, err
	}
	l.Rewrites.Add(1)
	completeBatches(batches)
	return true, nil
}

// recordFailure counts a refusal, and logs the first of several.
func (l *Log) recordFailure(err error, operation string) {
	l.Failures.Add(1)
	if !l.failing {
		log.Error().Err(err).Str("folder", l.Directory).Str("doing", operation).Msg("the disk refuses: nothing is promised until it takes bytes")
	}
	l.failing = true
}

func (l *Log) markHealthy() {
	if l.failing {
		log.Info().Str("folder", l.Directory).Msg("the disk takes bytes again")
	}
	l.failing = false
}

func isDiskFull(err error) bool {
	return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT)
}
