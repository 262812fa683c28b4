package wal

import (
	"io"
	"path/filepath"
)

// directoryState is what has been done about the log's directory so far.
type directoryState struct {
	// lock is held from prepareDirectory to Close.
	lock io.Closer
	// parentSynced is set once the directory's own name is durable.
	parentSynced bool
}

// prepareDirectory makes the directory and locks it against other processes. It is called again
// before each rewrite until it has succeeded.
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

// syncParent makes the directory's own name durable. Open does not do it, so as not to wait for
// a slow disk.
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
