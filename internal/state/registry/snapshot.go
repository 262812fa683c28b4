package registry

import (
	"bytes"
	"encoding/gob"

	"coursepass/internal/gobcodec"
	"coursepass/internal/state/outbox"
)

// omittedOutboxTag is the byte that follows the view in a snapshot without the outbox. No gob stream begins with
// this byte.
const omittedOutboxTag byte = 0x80

// Snapshot encodes the whole state: the view, followed by the outbox unless the outbox is empty. Builds that predate
// the outbox decode the view and ignore the rest. The snapshot of a state with an incomplete outbox is a
// PublishedSnapshot.
func (s *State) Snapshot() []byte {
	if s.Outbox.Incomplete {
		return s.PublishedSnapshot()
	}
	var buffer bytes.Buffer
	encoder := gob.NewEncoder(&buffer)
	values := []any{s.ToWire()}
	if !s.Outbox.IsEmpty() {
		values = append(values, s.Outbox.ToWire())
	}
	for _, value := range values {
		if err := encoder.Encode(value); err != nil {
			panic(err) // gob can encode these types, which are known at compile time.
		}
	}
	return buffer.Bytes()
}

// Published returns a copy of the state for routers, without the outbox. The copy shares the maps and slices of the
// view, which are replaced when they change and never modified in place.
func (s *State) Published() *State {
	withoutOutbox := outbox.NewState()
	withoutOutbox.Incomplete = true
	return &State{View: s.View, Outbox: withoutOutbox}
}

// PublishedSnapshot encodes the state for routers, without the outbox. Restoring it marks the outbox of the restored
// state as incomplete.
func (s *State) PublishedSnapshot() []byte {
	return append(gobcodec.Encode(s.ToWire()), omittedOutboxTag)
}

// Restore replaces the state with that of a snapshot. It ignores a snapshot that can't be decoded.
func (s *State) Restore(snapshot []byte) {
	if restored, valid := DecodeState(snapshot); valid {
		s.View, *s.Outbox = restored.View, *restored.Outbox
	}
}

// DecodeState decodes a snapshot. The result is false if the snapshot is malformed.
func DecodeState(snapshot []byte) (*State, bool) {
	reader := bytes.NewReader(snapshot)
	decoder := gob.NewDecoder(reader)
	view := NewState().ToWire()
	if decoder.Decode(&view) != nil {
		return nil, false
	}
	restored := outbox.NewState()
	switch rest := snapshot[len(snapshot)-reader.Len():]; {
	case len(rest) == 0:
	case rest[0] == omittedOutboxTag:
		restored.Incomplete = true
	default:
		var wire outbox.SnapshotWire
		if decoder.Decode(&wire) != nil {
			return nil, false
		}
		restored = wire.ToDomain()
	}
	return &State{View: view.ToDomain(), Outbox: restored}, true
}

// DecodeView decodes the view at the start of a snapshot. The result is false if the view is malformed.
func DecodeView(snapshot []byte) (View, bool) {
	view := NewState().ToWire()
	err := gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&view)
	return view.ToDomain(), err == nil
}
