package journal

import (
	"errors"

	"github.com/phuslu/log"
	"golang.org/x/sys/unix"
)

// flush gives the disk all that waits, and tells whether it took it.
func (l *Journal) flush() bool {
	l.begin()
	if l.Device != nil {
		if err := l.Device.Commit(); err != nil {
			l.fail(err, "device")
			return false
		}
	}
	if err := l.settle(); err != nil {
		l.fail(err, "write")
		return false
	}
	l.mended()
	l.reserve()
	l.busy.Store(nil)
	return true
}

// settle brings the file up to the image, and answers for it.
func (l *Journal) settle() error {
	l.lock.Lock()
	broken := l.broken
	l.lock.Unlock()
	if broken {
		_, err := l.rewrite()
		return err
	}
	if err := l.append(); err != nil {
		return err
	}
	if l.length <= max(l.Rewrite, 2*l.shortest, l.postponed) {
		return nil
	}
	replaced, err := l.rewrite()
	if err != nil && !replaced {
		// The old file is whole and in its place: it can be appended to for a while yet.
		l.Failures.Add(1)
		l.postponed = l.length + l.Rewrite/4
		l.wake()
		return nil
	}
	return err
}

// append writes what waits as one frame, and answers once it is synced. After a failure
// nobody knows what of the file is durable.
func (l *Journal) append() error {
	l.lock.Lock()
	batches := l.drain()
	l.lock.Unlock()
	var records []Record
	for _, each := range batches {
		records = append(records, each.records...)
	}
	if len(records) > 0 {
		buffer := Frame(nil, records)
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
		l.length += int64(len(buffer))
	}
	answer(batches)
	return nil
}

func answer(batches []batch) {
	for _, each := range batches {
		each.done()
	}
}

// rewrite replaces the file by the fewest records that say the same, and answers all that
// waited until then. It tells whether the old file may have been replaced.
func (l *Journal) rewrite() (replaced bool, err error) {
	l.lock.Lock()
	records, batches, broken := l.image.Records(), l.drain(), l.broken
	l.broken = false
	l.lock.Unlock()
	if replaced, err = l.replace(records); err != nil {
		l.requeue(batches, broken || replaced)
		return replaced, err
	}
	l.Rewrites.Add(1)
	answer(batches)
	return true, nil
}

// fail counts a refusal, and logs the first of several.
func (l *Journal) fail(err error, doing string) {
	l.Failures.Add(1)
	if !l.failing {
		log.Error().Err(err).Str("folder", l.Folder).Str("doing", doing).Msg("the disk refuses: nothing is promised until it takes bytes")
	}
	l.failing = true
}

func (l *Journal) mended() {
	if l.failing {
		log.Info().Str("folder", l.Folder).Msg("the disk takes bytes again")
	}
	l.failing = false
}

func isFull(err error) bool {
	return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT)
}
