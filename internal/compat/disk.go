package compat

import (
	"context"
	"errors"
	"os"
	"path/filepath"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/state/idempotency"
)

// The names of the files in a data folder.
const (
	journalFile = "journal"
	claimsFile  = "claims"
)

// rewriteLength keeps the samples from being rewritten.
const rewriteLength = 1 << 20

// diskSamples are the files in the data folder of a control daemon.
func diskSamples() []Sample {
	return []Sample{
		{
			Label: "journal-frame", Format: Binary, Describe: exact,
			Encode: func() ([]byte, error) { return wal.AppendFrame(nil, plainRecords()), nil },
		},
		{
			Label: "journal-image", Format: Binary, Describe: exact,
			Encode: func() ([]byte, error) { return wal.AppendFrame(nil, plainImage().Records()), nil },
		},
		{
			Label: "journal-file", Format: Binary, Describe: exact,
			Encode: func() ([]byte, error) { return writeJournal(plainRecords()[:4], plainRecords()[4:]) },
		},
		{
			Label: "journal-control-log", Format: Binary, Describe: describeFrames,
			Encode: func() ([]byte, error) { return writeJournal(nil, controlLog()) },
		},
		{Label: "idempotency-diary", Format: Binary, Describe: exact, Encode: writeDiary},
		{Label: "idempotency-diary-rewritten", Format: Binary, Describe: exact, Encode: rewriteDiary},
	}
}

// plainRecords are records of every kind; their data is not read by the journal. Numbers
// of one and of several bytes are among them.
func plainRecords() []wal.Record {
	return []wal.Record{
		{Kind: wal.RecordIdentity, Entry: wal.Entry{Data: []byte("identity-of-the-folder")}},
		{Kind: wal.RecordPromise, Shard: 0, Entry: wal.Entry{Round: 3}},
		{Kind: wal.RecordAppend, Shard: 0, Entry: wal.Entry{Index: 1, Round: 3, Data: []byte("first")}},
		{Kind: wal.RecordAppend, Shard: 0, Entry: wal.Entry{Index: 2, Round: 3, Data: []byte("second, replaced later")}},
		{Kind: wal.RecordAppend, Shard: 0, Entry: wal.Entry{Index: 2, Round: 300, Data: []byte("second")}},
		{Kind: wal.RecordAppend, Shard: 0, Entry: wal.Entry{Index: 3, Round: 1 << 40}},
		{Kind: wal.RecordCommit, Shard: 0, Entry: wal.Entry{Index: 2}},
		{Kind: wal.RecordPromise, Shard: 1, Entry: wal.Entry{Round: ^uint64(0)}},
		{Kind: wal.RecordSnapshot, Shard: 1, Entry: wal.Entry{Index: 1 << 33, Round: 77, Data: []byte("snapshot")}},
		{Kind: wal.RecordAppend, Shard: 1, Entry: wal.Entry{Index: 1<<33 + 1, Round: 78, Data: []byte{0, 255}}},
	}
}

func plainImage() *wal.State {
	image := wal.NewState()
	for _, record := range plainRecords() {
		image.Apply(record)
	}
	return image
}

// sampleBindings are a group of three, one of whose members was replaced.
func sampleBindings() consensus.Membership {
	return consensus.Membership{
		Epoch: 3,
		Seats: []consensus.Member{
			{Identity: "identity-0", Name: "control-0", Address: "127.0.0.1:7100", Hall: "lowell"},
			{Identity: "identity-3", Name: "control-3", Address: "127.0.0.1:7103", Hall: "nashua"},
			{},
		},
		Retired: []string{"identity-1"},
	}
}

