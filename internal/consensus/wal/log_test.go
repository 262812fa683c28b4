package wal_test

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

// writeAndClose opens a log, appends batches, waits until each batch is synced before it appends
// the next one, and closes the log.
func writeAndClose(directory string, rewriteThreshold int64, batches ...[]wal.Record) *wal.Log {
	testLog, err := wal.Open(wal.Options{Directory: directory, RewriteThreshold: rewriteThreshold})
	So(err, ShouldBeNil)
	ctx, stop := context.WithCancel(context.Background())
	result := make(chan error)
	go func() { result <- testLog.Run(ctx) }()
	for _, records := range batches {
		done := make(chan struct{})
		testLog.Append(records, func() { close(done) })
		<-done
	}
	stop()
	So(<-result, ShouldBeNil)
	return testLog
}

func entryRecord(index, term uint64) wal.Record {
	entry := wal.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "%d/%d", index, term)}
	return wal.Record{Kind: wal.RecordAppend, Shard: 1, Entry: entry}
}

func TestLog_ReadsSyncedRecords(t *testing.T) {
	Convey("synced records are read back, without the entries that later ones replaced", t, func() {
		directory := t.TempDir()
		promise := wal.Record{Kind: wal.RecordPromise, Shard: 1, Entry: wal.Entry{Term: 4}}
		first := []wal.Record{promise, entryRecord(1, 1), entryRecord(2, 1), entryRecord(3, 1)}
		second := []wal.Record{entryRecord(2, 4)}
		writeAndClose(directory, 1<<20, first, second)
		testLog := writeAndClose(directory, 1<<20)
		shardState := testLog.State().Shard(1)
		So(shardState.HasPromise, ShouldBeTrue)
		So(shardState.PromisedTerm, ShouldEqual, 4)
		So(shardState.Entries, ShouldResemble, []wal.Entry{{1, 1, []byte("1/1")}, {2, 4, []byte("2/4")}})
	})
}

func TestLog_KeepsRecordedCommit(t *testing.T) {
	Convey("the recorded commit index is read back, also after a rewrite", t, func() {
		directory := t.TempDir()
		commitRecord := wal.Record{Kind: wal.RecordCommit, Shard: 1, Entry: wal.Entry{Index: 2}}
		entries := []wal.Record{entryRecord(1, 1), entryRecord(2, 1), entryRecord(3, 1)}
		writeAndClose(directory, 1, entries, []wal.Record{commitRecord}, []wal.Record{entryRecord(4, 1)})
		So(writeAndClose(directory, 1<<20).State().Shard(1).RecordedCommit, ShouldEqual, uint64(2))
	})
}

func TestLog_DropsTornTail(t *testing.T) {
	Convey("a file that is truncated at any byte of its last batch loses that batch and nothing else", t, func() {
		directory := t.TempDir()
		path := filepath.Join(directory, "journal")
		last := []wal.Record{entryRecord(2, 1), entryRecord(3, 1)}
		writeAndClose(directory, 1<<20, []wal.Record{entryRecord(1, 1)}, last)
		complete, _ := os.ReadFile(path)
		batch := wal.AppendFrame(nil, last)
		So(bytes.HasSuffix(complete, batch), ShouldBeTrue)
		for length := len(complete) - len(batch); length < len(complete); length++ {
			So(os.WriteFile(path, complete[:length], 0o644), ShouldBeNil)
			testLog := writeAndClose(directory, 1<<20)
			So(len(testLog.State().Shard(1).Entries), ShouldEqual, 1)
		}
	})
}

