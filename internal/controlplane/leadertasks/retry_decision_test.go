package leadertasks

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
)

// fixedStatusShard is a shard that implements only PublishedStatus.
type fixedStatusShard struct {
	Shard
	status controlapi.ShardStatus
}

func (f fixedStatusShard) PublishedStatus() *controlapi.ShardStatus { return &f.status }

// A retry must not run a one-shot request twice, nor repeat tokens that the caller has already received.
func TestDecideRetry_PreservesAtMostOnce(t *testing.T) {
	Convey("no decision repeats streamed tokens or a one-shot request that may have started", t, func() {
		for caseBits := range 32 {
			failure := controlapi.FailureReport{
				Streamed: caseBits&1 > 0,
				Proved:   caseBits&2 > 0,
				OneShot:  caseBits&4 > 0,
				Repeats:  caseBits&8 > 0,
				Left:     clock.Second,
			}
			leader, _ := newLeaderWithSixEngines()
			leader.options.Shard = fixedStatusShard{status: controlapi.ShardStatus{Owner: caseBits&16 > 0}}
			decision := leader.DecideRetry(failure)
			if decision.Retry {
				So(failure.Streamed, ShouldBeFalse)
				So(failure.Proved || !failure.OneShot, ShouldBeTrue)
				So(decision.Owner, ShouldBeTrue)
			}
		}
	})
}
