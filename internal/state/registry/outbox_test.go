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

// newOutboxOperation returns an encoded operation that adds one entry with the given number to the outbox.
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
		t.Errorf("codes %v, want OK", codes)
	}
	if codes := outboxCodes(t, state.Apply(newOutboxOperation(1)[:20])); len(codes) != 0 {
		t.Errorf("a malformed operation has codes %v, want none", codes)
	}
	if !reflect.DeepEqual(state.View, previous) || len(state.Outbox.Pending) != 1 {
		t.Errorf("view %+v, want %+v; outbox %+v, want one pending entry", state.View, previous, state.Outbox)
	}
}

func TestSnapshot_KeepsOutbox(t *testing.T) {
	state := registry.NewState()
	syncEndpoints(state, newEngine("a", false))
	withoutOutbox := state.Snapshot()
	state.Apply(newOutboxOperation(7))
	restored := registry.NewState()
	originalOutbox := restored.Outbox
	restored.Restore(state.Snapshot())
	if !reflect.DeepEqual(restored, state) || restored.Outbox != originalOutbox {
		t.Errorf("restored %+v, want %+v", restored, state)
	}
	if codes := outboxCodes(t, restored.Apply(newOutboxOperation(7))); codes[0] != errcode.EntryNumberTaken {
		t.Errorf("an entry number accepted before the snapshot: codes %v, want EntryNumberTaken", codes)
	}
	restored.Restore(state.Snapshot()[:len(state.Snapshot())-1])
	if len(restored.Outbox.Pending) != 1 || restored.Revision != state.Revision {
		t.Error("a truncated snapshot changed the state")
	}
	restored.Restore(withoutOutbox)
	if !restored.Outbox.IsEmpty() || restored.Outbox != originalOutbox {
		t.Error("a snapshot without an outbox did not reset the outbox in place")
	}
}

// Builds that predate the outbox decode only the view at the start of a snapshot, also if the snapshot
// contains an outbox.
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

// The published snapshot must be equal for all states of one revision. A state that is restored from it must treat
// its outbox as incomplete, not as empty.
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
	restoredTwice := registry.NewState()
	restoredTwice.Restore(restored.Snapshot())
	for _, current := range []*registry.State{restored, restoredTwice} {
		if !reflect.DeepEqual(current.View, state.View) || !current.Outbox.Incomplete {
			t.Errorf("restored view %+v, want %+v; outbox %+v, want an incomplete one", current.View, state.View, current.Outbox)
		}
		if codes := outboxCodes(t, current.Apply(newOutboxOperation(7))); codes[0] != errcode.OutboxIncomplete {
			t.Errorf("an incomplete outbox returned codes %v, want OutboxIncomplete", codes)
		}
	}
	restored.Apply(outbox.Operation{Reset: true}.Encode())
	if restored.Outbox.Incomplete || !bytes.Equal(restored.PublishedSnapshot(), published) {
		t.Error("the outbox is incomplete after a reset, or the published snapshot changed")
	}
}
