package wal

import (
	"io"
	"path/filepath"
)

// directoryState records which preparations of the log's directory are complete.
type directoryState struct {
	// lock is the lock on the directory. It is held from prepareDirectory to Close.
	lock io.Closer
	// parentSynced is set once the directory's entry in its parent directory is durable.
	parentSynced bool
}

// prepareDirectory creates the directory and locks it against other processes. Until it has
// succeeded, it is called again before each rewrite.
func (l *Log) prepareDirectory() error {
	if l.directory.lock != nil {
		return nil
	}
	if err := l.FileSystem.MakeDirectory(l.Directory); err != nil {
		return err
	}
	lock, err := l.FileSystem.Lock(l.path(lockName))
	if err != nil {
		return err
	}
	l.directory.lock = lock
	return nil
}

// syncParent makes the directory's entry in its parent directory durable. Open does not call it, so
// that a slow disk does not delay the start.
func (l *Log) syncParent() error {
	if l.directory.parentSynced {
		return nil
	}
	err := l.FileSystem.SyncDirectory(filepath.Dir(l.Directory))
	if err != nil && !isUnsyncableDirectory(err) {
		return err
	}
	l.directory.parentSynced = true
	return nil
}
