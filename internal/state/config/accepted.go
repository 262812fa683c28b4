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

func (orders acceptedOrders) count() int { return len(orders) / acceptedSize }

func (orders acceptedOrders) number(place int) uint64 {
	return binary.LittleEndian.Uint64(orders[place*acceptedSize:])
}

func (orders acceptedOrders) fingerprint(place int) fingerprint {
	return fingerprint(orders[place*acceptedSize+8 : (place+1)*acceptedSize])
}

// with appends an order, and forgets the oldest where there are too many.
func (orders acceptedOrders) with(number uint64, text string) acceptedOrders {
	mark := fingerprintOf(text)
	orders = append(binary.LittleEndian.AppendUint64(orders, number), mark[:]...)
	if surplus := orders.count() - acceptedMost; surplus > 0 {
		orders = orders[surplus*acceptedSize:]
	}
	return orders
}

// find is the place of a number.
func (orders acceptedOrders) find(number uint64) (int, bool) {
	low, high := 0, orders.count()
	for low < high {
		if middle := (low + high) / 2; orders.number(middle) < number {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low, low < orders.count() && orders.number(low) == number
}

// contains tells whether this very order was accepted. Each builds on the one before it,
// so that the base needs no room of its own.
func (orders acceptedOrders) contains(routing *Routing) bool {
	place, known := orders.find(routing.Label)
	if !known || routing.Digest == "" || orders.fingerprint(place) != fingerprintOf(routing.Digest) {
		return false
	}
	return place == 0 || orders.number(place-1) == routing.On
}

// numberOf is the number of the order with this text.
func (orders acceptedOrders) numberOf(text string) (uint64, bool) {
	wanted := fingerprintOf(text)
	for place := range orders.count() {
		if orders.fingerprint(place) == wanted {
			return orders.number(place), true
		}
	}
	return 0, false
}

// HasAccepted tells whether this very order by routes is among those that took effect.
func (state *State) HasAccepted(routing *Routing) bool { return state.Accepted.contains(routing) }

// Refusal is the outcome of an operation with a key that did not take effect.
type Refusal struct {
	Key string
	Outcome
}

// Outcome finds what became of an operation with a key.
func (state *State) Outcome(key string) (Outcome, bool) {
	if key == "" {
		return Outcome{}, false
	}
	if sequence, known := state.Keyed.numberOf(key); known {
		return Outcome{Sequence: sequence}, true
	}
	place := slices.IndexFunc(state.Refused, func(each Refusal) bool { return each.Key == key })
	if place < 0 {
		return Outcome{}, false
	}
	return state.Refused[place].Outcome, true
}

// remember keeps what became of an operation with a key. Accepted ones and refusals are
// kept apart, so that no number of refusals pushes an accepted one out.
func (state *State) remember(key string, outcome Outcome) {
	switch {
	case key == "":
	case outcome.Code == 0:
		state.Keyed = state.Keyed.with(outcome.Sequence, key)
	default:
		state.Refused = append(slices.Clone(state.Refused), Refusal{key, outcome})
		state.Refused = state.Refused[max(0, len(state.Refused)-refusedMost):]
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
func (state *State) readEarlier(snapshot []byte) {
	var earlier earlierMemory
	if gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&earlier) != nil {
		return
	}
	for _, label := range earlier.Labels {
		state.Accepted = state.Accepted.with(label, earlier.Taken[label])
	}
	for _, key := range earlier.Order {
		state.remember(key, earlier.Outcomes[key])
	}
}
