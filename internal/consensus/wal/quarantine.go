package wal

import (
	"errors"
	"io"
	"os"
)

// quarantineFile renames the damaged file. Before that, it creates an empty file under the new name
// and makes that name durable: whatever a crash leaves, a later process finds a file under one of
// the two names, and so knows that records were lost.
func (l *Log) quarantineFile() error {
	quarantinePath := l.path(damagedName)
	placeholder, err := l.FileSystem.Open(quarantinePath, os.O_RDWR|os.O_CREATE)
	if err != nil {
		return err
	}
	err = errors.Join(placeholder.Sync(), placeholder.Close(), l.FileSystem.SyncDirectory(l.Directory))
	if err != nil {
		return err
	}
	err = l.FileSystem.Rename(l.path(fileName), quarantinePath)
	if err != nil && !isNotExist(err) {
		return err
	}
	return l.FileSystem.SyncDirectory(l.Directory)
}

// hasQuarantinedFile reports whether an earlier process has moved a damaged file aside. If the
// existence of such a file can't be determined, it is assumed.
func (l *Log) hasQuarantinedFile() bool {
	file, err := l.FileSystem.Open(l.path(damagedName), os.O_RDONLY)
	if err == nil {
		closeIgnoringError(file)
	}
	return !isNotExist(err)
}

// truncateQuarantinedFile truncates the damaged file that was moved aside to free its space, and
// reports whether it had any content.
func (l *Log) truncateQuarantinedFile() bool {
	file, err := l.FileSystem.Open(l.path(damagedName), os.O_RDWR)
	if err != nil {
		return false
	}
	defer closeIgnoringError(file)
	length, err := file.Seek(0, io.SeekEnd)
	return err == nil && length > 0 && file.Truncate(0) == nil
}
