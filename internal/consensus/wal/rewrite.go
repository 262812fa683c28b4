package journal

import (
	"bufio"
	"errors"
	"io"
	"os"
	"path/filepath"
	"time"
)

const (
	writeBuffer = 256 << 10
	reserveName = "reserve"
	// reserveStep is what the reserve's size is a multiple of.
	reserveStep = 512 << 10
	// reservePause is how long a disk that had no room for the reserve is left alone.
	reservePause = 30 * time.Second
)

// prepare makes the folder and keeps a second daemon out of it for as long as this one
// lives. What fails is tried again before the next rewrite.
func (journal *Journal) prepare() error {
	if journal.guard != nil {
		return nil
	}
	if err := journal.Files.MakeFolder(journal.Folder); err != nil {
		return err
	}
	guard, err := journal.Files.Lock(journal.path(lockName))
	if err != nil {
		return err
	}
	journal.guard = guard
	return nil
}

// syncParent has the folder's own name outlive a loss of power. It is not done by Open, which
// should not wait for a slow disk.
func (journal *Journal) syncParent() error {
	if journal.lasting {
		return nil
	}
	if err := journal.Files.SyncFolder(filepath.Dir(journal.Folder)); err != nil && !notOurs(err) {
		return err
	}
	journal.lasting = true
	return nil
}

// replace writes a new file, syncs it, renames it over the old one and syncs the folder.
// From the renaming on the old file may be gone, whatever the error.
func (journal *Journal) replace(records []Record) (replaced bool, err error) {
	if err := journal.prepare(); err != nil {
		return false, err
	}
	if err := journal.syncParent(); err != nil {
		return false, err
	}
	file, length, err := journal.writeNew(records)
	if isFull(err) && journal.giveWay() {
		file, length, err = journal.writeNew(records)
	}
	if err != nil {
		return false, err
	}
	if err := journal.install(); err != nil {
		file.Close()
		return true, err
	}
	if journal.file != nil {
		journal.file.Close()
	}
	journal.file, journal.length, journal.shortest, journal.postponed = file, length, length, 0
	return true, nil
}

// writeNew leaves a whole and synced file under the new name. A leftover is removed first
// and never truncated: after a loss of power its name may stand beside the file's own.
func (journal *Journal) writeNew(records []Record) (File, int64, error) {
	path := journal.path(fileName + newSuffix)
	if err := removeIfThere(journal.Files, path); err != nil {
		return nil, 0, err
	}
	file, err := journal.Files.Open(path, os.O_RDWR|os.O_CREATE|os.O_EXCL)
	if err != nil {
		return nil, 0, err
	}
	length, err := writeFrames(file, records)
	if err == nil {
		err = file.Sync()
	}
	if err != nil {
		return nil, 0, errors.Join(err, file.Close(), removeIfThere(journal.Files, path))
	}
	return file, length, nil
}

func writeFrames(target io.Writer, records []Record) (length int64, err error) {
	writer := bufio.NewWriterSize(target, writeBuffer)
	var buffer []byte
	for _, record := range records {
		buffer = Frame(buffer[:0], []Record{record})
		if _, err := writer.Write(buffer); err != nil {
			return 0, err
		}
		length += int64(len(buffer))
	}
	return length, writer.Flush()
}

// install renames the new file over the old one, which is kept aside if it is damaged.
func (journal *Journal) install() error {
	path := journal.path(fileName)
	if journal.damaged {
		if err := journal.setAside(); err != nil {
			return err
		}
		journal.damaged = false
	}
	if err := journal.Files.Rename(path+newSuffix, path); err != nil {
		return err
	}
	return journal.Files.SyncFolder(journal.Folder)
}

// setAside renames the damaged file. The name lasts before it is given to the file, and
// has the file before that loses its own: each later life knows that something was lost.
func (journal *Journal) setAside() error {
	aside := journal.path(damagedName)
	mark, err := journal.Files.Open(aside, os.O_RDWR|os.O_CREATE)
	if err != nil {
		return err
	}
	if err := errors.Join(mark.Sync(), mark.Close(), journal.Files.SyncFolder(journal.Folder)); err != nil {
		return err
	}
	if err := journal.Files.Rename(journal.path(fileName), aside); err != nil && !isMissing(err) {
		return err
	}
	return journal.Files.SyncFolder(journal.Folder)
}

// reserve keeps space for the next rewrite, as far as the disk has it. Zeros are written,
// since a length alone takes no space.
func (journal *Journal) reserve() {
	wanted := max(journal.Reserve, (journal.shortest/reserveStep+1)*reserveStep)
	if journal.Reserve == 0 || journal.reserved >= wanted || time.Now().Before(journal.reserveAfter) {
		return
	}
	path := journal.path(reserveName)
	err := journal.fill(path, wanted)
	if err == nil {
		journal.reserved = wanted
		return
	}
	journal.reserved, journal.reserveAfter = 0, time.Now().Add(reservePause)
	if removeIfThere(journal.Files, path) != nil {
		journal.Failures.Add(1)
	}
}

// fill makes the file as long as wanted; one that is long enough already is left.
func (journal *Journal) fill(path string, wanted int64) error {
	file, err := journal.Files.Open(path, os.O_RDWR|os.O_CREATE)
	if err != nil {
		return err
	}
	length, err := file.Seek(0, io.SeekEnd)
	if err == nil && length >= wanted {
		return file.Close()
	}
	zeros := make([]byte, min(reserveStep, wanted))
	for err == nil && length < wanted {
		_, err = file.Write(zeros)
		length += int64(len(zeros))
	}
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}

// giveWay frees space for a rewrite: the reserve, and then what a damaged file holds, whose
// name stays. It tells whether there was any.
func (journal *Journal) giveWay() bool {
	journal.reserved = 0
	return journal.Files.Remove(journal.path(reserveName)) == nil || journal.emptyAside()
}

func (journal *Journal) emptyAside() bool {
	file, err := journal.Files.Open(journal.path(damagedName), os.O_RDWR)
	if err != nil {
		return false
	}
	defer file.Close()
	length, err := file.Seek(0, io.SeekEnd)
	return err == nil && length > 0 && file.Truncate(0) == nil
}
