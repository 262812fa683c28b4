package router_test

import (
	"math/bits"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/dataplane/router"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/gossip"
)

// memberSet is a set of members of one shard. Bit n represents the member in slot n.
type memberSet int

func (m memberSet) has(slot int) bool { return m>>slot&1 > 0 }

func (m memberSet) size() int { return bits.OnesCount(uint(m)) }

// gateCase is one read from three members.
type gateCase struct {
	// atRevision2 has the members that know revision 2.
	atRevision2 memberSet
	// upToDate has the members that report to be up to date.
	upToDate memberSet
	// installed is the revision that the router has installed.
	installed uint64
}

// isOpen reports whether the gate is open after the members have responded in the given order.
func (c gateCase) isOpen(order []int) bool {
	gate := router.NewFreshnessGate(1600*clock.Millisecond, 1, 3)
	var responses []controlapi.HeadsResponse
	for _, slot := range order {
		head := controlapi.ShardHead{
			Slot:    slot,
			Head:    gossip.Head{Revision: 1},
			Current: c.upToDate.has(slot),
		}
		if c.atRevision2.has(slot) {
			head.Revision = 2
		}
		responses = append(responses, controlapi.HeadsResponse{Heads: []controlapi.ShardHead{head}})
		gate.RecordRead(clock.Second, responses)
	}
	return gate.IsOpen(clock.Second, func(int) (uint64, bool) { return c.installed, true })
}

// gateCases returns all cases in which a quorum knows revision 2.
func gateCases() []gateCase {
	var cases []gateCase
	for atRevision2 := memberSet(0); atRevision2 < 8; atRevision2++ {
		if atRevision2.size() < 2 {
			continue
		}
		for upToDate := memberSet(0); upToDate < 8; upToDate++ {
			for installed := uint64(1); installed <= 2; installed++ {
				cases = append(cases, gateCase{atRevision2, upToDate, installed})
			}
		}
	}
	return cases
}

// Guards against a gate that is open although the router lacks an acknowledged revision. A quorum of
// three members knows revision 2. One member may be behind, and each member may report that it is not
// up to date. Whatever the order of the responses, the gate may only be open if revision 2 is
// installed.
func TestFreshnessGate_OpenRequiresAcknowledgedRevision(t *testing.T) {
	opened, closed := 0, 0
	for _, read := range gateCases() {
		simulation.Permutations(3, func(order []int) {
			open := read.isOpen(order)
			if open && read.installed < 2 {
				t.Fatalf("at revision 2 %03b, up to date %03b, order %v: the gate is open with revision %d, want closed",
					read.atRevision2, read.upToDate, order, read.installed)
			}
			if open {
				opened++
			} else {
				closed++
			}
		})
	}
	Convey("the gate is open in some cases and closed in others", t, func() {
		So(opened, ShouldBeGreaterThan, 0)
		So(closed, ShouldBeGreaterThan, 0)
	})
}

func TestFreshnessGate_ClosesWithoutFreshReads(t *testing.T) {
	Convey("two responses of the same member are not a quorum, and a satisfied read expires", t, func() {
		gate := router.NewFreshnessGate(1600*clock.Millisecond, 1, 3)
		head := func(slot int) controlapi.HeadsResponse {
			return controlapi.HeadsResponse{Heads: []controlapi.ShardHead{{Slot: slot, Current: true}}}
		}
		installed := func(int) (uint64, bool) { return 0, false }
		So(gate.RecordRead(clock.Second, []controlapi.HeadsResponse{head(1), head(1)}), ShouldBeFalse)
		So(gate.IsOpen(clock.Second, installed), ShouldBeFalse)
		So(gate.RecordRead(clock.Second, []controlapi.HeadsResponse{head(1), head(2)}), ShouldBeTrue)
		So(gate.IsOpen(clock.Second, installed), ShouldBeTrue)
		So(gate.IsOpen(2600*clock.Millisecond, installed), ShouldBeTrue)
		So(gate.IsOpen(2600*clock.Millisecond+1, installed), ShouldBeFalse)
	})
}
