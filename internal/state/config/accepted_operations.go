package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/gob"
	"slices"
)

const (
	// fingerprintSize is how many bytes of a hash tell one accepted order from another.
	fingerprintSize = 16
	// acceptedOperationSize is the size of one accepted order: its number and its fingerprint.
	acceptedOperationSize = 8 + fingerprintSize
	// maxAcceptedOperations is how many accepted orders are remembered. At the size that the fleet
	// is to grow to a day brings 5,800.
	maxAcceptedOperations = 8192
	// maxRejections is how many refusals are remembered, for whoever asks later.
	maxRejections = 128
)

// acceptedOperations are the last orders that took effect, packed, oldest first. Their numbers
// rise: an order's label or, for one with a key, the sequence that it made.
type acceptedOperations []byte

type fingerprint [fingerprintSize]byte

func newFingerprint(text string) fingerprint {
	sum := sha256.Sum256([]byte(text))
	return fingerprint(sum[:fingerprintSize])
}

func (a acceptedOperations) count() int { return len(a) / acceptedOperationSize }

func (a acceptedOperations) idAt(index int) uint64 {
	return binary.LittleEndian.Uint64(a[index*acceptedOperationSize:])
}

func (a acceptedOperations) fingerprintAt(index int) fingerprint {
	return fingerprint(a[index*acceptedOperationSize+8 : (index+1)*acceptedOperationSize])
}

// appendOperation appends an order, and forgets the oldest where there are too many.
func (a acceptedOperations) appendOperation(id uint64, text string) acceptedOperations {
	digest := newFingerprint(text)
	a = append(binary.LittleEndian.AppendUint64(a, id), digest[:]...)
	if surplus := a.count() - maxAcceptedOperations; surplus > 0 {
		a = a[surplus*acceptedOperationSize:]
	}
	return a
}

// search is the place of a number.
func (a acceptedOperations) search(id uint64) (int, bool) {
	low, high := 0, a.count()
	for low < high {
		if middle := (low + high) / 2; a.idAt(middle) < id {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low, low < a.count() && a.idAt(low) == id
}

// contains tells whether this very order was accepted. Each builds on the one before it,
// so that the base needs no room of its own.
func (a acceptedOperations) contains(routing *Routing) bool {
	index, known := a.search(routing.Label)
	if !known || routing.Digest == "" || a.fingerprintAt(index) != newFingerprint(routing.Digest) {
		return false
	}
	return index == 0 || a.idAt(index-1) == routing.On
}

// idOf is the number of the order with this text.
func (a acceptedOperations) idOf(text string) (uint64, bool) {
	wanted := newFingerprint(text)
	for index := range a.count() {
		if a.fingerprintAt(index) == wanted {
			return a.idAt(index), true
		}
	}
	return 0, false
}

// HasAccepted tells whether this very order by routes is among those that took effect.
func (s *State) HasAccepted(routing *Routing) bool { return s.Accepted.contains(routing) }

// Rejection is the outcome of an operation with a key that did not take effect.
type Rejection struct {
	Key string
	Outcome
}

// Outcome finds what became of an operation with a key.
func (s *State) Outcome(key string) (Outcome, bool) {
	if key == "" {
		return Outcome{}, false
	}
	if revision, known := s.Keyed.idOf(key); known {
		return Outcome{Sequence: revision}, true
	}
	index := slices.IndexFunc(s.Refused, func(rejection Rejection) bool { return rejection.Key == key })
	if index < 0 {
		return Outcome{}, false
	}
	return s.Refused[index].Outcome, true
}

// recordOutcome keeps what became of an operation with a key. Accepted ones and refusals are
// kept apart, so that no number of refusals pushes an accepted one out.
func (s *State) recordOutcome(key string, outcome Outcome) {
	switch {
	case key == "":
	case outcome.Code == 0:
		s.Keyed = s.Keyed.appendOperation(outcome.Sequence, key)
	default:
		s.Refused = append(slices.Clone(s.Refused), Rejection{key, outcome})
		s.Refused = s.Refused[max(0, len(s.Refused)-maxRejections):]
	}
}

// snapshotFormat is the format of snapshots with Accepted, Keyed and Refused. Earlier
// ones have none, and what earlierMemory holds in their place.
const snapshotFormat = 1

type legacyState struct {
	Outcomes map[string]Outcome
	Order    []string
	Taken    map[uint64]string
	Labels   []uint64
}

// restoreLegacy takes over what an earlier build remembered.
func (s *State) restoreLegacy(snapshot []byte) {
	var legacy legacyState
	if gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&legacy) != nil {
		return
	}
	for _, label := range legacy.Labels {
		s.Accepted = s.Accepted.appendOperation(label, legacy.Taken[label])
	}
	for _, key := range legacy.Order {
		s.recordOutcome(key, legacy.Outcomes[key])
	}
}
