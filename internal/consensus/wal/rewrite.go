package wal

import (
	"bufio"
	"errors"
	"io"
	"os"
	"path/filepath"
	"time"
)

const (
	writeBufferSize = 256 << 10
	reserveName     = "reserve"
	// reserveUnit is what the reserve's size is a multiple of.
	reserveUnit = 512 << 10
	// reserveRetryDelay is how long a disk that had no room for the reserve is left alone.
	reserveRetryDelay = 30 * time.Second
)

// prepareDirectory makes the folder and keeps a second daemon out of it for as long as this one
// lives. What fails is tried again before the next rewrite.
func (l *Log) prepareDirectory() error {
	if l.directoryLock != nil {
		return nil
	}
	if err := l.FileSystem.MakeDirectory(l.Directory); err != nil {
		return err
	}
	directoryLock, err := l.FileSystem.Lock(l.path(lockName))
	if err != nil {
		return err
	}
	l.directoryLock = directoryLock
	return nil
}

// syncParent has the folder's own name outlive a loss of power. It is not done by Open, which
// should not wait for a slow disk.
func (l *Log) syncParent() error {
	if l.directorySynced {
		return nil
	}
	if err := l.FileSystem.SyncDirectory(filepath.Dir(l.Directory)); err != nil && !isUnsyncableDirectory(err) {
		return err
	}
	l.directorySynced = true
	return nil
}

// replaceFile writes a new file, syncs it, renames it over the old one and syncs the folder.
// From the renaming on the old file may be gone, whatever the error.
func (l *Log) replaceFile(records []Record) (replaced bool, err error) {
	if err := l.prepareDirectory(); err != nil {
		return false, err
	}
	if err := l.syncParent(); err != nil {
		return false, err
	}
	file, length, err := l.writeNewFile(records)
	if isDiskFull(err) && l.freeSpace() {
		file, length, err = l.writeNewFile(records)
	}
	if err != nil {
		return false, err
	}
	if err := l.installNewFile(); err != nil {
		file.Close()
		return true, err
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file, l.fileLength, l.rewrittenLength, l.postponedThreshold = file, length, length, 0
	return true, nil
}

// writeNewFile leaves a whole and synced file under the new name. A leftover is removed first
// and never truncated: after a loss of power its name may stand beside the file's own.
func (l *Log) writeNewFile(records []Record) (File, int64, error) {
	path := l.path(fileName + temporarySuffix)
	if err := removeIfExists(l.FileSystem, path); err != nil {
		return nil, 0, err
	}
	file, err := l.FileSystem.Open(path, os.O_RDWR|os.O_CREATE|os.O_EXCL)
	if err != nil {
		return nil, 0, err
	}
	length, err := writeFrames(file, records)
	if err == nil {
		err = file.Sync()
	}
	if err != nil {
		return nil, 0, errors.Join(err, file.Close(), removeIfExists(l.FileSystem, path))
	}
	return file, length, nil
}

func writeFrames(target io.Writer, records []Record) (length int64, err error) {
	writer := bufio.NewWriterSize(target, writeBufferSize)
	var buffer []byte
	for _, record := range records {
		buffer = AppendFrame(buffer[:0], []Record{record})
		if _, err := writer.Write(buffer); err != nil {
			return 0, err
		}
		length += int64(len(buffer))
	}
	return length, writer.Flush()
}

// installNewFile renames the new file over the old one, which is kept aside if it is damaged.
func (l *Log) installNewFile() error {
	path := l.path(fileName)
	if l.damaged {
		if err := l.quarantineFile(); err != nil {
			return err
		}
		l.damaged = false
	}
	if err := l.FileSystem.Rename(path+temporarySuffix, path); err != nil {
		return err
	}
	return l.FileSystem.SyncDirectory(l.Directory)
}

// quarantineFile renames the damaged file. The name lasts before it is given to the file, and
// has the file before that loses its own: each later life knows that something was lost.
func (l *Log) quarantineFile() error {
	quarantinePath := l.path(damagedName)
	placeholder, err := l.FileSystem.Open(quarantinePath, os.O_RDWR|os.O_CREATE)
	if err != nil {
		return err
	}
	if err := errors.Join(placeholder.Sync(), placeholder.Close(), l.FileSystem.SyncDirectory(l.Directory)); err != nil {
		return err
	}
	if err := l.FileSystem.Rename(l.path(fileName), quarantinePath); err != nil && !isNotExist(err) {
		return err
	}
	return l.FileSystem.SyncDirectory(l.Directory)
}

// reserveSpace keeps space for the next rewrite, as far as the disk has it. Zeros are written,
// since a length alone takes no space.
func (l *Log) reserveSpace() {
	size := max(l.ReservedSpace, (l.rewrittenLength/reserveUnit+1)*reserveUnit)
	if l.ReservedSpace == 0 || l.reservedBytes >= size || time.Now().Before(l.reserveRetryAt) {
		return
	}
	path := l.path(reserveName)
	err := l.extendFile(path, size)
	if err == nil {
		l.reservedBytes = size
		return
	}
	l.reservedBytes, l.reserveRetryAt = 0, time.Now().Add(reserveRetryDelay)
	if removeIfExists(l.FileSystem, path) != nil {
		l.Failures.Add(1)
	}
}

// extendFile makes the file as long as wanted; one that is long enough already is left.
func (l *Log) extendFile(path string, size int64) error {
	file, err := l.FileSystem.Open(path, os.O_RDWR|os.O_CREATE)
	if err != nil {
		return err
	}
	length, err := file.Seek(0, io.SeekEnd)
	if err == nil && length >= size {
		return file.Close()
	}
	zeros := make([]byte, min(reserveUnit, size))
	for err == nil && length < size {
		_, err = file.Write(zeros)
		length += int64(len(zeros))
	}
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}

// freeSpace frees space for a rewrite: the reserve, and then what a damaged file holds, whose
// name stays. It tells whether there was any.
func (l *Log) freeSpace() bool {
	l.reservedBytes = 0
	return l.FileSystem.Remove(l.path(reserveName)) == nil || l.truncateQuarantinedFile()
}

func (l *Log) truncateQuarantinedFile() bool {
	file, err := l.FileSystem.Open(l.path(damagedName), os.O_RDWR)
	if err != nil {
		return false
	}
	defer file.Close()
	length, err := file.Seek(0, io.SeekEnd)
	return err == nil && length > 0 && file.Truncate(0) == nil
}
