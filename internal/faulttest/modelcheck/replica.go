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
func (c Order) content() string { return fmt.Sprint(c.Label, "-", c.Digest) }

// encode is the operation that the leading core proposes for an order. Each sending
// has a key of its own, as on the users' platform.
func (c Order) encode(sending int) []byte {
	return configuration.Encode(configuration.Operation{Request: configuration.Request{
		Kind: configuration.Routes, Key: fmt.Sprint(c.content(), "-", sending),
		Routing: &configuration.Routing{Label: c.Label, On: c.On, Digest: c.Digest},
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
func (v *version) next(operation []byte) *version {
	v.lock.Lock()
	defer v.lock.Unlock()
	if known, found := v.after[string(operation)]; found {
		return known
	}
	made := &version{
		lock: v.lock, before: v, depth: v.depth + 1,
		state: configuration.NewState(), after: map[string]*version{}, snapshots: v.snapshots,
	}
	made.state.Restore(v.snapshot)
	made.answer = made.state.Apply(operation)
	if made.state.Number() != v.state.Number() {
		made.order = decode(operation)
	}
	made.snapshot = made.state.Snapshot()
	made.snapshots[string(made.snapshot)] = made
	v.after[string(operation)] = made
	return made
}

// restored is the version with a snapshot.
func (v *version) restored(snapshot []byte) *version {
	v.lock.Lock()
	defer v.lock.Unlock()
	return v.snapshots[string(snapshot)]
}

// contains tells whether a version is this one or came before it.
func (v *version) contains(earlier *version) bool {
	for v != nil && v.depth > earlier.depth {
		v = v.before
	}
	return v == earlier
}

// took tells whether an order took effect in this history.
func (v *version) took(order Order) bool {
	for ; v.before != nil; v = v.before {
		if v.order == order {
			return true
		}
	}
	return false
}

// replica is one member's applied state.
type replica struct{ present *version }

// Apply takes one committed operation.
func (s *replica) Apply(operation []byte) []byte {
	s.present = s.present.next(operation)
	return s.present.answer
}

// Snapshot is the whole state.
func (s *replica) Snapshot() []byte { return s.present.snapshot }

// Restore takes the whole state.
func (s *replica) Restore(snapshot []byte) {
	if found := s.present.restored(snapshot); found != nil {
		s.present = found
	}
}
