package explore

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"sync"

	"coursepass/internal/state/config"
)

// Order is one configuration by routes, as an operator sends it.
type Order struct {
	Label, On uint64
	Digest    string
}

// content tells orders of one label apart.
func (order Order) content() string { return fmt.Sprint(order.Label, "-", order.Digest) }

// encode is the operation that the leading core proposes for an order. Each sending
// has a key of its own, as on the users' platform.
func (order Order) encode(sending int) []byte {
	return configuration.Encode(configuration.Operation{Request: configuration.Request{
		Kind: configuration.Routes, Key: fmt.Sprint(order.content(), "-", sending),
		Routing: &configuration.Routing{Label: order.Label, On: order.On, Digest: order.Digest},
	}})
}

func decode(data []byte) Order {
	var operation configuration.Operation
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&operation); err != nil || operation.Routing == nil {
		return Order{}
	}
	return Order{operation.Routing.Label, operation.Routing.On, operation.Routing.Digest}
}

// version is the configuration after one history of operations. The real state
// machine made it; it is kept since many states of the search share it.
type version struct {
	lock   *sync.Mutex
	before *version
	depth  int
	// order is what the last operation asked for, if it took effect.
	order     Order
	answer    []byte
	state     *configuration.State
	snapshot  []byte
	after     map[string]*version
	snapshots map[string]*version
}

func newHistory() *version {
	root := &version{lock: &sync.Mutex{}, state: configuration.NewState(), after: map[string]*version{}, snapshots: map[string]*version{}}
	root.snapshot = root.state.Snapshot()
	root.snapshots[string(root.snapshot)] = root
	return root
}

// next is the version after one more operation.
func (before *version) next(operation []byte) *version {
	before.lock.Lock()
	defer before.lock.Unlock()
	if known, found := before.after[string(operation)]; found {
		return known
	}
	made := &version{
		lock: before.lock, before: before, depth: before.depth + 1,
		state: configuration.NewState(), after: map[string]*version{}, snapshots: before.snapshots,
	}
	made.state.Restore(before.snapshot)
	made.answer = made.state.Apply(operation)
	if made.state.Number() != before.state.Number() {
		made.order = decode(operation)
	}
	made.snapshot = made.state.Snapshot()
	made.snapshots[string(made.snapshot)] = made
	before.after[string(operation)] = made
	return made
}

// restored is the version with a snapshot.
func (before *version) restored(snapshot []byte) *version {
	before.lock.Lock()
	defer before.lock.Unlock()
	return before.snapshots[string(snapshot)]
}

// contains tells whether a version is this one or came before it.
func (present *version) contains(earlier *version) bool {
	for present != nil && present.depth > earlier.depth {
		present = present.before
	}
	return present == earlier
}

// took tells whether an order took effect in this history.
func (present *version) took(order Order) bool {
	for ; present.before != nil; present = present.before {
		if present.order == order {
			return true
		}
	}
	return false
}

// replica is one member's applied state.
type replica struct{ present *version }

// Apply takes one committed operation.
func (replica *replica) Apply(operation []byte) []byte {
	replica.present = replica.present.next(operation)
	return replica.present.answer
}

// Snapshot is the whole state.
func (replica *replica) Snapshot() []byte { return replica.present.snapshot }

// Restore takes the whole state.
func (replica *replica) Restore(snapshot []byte) {
	if found := replica.present.restored(snapshot); found != nil {
		replica.present = found
	}
}
