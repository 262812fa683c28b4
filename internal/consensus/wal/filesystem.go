package wal

import (
	"errors"
	"io"
	"io/fs"
	"os"

	"golang.org/x/sys/unix"
)

// The permissions of what is created.
const (
	directoryMode = 0o755
	fileMode      = 0o644
)

// File is an open file. Reads and writes continue where the last operation ended.
type File interface {
	io.ReadWriteSeeker
	io.Closer
	Truncate(size int64) error
	Sync() error
}

// FileSystem is what the log needs of a file system. Tests implement it by a model that loses
// what was not synced.
type FileSystem interface {
	// MakeDirectory makes a directory with its parents, unless it exists.
	MakeDirectory(path string) error
	// Open opens a file; the flags are those of os.OpenFile.
	Open(path string, flags int) (File, error)
	// Rename renames a file over another.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(path string) error
	// SyncDirectory makes the names in a directory durable.
	SyncDirectory(path string) error
	// Lock locks a path against other processes until the result is closed. It returns an error
	// that wraps errLocked if another process holds the lock.
	Lock(path string) (io.Closer, error)
}

// errLocked is the error of a path that another process has locked.
var errLocked = errors.New("another process holds the lock")

// OSFileSystem is the real file system.
type OSFileSystem struct{}

// MakeDirectory makes a directory with its parents, unless it exists.
func (OSFileSystem) MakeDirectory(path string) error {
	return os.MkdirAll(path, directoryMode)
}

// Open opens a file; the flags are those of os.OpenFile.
func (OSFileSystem) Open(path string, flags int) (File, error) {
	file, err := os.OpenFile(path, flags, fileMode)
	if err != nil {
		return nil, err
	}
	return file, nil
}

// Rename renames a file over another.
func (OSFileSystem) Rename(from, to string) error {
	return os.Rename(from, to)
}

// Remove removes a file.
func (OSFileSystem) Remove(path string) error {
	return os.Remove(path)
}

// SyncDirectory makes the names in a directory durable.
func (OSFileSystem) SyncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}

// Lock locks a path. The lock ends with the process at the latest.
func (OSFileSystem) Lock(path string) (io.Closer, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	err = unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	switch {
	case errors.Is(err, unix.EWOULDBLOCK):
		return nil, errors.Join(errLocked, file.Close())
	case err != nil:
		return nil, errors.Join(err, file.Close())
	}
	return file, nil
}

func isNotExist(err error) bool {
	return errors.Is(err, fs.ErrNotExist)
}

// removeIfExists removes a file, if it exists.
func removeIfExists(files FileSystem, path string) error {
	if err := files.Remove(path); err != nil && !isNotExist(err) {
		return err
	}
	return nil
}

// isUnsyncableDirectory reports whether an error of SyncDirectory says that the directory can't be
// synced by this process at all, as opposed to a disk that fails.
func isUnsyncableDirectory(err error) bool {
	permanent := []error{fs.ErrPermission, fs.ErrNotExist, unix.EINVAL, unix.ENOTSUP, unix.EROFS, unix.EBADF}
	for _, target := range permanent {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}
