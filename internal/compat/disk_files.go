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

// The names of the files in a data directory.
const (
	walFile            = "journal"
	reservationLogFile = "claims"
)

// walRewriteThreshold is a length that no sample reaches, so that none is rewritten.
const walRewriteThreshold = 1 << 20

// diskSamples returns the files in the data directory of a control plane server.
func diskSamples() []Sample {
	return []Sample{
		{
			Label:    "journal-frame",
			Format:   Binary,
			Describe: describeBytes,
			Encode:   func() ([]byte, error) { return wal.AppendFrame(nil, plainRecords()), nil },
		},
		{
			Label:    "journal-image",
			Format:   Binary,
			Describe: describeBytes,
			Encode:   func() ([]byte, error) { return wal.AppendFrame(nil, plainState().Records()), nil },
		},
		{
			Label:    "journal-file",
			Format:   Binary,
			Describe: describeBytes,
			Encode: func() ([]byte, error) {
				const earlyCount = 4
				return writeLogFile(plainRecords()[:earlyCount], plainRecords()[earlyCount:])
			},
		},
		{
			Label:    "journal-control-log",
			Format:   Binary,
			Describe: describeFrames,
			Encode:   func() ([]byte, error) { return writeLogFile(nil, controlPlaneRecords()) },
		},
		{
			Label:    "idempotency-diary",
			Format:   Binary,
			Describe: describeBytes,
			Encode:   writeReservationLog,
		},
		{
			Label:    "idempotency-diary-rewritten",
			Format:   Binary,
			Describe: describeBytes,
			Encode:   writeCompactedReservationLog,
		},
	}
}

// plainRecords returns records of every kind, with data that the write-ahead log doesn't
// interpret. Numbers of one and of several bytes are among them.
//
//nolint:mnd // The numbers are sample data.
func plainRecords() []wal.Record {
	return []wal.Record{
		{Kind: wal.RecordIdentity, Entry: wal.Entry{Data: []byte("identity-of-the-folder")}},
		{Kind: wal.RecordPromise, Shard: 0, Entry: wal.Entry{Term: 3}},
		{Kind: wal.RecordAppend, Shard: 0, Entry: wal.Entry{Index: 1, Term: 3, Data: []byte("first")}},
		{Kind: wal.RecordAppend, Shard: 0, Entry: wal.Entry{Index: 2, Term: 3, Data: []byte("second, replaced later")}},
		{Kind: wal.RecordAppend, Shard: 0, Entry: wal.Entry{Index: 2, Term: 300, Data: []byte("second")}},
		{Kind: wal.RecordAppend, Shard: 0, Entry: wal.Entry{Index: 3, Term: 1 << 40}},
		{Kind: wal.RecordCommit, Shard: 0, Entry: wal.Entry{Index: 2}},
		{Kind: wal.RecordPromise, Shard: 1, Entry: wal.Entry{Term: ^uint64(0)}},
		{Kind: wal.RecordSnapshot, Shard: 1, Entry: wal.Entry{Index: 1 << 33, Term: 77, Data: []byte("snapshot")}},
		{Kind: wal.RecordAppend, Shard: 1, Entry: wal.Entry{Index: 1<<33 + 1, Term: 78, Data: []byte{0, 255}}},
	}
}

// plainState returns the state that the plain records lead to.
func plainState() *wal.State {
	state := wal.NewState()
	for _, record := range plainRecords() {
		state.Apply(record)
	}
	return state
}

// sampleMembership returns a group of three slots, one of whose members was replaced.
//
//nolint:mnd // The numbers are sample data.
func sampleMembership() consensus.Membership {
	return consensus.Membership{
		Epoch: 3,
		Members: []consensus.Member{
			{Identity: "identity-0", Name: "control-0", Address: sampleAddress, Zone: sampleZone},
			{Identity: "identity-3", Name: "control-3", Address: "127.0.0.1:7103", Zone: "nashua"},
			{},
		},
		Retired: []string{"identity-1"},
	}
}

