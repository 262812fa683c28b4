package wal

import (
	"errors"
	"io"
	"io/fs"
	"os"

	"golang.org/x/sys/unix"
)

// File is one open file. Writes go where the last read, write or seek ended.
type File interface {
	io.ReadWriteSeeker
	io.Closer
	Truncate(size int64) error
	Sync() error
}

// FileSystem is the file system as far as the journal needs it. A test puts a model in its
// place that loses what was not synced.
type FileSystem interface {
	// MakeDirectory makes a folder with its parents, if it is missing.
	MakeDirectory(path string) error
	Open(path string, flags int) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDirectory makes the names in a folder durable.
	SyncDirectory(path string) error
	// Lock keeps others from locking the same path until it is closed.
	Lock(path string) (io.Closer, error)
}

// errLocked says that another process holds the lock.
var errLocked = errors.New("another process holds the lock")

// OSFileSystem is the real file system.
type OSFileSystem struct{}

// MakeDirectory makes a folder with its parents.
func (OSFileSystem) MakeDirectory(path string) error { return os.MkdirAll(path, 0o755) }

// Open opens a file as the flags say.
func (OSFileSystem) Open(path string, flags int) (File, error) {
	file, err := os.OpenFile(path, flags, 0o644)
	if err != nil {
		return nil, err
	}
	return file, nil
}

// Rename renames a file over another.
func (OSFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OSFileSystem) Remove(path string) error { return os.Remove(path) }

// SyncDirectory makes the names in a folder durable.
func (OSFileSystem) SyncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}

// Lock takes the lock, which ends with the process at the latest.
func (OSFileSystem) Lock(path string) (io.Closer, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, err
	}
	switch err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); {
	case errors.Is(err, unix.EWOULDBLOCK):
		return nil, errors.Join(errLocked, file.Close())
	case err != nil:
		return nil, errors.Join(err, file.Close())
	}
	return file, nil
}

func isNotExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }

// removeIfExists removes a file that may be missing.
func removeIfExists(files FileSystem, path string) error {
	if err := files.Remove(path); err != nil && !isNotExist(err) {
		return err
	}
	return nil
}

// isUnsyncableDirectory tells whether an error of syncing a folder's parent says that the parent can't
// be synced at all, as opposed to a disk in trouble.
func isUnsyncableDirectory(err error) bool {
	for _, target := range []error{fs.ErrPermission, fs.ErrNotExist, unix.EINVAL, unix.ENOTSUP, unix.EROFS, unix.EBADF} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}