func TestLog_QuarantinesDamagedFile(t *testing.T) {
	Convey("a file with damage in its middle is moved aside, and the log starts empty", t, func() {
		directory := t.TempDir()
		path := filepath.Join(directory, "journal")
		batches := [][]wal.Record{{entryRecord(1, 1)}, {entryRecord(2, 1)}, {entryRecord(3, 1)}}
		writeAndClose(directory, 1<<20, batches...)
		content, _ := os.ReadFile(path)
		offset := bytes.Index(content, []byte("2/1"))
		content[offset] ^= 1
		So(os.WriteFile(path, content, 0o644), ShouldBeNil)
		testLog := writeAndClose(directory, 1<<20, []wal.Record{entryRecord(1, 2)})
		So(testLog.DataLost(), ShouldBeTrue)
		So(testLog.DamagedFiles.Load(), ShouldEqual, 1)
		So(testLog.ShardState(1).Entries, ShouldResemble, []wal.Entry{{Index: 1, Term: 2, Data: []byte("1/2")}})
		quarantined, _ := os.ReadFile(filepath.Join(directory, "journal.damaged"))
		So(bytes.Equal(quarantined, content), ShouldBeTrue)
		reopened := writeAndClose(directory, 1<<20)
		So(reopened.DataLost(), ShouldBeTrue)
		So(reopened.DamagedFiles.Load(), ShouldEqual, 0)
		So(reopened.ShardState(1).Entries, ShouldResemble, []wal.Entry{{Index: 1, Term: 2, Data: []byte("1/2")}})
	})
}

func TestLog_ReadsEarlierBuild(t *testing.T) {
	Convey("a file that an earlier build wrote is read, and a rewrite preserves its state", t, func() {
		directory := t.TempDir()
		content, err := os.ReadFile("testdata/earlier-build")
		So(err, ShouldBeNil)
		So(os.WriteFile(filepath.Join(directory, "journal"), content, 0o644), ShouldBeNil)
		for range 2 {
			testLog := writeAndClose(directory, 1<<20)
			So(string(testLog.State().Identity), ShouldEqual, "EARLIERBUILD")
			So(testLog.ShardState(1), ShouldResemble, wal.ShardState{
				PromisedTerm: 4,
				HasPromise:   true,
				Entries:      []wal.Entry{{1, 1, []byte("1/1")}, {2, 4, []byte("2/4")}},
			})
			So(testLog.ShardState(2), ShouldResemble, wal.ShardState{
				PromisedTerm:   9,
				HasPromise:     true,
				RecordedCommit: 301,
				Snapshot:       wal.Entry{Index: 300, Term: 7, Data: []byte("base")},
				Entries:        []wal.Entry{{Index: 301, Term: 8, Data: []byte("301/8")}},
			})
			So(testLog.TornTails.Load()+testLog.DamagedFiles.Load(), ShouldEqual, 0)
		}
	})
}

func TestLog_LocksDirectory(t *testing.T) {
	Convey("a second daemon can't open a directory that is in use", t, func() {
		directory := t.TempDir()
		first, err := wal.Open(wal.Options{Directory: directory, RewriteThreshold: 1 << 20})
		So(err, ShouldBeNil)
		_, err = wal.Open(wal.Options{Directory: directory, RewriteThreshold: 1 << 20})
		So(errcode.CodeOf(err, 0), ShouldEqual, errcode.InvalidSetting)
		first.Close()
		second, err := wal.Open(wal.Options{Directory: directory, RewriteThreshold: 1 << 20})
		So(err, ShouldBeNil)
		second.Close()
	})
}

func TestLog_RewritesLongFile(t *testing.T) {
	Convey("a long file is rewritten: it keeps its state, and its length stays bounded", t, func() {
		directory := t.TempDir()
		var batches [][]wal.Record
		for index := uint64(1); index <= 400; index++ {
			batches = append(batches, []wal.Record{entryRecord(index, 1)})
			if index%10 == 0 {
				snapshot := wal.Entry{Index: index - 2, Term: 1, Data: []byte("base")}
				batches = append(batches, []wal.Record{{Kind: wal.RecordSnapshot, Shard: 1, Entry: snapshot}})
			}
		}
		testLog := writeAndClose(directory, 2000, batches...)
		So(testLog.Rewrites.Load(), ShouldBeGreaterThan, 2)
		info, _ := os.Stat(filepath.Join(directory, "journal"))
		So(info.Size(), ShouldBeLessThan, 4000)
		shardState := writeAndClose(directory, 2000).State().Shard(1)
		So(shardState.Snapshot.Index, ShouldEqual, 398)
		So(len(shardState.Entries), ShouldEqual, 2)
	})
}
