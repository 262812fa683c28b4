package registry

import (
	"bytes"
	"encoding/gob"

	"coursepass/internal/gobcodec"
	"coursepass/internal/state/outbox"
)

// omittedOutboxTag stands after the view in a snapshot that leaves out the outbox. No gob stream begins with
// it.
const omittedOutboxTag byte = 0x80

// Snapshot encodes the whole state: the view and, unless it is as new, the outbox. Builds that know no outbox
// read the view and ignore the rest.
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
			panic(err) // The types are fixed, and gob can encode them.
		}
	}
	return buffer.Bytes()
}

// Published returns a copy of the state as routers get it, without the outbox. What the two share is replaced when
// it changes, never changed in place.
func (s *State) Published() *State {
	withoutOutbox := outbox.NewState()
	withoutOutbox.Incomplete = true
	return &State{View: s.View, Outbox: withoutOutbox}
}

// PublishedSnapshot encodes the state for routers, without the outbox. A state that is restored from it knows
// that its outbox is incomplete.
func (s *State) PublishedSnapshot() []byte {
	return append(gobcodec.Encode(s.ToWire()), omittedOutboxTag)
}

// Restore replaces the state by a snapshot. One that can't be decoded is ignored.
func (s *State) Restore(snapshot []byte) {
	if restored, valid := DecodeState(snapshot); valid {
		s.View, *s.Outbox = restored.View, *restored.Outbox
	}
}

// DecodeState decodes a snapshot; false if it is malformed.
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

// DecodeView decodes the view in a snapshot.
func DecodeView(snapshot []byte) (View, bool) {
	view := NewState().ToWire()
	err := gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&view)
	return view.ToDomain(), err == nil
}
