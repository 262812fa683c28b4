package claim_test

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/state/idempotency"
)

// fullFiles are the real files of a disk that takes half of each write and then no more.
type fullFiles struct {
	journal.OperatingSystem
	full, uncut *bool
}

func (f fullFiles) Open(path string, flags int) (journal.File, error) {
	if *f.full && flags&os.O_CREATE != 0 {
		return nil, syscall.ENOSPC
	}
	file, err := f.OperatingSystem.Open(path, flags)
	return fullFile{file, f}, err
}

type fullFile struct {
	journal.File
	files fullFiles
}

func (f fullFile) Write(data []byte) (int, error) {
	if !*f.files.full {
		return f.File.Write(data)
	}
	count, _ := f.File.Write(data[:len(data)/2])
	return count, syscall.ENOSPC
}

func (f fullFile) Truncate(size int64) error {
	if *f.files.uncut {
		return syscall.EIO
	}
	return f.File.Truncate(size)
}

func noted(diary *claim.Diary, keys ...string) error {
	var granted []claim.Claim
	for _, key := range keys {
		granted = append(granted, claim.Claim{Key: key, By: claim.Name{Life: 1}})
	}
	return diary.Note(1, granted, nil)
}

// recalled counts the claims that a new life knows.
func recalled(files journal.Files, folder string) int {
	diary := claim.OpenDiary(files, folder)
	defer diary.Close()
	registry := claim.NewRegistry(keep, 64)
	diary.Recall(schedule.Second, 1, registry)
	return registry.Count()
}

// A note that the disk took half of is cut off again, so that later ones are read; where
// it can't be cut, the diary is due to be written anew, and takes notes again then.
func TestADiaryOnAFullDisk(test *testing.T) {
	for _, uncut := range []bool{false, true} {
		folder, full, refuses := test.TempDir(), false, false
		files := fullFiles{full: &full, uncut: &refuses}
		diary := claim.OpenDiary(files, folder)
		refuses = uncut
		registry := claim.NewRegistry(keep, 64)
		for number := range 4 {
			key := fmt.Sprint("key-", number)
			registry.Take(schedule.Second, claim.Claim{Key: key, By: claim.Name{Life: 1}})
			full = number == 1
			err := noted(diary, key)
			if refused := number == 1 || uncut && number > 1; (err != nil) != refused {
				test.Errorf("note %d: %v", number, err)
			}
		}
		if diary.Due() != uncut {
			test.Errorf("due to be written anew: %v", diary.Due())
		}
		if known := recalled(journal.OperatingSystem{}, folder); known != 3 && !uncut {
			test.Errorf("%d claims are known, not 3", known)
		}
		if err := diary.Rewrite(schedule.Second, map[int]*claim.Registry{1: registry}); err != nil || noted(diary, "last") != nil {
			test.Error("not written anew: ", err)
		}
		diary.Close()
		if known := recalled(journal.OperatingSystem{}, folder); known != 5 {
			test.Errorf("%d claims are known after the rewrite, not 5", known)
		}
	}
}

// A start on a full disk, and a leftover of a rewrite, leave a diary that works later.
func TestADiaryThatBeginsOnAFullDisk(test *testing.T) {
	folder, full := test.TempDir(), true
	diary := claim.OpenDiary(fullFiles{full: &full, uncut: new(bool)}, folder)
	if noted(diary, "early") == nil || !diary.Due() {
		test.Error("a diary without a file took a note")
	}
	if diary.Rewrite(schedule.Second, nil) == nil {
		test.Error("a full disk took a diary")
	}
	full = false
	if err := os.WriteFile(filepath.Join(folder, "claims.new"), []byte("leftover"), 0o644); err != nil {
		test.Fatal(err)
	}
	if err := diary.Rewrite(schedule.Second, nil); err != nil || noted(diary, "late") != nil {
		test.Error("not written anew: ", err)
	}
	diary.Close()
	if known := recalled(journal.OperatingSystem{}, folder); known != 1 {
		test.Errorf("%d claims are known, not 1", known)
	}
}

// Of three notes that no sync has covered, a loss of power leaves each whole, missing or
// torn: the diary opens with those before the first that is not whole, and goes on.
func TestADiaryAfterALossOfPower(test *testing.T) {
	folder := test.TempDir()
	path := filepath.Join(folder, "claims")
	var content []byte
	var ends []int
	for number := range 3 {
		diary := claim.OpenDiary(journal.OperatingSystem{}, folder)
		if err := noted(diary, fmt.Sprint("key-", number)); err != nil {
			test.Fatal(err)
		}
		diary.Close()
		content, _ = os.ReadFile(path)
		ends = append(ends, len(content))
	}
	for state := range 27 {
		left, whole, begun := append([]byte(nil), content...), 0, 0
		for place, kind := range []int{state % 3, state / 3 % 3, state / 9} {
			if spoilt := []int{ends[place], begun, (begun + ends[place]) / 2}[kind]; spoilt < ends[place] {
				clear(left[spoilt:ends[place]])
			} else if whole == place {
				whole++
			}
			begun = ends[place]
		}
		if err := os.WriteFile(path, left, 0o644); err != nil {
			test.Fatal(err)
		}
		diary := claim.OpenDiary(journal.OperatingSystem{}, folder)
		if err := noted(diary, "later"); err != nil || diary.Due() {
			test.Errorf("state %d: no note is taken: %v", state, err)
		}
		diary.Close()
		if known := recalled(journal.OperatingSystem{}, folder); known != whole+1 {
			test.Errorf("state %d: %d claims are known, not %d", state, known, whole+1)
		}
	}
}
