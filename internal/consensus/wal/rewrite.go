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
func (l *Journal) prepare() error {
	if l.guard != nil {
		return nil
	}
	if err := l.Files.MakeFolder(l.Folder); err != nil {
		return err
	}
	guard, err := l.Files.Lock(l.path(lockName))
	if err != nil {
		return err
	}
	l.guard = guard
	return nil
}

// syncParent has the folder's own name outlive a loss of power. It is not done by Open, which
// should not wait for a slow disk.
func (l *Journal) syncParent() error {
	if l.lasting {
		return nil
	}
	if err := l.Files.SyncFolder(filepath.Dir(l.Folder)); err != nil && !notOurs(err) {
		return err
	}
	l.lasting = true
	return nil
}

// replace writes a new file, syncs it, renames it over the old one and syncs the folder.
// From the renaming on the old file may be gone, whatever the error.
func (l *Journal) replace(records []Record) (replaced bool, err error) {
	if err := l.prepare(); err != nil {
		return false, err
	}
	if err := l.syncParent(); err != nil {
		return false, err
	}
	file, length, err := l.writeNew(records)
	if isFull(err) && l.giveWay() {
		file, length, err = l.writeNew(records)
	}
	if err != nil {
		return false, err
	}
	if err := l.install(); err != nil {
		file.Close()
		return true, err
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file, l.length, l.shortest, l.postponed = file, length, length, 0
	return true, nil
}

// writeNew leaves a whole and synced file under the new name. A leftover is removed first
// and never truncated: after a loss of power its name may stand beside the file's own.
func (l *Journal) writeNew(records []Record) (File, int64, error) {
	path := l.path(fileName + newSuffix)
	if err := removeIfThere(l.Files, path); err != nil {
		return nil, 0, err
	}
	file, err := l.Files.Open(path, os.O_RDWR|os.O_CREATE|os.O_EXCL)
	if err != nil {
		return nil, 0, err
	}
	length, err := writeFrames(file, records)
	if err == nil {
		err = file.Sync()
	}
	if err != nil {
		return nil, 0, errors.Join(err, file.Close(), removeIfThere(l.Files, path))
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
func (l *Journal) install() error {
	path := l.path(fileName)
	if l.damaged {
		if err := l.setAside(); err != nil {
			return err
		}
		l.damaged = false
	}
	if err := l.Files.Rename(path+newSuffix, path); err != nil {
		return err
	}
	return l.Files.SyncFolder(l.Folder)
}

// setAside renames the damaged file. The name lasts before it is given to the file, and
// has the file before that loses its own: each later life knows that something was lost.
func (l *Journal) setAside() error {
	aside := l.path(damagedName)
	mark, err := l.Files.Open(aside, os.O_RDWR|os.O_CREATE)
	if err != nil {
		return err
	}
	if err := errors.Join(mark.Sync(), mark.Close(), l.Files.SyncFolder(l.Folder)); err != nil {
		return err
	}
	if err := l.Files.Rename(l.path(fileName), aside); err != nil && !isMissing(err) {
		return err
	}
	return l.Files.SyncFolder(l.Folder)
}

// reserve keeps space for the next rewrite, as far as the disk has it. Zeros are written,
// since a length alone takes no space.
func (l *Journal) reserve() {
	wanted := max(l.Reserve, (l.shortest/reserveStep+1)*reserveStep)
	if l.Reserve == 0 || l.reserved >= wanted || time.Now().Before(l.reserveAfter) {
		return
	}
	path := l.path(reserveName)
	err := l.fill(path, wanted)
	if err == nil {
		l.reserved = wanted
		return
	}
	l.reserved, l.reserveAfter = 0, time.Now().Add(reservePause)
	if removeIfThere(l.Files, path) != nil {
		l.Failures.Add(1)
	}
}

// fill makes the file as long as wanted; one that is long enough already is left.
func (l *Journal) fill(path string, wanted int64) error {
	file, err := l.Files.Open(path, os.O_RDWR|os.O_CREATE)
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
func (l *Journal) giveWay() bool {
	l.reserved = 0
	return l.Files.Remove(l.path(reserveName)) == nil || l.emptyAside()
}

func (l *Journal) emptyAside() bool {
	file, err := l.Files.Open(l.path(damagedName), os.O_RDWR)
	if err != nil {
		return false
	}
	defer file.Close()
	length, err := file.Seek(0, io.SeekEnd)
	return err == nil && length > 0 && file.Truncate(0) == nil
}
