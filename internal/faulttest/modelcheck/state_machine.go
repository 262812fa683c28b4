package modelcheck

import (
	"fmt"
	"sync"

	"coursepass/internal/state/config"
)

// Change is one configuration by routes, as an operator sends it.
type Change struct {
	Label, ParentLabel uint64
	Digest             string
}

// identity tells orders of one label apart.
func (c Change) identity() string { return fmt.Sprint(c.Label, "-", c.Digest) }

// encode is the operation that the leading core proposes for an order. Each sending
// has a key of its own, as on the users' platform.
func (c Change) encode(proposalNumber int) []byte {
	return config.Encode(config.Operation{Request: config.Request{
		Kind: config.OperationReplaceRoutes, Key: fmt.Sprint(c.identity(), "-", proposalNumber),
		Routing: &config.Routing{Label: c.Label, On: c.ParentLabel, Digest: c.Digest},
	}})
}

func decodeChange(data []byte) Change {
	operation, err := config.DecodeOperation(data)
	if err != nil || operation.Routing == nil {
		return Change{}
	}
	return Change{operation.Routing.Label, operation.Routing.On, operation.Routing.Digest}
}

// version is the configuration after one history of operations. The real state
// machine made it; it is kept since many states of the search share it.
type version struct {
	lock   *sync.Mutex
	parent *version
	depth  int
	// change is what the last operation asked for, if it took effect.
	change    Change
	answer    []byte
	state     *config.State
	snapshot  []byte
	children  map[string]*version
	snapshots map[string]*version
}

func newRootVersion() *version {
	root := &version{lock: &sync.Mutex{}, state: config.NewState(), children: map[string]*version{}, snapshots: map[string]*version{}}
	root.snapshot = root.state.Snapshot()
	root.snapshots[string(root.snapshot)] = root
	return root
}

// next is the version after one more operation.
func (v *version) next(operation []byte) *version {
	v.lock.Lock()
	defer v.lock.Unlock()
	if existing, exists := v.children[string(operation)]; exists {
		return existing
	}
	created := &version{
		lock: v.lock, parent: v, depth: v.depth + 1,
		state: config.NewState(), children: map[string]*version{}, snapshots: v.snapshots,
	}
	created.state.Restore(v.snapshot)
	created.answer = created.state.Apply(operation)
	if created.state.Revision() != v.state.Revision() {
		created.change = decodeChange(operation)
	}
	created.snapshot = created.state.Snapshot()
	created.snapshots[string(created.snapshot)] = created
	v.children[string(operation)] = created
	return created
}

// withSnapshot is the version with a snapshot.
func (v *version) withSnapshot(snapshot []byte) *version {
	v.lock.Lock()
	defer v.lock.Unlock()
	return v.snapshots[string(snapshot)]
}

// contains tells whether a version is this one or came before it.
func (v *version) contains(ancestor *version) bool {
	for v != nil && v.depth > ancestor.depth {
		v = v.parent
	}
	return v == ancestor
}

// hasChange tells whether an order took effect in this history.
func (v *version) hasChange(change Change) bool {
	for ; v.parent != nil; v = v.parent {
		if v.change == change {
			return true
		}
	}
	return false
}

// stateMachine is one member's applied state.
type stateMachine struct{ version *version }

// Apply takes one committed operation.
func (s *stateMachine) Apply(operation []byte) []byte {
	s.version = s.version.next(operation)
	return s.version.answer
}

// Snapshot is the whole state.
func (s *stateMachine) Snapshot() []byte { return s.version.snapshot }

// Restore takes the whole state.
func (s *stateMachine) Restore(snapshot []byte) {
	if restored := s.version.withSnapshot(snapshot); restored != nil {
		s.version = restored
	}
}
