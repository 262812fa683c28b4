package wal

import (
	"errors"
	"io"
	"os"

	"github.com/phuslu/log"

	"coursepass/internal/errcode"
)

const (
	// maxReadAttempts is how often a disk that fails to read is asked.
	maxReadAttempts = 3
	// searchWindow is how far behind a damaged record whole ones are looked for.
	searchWindow = 2 * queueLimit
)

// load reads the file. What can't be trusted is not used in part: the journal then begins
// empty, and the file is set aside by the first rewrite.
func (l *Log) load() {
	var err error
	for range maxReadAttempts {
		if err = l.readFile(); err == nil || errcode.CodeOf(err, 0) == errcode.LogCorrupted {
			break
		}
	}
	if err == nil {
		l.dataLost = l.hasQuarantinedFile()
		return
	}
	l.state, l.damaged, l.dataLost = NewState(), true, true
	l.DamagedFiles.Add(1)
	log.Error().Err(err).Str("folder", l.Directory).Msg("the journal is damaged: set aside, and begun anew as after the loss of the disk")
}

// hasQuarantinedFile tells whether an earlier life set a damaged file aside.
func (l *Log) hasQuarantinedFile() bool {
	file, err := l.FileSystem.Open(l.path(damagedName), os.O_RDONLY)
	if err == nil {
		file.Close()
	}
	return !isNotExist(err)
}

func (l *Log) readFile() error {
	l.state = NewState()
	file, err := l.FileSystem.Open(l.path(fileName), os.O_RDONLY)
	if isNotExist(err) {
		return nil
	}
	if err != nil {
		return err
	}
	defer file.Close()
	length, err := readFrames(file, l.state.Apply)
	switch {
	case err == io.EOF:
		return nil
	case !isTorn(err):
		return err
	}
	return l.checkTail(file, length, err)
}

// checkTail tells a torn end from damage. A torn end has nothing whole behind it; a whole
// frame behind the damage means that synced records were lost.
func (l *Log) checkTail(file File, length int64, tailError error) error {
	if _, err := file.Seek(length, io.SeekStart); err != nil {
		return err
	}
	tail, err := io.ReadAll(io.LimitReader(file, searchWindow))
	if err != nil {
		return err
	}
	if containsFrame(tail) {
		return errcode.Wrap(tailError, errcode.LogCorrupted, "a damaged record is followed by whole ones")
	}
	l.TornTails.Add(1)
	return nil
}

func isTorn(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, errLength) || errors.Is(err, errChecksum)
}
