package claim

import (
	"os"
	"path/filepath"
	"strings"
	"sync"

	"coursepass/internal/journal"
	"coursepass/internal/mishap"
	"coursepass/internal/schedule"
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
// never counts as knowing all claims because of it.
type Diary struct {
	path    string
	lock    sync.Mutex
	file    *os.File
	length  int64
	floor   int64
	earlier []journal.Record
}

// OpenDiary reads what earlier lives wrote, and cuts a torn end.
func OpenDiary(folder string) (*Diary, error) {
	diary := &Diary{path: filepath.Join(folder, diaryName)}
	file, failure := os.OpenFile(diary.path, os.O_RDWR|os.O_CREATE, 0o644)
	if failure != nil {
		return nil, mishap.Wrap(failure, mishap.JournalWrite, "claims")
	}
	diary.file = file
	diary.length = journal.ReadFrames(file, func(record journal.Record) { diary.earlier = append(diary.earlier, record) })
	diary.floor = diary.length
	if failure := file.Truncate(diary.length); failure != nil {
		return nil, mishap.Wrap(failure, mishap.JournalWrite, "claims")
	}
	_, failure = file.Seek(diary.length, 0)
	return diary, mishap.Wrap(failure, mishap.JournalWrite, "claims")
}

// Recall puts what earlier lives wrote of a part into a registry, as if it had just been
// granted: clocks may have jumped, and a claim is never forgotten early.
func (diary *Diary) Recall(now schedule.Microseconds, part int, registry *Registry) {
	for _, record := range diary.earlier {
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
func (diary *Diary) Note(part int, granted, freed []Claim) error {
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
	buffer := journal.Frame(nil, records)
	diary.lock.Lock()
	defer diary.lock.Unlock()
	diary.length += int64(len(buffer))
	_, failure := diary.file.Write(buffer)
	return mishap.Wrap(failure, mishap.JournalWrite, "claims")
}

// Long tells whether the diary is due to be written anew.
func (diary *Diary) Long() bool {
	diary.lock.Lock()
	defer diary.lock.Unlock()
	return diary.length > diaryLength && diary.length > 2*diary.floor
}

// Rewrite replaces the diary by what the registries hold now.
func (diary *Diary) Rewrite(now schedule.Microseconds, registries map[int]*Registry) error {
	diary.lock.Lock()
	defer diary.lock.Unlock()
	file, failure := os.OpenFile(diary.path+".new", os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o644)
	if failure != nil {
		return mishap.Wrap(failure, mishap.JournalWrite, "claims")
	}
	length := int64(0)
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
			if _, failure := file.Write(buffer); failure != nil {
				file.Close()
				return mishap.Wrap(failure, mishap.JournalWrite, "claims")
			}
			length += int64(len(buffer))
		}
	}
	if failure := os.Rename(diary.path+".new", diary.path); failure != nil {
		file.Close()
		return mishap.Wrap(failure, mishap.JournalWrite, "claims")
	}
	diary.file.Close()
	diary.file, diary.length, diary.floor = file, length, length
	return nil
}

// Close ends the writing.
func (diary *Diary) Close() {
	diary.lock.Lock()
	defer diary.lock.Unlock()
	diary.file.Close()
}
