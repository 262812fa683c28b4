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
	// fingerprintSize is the size of a fingerprint, in bytes: that many bytes of a SHA-256 hash
	// identify the digest or the key of an accepted operation.
	fingerprintSize = 16
	// operationIDSize is the size of an operation's ID, in bytes.
	operationIDSize = 8
	// acceptedOperationSize is the size of one record in bytes: the ID and the fingerprint.
	acceptedOperationSize = operationIDSize + fingerprintSize
	// maxAcceptedOperations is the maximum number of accepted operations that are remembered,
	// so that retries of them are acknowledged. A fleet of the planned size makes 5,800
	// operations a day.
	maxAcceptedOperations = 8192
	// maxRejections is the maximum number of rejections that are remembered for later lookups.
	maxRejections = 128
)

// acceptedOperations holds the latest operations that took effect, as packed records,
// oldest first, with ascending IDs. In State.Accepted the ID is the label of an operation on
// routes, and in State.Keyed the revision after an operation with a key.
type acceptedOperations []byte

// fingerprint is a truncated SHA-256 hash of a routing's digest or of an operation's key.
type fingerprint [fingerprintSize]byte

// newFingerprint returns the fingerprint of a digest or a key.
func newFingerprint(digestOrKey string) fingerprint {
	sum := sha256.Sum256([]byte(digestOrKey))
	return fingerprint(sum[:fingerprintSize])
}

func (a acceptedOperations) count() int { return len(a) / acceptedOperationSize }

func (a acceptedOperations) idAt(index int) uint64 {
	return binary.LittleEndian.Uint64(a[index*acceptedOperationSize:])
}

func (a acceptedOperations) fingerprintAt(index int) fingerprint {
	return fingerprint(a[index*acceptedOperationSize+operationIDSize : (index+1)*acceptedOperationSize])
}

// appendOperation appends an operation and drops the oldest ones beyond
// maxAcceptedOperations.
func (a acceptedOperations) appendOperation(id uint64, digestOrKey string) acceptedOperations {
	hash := newFingerprint(digestOrKey)
	a = append(binary.LittleEndian.AppendUint64(a, id), hash[:]...)
	if surplus := a.count() - maxAcceptedOperations; surplus > 0 {
		a = a[surplus*acceptedOperationSize:]
	}
	return a
}

// search returns the index of the record with this ID, or the index where it would be inserted.
func (a acceptedOperations) search(id uint64) (index int, found bool) {
	index = sort.Search(a.count(), func(candidate int) bool { return a.idAt(candidate) >= id })
	return index, index < a.count() && a.idAt(index) == id
}

// contains reports whether exactly this routing was accepted: its label, digest and parent
// label match. Each accepted routing builds on the one before it, so the parent label is the
// ID of the previous record and need not be stored.
func (a acceptedOperations) contains(routing *Routing) bool {
	index, known := a.search(routing.Label)
	if !known || routing.Digest == "" || a.fingerprintAt(index) != newFingerprint(routing.Digest) {
		return false
	}
	return index == 0 || a.idAt(index-1) == routing.ParentLabel
}

// idOf returns the ID of the operation with this digest or key.
func (a acceptedOperations) idOf(digestOrKey string) (uint64, bool) {
	wanted := newFingerprint(digestOrKey)
	for index := range a.count() {
		if a.fingerprintAt(index) == wanted {
			return a.idAt(index), true
		}
	}
	return 0, false
}

// HasAccepted reports whether exactly this routing took effect and is still remembered.
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

// recordOutcome records the outcome of an operation with a key. Accepted and rejected
// operations are stored separately, so that rejections never evict an accepted operation.
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

// snapshotFormat is the version of the snapshot format that has Accepted, Keyed and
// Rejections. Snapshots of earlier builds have version 0, with the fields of legacyState in
// place of these three.
const snapshotFormat = 1

// legacyState holds the fields of a snapshot of version 0 that later versions replaced:
// Outcomes by key, with the keys in Order, and Accepted, the digests by label, with the
// labels in Labels. Both lists are oldest first.
type legacyState struct {
	Outcomes map[string]Outcome
	Order    []string
	Accepted map[uint64]string
	Labels   []uint64
}

// restoreLegacy restores the remembered operations from a snapshot of version 0.
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
