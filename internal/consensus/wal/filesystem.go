package wal

import (
	"errors"
	"io"
	"io/fs"
	"os"

	"golang.org/x/sys/unix"
)

// The permissions of created directories and files.
const (
	directoryMode = 0o755
	fileMode      = 0o644
)

// File is an open file. Each read or write starts at the offset where the previous operation ended.
type File interface {
	io.ReadWriteSeeker
	io.Closer
	Truncate(size int64) error
	Sync() error
}

// FileSystem is the set of file system operations that the log uses. Tests implement it with a
// model that loses what was not synced.
type FileSystem interface {
	// MakeDirectory creates a directory and its missing parents. It succeeds if the directory
	// exists.
	MakeDirectory(path string) error
	// Open opens a file. The flags are those of os.OpenFile.
	Open(path string, flags int) (File, error)
	// Rename renames a file. It replaces an existing file of the new name.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(path string) error
	// SyncDirectory makes the entries of a directory durable.
	SyncDirectory(path string) error
	// Lock locks a path against other processes until the result is closed. If another process
	// holds the lock, the error wraps errLocked.
	Lock(path string) (io.Closer, error)
}

// errLocked is the error of Lock if another process holds the lock.
var errLocked = errors.New("another process holds the lock")

// OSFileSystem is the file system of the operating system.
type OSFileSystem struct{}

// MakeDirectory creates a directory and its missing parents. It succeeds if the directory exists.
func (OSFileSystem) MakeDirectory(path string) error {
	return os.MkdirAll(path, directoryMode)
}

// Open opens a file. The flags are those of os.OpenFile.
func (OSFileSystem) Open(path string, flags int) (File, error) {
	file, err := os.OpenFile(path, flags, fileMode)
	if err != nil {
		return nil, err
	}
	return file, nil
}

// Rename renames a file. It replaces an existing file of the new name.
func (OSFileSystem) Rename(from, to string) error {
	return os.Rename(from, to)
}

// Remove removes a file.
func (OSFileSystem) Remove(path string) error {
	return os.Remove(path)
}

// SyncDirectory makes the entries of a directory durable.
func (OSFileSystem) SyncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}

// Lock locks a path against other processes until the result is closed. The lock is released at the
// latest when the process ends.
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

// removeIfExists removes a file. It succeeds if the file does not exist.
func removeIfExists(files FileSystem, path string) error {
	if err := files.Remove(path); err != nil && !isNotExist(err) {
		return err
	}
	return nil
}

// isUnsyncableDirectory reports whether an error of SyncDirectory means that this process can never
// sync the directory, as opposed to a failure of the disk.
func isUnsyncableDirectory(err error) bool {
	permanent := []error{fs.ErrPermission, fs.ErrNotExist, unix.EINVAL, unix.ENOTSUP, unix.EROFS, unix.EBADF}
	for _, target := range permanent {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}
