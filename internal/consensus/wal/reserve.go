package wal

import (
	"errors"
	"io"
	"os"
	"time"
)

const (
	// reserveUnit is the granularity of the reserve's size, in bytes.
	reserveUnit = 512 << 10
	// reserveRetryDelay is the delay between a failed attempt to create the reserve and the next
	// attempt.
	reserveRetryDelay = 30 * time.Second
)

// spaceReserve is the state of the reserve: a file of zeros that is removed when a rewrite finds
// the disk full.
type spaceReserve struct {
	// bytes is the size of the file; 0 if there is no file or its size is unknown.
	bytes   int64
	retryAt time.Time
}

// reserveSpace makes the reserve as large as the next rewrite may become, if the disk has the
// space. It writes zeros, because setting the length of a file alone allocates no space.
func (l *Log) reserveSpace() {
	if l.ReservedSpace == 0 {
		return
	}
	size := max(l.ReservedSpace, (l.file.rewrittenLength/reserveUnit+1)*reserveUnit)
	if l.reserve.bytes >= size || time.Now().Before(l.reserve.retryAt) {
		return
	}
	path := l.path(reserveName)
	if err := l.extendFile(path, size); err == nil {
		l.reserve.bytes = size
		return
	}
	l.reserve = spaceReserve{retryAt: time.Now().Add(reserveRetryDelay)}
	if removeIfExists(l.FileSystem, path) != nil {
		l.Failures.Add(1)
	}
}

// extendFile extends a file to at least size bytes, and creates it if it does not exist.
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

// freeSpace frees space for a rewrite and reports whether there was any to free. It removes the
// reserve; if there is none, it truncates the damaged file that was moved aside, whose name must
// stay.
func (l *Log) freeSpace() bool {
	l.reserve.bytes = 0
	return l.FileSystem.Remove(l.path(reserveName)) == nil || l.truncateQuarantinedFile()
}
