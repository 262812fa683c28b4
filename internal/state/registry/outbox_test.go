package registry_test

import (
	"bytes"
	"encoding/gob"
	"reflect"
	"testing"

	"coursepass/internal/errcode"
	"coursepass/internal/state/outbox"
	"coursepass/internal/state/registry"
)

// newOutboxOperation returns an operation that accepts one entry.
func newOutboxOperation(number uint64) []byte {
	return outbox.Operation{Drafts: []outbox.Entry{{
		Subject:   outbox.Subject{Kind: "usage", Name: "windows"},
		Number:    number,
		Retention: outbox.RetainEach,
		Payload:   []byte("body"),
	}}}.Encode()
}

func outboxCodes(t *testing.T, encoded []byte) []errcode.Code {
	t.Helper()
	result, err := outbox.DecodeResult(encoded)
	if err != nil {
		t.Fatal(err)
	}
	return result.Codes
}

func TestOutbox_LeavesRevisionAndViewAlone(t *testing.T) {
	state := registry.NewState()
	syncEndpoints(state, newEngine("a", false))
	previous := state.View
	if codes := outboxCodes(t, state.Apply(newOutboxOperation(1))); !reflect.DeepEqual(codes, []errcode.Code{errcode.OK}) {
		t.Errorf("codes %v", codes)
	}
	if codes := outboxCodes(t, state.Apply(newOutboxOperation(1)[:20])); len(codes) != 0 {
		t.Errorf("a malformed operation has codes %v", codes)
	}
	if !reflect.DeepEqual(state.View, previous) || len(state.Outbox.Pending) != 1 {
		t.Errorf("view %+v, outbox %+v", state.View, state.Outbox)
	}
}

func TestSnapshot_KeepsOutbox(t *testing.T) {
	state := registry.NewState()
	syncEndpoints(state, newEngine("a", false))
	plain := state.Snapshot()
	state.Apply(newOutboxOperation(7))
	restored := registry.NewState()
	held := restored.Outbox
	restored.Restore(state.Snapshot())
	if !reflect.DeepEqual(restored, state) || restored.Outbox != held {
		t.Errorf("restored %+v, want %+v", restored, state)
	}
	if codes := outboxCodes(t, restored.Apply(newOutboxOperation(7))); codes[0] != errcode.EntryNumberTaken {
		t.Errorf("a number that was accepted before the snapshot: %v", codes)
	}
	restored.Restore(state.Snapshot()[:len(state.Snapshot())-1])
	if len(restored.Outbox.Pending) != 1 || restored.Revision != state.Revision {
		t.Error("a truncated snapshot was restored in part")
	}
	restored.Restore(plain)
	if !restored.Outbox.IsEmpty() || restored.Outbox != held {
		t.Error("a snapshot without an outbox does not empty it")
	}
}

// A snapshot with an outbox is read by builds that know none: they decode the view at its start.
func TestSnapshot_BeginsWithView(t *testing.T) {
	state := registry.NewState()
	syncEndpoints(state, newEngine("a", false))
	state.Apply(newOutboxOperation(7))
	for _, snapshot := range [][]byte{state.Snapshot(), state.PublishedSnapshot()} {
		var view registry.ViewWire
		if err := gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&view); err != nil || len(view.Engines) != 1 {
			t.Errorf("view %+v: %v", view, err)
		}
	}
}

// What routers get is equal for all states of one revision, and a state that is restored from it does not take
// its outbox for an empty one.
func TestPublishedSnapshot_OmitsOutbox(t *testing.T) {
	state := registry.NewState()
	syncEndpoints(state, newEngine("a", false))
	published := state.PublishedSnapshot()
	state.Apply(newOutboxOperation(7))
	if !bytes.Equal(published, state.PublishedSnapshot()) {
		t.Error("the published snapshot depends on the outbox")
	}
	restored := registry.NewState()
	restored.Restore(published)
	again := registry.NewState()
	again.Restore(restored.Snapshot())
	for _, copied := range []*registry.State{restored, again} {
		if !reflect.DeepEqual(copied.View, state.View) || !copied.Outbox.Incomplete {
			t.Errorf("restored %+v with outbox %+v", copied.View, copied.Outbox)
		}
		if codes := outboxCodes(t, copied.Apply(newOutboxOperation(7))); codes[0] != errcode.OutboxIncomplete {
			t.Errorf("an incomplete outbox answers %v", codes)
		}
	}
	restored.Apply(outbox.Operation{Reset: true}.Encode())
	if restored.Outbox.Incomplete || !bytes.Equal(restored.PublishedSnapshot(), published) {
		t.Error("a reset does not complete the outbox")
	}
}