// controlPlaneRecords returns the records of a server with two shards: the log of the
// configuration from its start, and that of a registry from a snapshot on.
//
//nolint:mnd // The numbers are sample data.
func controlPlaneRecords() []wal.Record {
	membershipData := consensus.MembershipData(sampleMembership())
	records := []wal.Record{
		{Kind: wal.RecordIdentity, Entry: wal.Entry{Data: []byte("identity-0")}},
		{Kind: wal.RecordPromise, Shard: 0, Entry: wal.Entry{Term: 4}},
		{Kind: wal.RecordAppend, Shard: 0, Entry: wal.Entry{Index: 1, Term: 4, Data: membershipData}},
	}
	operations := configOperations()
	for index, operation := range operations {
		entry := wal.Entry{Index: uint64(index) + 2, Term: 4, Data: consensus.OperationData(operation)}
		records = append(records, wal.Record{Kind: wal.RecordAppend, Shard: 0, Entry: entry})
	}
	snapshot := consensus.EncodeSnapshot(sampleMembership(), appliedRegistry().Snapshot())
	last := consensus.OperationData(registryOperations()[0])
	return append(records,
		wal.Record{Kind: wal.RecordCommit, Shard: 0, Entry: wal.Entry{Index: uint64(len(operations)) + 1}},
		wal.Record{Kind: wal.RecordPromise, Shard: 1, Entry: wal.Entry{Term: 8}},
		wal.Record{Kind: wal.RecordSnapshot, Shard: 1, Entry: wal.Entry{Index: 40, Term: 7, Data: snapshot}},
		wal.Record{Kind: wal.RecordAppend, Shard: 1, Entry: wal.Entry{Index: 41, Term: 8, Data: last}},
	)
}

// writeLogFile returns the file of a write-ahead log that was given some records before it began
// to run, and others later.
func writeLogFile(early, late []wal.Record) ([]byte, error) {
	return withTemporaryDirectory(func(directory string) ([]byte, error) {
		openedLog, err := wal.Open(wal.Options{Directory: directory, RewriteThreshold: walRewriteThreshold})
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		const appendCount = 2
		synced := make(chan struct{}, appendCount)
		openedLog.Append(early, func() { synced <- struct{}{} })
		go func() { ended <- openedLog.Run(ctx) }()
		<-synced
		openedLog.Append(late, func() { synced <- struct{}{} })
		<-synced
		cancel()
		if err := <-ended; err != nil {
			return nil, err
		}
		return os.ReadFile(filepath.Join(directory, walFile))
	})
}

// sampleReservations returns reservations of three keys. The last one is released by
// writeReservationLog.
//
//nolint:mnd // The numbers are sample data.
func sampleReservations() []idempotency.Claim {
	return []idempotency.Claim{
		{Key: "key-1", By: idempotency.RequestID{Life: 11, Number: 1}, Address: "127.0.0.1:7300"},
		{Key: "key-2", By: idempotency.RequestID{Life: 1 << 50, Number: 2}, Address: "127.0.0.1:7301"},
		{Key: "key-3", By: idempotency.RequestID{Life: 12, Number: 3}, Address: "127.0.0.1:7300"},
	}
}

// writeReservationLog returns a log of all sample reservations and of the release of the last one.
func writeReservationLog() ([]byte, error) {
	return withTemporaryDirectory(func(directory string) ([]byte, error) {
		reservationLog := idempotency.OpenLog(wal.OSFileSystem{}, directory)
		defer reservationLog.Close()
		reservations := sampleReservations()
		last := reservations[len(reservations)-1:]
		err := errors.Join(reservationLog.Append(1, reservations, nil), reservationLog.Append(1, nil, last))
		if err != nil {
			return nil, err
		}
		return os.ReadFile(filepath.Join(directory, reservationLogFile))
	})
}

// writeCompactedReservationLog returns a compacted log. It has one reservation, since the order
// of more is random.
func writeCompactedReservationLog() ([]byte, error) {
	return withTemporaryDirectory(func(directory string) ([]byte, error) {
		reservationLog := idempotency.OpenLog(wal.OSFileSystem{}, directory)
		defer reservationLog.Close()
		store := idempotency.NewStore(clock.Second, len(sampleReservations()))
		store.Import(0, sampleReservations()[0])
		if err := reservationLog.Compact(0, map[int]*idempotency.Store{1: store}); err != nil {
			return nil, err
		}
		return os.ReadFile(filepath.Join(directory, reservationLogFile))
	})
}

// withTemporaryDirectory calls run with a new directory, which is removed afterwards.
func withTemporaryDirectory(run func(directory string) ([]byte, error)) ([]byte, error) {
	directory, err := os.MkdirTemp("", "compat")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(directory) }() // A leftover in the temporary directory is harmless.
	return run(directory)
}
