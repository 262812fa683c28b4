package leadertasks

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
)

// fixedStatus is a shard that implements only PublishedStatus.
type fixedStatus struct {
	Shard
	status controlapi.ShardStatus
}

func (f fixedStatus) PublishedStatus() *controlapi.ShardStatus { return &f.status }

// A retry must not run a one-shot request twice, nor repeat tokens that the caller has already received.
func TestDecideRetry_PreservesAtMostOnce(t *testing.T) {
	Convey("no decision repeats streamed tokens or a one-shot request that may have started", t, func() {
		for bits := range 32 {
			failure := controlapi.FailureReport{
				Streamed: bits&1 > 0,
				Proved:   bits&2 > 0,
				OneShot:  bits&4 > 0,
				Repeats:  bits&8 > 0,
				Left:     clock.Second,
			}
			leader, _ := newLeaderWithSixEngines()
			leader.options.Shard = fixedStatus{status: controlapi.ShardStatus{Owner: bits&16 > 0}}
			decision := leader.DecideRetry(failure)
			if decision.Retry {
				So(failure.Streamed, ShouldBeFalse)
				So(failure.Proved || !failure.OneShot, ShouldBeTrue)
				So(decision.Owner, ShouldBeTrue)
			}
		}
	})
}
