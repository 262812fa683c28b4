package modelcheck

import (
	"fmt"
	"sync"

	"coursepass/internal/state/config"
)

// Change is one change of the routes, as an operator sends it: it has a label of its own and builds
// on the configuration with another label.
type Change struct {
	Label, ParentLabel uint64
	Digest             string
}

// identity tells changes of one label apart.
func (c Change) identity() string { return fmt.Sprint(c.Label, "-", c.Digest) }

// encode returns the operation that the leader proposes for a change. Each attempt has a key of
// its own, as on the users' platform.
func (c Change) encode(proposalNumber int) []byte {
	return config.Operation{Request: config.Request{
		Kind: config.OperationReplaceRoutes, Key: fmt.Sprint(c.identity(), "-", proposalNumber),
		Routing: &config.Routing{Label: c.Label, ParentLabel: c.ParentLabel, Digest: c.Digest},
	}}.Encode()
}

// decodeChange returns the change of an operation, and an empty one if it is of another kind.
func decodeChange(data []byte) Change {
	operation, err := config.DecodeOperation(data)
	if err != nil || operation.Routing == nil {
		return Change{}
	}
	return Change{operation.Routing.Label, operation.Routing.ParentLabel, operation.Routing.Digest}
}

// version is the configuration after one history of operations, as the real state machine makes it.
// It is kept because many states of the search share it. All versions of a tree share its lock.
type version struct {
	lock   *sync.Mutex
	parent *version
	depth  int
	// change is that of the last operation, if it took effect.
	change   Change
	answer   []byte
	state    *config.State
	snapshot []byte
	// children is by operation, and snapshots, which all versions of a tree share, by snapshot.
	children  map[string]*version
	snapshots map[string]*version
}

func newRootVersion() *version {
	root := &version{
		lock:      &sync.Mutex{},
		state:     config.NewState(),
		children:  map[string]*version{},
		snapshots: map[string]*version{},
	}
	root.snapshot = root.state.Snapshot()
	root.snapshots[string(root.snapshot)] = root
	return root
}

// next returns the version after one more operation.
func (v *version) next(operation []byte) *version {
	v.lock.Lock()
	defer v.lock.Unlock()
	if existing, exists := v.children[string(operation)]; exists {
		return existing
	}
	created := &version{
		lock:      v.lock,
		parent:    v,
		depth:     v.depth + 1,
		state:     config.NewState(),
		children:  map[string]*version{},
		snapshots: v.snapshots,
	}
	created.state.Restore(v.snapshot)
	created.answer = created.state.Apply(operation)
	if created.state.CurrentRevision() != v.state.CurrentRevision() {
		created.change = decodeChange(operation)
	}
	created.snapshot = created.state.Snapshot()
	created.snapshots[string(created.snapshot)] = created
	v.children[string(operation)] = created
	return created
}

// withSnapshot returns the version with a snapshot, nil if there is none.
func (v *version) withSnapshot(snapshot []byte) *version {
	v.lock.Lock()
	defer v.lock.Unlock()
	return v.snapshots[string(snapshot)]
}

// contains reports whether a version is this one or an ancestor of it.
func (v *version) contains(ancestor *version) bool {
	for v != nil && v.depth > ancestor.depth {
		v = v.parent
	}
	return v == ancestor
}

// hasChange reports whether a change took effect in this history.
func (v *version) hasChange(change Change) bool {
	for ; v.parent != nil; v = v.parent {
		if v.change == change {
			return true
		}
	}
	return false
}

// stateMachine is the applied state of one replica.
type stateMachine struct{ version *version }

// Apply applies one committed operation and returns its answer.
func (s *stateMachine) Apply(operation []byte) []byte {
	s.version = s.version.next(operation)
	return s.version.answer
}

// Snapshot returns the state.
func (s *stateMachine) Snapshot() []byte { return s.version.snapshot }

// Restore replaces the state by a snapshot, which some version of the tree must have made.
func (s *stateMachine) Restore(snapshot []byte) {
	if restored := s.version.withSnapshot(snapshot); restored != nil {
		s.version = restored
	}
}
