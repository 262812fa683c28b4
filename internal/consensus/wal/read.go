package wal

import (
	"errors"
	"io"
	"os"

	"github.com/phuslu/log"

	"coursepass/internal/errcode"
)

const (
	// maxReadAttempts is the maximum number of attempts to read the file if reading fails.
	maxReadAttempts = 3
	// searchWindow is how many bytes, from the start of a damaged frame, are searched for an intact
	// frame. A damaged frame that is longer counts as torn, also if intact frames follow it.
	searchWindow = 2 * queueLimit
)

// load reads the file into the state. If the file is damaged or unreadable, none of its content is
// used: the log starts empty, and the first rewrite moves the file aside.
func (l *Log) load() {
	var err error
	for range maxReadAttempts {
		err = l.readFile()
		if err == nil || errcode.CodeOf(err, 0) == errcode.LogCorrupted {
			break
		}
	}
	if err == nil {
		l.dataLost = l.hasQuarantinedFile()
		return
	}
	l.state = NewState()
	l.damaged = true
	l.dataLost = true
	l.DamagedFiles.Add(1)
	log.Error().Err(err).Str("directory", l.Directory).
		Msg("the log file is damaged or unreadable: the file is moved aside, and the log starts empty as after the loss of the disk")
}

// readFile makes one attempt to read the file.
func (l *Log) readFile() error {
	l.state = NewState()
	file, err := l.FileSystem.Open(l.path(fileName), os.O_RDONLY)
	if isNotExist(err) {
		return nil
	}
	if err != nil {
		return err
	}
	defer closeIgnoringError(file)
	length, err := readFrames(file, l.state.Apply)
	if errors.Is(err, io.EOF) {
		return nil
	}
	if !isTorn(err) {
		return err
	}
	return l.checkTail(file, length, err)
}

// checkTail distinguishes a torn frame at the end of the file from damage. The first length bytes
// of the file are intact. If an intact frame follows the first one that is not, synced records were
// lost; otherwise the end of the file was torn by a crash.
func (l *Log) checkTail(file File, length int64, tailError error) error {
	if _, err := file.Seek(length, io.SeekStart); err != nil {
		return err
	}
	tail, err := io.ReadAll(io.LimitReader(file, searchWindow))
	if err != nil {
		return err
	}
	if containsFrame(tail) {
		return errcode.Wrap(tailError, errcode.LogCorrupted, "a damaged frame is followed by an intact one")
	}
	l.TornTails.Add(1)
	return nil
}

// isTorn reports whether an error of readFrames may be the result of an incomplete write.
func isTorn(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, errFrameLength) || errors.Is(err, errFrameChecksum)
}
