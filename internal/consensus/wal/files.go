package journal

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

// Files is the file system as far as the journal needs it. A test puts a model in its
// place that loses what was not synced.
type Files interface {
	// MakeFolder makes a folder with its parents, if it is missing.
	MakeFolder(path string) error
	Open(path string, flags int) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncFolder makes the names in a folder durable.
	SyncFolder(path string) error
	// Lock keeps others from locking the same path until it is closed.
	Lock(path string) (io.Closer, error)
}

// errLocked says that another process holds the lock.
var errLocked = errors.New("another process holds the lock")

// OperatingSystem is the real file system.
type OperatingSystem struct{}

// MakeFolder makes a folder with its parents.
func (OperatingSystem) MakeFolder(path string) error { return os.MkdirAll(path, 0o755) }

// Open opens a file as the flags say.
func (OperatingSystem) Open(path string, flags int) (File, error) {
	file, err := os.OpenFile(path, flags, 0o644)
	if err != nil {
		return nil, err
	}
	return file, nil
}

// Rename renames a file over another.
func (OperatingSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OperatingSystem) Remove(path string) error { return os.Remove(path) }

// SyncFolder makes the names in a folder durable.
func (OperatingSystem) SyncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// Lock takes the lock, which ends with the process at the latest.
func (OperatingSystem) Lock(path string) (io.Closer, error) {
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

func isMissing(err error) bool { return errors.Is(err, fs.ErrNotExist) }

// removeIfThere removes a file that may be missing.
func removeIfThere(files Files, path string) error {
	if err := files.Remove(path); err != nil && !isMissing(err) {
		return err
	}
	return nil
}

// notOurs tells whether an error of syncing a folder's parent says that the parent can't
// be synced at all, as opposed to a disk in trouble.
func notOurs(err error) bool {
	for _, each := range []error{fs.ErrPermission, fs.ErrNotExist, unix.EINVAL, unix.ENOTSUP, unix.EROFS, unix.EBADF} {
		if errors.Is(err, each) {
			return true
		}
	}
	return false
}