// controlLog are the records of a control daemon with two parts: a configuration's log
// from its start, and a catalogue's from a snapshot on.
func controlLog() []wal.Record {
	records := []wal.Record{
		{Kind: wal.RecordIdentity, Entry: wal.Entry{Data: []byte("identity-0")}},
		{Kind: wal.RecordPromise, Shard: 0, Entry: wal.Entry{Round: 4}},
		{Kind: wal.RecordAppend, Shard: 0, Entry: wal.Entry{Index: 1, Round: 4, Data: consensus.BindingsData(sampleBindings())}},
	}
	operations := configurationOperations()
	for place, operation := range operations {
		entry := wal.Entry{Index: uint64(place) + 2, Round: 4, Data: consensus.OperationData(operation)}
		records = append(records, wal.Record{Kind: wal.RecordAppend, Shard: 0, Entry: entry})
	}
	capture := consensus.EncodeSnapshot(sampleBindings(), appliedCatalogue().Snapshot())
	last := catalogueOperations()[0]
	return append(records,
		wal.Record{Kind: wal.RecordCommit, Shard: 0, Entry: wal.Entry{Index: uint64(len(operations)) + 1}},
		wal.Record{Kind: wal.RecordPromise, Shard: 1, Entry: wal.Entry{Round: 8}},
		wal.Record{Kind: wal.RecordSnapshot, Shard: 1, Entry: wal.Entry{Index: 40, Round: 7, Data: capture}},
		wal.Record{Kind: wal.RecordAppend, Shard: 1, Entry: wal.Entry{Index: 41, Round: 8, Data: consensus.OperationData(last)}},
	)
}

// writeJournal is the file that a journal leaves which was given records before it began
// to run, and others later.
func writeJournal(before, later []wal.Record) ([]byte, error) {
	return withFolder(func(folder string) ([]byte, error) {
		opened, err := wal.Open(wal.Options{Directory: folder, RewriteThreshold: rewriteLength})
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		synced := make(chan struct{}, 2)
		opened.Append(before, func() { synced <- struct{}{} })
		go func() { ended <- opened.Run(ctx) }()
		<-synced
		opened.Append(later, func() { synced <- struct{}{} })
		<-synced
		cancel()
		if err := <-ended; err != nil {
			return nil, err
		}
		return os.ReadFile(filepath.Join(folder, journalFile))
	})
}

// sampleClaims are claims on one-shot keys; the last two are one key's, granted and given
// back.
func sampleClaims() []idempotency.Claim {
	return []idempotency.Claim{
		{Key: "key-1", By: idempotency.RequestID{Life: 11, Number: 1}, Address: "127.0.0.1:7300"},
		{Key: "key-2", By: idempotency.RequestID{Life: 1 << 50, Number: 2}, Address: "127.0.0.1:7301"},
		{Key: "key-3", By: idempotency.RequestID{Life: 12, Number: 3}, Address: "127.0.0.1:7300"},
	}
}

func writeDiary() ([]byte, error) {
	return withFolder(func(folder string) ([]byte, error) {
		diary := idempotency.OpenLog(wal.OSFileSystem{}, folder)
		defer diary.Close()
		claims := sampleClaims()
		err := errors.Join(diary.Append(1, claims, nil), diary.Append(1, nil, claims[2:]))
		if err != nil {
			return nil, err
		}
		return os.ReadFile(filepath.Join(folder, claimsFile))
	})
}

// rewriteDiary is a diary that was written anew. It has one claim, since the order of more
// is random.
func rewriteDiary() ([]byte, error) {
	return withFolder(func(folder string) ([]byte, error) {
		diary := idempotency.OpenLog(wal.OSFileSystem{}, folder)
		defer diary.Close()
		registry := idempotency.NewStore(clock.Second, len(sampleClaims()))
		registry.Import(0, sampleClaims()[0])
		if err := diary.Compact(0, map[int]*idempotency.Store{1: registry}); err != nil {
			return nil, err
		}
		return os.ReadFile(filepath.Join(folder, claimsFile))
	})
}

// withFolder runs in a new folder, which is removed afterwards.
func withFolder(run func(folder string) ([]byte, error)) ([]byte, error) {
	folder, err := os.MkdirTemp("", "compat")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	return run(folder)
}
