package journal_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/consensus/wal"
	"coursepass/internal/errcode"
)

func write(folder string, rewrite int64, batches ...[]journal.Record) *journal.Journal {
	disk, err := journal.Open(journal.Options{Folder: folder, Rewrite: rewrite})
	So(err, ShouldBeNil)
	running, stop := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- disk.Run(running) }()
	for _, records := range batches {
		done := make(chan struct{})
		disk.Write(records, func() { close(done) })
		<-done
	}
	stop()
	So(<-ended, ShouldBeNil)
	return disk
}

func entry(index, round uint64) journal.Record {
	return journal.Record{Kind: journal.Append, Part: 1, Entry: journal.Entry{Index: index, Round: round, Data: fmt.Appendf(nil, "%d/%d", index, round)}}
}

func TestJournal(test *testing.T) {
	Convey("what was synced is read back, cut where an entry was replaced", test, func() {
		folder := test.TempDir()
		write(folder, 1<<20, []journal.Record{{Kind: journal.Promise, Part: 1, Entry: journal.Entry{Round: 4}}, entry(1, 1), entry(2, 1), entry(3, 1)}, []journal.Record{entry(2, 4)})
		disk := write(folder, 1<<20)
		past := disk.Image().Past(1)
		So(past.Whole, ShouldBeTrue)
		So(past.Promised, ShouldEqual, 4)
		So(past.Entries, ShouldResemble, []journal.Entry{{1, 1, []byte("1/1")}, {2, 4, []byte("2/4")}})
	})
	Convey("the note of what is committed is read back, and outlives a rewrite", test, func() {
		folder := test.TempDir()
		note := journal.Record{Kind: journal.Commit, Part: 1, Entry: journal.Entry{Index: 2}}
		write(folder, 1, []journal.Record{entry(1, 1), entry(2, 1), entry(3, 1)}, []journal.Record{note}, []journal.Record{entry(4, 1)})
		So(write(folder, 1<<20).Image().Past(1).Commit, ShouldEqual, uint64(2))
	})
	Convey("a tail torn at any byte loses the last batch and nothing else", test, func() {
		folder := test.TempDir()
		path := filepath.Join(folder, "journal")
		last := []journal.Record{entry(2, 1), entry(3, 1)}
		write(folder, 1<<20, []journal.Record{entry(1, 1)}, last)
		longer, _ := os.ReadFile(path)
		batch := journal.Frame(nil, last)
		So(bytes.HasSuffix(longer, batch), ShouldBeTrue)
		for length := len(longer) - len(batch); length < len(longer); length++ {
			So(os.WriteFile(path, longer[:length], 0o644), ShouldBeNil)
			disk := write(folder, 1<<20)
			So(len(disk.Image().Past(1).Entries), ShouldEqual, 1)
		}
	})
	Convey("damage in the middle sets the file aside, and the journal begins as one that has lost its disk", test, func() {
		folder := test.TempDir()
		path := filepath.Join(folder, "journal")
		write(folder, 1<<20, []journal.Record{entry(1, 1)}, []journal.Record{entry(2, 1)}, []journal.Record{entry(3, 1)})
		content, _ := os.ReadFile(path)
		place := bytes.Index(content, []byte("2/1"))
		content[place] ^= 1
		So(os.WriteFile(path, content, 0o644), ShouldBeNil)
		disk := write(folder, 1<<20, []journal.Record{entry(1, 2)})
		So(disk.Lost(), ShouldBeTrue)
		So(disk.Damaged.Load(), ShouldEqual, 1)
		So(disk.Past(1).Entries, ShouldResemble, []journal.Entry{{Index: 1, Round: 2, Data: []byte("1/2")}})
		aside, _ := os.ReadFile(filepath.Join(folder, "journal.damaged"))
		So(bytes.Equal(aside, content), ShouldBeTrue)
		again := write(folder, 1<<20)
		So(again.Lost(), ShouldBeTrue)
		So(again.Damaged.Load(), ShouldEqual, 0)
		So(again.Past(1).Entries, ShouldResemble, []journal.Entry{{Index: 1, Round: 2, Data: []byte("1/2")}})
	})
	Convey("a file of the earlier build is read, and says the same after a rewrite", test, func() {
		folder := test.TempDir()
		content, err := os.ReadFile("testdata/earlier-build")
		So(err, ShouldBeNil)
		So(os.WriteFile(filepath.Join(folder, "journal"), content, 0o644), ShouldBeNil)
		for range 2 {
			disk := write(folder, 1<<20)
			So(string(disk.Image().Name), ShouldEqual, "EARLIERBUILD")
			So(disk.Past(1), ShouldResemble, journal.Past{Promised: 4, Whole: true, Entries: []journal.Entry{{1, 1, []byte("1/1")}, {2, 4, []byte("2/4")}}})
			So(disk.Past(2), ShouldResemble, journal.Past{
				Promised: 9, Whole: true, Commit: 301, Base: journal.Entry{Index: 300, Round: 7, Data: []byte("base")},
				Entries: []journal.Entry{{Index: 301, Round: 8, Data: []byte("301/8")}},
			})
			So(disk.Cut.Load()+disk.Damaged.Load(), ShouldEqual, 0)
		}
	})
	Convey("a second daemon is kept out of the folder", test, func() {
		folder := test.TempDir()
		first, err := journal.Open(journal.Options{Folder: folder, Rewrite: 1 << 20})
		So(err, ShouldBeNil)
		_, err = journal.Open(journal.Options{Folder: folder, Rewrite: 1 << 20})
		So(mishap.CodeOf(err, 0), ShouldEqual, mishap.SettingBad)
		first.Close()
		second, err := journal.Open(journal.Options{Folder: folder, Rewrite: 1 << 20})
		So(err, ShouldBeNil)
		second.Close()
	})
	Convey("a long file is rewritten, says the same, and stays short", test, func() {
		folder := test.TempDir()
		var batches [][]journal.Record
		for index := uint64(1); index <= 400; index++ {
			batches = append(batches, []journal.Record{entry(index, 1)})
			if index%10 == 0 {
				batches = append(batches, []journal.Record{{Kind: journal.Rebase, Part: 1, Entry: journal.Entry{Index: index - 2, Round: 1, Data: []byte("base")}}})
			}
		}
		disk := write(folder, 2000, batches...)
		So(disk.Rewrites.Load(), ShouldBeGreaterThan, 2)
		information, _ := os.Stat(filepath.Join(folder, "journal"))
		So(information.Size(), ShouldBeLessThan, 4000)
		past := write(folder, 2000).Image().Past(1)
		So(past.Base.Index, ShouldEqual, 398)
		So(len(past.Entries), ShouldEqual, 2)
	})
}
