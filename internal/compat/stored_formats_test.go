package compat

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
	"coursepass/internal/state/idempotency"
	"coursepass/internal/state/outbox"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

// readers read the golden files that aren't a single Go value with the product's own code, by
// label.
var readers = map[string]func(*testing.T, Sample, []byte){
	"codec-full-then-short":                 readCodecs,
	"log-entry-bindings":                    readMembershipEntry,
	"log-entry-operation":                   readOperationEntry,
	"log-entry-outbox":                      readOutboxEntry,
	"snapshot-configuration-applied":        readSnapshot(func() stateMachine { return config.NewState() }),
	"snapshot-configuration-routes":         readSnapshot(func() stateMachine { return config.NewState() }),
	"snapshot-configuration-routes-tenants": readSnapshot(func() stateMachine { return config.NewState() }),
	"snapshot-configuration-scaled":         readSnapshot(func() stateMachine { return config.NewState() }),
	"snapshot-catalogue-applied":            readSnapshot(func() stateMachine { return registry.NewState() }),
	"snapshot-catalogue-outbox":             readSnapshot(func() stateMachine { return registry.NewState() }),
	"snapshot-catalogue-published":          readPublishedSnapshot,
	"journal-frame":                         readFrame,
	"journal-image":                         readState,
	"journal-file":                          readLogFile,
	"journal-control-log":                   readControlPlaneLog,
	"idempotency-diary":                     readReservationLog(2),
	"idempotency-diary-rewritten":           readReservationLog(1),
}

func TestStoredFormats_AreReadable(t *testing.T) {
	read := 0
	for _, sample := range Samples() {
		if sample.Value != nil {
			continue
		}
		read++
		t.Run(sample.File(), func(t *testing.T) {
			reader, known := readers[sample.Label]
			if !known {
				t.Fatal("nothing reads this file back")
			}
			reader(t, sample, readGolden(t, sample))
		})
	}
	if read != len(readers) {
		t.Errorf("%d stored formats, %d readers", read, len(readers))
	}
}

func requireEqual(tb testing.TB, what string, got, want any) {
	tb.Helper()
	if !reflect.DeepEqual(got, want) {
		tb.Fatalf("%s: %+v, want %+v", what, got, want)
	}
}

func readCodecs(t *testing.T, _ Sample, data []byte) {
	t.Helper()
	full, short, err := splitCodecs(data)
	if err != nil {
		t.Fatal(err)
	}
	var fromFull, fromShort controlapi.HeadsRequest
	if err := transport.ReadWireForms(full, short, &fromFull, &fromShort); err != nil {
		t.Fatal(err)
	}
	want := filled(controlapi.HeadsRequest{})
	requireEqual(t, "in full", &fromFull, want)
	requireEqual(t, "in short", &fromShort, want)
}

func readMembershipEntry(t *testing.T, _ Sample, data []byte) {
	t.Helper()
	var membership, want consensus.Membership
	Fill(&want)
	if consensus.ApplyEntry(registry.NewState(), &membership, wal.Entry{Data: data}) != nil {
		t.Fatal("a change of the membership has a result")
	}
	requireEqual(t, "membership", membership, want)
}

func readOperationEntry(t *testing.T, _ Sample, data []byte) {
	t.Helper()
	var membership consensus.Membership
	result := consensus.ApplyEntry(registry.NewState(), &membership, wal.Entry{Data: data})
	// Its kind is unknown, so that it only takes a revision.
	decoded, err := registry.DecodeResult(result)
	if err != nil {
		t.Fatal(err)
	}
	requireEqual(t, "result", decoded, registry.Result{Revision: 1})
}

func readSnapshot(newState func() stateMachine) func(*testing.T, Sample, []byte) {
	return func(t *testing.T, sample Sample, data []byte) {
		t.Helper()
		state := newState()
		empty, err := sample.sameContent(state.Snapshot(), data)
		if err != nil || empty {
			t.Fatalf("the golden snapshot is empty: %v", err)
		}
		state.Restore(data)
		requireSameContent(t, sample, data, state.Snapshot())
	}
}

func readOutboxEntry(t *testing.T, _ Sample, data []byte) {
	t.Helper()
	var membership consensus.Membership
	state := registry.NewState()
	result, err := outbox.DecodeResult(consensus.ApplyEntry(state, &membership, wal.Entry{Data: data}))
	if err != nil {
		t.Fatal(err)
	}
	requireEqual(t, "result", result, outbox.Result{Codes: []errcode.Code{errcode.OK, errcode.OK}})
	requireEqual(t, "pending entries", state.Outbox.Pending, outboxOperations()[0].Drafts)
	requireEqual(t, "revision", state.Revision, uint64(0))
}

