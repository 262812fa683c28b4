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
	"coursepass/internal/controlplane"
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
	"snapshot-configuration-applied": readSnapshot(func() stateMachine { return configuration.NewState() }),
	"snapshot-configuration-routes":  readSnapshot(func() stateMachine { return configuration.NewState() }),
	"snapshot-catalogue-applied":     readSnapshot(func() stateMachine { return catalogue.NewState() }),
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
	var fromFull, fromShort core.HeadsQuestion
	if err := circuit.ReadWireForms(full, short, &fromFull, &fromShort); err != nil {
		t.Fatal(err)
	}
	want := filled(core.HeadsQuestion{})
	requireEqual(t, "in full", &fromFull, want)
	requireEqual(t, "in short", &fromShort, want)
}

func readBindingsEntry(t *testing.T, _ Sample, data []byte) {
	var found, want part.Bindings
	Fill(&want)
	if part.Replay(catalogue.NewState(), &found, journal.Entry{Data: data}) != nil {
		t.Fatal("a change of bindings has a result")
	}
	requireEqual(t, "bindings", found, want)
}

func readOperationEntry(t *testing.T, _ Sample, data []byte) {
	var bindings part.Bindings
	result := part.Replay(catalogue.NewState(), &bindings, journal.Entry{Data: data})
	// Its kind is not known, so that it does nothing but count.
	decoded, err := catalogue.ReadResult(result)
	if err != nil {
		t.Fatal(err)
	}
	requireEqual(t, "result", decoded, catalogue.Result{Sequence: 1})
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
	var found []journal.Record
	if length := journal.ReadFrames(bytes.NewReader(data), func(record journal.Record) { found = append(found, record) }); length != int64(len(data)) {
		t.Fatalf("%d of %d bytes are whole frames", length, len(data))
	}
	requireEqual(t, "records", found, plainRecords())
}

func readImage(t *testing.T, _ Sample, data []byte) {
	image := journal.NewImage()
	journal.ReadFrames(bytes.NewReader(data), image.Take)
	requireEqual(t, "image", image, plainImage())
}

// openJournal opens a folder with this file in it.
func openJournal(t *testing.T, data []byte) *journal.Journal {
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, journalFile), data, 0o644); err != nil {
		t.Fatal(err)
	}
	opened, err := journal.Open(journal.Options{Folder: folder, Rewrite: rewriteLength})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(opened.Close)
	if opened.Lost() || opened.Cut.Load()+opened.Damaged.Load()+opened.Failures.Load() > 0 {
		t.Fatal("the journal is cut or damaged")
	}
	return opened
}

func readJournal(t *testing.T, _ Sample, data []byte) {
	requireEqual(t, "image", openJournal(t, data).Image(), plainImage())
}

// readControlLog replays both logs of the golden journal. The states must be those that
// the operations lead to now.
func readControlLog(t *testing.T, _ Sample, data []byte) {
	opened := openJournal(t, data)
	requireEqual(t, "identity", string(opened.Image().Name), "identity-0")
	var bindings part.Bindings
	configured := configuration.NewState()
	replay(configured, &bindings, opened.Past(0))
	requireEqual(t, "bindings", bindings, sampleBindings())
	requireState(t, configured, appliedConfiguration())
	requireEqual(t, "commit", opened.Past(0).Commit, uint64(len(configurationOperations())+1))

	past := opened.Past(1)
	unpacked, snapshot, read := part.Unpack(past.Base.Data)
	if !read {
		t.Fatal("the capture can't be read")
	}
	requireEqual(t, "bindings of the capture", unpacked, sampleBindings())
	listed, want := catalogue.NewState(), appliedCatalogue()
	listed.Restore(snapshot)
	requireState(t, listed, want)
	replay(listed, &unpacked, past)
	want.Apply(catalogueOperations()[0])
	requireState(t, listed, want)
	requireEqual(t, "promise", past.Promised, uint64(8))
}

func replay(state part.State, bindings *part.Bindings, past journal.Past) {
	for _, entry := range past.Entries {
		part.Replay(state, bindings, entry)
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
		diary := claim.OpenDiary(journal.OperatingSystem{}, folder)
		defer diary.Close()
		registry := claim.NewRegistry(schedule.Second, len(sampleClaims()))
		diary.Recall(0, 1, registry)
		found := map[string]claim.Claim{}
		for index := range claim.Shards {
			for _, each := range registry.Copy(0, index) {
				found[each.Key] = each
			}
		}
		want := map[string]claim.Claim{}
		for _, each := range sampleClaims()[:left] {
			want[each.Key] = each
		}
		requireEqual(t, "claims", found, want)
	}
}
