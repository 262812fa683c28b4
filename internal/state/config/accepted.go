package configuration

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
	// acceptedSize is the size of one accepted order: its number and its fingerprint.
	acceptedSize = 8 + fingerprintSize
	// acceptedMost is how many accepted orders are remembered. At the size that the fleet
	// is to grow to a day brings 5,800.
	acceptedMost = 8192
	// refusedMost is how many refusals are remembered, for whoever asks later.
	refusedMost = 128
)

// acceptedOrders are the last orders that took effect, packed, oldest first. Their numbers
// rise: an order's label or, for one with a key, the sequence that it made.
type acceptedOrders []byte

type fingerprint [fingerprintSize]byte

func fingerprintOf(text string) fingerprint {
	sum := sha256.Sum256([]byte(text))
	return fingerprint(sum[:fingerprintSize])
}

func (a acceptedOrders) count() int { return len(a) / acceptedSize }

func (a acceptedOrders) number(place int) uint64 {
	return binary.LittleEndian.Uint64(a[place*acceptedSize:])
}

func (a acceptedOrders) fingerprint(place int) fingerprint {
	return fingerprint(a[place*acceptedSize+8 : (place+1)*acceptedSize])
}

// with appends an order, and forgets the oldest where there are too many.
func (a acceptedOrders) with(number uint64, text string) acceptedOrders {
	mark := fingerprintOf(text)
	a = append(binary.LittleEndian.AppendUint64(a, number), mark[:]...)
	if surplus := a.count() - acceptedMost; surplus > 0 {
		a = a[surplus*acceptedSize:]
	}
	return a
}

// find is the place of a number.
func (a acceptedOrders) find(number uint64) (int, bool) {
	low, high := 0, a.count()
	for low < high {
		if middle := (low + high) / 2; a.number(middle) < number {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low, low < a.count() && a.number(low) == number
}

// contains tells whether this very order was accepted. Each builds on the one before it,
// so that the base needs no room of its own.
func (a acceptedOrders) contains(routing *Routing) bool {
	place, known := a.find(routing.Label)
	if !known || routing.Digest == "" || a.fingerprint(place) != fingerprintOf(routing.Digest) {
		return false
	}
	return place == 0 || a.number(place-1) == routing.On
}

// numberOf is the number of the order with this text.
func (a acceptedOrders) numberOf(text string) (uint64, bool) {
	wanted := fingerprintOf(text)
	for place := range a.count() {
		if a.fingerprint(place) == wanted {
			return a.number(place), true
		}
	}
	return 0, false
}

// HasAccepted tells whether this very order by routes is among those that took effect.
func (s *State) HasAccepted(routing *Routing) bool { return s.Accepted.contains(routing) }

// Refusal is the outcome of an operation with a key that did not take effect.
type Refusal struct {
	Key string
	Outcome
}

// Outcome finds what became of an operation with a key.
func (s *State) Outcome(key string) (Outcome, bool) {
	if key == "" {
		return Outcome{}, false
	}
	if sequence, known := s.Keyed.numberOf(key); known {
		return Outcome{Sequence: sequence}, true
	}
	place := slices.IndexFunc(s.Refused, func(each Refusal) bool { return each.Key == key })
	if place < 0 {
		return Outcome{}, false
	}
	return s.Refused[place].Outcome, true
}

// remember keeps what became of an operation with a key. Accepted ones and refusals are
// kept apart, so that no number of refusals pushes an accepted one out.
func (s *State) remember(key string, outcome Outcome) {
	switch {
	case key == "":
	case outcome.Code == 0:
		s.Keyed = s.Keyed.with(outcome.Sequence, key)
	default:
		s.Refused = append(slices.Clone(s.Refused), Refusal{key, outcome})
		s.Refused = s.Refused[max(0, len(s.Refused)-refusedMost):]
	}
}

// snapshotFormat is the format of snapshots with Accepted, Keyed and Refused. Earlier
// ones have none, and what earlierMemory holds in their place.
const snapshotFormat = 1

type earlierMemory struct {
	Outcomes map[string]Outcome
	Order    []string
	Taken    map[uint64]string
	Labels   []uint64
}

// readEarlier takes over what an earlier build remembered.
func (s *State) readEarlier(snapshot []byte) {
	var earlier earlierMemory
	if gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&earlier) != nil {
		return
	}
	for _, label := range earlier.Labels {
		s.Accepted = s.Accepted.with(label, earlier.Taken[label])
	}
	for _, key := range earlier.Order {
		s.remember(key, earlier.Outcomes[key])
	}
}