func readPublishedSnapshot(t *testing.T, sample Sample, data []byte) {
	t.Helper()
	state, want := registry.NewState(), registryWithOutbox()
	state.Restore(data)
	requireEqual(t, "view", state.View, want.View)
	requireEqual(t, "outbox is incomplete", state.Outbox.Incomplete, true)
	requireSameContent(t, sample, data, state.Snapshot())
}

func readFrame(t *testing.T, _ Sample, data []byte) {
	t.Helper()
	var records []wal.Record
	length := wal.ReadFrames(bytes.NewReader(data), func(record wal.Record) { records = append(records, record) })
	if length != int64(len(data)) {
		t.Fatalf("%d of %d bytes are complete frames", length, len(data))
	}
	requireEqual(t, "records", records, plainRecords())
}

func readState(t *testing.T, _ Sample, data []byte) {
	t.Helper()
	state := wal.NewState()
	wal.ReadFrames(bytes.NewReader(data), state.Apply)
	requireEqual(t, "state", state, plainState())
}

// openLogFile opens a write-ahead log with this content.
func openLogFile(t *testing.T, data []byte) *wal.Log {
	t.Helper()
	directory := t.TempDir()
	if err := os.WriteFile(filepath.Join(directory, walFile), data, 0o644); err != nil {
		t.Fatal(err)
	}
	openedLog, err := wal.Open(wal.Options{Directory: directory, RewriteThreshold: walRewriteThreshold})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(openedLog.Close)
	failures := openedLog.TornTails.Load() + openedLog.DamagedFiles.Load() + openedLog.Failures.Load()
	if openedLog.DataLost() || failures > 0 {
		t.Fatal("the log is truncated or damaged")
	}
	return openedLog
}

func readLogFile(t *testing.T, _ Sample, data []byte) {
	t.Helper()
	requireEqual(t, "state", openLogFile(t, data).State(), plainState())
}

// readControlPlaneLog replays the logs of both shards. Their states must be those that the
// operations lead to in this build.
func readControlPlaneLog(t *testing.T, _ Sample, data []byte) {
	t.Helper()
	openedLog := openLogFile(t, data)
	requireEqual(t, "identity", string(openedLog.State().Identity), "identity-0")
	var membership consensus.Membership
	configState := config.NewState()
	replay(configState, &membership, openedLog.ShardState(0))
	requireEqual(t, "membership", membership, sampleMembership())
	requireState(t, configState, appliedConfig())
	requireEqual(t, "commit", openedLog.ShardState(0).RecordedCommit, uint64(len(configOperations())+1))

	shardState := openedLog.ShardState(1)
	snapshotMembership, snapshot, ok := consensus.DecodeSnapshot(shardState.Snapshot.Data)
	if !ok {
		t.Fatal("the snapshot can't be decoded")
	}
	requireEqual(t, "membership of the snapshot", snapshotMembership, sampleMembership())
	restored, want := registry.NewState(), appliedRegistry()
	restored.Restore(snapshot)
	requireState(t, restored, want)
	replay(restored, &snapshotMembership, shardState)
	want.Apply(registryOperations()[0])
	requireState(t, restored, want)
	requireEqual(t, "promise", shardState.PromisedTerm, uint64(8))
}

func replay(state consensus.StateMachine, membership *consensus.Membership, shardState wal.ShardState) {
	for _, entry := range shardState.Entries {
		consensus.ApplyEntry(state, membership, entry)
	}
}

func requireState(tb testing.TB, found, want stateMachine) {
	tb.Helper()
	requireSameContent(tb, Sample{Describe: DescribeGob}, want.Snapshot(), found.Snapshot())
}

// readReservationLog returns a reader that expects the first of the sample reservations.
func readReservationLog(expectedCount int) func(*testing.T, Sample, []byte) {
	return func(t *testing.T, _ Sample, data []byte) {
		t.Helper()
		directory := t.TempDir()
		if err := os.WriteFile(filepath.Join(directory, reservationLogFile), data, 0o644); err != nil {
			t.Fatal(err)
		}
		reservationLog := idempotency.OpenLog(wal.OSFileSystem{}, directory)
		defer reservationLog.Close()
		store := idempotency.NewStore(clock.Second, len(sampleReservations()))
		reservationLog.Replay(0, 1, store)
		reservations := map[string]idempotency.Claim{}
		for index := range idempotency.ShardCount {
			for _, reservation := range store.ListReservations(0, index) {
				reservations[reservation.Key] = reservation
			}
		}
		want := map[string]idempotency.Claim{}
		for _, reservation := range sampleReservations()[:expectedCount] {
			want[reservation.Key] = reservation
		}
		requireEqual(t, "reservations", reservations, want)
	}
}
