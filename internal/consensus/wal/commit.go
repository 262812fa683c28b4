package journal

import (
	"errors"

	"github.com/phuslu/log"
	"golang.org/x/sys/unix"
)

// flush gives the disk all that waits, and tells whether it took it.
func (journal *Journal) flush() bool {
	journal.begin()
	if journal.Device != nil {
		if err := journal.Device.Commit(); err != nil {
			journal.fail(err, "device")
			return false
		}
	}
	if err := journal.settle(); err != nil {
		journal.fail(err, "write")
		return false
	}
	journal.mended()
	journal.reserve()
	journal.busy.Store(nil)
	return true
}

// settle brings the file up to the image, and answers for it.
func (journal *Journal) settle() error {
	journal.lock.Lock()
	broken := journal.broken
	journal.lock.Unlock()
	if broken {
		_, err := journal.rewrite()
		return err
	}
	if err := journal.append(); err != nil {
		return err
	}
	if journal.length <= max(journal.Rewrite, 2*journal.shortest, journal.postponed) {
		return nil
	}
	replaced, err := journal.rewrite()
	if err != nil && !replaced {
		// The old file is whole and in its place: it can be appended to for a while yet.
		journal.Failures.Add(1)
		journal.postponed = journal.length + journal.Rewrite/4
		journal.wake()
		return nil
	}
	return err
}

// append writes what waits as one frame, and answers once it is synced. After a failure
// nobody knows what of the file is durable.
func (journal *Journal) append() error {
	journal.lock.Lock()
	batches := journal.drain()
	journal.lock.Unlock()
	var records []Record
	for _, each := range batches {
		records = append(records, each.records...)
	}
	if len(records) > 0 {
		buffer := Frame(nil, records)
		_, err := journal.file.Write(buffer)
		if err == nil {
			err = journal.file.Sync()
		}
		if err != nil {
			journal.requeue(batches, true)
			return err
		}
		journal.Syncs.Add(1)
		journal.Records.Add(int64(len(records)))
		journal.length += int64(len(buffer))
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
func (journal *Journal) rewrite() (replaced bool, err error) {
	journal.lock.Lock()
	records, batches, broken := journal.image.Records(), journal.drain(), journal.broken
	journal.broken = false
	journal.lock.Unlock()
	if replaced, err = journal.replace(records); err != nil {
		journal.requeue(batches, broken || replaced)
		return replaced, err
	}
	journal.Rewrites.Add(1)
	answer(batches)
	return true, nil
}

// fail counts a refusal, and logs the first of several.
func (journal *Journal) fail(err error, doing string) {
	journal.Failures.Add(1)
	if !journal.failing {
		log.Error().Err(err).Str("folder", journal.Folder).Str("doing", doing).Msg("the disk refuses: nothing is promised until it takes bytes")
	}
	journal.failing = true
}

func (journal *Journal) mended() {
	if journal.failing {
		log.Info().Str("folder", journal.Folder).Msg("the disk takes bytes again")
	}
	journal.failing = false
}

func isFull(err error) bool {
	return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT)
}
