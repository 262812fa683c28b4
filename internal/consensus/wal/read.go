package journal

import (
	"errors"
	"io"
	"os"

	"github.com/phuslu/log"

	"coursepass/internal/errcode"
)

const (
	// readTries is how often a disk that fails to read is asked.
	readTries = 3
	// searchWindow is how far behind a damaged record whole ones are looked for.
	searchWindow = 2 * queueLimit
)

// load reads the file. What can't be trusted is not used in part: the journal then begins
// empty, and the file is set aside by the first rewrite.
func (l *Journal) load() {
	var err error
	for range readTries {
		if err = l.read(); err == nil || mishap.CodeOf(err, 0) == mishap.JournalBroken {
			break
		}
	}
	if err == nil {
		l.lost = l.hasAside()
		return
	}
	l.image, l.damaged, l.lost = NewImage(), true, true
	l.Damaged.Add(1)
	log.Error().Err(err).Str("folder", l.Folder).Msg("the journal is damaged: set aside, and begun anew as after the loss of the disk")
}

// hasAside tells whether an earlier life set a damaged file aside.
func (l *Journal) hasAside() bool {
	file, err := l.Files.Open(l.path(damagedName), os.O_RDONLY)
	if err == nil {
		file.Close()
	}
	return !isMissing(err)
}

func (l *Journal) read() error {
	l.image = NewImage()
	file, err := l.Files.Open(l.path(fileName), os.O_RDONLY)
	if isMissing(err) {
		return nil
	}
	if err != nil {
		return err
	}
	defer file.Close()
	length, err := readFrames(file, l.image.Take)
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
func (l *Journal) checkTail(file File, length int64, torn error) error {
	if _, err := file.Seek(length, io.SeekStart); err != nil {
		return err
	}
	rest, err := io.ReadAll(io.LimitReader(file, searchWindow))
	if err != nil {
		return err
	}
	if wholeFrameIn(rest) {
		return mishap.Wrap(torn, mishap.JournalBroken, "a damaged record is followed by whole ones")
	}
	l.Cut.Add(1)
	return nil
}

func isTorn(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, errLength) || errors.Is(err, errChecksum)
}
