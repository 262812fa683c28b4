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

// changeFleet is a fleet whose members know changes of assignments, or not.
type changeFleet struct {
	Fleet
	knowChanges bool
}

func (c *changeFleet) AppliesAssignmentChanges(int) bool { return c.knowChanges }

// applyingShard applies what is proposed at once, and records its size.
type applyingShard struct {
	state *registry.State
	sizes []int
}

func (a *applyingShard) Index() int                                 { return 1 }
func (a *applyingShard) PublishedStatus() *controlapi.ShardStatus   { return nil }
func (a *applyingShard) RunInLoop(_ context.Context, q func()) bool { q(); return true }

func (a *applyingShard) LeaseGuard() *atomic.Pointer[enginecommand.LeaseGuard] { return nil }

func (a *applyingShard) Propose(_ context.Context, draft func() ([]byte, error)) ([]byte, error) {
	operation, err := draft()
	a.sizes = append(a.sizes, len(operation))
	return a.state.Apply(operation), err
}

// A leader commits the difference between assignments, and the whole one as long as a member's build may not know
// differences. Either way the committed assignment is the drafted one.
func TestCommitAssignment_CommitsTheDifference(t *testing.T) {
	const engineCount, maxChangeBytes = 400, 700
	shard, fleet := &applyingShard{state: registry.NewState()}, &changeFleet{}
	leader := NewServiceLeader(Options{Shard: shard, Fleet: fleet})
	for step, knowChanges := range []bool{false, true, true, false, true} {
		fleet.knowChanges = knowChanges
		var candidates []pairing.Candidate
		for number := range engineCount + step {
			candidates = append(candidates, pairing.Candidate{Name: fmt.Sprint("engine-", number), Version: "1"})
		}
		drafted := pairing.AssignAffinityGroups("s", "owner", uint64(1+step/2), candidates)
		leader.commitAssignment(t.Context(), drafted, shard.state.Assignments["s"])
		if !shard.state.Assignments["s"].Equal(drafted) {
			t.Errorf("step %d: another assignment was committed", step)
		}
		if size := shard.sizes[step]; knowChanges != (size <= maxChangeBytes) {
			t.Errorf("step %d: %d bytes", step, size)
		}
	}
}
