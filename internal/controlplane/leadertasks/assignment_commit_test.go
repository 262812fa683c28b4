package leadertasks

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/enginecommand"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

// fakeFleet is a fleet that implements only AppliesAssignmentChanges: its members can apply an assignment that is
// encoded as a change only if membersApplyChanges is set.
type fakeFleet struct {
	Fleet
	membersApplyChanges bool
}

func (c *fakeFleet) AppliesAssignmentChanges(int) bool { return c.membersApplyChanges }

// applyingShard applies each proposed operation at once, and records the size of the operation.
type applyingShard struct {
	state          *registry.State
	operationSizes []int
}

func (a *applyingShard) Index() int                                     { return 1 }
func (a *applyingShard) PublishedStatus() *controlapi.ShardStatus       { return nil }
func (a *applyingShard) RunInLoop(_ context.Context, query func()) bool { query(); return true }

func (a *applyingShard) LeaseGuard() *atomic.Pointer[enginecommand.LeaseGuard] { return nil }

func (a *applyingShard) Propose(_ context.Context, draftOperation func() ([]byte, error)) ([]byte, error) {
	operation, err := draftOperation()
	a.operationSizes = append(a.operationSizes, len(operation))
	return a.state.Apply(operation), err
}

// A leader commits only the difference between two assignments. While the build of some member may not be able to
// apply differences, the leader commits the whole assignment. Either way the committed assignment must equal the
// drafted one.
func TestCommitAssignment_CommitsTheDifference(t *testing.T) {
	const engineCount, maxChangeBytes = 400, 700
	shard, fleet := &applyingShard{state: registry.NewState()}, &fakeFleet{}
	leader := NewServiceLeader(Options{Shard: shard, Fleet: fleet})
	for step, membersApplyChanges := range []bool{false, true, true, false, true} {
		fleet.membersApplyChanges = membersApplyChanges
		var candidates []pairing.Candidate
		for engineIndex := range engineCount + step {
			candidates = append(candidates, pairing.Candidate{Name: fmt.Sprint("engine-", engineIndex), Version: "1"})
		}
		drafted := pairing.AssignAffinityGroups("s", "owner", uint64(1+step/2), candidates)
		leader.commitAssignment(t.Context(), drafted, shard.state.Assignments["s"])
		if !shard.state.Assignments["s"].Equal(drafted) {
			t.Errorf("step %d: the committed assignment differs from the drafted one", step)
		}
		if size := shard.operationSizes[step]; membersApplyChanges != (size <= maxChangeBytes) {
			t.Errorf("step %d: the operation has %d bytes; members apply changes: %t", step, size, membersApplyChanges)
		}
	}
}
