package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/gob"
	"slices"
	"sort"

	"coursepass/internal/errcode"
)

const (
	// fingerprintSize is how many bytes of a hash identify an accepted operation.
	fingerprintSize = 16
	// operationIDSize is the size of an operation's number in bytes.
	operationIDSize = 8
	// acceptedOperationSize is the size of one record: the number and the fingerprint.
	acceptedOperationSize = operationIDSize + fingerprintSize
	// maxAcceptedOperations is how many accepted operations are remembered. A fleet of
	// the planned size makes 5,800 a day.
	maxAcceptedOperations = 8192
	// maxRejections is how many rejections are remembered for later look-ups.
	maxRejections = 128
)

// acceptedOperations are the latest operations that took effect, as packed records,
// oldest first. Their numbers ascend: a number is the label of an operation on routes
// or, for an operation with a key, the revision that it made.
type acceptedOperations []byte

// fingerprint is a truncated hash of a digest or key.
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
	return fingerprint(a[index*acceptedOperationSize+operationIDSize : (index+1)*acceptedOperationSize])
}

// appendOperation appends an operation, and drops the oldest above the maximum.
func (a acceptedOperations) appendOperation(id uint64, text string) acceptedOperations {
	digest := newFingerprint(text)
	a = append(binary.LittleEndian.AppendUint64(a, id), digest[:]...)
	if surplus := a.count() - maxAcceptedOperations; surplus > 0 {
		a = a[surplus*acceptedOperationSize:]
	}
	return a
}

// search returns the index of a number, or where it would be inserted.
func (a acceptedOperations) search(id uint64) (index int, found bool) {
	index = sort.Search(a.count(), func(candidate int) bool { return a.idAt(candidate) >= id })
	return index, index < a.count() && a.idAt(index) == id
}

// contains reports whether this very routing was accepted. Each one builds on the one
// before it, so that the label it builds on need not be stored.
func (a acceptedOperations) contains(routing *Routing) bool {
	index, known := a.search(routing.Label)
	if !known || routing.Digest == "" || a.fingerprintAt(index) != newFingerprint(routing.Digest) {
		return false
	}
	return index == 0 || a.idAt(index-1) == routing.ParentLabel
}

// idOf returns the number of the operation with this digest or key.
func (a acceptedOperations) idOf(text string) (uint64, bool) {
	wanted := newFingerprint(text)
	for index := range a.count() {
		if a.fingerprintAt(index) == wanted {
			return a.idAt(index), true
		}
	}
	return 0, false
}

// HasAccepted reports whether this very routing is among the remembered ones that took effect.
func (s *State) HasAccepted(routing *Routing) bool { return s.Accepted.contains(routing) }

// Rejection is the outcome of an operation with a key that did not take effect.
type Rejection struct {
	Key string
	Outcome
}

// Outcome returns the outcome of an operation with a key, if it is still remembered.
func (s *State) Outcome(key string) (Outcome, bool) {
	if key == "" {
		return Outcome{}, false
	}
	if revision, known := s.Keyed.idOf(key); known {
		return Outcome{Revision: revision}, true
	}
	index := slices.IndexFunc(s.Rejections, func(rejection Rejection) bool { return rejection.Key == key })
	if index < 0 {
		return Outcome{}, false
	}
	return s.Rejections[index].Outcome, true
}

// recordOutcome remembers the outcome of an operation with a key. Accepted and rejected
// operations are kept apart, so that no number of rejections evicts an accepted one.
func (s *State) recordOutcome(key string, outcome Outcome) {
	switch {
	case key == "":
	case outcome.Code == errcode.OK:
		s.Keyed = s.Keyed.appendOperation(outcome.Revision, key)
	default:
		s.Rejections = append(slices.Clone(s.Rejections), Rejection{key, outcome})
		s.Rejections = s.Rejections[max(0, len(s.Rejections)-maxRejections):]
	}
}

// snapshotFormat is the format of snapshots with Accepted, Keyed and Rejections. Earlier
// snapshots have format 0, and the fields of legacyState in their place.
const snapshotFormat = 1

// legacyState holds the fields of a format 0 snapshot that later formats replaced:
// outcomes by key with the keys in order, and digests by label with the labels in order.
type legacyState struct {
	Outcomes map[string]Outcome
	Order    []string
	Accepted map[uint64]string
	Labels   []uint64
}

// restoreLegacy converts the remembered operations of a format 0 snapshot.
func (s *State) restoreLegacy(snapshot []byte) {
	var decoded legacyStateWire
	if gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&decoded) != nil {
		return
	}
	legacy := decoded.toDomain()
	for _, label := range legacy.Labels {
		s.Accepted = s.Accepted.appendOperation(label, legacy.Accepted[label])
	}
	for _, key := range legacy.Order {
		s.recordOutcome(key, legacy.Outcomes[key])
	}
}
