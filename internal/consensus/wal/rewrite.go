package wal

import (
	"bufio"
	"errors"
	"io"
	"os"
)

// writeBufferSize is the size of the buffer through which a rewrite writes, in bytes.
const writeBufferSize = 256 << 10

// rewriteFile replaces the file with one that has the fewest records that result in the same state,
// and calls the callbacks of all batches that were queued when it began. replaced reports whether
// the old file may be gone, also if an error is returned.
func (l *Log) rewriteFile() (replaced bool, err error) {
	l.mutex.Lock()
	records := l.state.Records()
	batches := l.queue.drain()
	needsRewrite := l.needsRewrite
	l.needsRewrite = false
	l.mutex.Unlock()
	if replaced, err = l.replaceFile(records); err != nil {
		l.requeue(batches, needsRewrite || replaced)
		return replaced, err
	}
	l.Rewrites.Add(1)
	completeBatches(batches)
	return true, nil
}

// replaceFile writes a new file, syncs it, renames it over the old one and syncs the directory.
// replaced reports whether the old file may be gone, which is possible from the rename on.
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
		closeIgnoringError(file)
		return true, err
	}
	if l.file.File != nil {
		closeIgnoringError(l.file.File)
	}
	l.file = logFile{File: file, length: length, rewrittenLength: length}
	return true, nil
}

// writeNewFile writes a complete and synced file under the temporary name. It removes an existing
// file of that name instead of truncating it: after a crash the temporary name may refer to the
// file in use.
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

// writeFrames writes each record as a separate frame and returns the number of bytes written.
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

// installNewFile renames the new file over the old one. If the old file is damaged, it is moved
// aside first.
func (l *Log) installNewFile() error {
	if l.damaged {
		if err := l.quarantineFile(); err != nil {
			return err
		}
		l.damaged = false
	}
	path := l.path(fileName)
	if err := l.FileSystem.Rename(path+temporarySuffix, path); err != nil {
		return err
	}
	return l.FileSystem.SyncDirectory(l.Directory)
}
