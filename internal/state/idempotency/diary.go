package claim

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/errcode"
)

// The kinds of a diary's records.
const (
	taken journal.Kind = iota + 1
	released
)

const (
	diaryName   = "claims"
	diaryLength = 4 << 20
)

// Diary is a seat's second memory of its claims. It is written before a claim is
// answered but not synced: it survives a killed process, not a lost machine. A seat
// never counts as knowing all claims because of it. On a disk that refuses writes it is
// behind, and is written anew once the disk takes them.
type Diary struct {
	files   journal.Files
	path    string
	lock    sync.Mutex
	file    journal.File
	length  int64
	floor   int64
	earlier []journal.Record
}

// OpenDiary reads what earlier lives wrote, and cuts a torn end. Where the disk refuses,
// the diary has what could be read.
func OpenDiary(files journal.Files, folder string) *Diary {
	diary := &Diary{files: files, path: filepath.Join(folder, diaryName)}
	file, err := files.Open(diary.path, os.O_RDWR|os.O_CREATE)
	if err != nil {
		return diary
	}
	diary.length = journal.ReadFrames(file, func(record journal.Record) { diary.earlier = append(diary.earlier, record) })
	diary.file, diary.floor = file, diary.length
	diary.cut()
	return diary
}

// cut drops what stands behind the last whole frame. A file that can't be cut is not
// appended to any more: what came after half a frame would never be read.
func (l *Diary) cut() {
	err := l.file.Truncate(l.length)
	if err == nil {
		_, err = l.file.Seek(l.length, io.SeekStart)
	}
	if err != nil {
		l.file.Close()
		l.file = nil
	}
}

// Recall puts what earlier lives wrote of a part into a registry, as if it had just been
// granted: clocks may have jumped, and a claim is never forgotten early.
func (l *Diary) Recall(now schedule.Microseconds, part int, registry *Registry) {
	for _, record := range l.earlier {
		key, address, _ := strings.Cut(string(record.Data), "\x00")
		name := Name{record.Round, record.Index}
		switch {
		case record.Part != part:
		case record.Kind == released:
			registry.Release(key, name)
		default:
			registry.Keep(now, Claim{Key: key, By: name, Address: address})
		}
	}
}

func record(kind journal.Kind, part int, claim Claim) journal.Record {
	return journal.Record{Kind: kind, Part: part, Entry: journal.Entry{Round: claim.By.Life, Index: claim.By.Number, Data: []byte(claim.Key + "\x00" + claim.Address)}}
}

// Note writes down claims that were granted and given back.
func (l *Diary) Note(part int, granted, freed []Claim) error {
	records := make([]journal.Record, 0, len(granted)+len(freed))
	for _, each := range granted {
		records = append(records, record(taken, part, each))
	}
	for _, each := range freed {
		records = append(records, record(released, part, each))
	}
	if len(records) == 0 {
		return nil
	}
	return l.append(journal.Frame(nil, records))
}

func (l *Diary) append(buffer []byte) error {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.file == nil {
		return mishap.New(mishap.JournalWrite, "claims: to be written anew")
	}
	if _, err := l.file.Write(buffer); err != nil {
		l.cut()
		return mishap.Wrap(err, mishap.JournalWrite, "claims")
	}
	l.length += int64(len(buffer))
	return nil
}

// Due tells whether the diary is to be written anew.
func (l *Diary) Due() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.file == nil || l.length > diaryLength && l.length > 2*l.floor
}

// Rewrite replaces the diary by what the registries hold now. A leftover is removed first
// and never truncated: after a loss of power its name may stand beside the file's own.
func (l *Diary) Rewrite(now schedule.Microseconds, registries map[int]*Registry) error {
	l.lock.Lock()
	defer l.lock.Unlock()
	fresh := l.path + ".new"
	if err := l.files.Remove(fresh); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return mishap.Wrap(err, mishap.JournalWrite, "claims")
	}
	file, err := l.files.Open(fresh, os.O_RDWR|os.O_CREATE|os.O_EXCL)
	if err != nil {
		return mishap.Wrap(err, mishap.JournalWrite, "claims")
	}
	length, err := writeRegistries(file, now, registries)
	if err == nil {
		err = l.files.Rename(fresh, l.path)
	}
	if err != nil {
		err = errors.Join(err, file.Close(), l.files.Remove(fresh))
		return mishap.Wrap(err, mishap.JournalWrite, "claims")
	}
	l.close()
	l.file, l.length, l.floor = file, length, length
	return nil
}

func writeRegistries(file journal.File, now schedule.Microseconds, registries map[int]*Registry) (length int64, err error) {
	for part, registry := range registries {
		for index := range Shards {
			var records []journal.Record
			for _, each := range registry.Copy(now, index) {
				records = append(records, record(taken, part, each))
			}
			if len(records) == 0 {
				continue
			}
			buffer := journal.Frame(nil, records)
			if _, err := file.Write(buffer); err != nil {
				return 0, err
			}
			length += int64(len(buffer))
		}
	}
	return length, nil
}

// Close ends the writing.
func (l *Diary) Close() {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.close()
}

func (l *Diary) close() {
	if l.file != nil {
		l.file.Close()
		l.file = nil
	}
}
