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
	"coursepass/internal/state/config"
	"coursepass/internal/state/idempotency"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

// readers read the golden files that are no single Go value with the code of the product
// that reads them.
var readers = map[string]func(*testing.T, Sample, []byte){
	"codec-full-then-short":          readCodecs,
	"log-entry-bindings":             readBindingsEntry,
	"log-entry-operation":            readOperationEntry,
	"snapshot-configuration-applied": readSnapshot(func() stateMachine { return config.NewState() }),
	"snapshot-configuration-routes":  readSnapshot(func() stateMachine { return config.NewState() }),
	"snapshot-catalogue-applied":     readSnapshot(func() stateMachine { return registry.NewState() }),
	"journal-frame":                  readFrame,
	"journal-image":                  readImage,
	"journal-file":                   readJournal,
	"journal-control-log":            readControlLog,
	"idempotency-diary":              readDiary(2),
	"idempotency-diary-rewritten":    readDiary(1),
}

func TestStoredFormsAreReadBack(t *testing.T) {
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
		t.Errorf("%d stored forms, %d readers", read, len(readers))
	}
}

func requireEqual(tb testing.TB, what string, got, want any) {
	tb.Helper()
	if !reflect.DeepEqual(got, want) {
		tb.Fatalf("%s: %+v, want %+v", what, got, want)
	}
}

func readCodecs(t *testing.T, _ Sample, data []byte) {
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

func readBindingsEntry(t *testing.T, _ Sample, data []byte) {
	var found, want consensus.Membership
	Fill(&want)
	if consensus.ApplyEntry(registry.NewState(), &found, wal.Entry{Data: data}) != nil {
		t.Fatal("a change of bindings has a result")
	}
	requireEqual(t, "bindings", found, want)
}

func readOperationEntry(t *testing.T, _ Sample, data []byte) {
	var bindings consensus.Membership
	result := consensus.ApplyEntry(registry.NewState(), &bindings, wal.Entry{Data: data})
	// Its kind is not known, so that it does nothing but count.
	decoded, err := registry.DecodeResult(result)
	if err != nil {
		t.Fatal(err)
	}
	requireEqual(t, "result", decoded, registry.Result{Sequence: 1})
}

func readSnapshot(fresh func() stateMachine) func(*testing.T, Sample, []byte) {
	return func(t *testing.T, sample Sample, data []byte) {
		state := fresh()
		empty, err := sample.says(state.Snapshot(), data)
		if err != nil || empty {
			t.Fatalf("the golden snapshot is empty: %v", err)
		}
		state.Restore(data)
		requireSame(t, sample, data, state.Snapshot())
	}
}

func readFrame(t *testing.T, _ Sample, data []byte) {
	var found []wal.Record
	if length := wal.ReadFrames(bytes.NewReader(data), func(record wal.Record) { found = append(found, record) }); length != int64(len(data)) {
		t.Fatalf("%d of %d bytes are whole frames", length, len(data))
	}
	requireEqual(t, "records", found, plainRecords())
}

func readImage(t *testing.T, _ Sample, data []byte) {
	image := wal.NewState()
	wal.ReadFrames(bytes.NewReader(data), image.Apply)
	requireEqual(t, "image", image, plainImage())
}

// openJournal opens a folder with this file in it.
func openJournal(t *testing.T, data []byte) *wal.Log {
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, journalFile), data, 0o644); err != nil {
		t.Fatal(err)
	}
	opened, err := wal.Open(wal.Options{Directory: folder, RewriteThreshold: rewriteLength})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(opened.Close)
	if opened.DataLost() || opened.TornTails.Load()+opened.DamagedFiles.Load()+opened.Failures.Load() > 0 {
		t.Fatal("the journal is cut or damaged")
	}
	return opened
}

func readJournal(t *testing.T, _ Sample, data []byte) {
	requireEqual(t, "image", openJournal(t, data).State(), plainImage())
}

// readControlLog replays both logs of the golden journal. The states must be those that
// the operations lead to now.
func readControlLog(t *testing.T, _ Sample, data []byte) {
	opened := openJournal(t, data)
	requireEqual(t, "identity", string(opened.State().Identity), "identity-0")
	var bindings consensus.Membership
	configured := config.NewState()
	replay(configured, &bindings, opened.ShardState(0))
	requireEqual(t, "bindings", bindings, sampleBindings())
	requireState(t, configured, appliedConfiguration())
	requireEqual(t, "commit", opened.ShardState(0).RecordedCommit, uint64(len(configurationOperations())+1))

	past := opened.ShardState(1)
	unpacked, snapshot, read := consensus.DecodeSnapshot(past.Snapshot.Data)
	if !read {
		t.Fatal("the capture can't be read")
	}
	requireEqual(t, "bindings of the capture", unpacked, sampleBindings())
	listed, want := registry.NewState(), appliedCatalogue()
	listed.Restore(snapshot)
	requireState(t, listed, want)
	replay(listed, &unpacked, past)
	want.Apply(catalogueOperations()[0])
	requireState(t, listed, want)
	requireEqual(t, "promise", past.PromisedTerm, uint64(8))
}

func replay(state consensus.StateMachine, bindings *consensus.Membership, past wal.ShardState) {
	for _, entry := range past.Entries {
		consensus.ApplyEntry(state, bindings, entry)
	}
}

func requireState(tb testing.TB, found, want stateMachine) {
	tb.Helper()
	requireSame(tb, Sample{Describe: DescribeGob}, want.Snapshot(), found.Snapshot())
}

// readDiary reads the first claims of the samples, as many as are left.
func readDiary(left int) func(*testing.T, Sample, []byte) {
	return func(t *testing.T, _ Sample, data []byte) {
		folder := t.TempDir()
		if err := os.WriteFile(filepath.Join(folder, claimsFile), data, 0o644); err != nil {
			t.Fatal(err)
		}
		diary := idempotency.OpenLog(wal.OSFileSystem{}, folder)
		defer diary.Close()
		registry := idempotency.NewStore(clock.Second, len(sampleClaims()))
		diary.Replay(0, 1, registry)
		found := map[string]idempotency.Claim{}
		for index := range idempotency.ShardCount {
			for _, each := range registry.ListReservations(0, index) {
				found[each.Key] = each
			}
		}
		want := map[string]idempotency.Claim{}
		for _, each := range sampleClaims()[:left] {
			want[each.Key] = each
		}
		requireEqual(t, "claims", found, want)
	}
}
