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

// memberSet is a set of the members of one shard; bit n stands for slot n.
type memberSet int

func (m memberSet) has(slot int) bool { return m>>slot&1 > 0 }

func (m memberSet) size() int { return bits.OnesCount(uint(m)) }

// gateCase is one read from three members, of which some know revision 2 and some are up to date.
type gateCase struct {
	informed memberSet
	current  memberSet
	// installed is the revision that the router has.
	installed uint64
}

// isOpen reports whether the gate is open after the members have responded in this order.
func (c gateCase) isOpen(order []int) bool {
	gate := router.NewFreshnessGate(1600*clock.Millisecond, 1, 3)
	var responses []controlapi.HeadsResponse
	for _, slot := range order {
		head := controlapi.ShardHead{
			Slot:    slot,
			Head:    gossip.Head{Revision: 1},
			Current: c.current.has(slot),
		}
		if c.informed.has(slot) {
			head.Revision = 2
		}
		responses = append(responses, controlapi.HeadsResponse{Heads: []controlapi.ShardHead{head}})
		gate.RecordRead(clock.Second, responses)
	}
	return gate.IsOpen(clock.Second, func(int) (uint64, bool) { return c.installed, true })
}

// gateCases are all cases in which a quorum knows revision 2.
func gateCases() []gateCase {
	var cases []gateCase
	for informed := memberSet(0); informed < 8; informed++ {
		if informed.size() < 2 {
			continue
		}
		for current := memberSet(0); current < 8; current++ {
			for installed := uint64(1); installed <= 2; installed++ {
				cases = append(cases, gateCase{informed, current, installed})
			}
		}
	}
	return cases
}

// Three members of which a quorum knows an acknowledged revision 2; any one may be away, or not up to
// date, or behind; responses arrive in every order. An open gate always means that revision 2 is
// installed or that the read began before it.
func TestFreshnessGate_OpenHasAcknowledgedRevision(t *testing.T) {
	opened, closed := 0, 0
	for _, read := range gateCases() {
		simulation.Permutations(3, func(order []int) {
			open := read.isOpen(order)
			if open && read.installed < 2 {
				t.Fatalf("informed %03b, current %03b, order %v: open with revision %d",
					read.informed, read.current, order, read.installed)
			}
			if open {
				opened++
			} else {
				closed++
			}
		})
	}
	Convey("both happened", t, func() {
		So(opened, ShouldBeGreaterThan, 0)
		So(closed, ShouldBeGreaterThan, 0)
	})
}

func TestFreshnessGate_ClosesWithoutFreshReads(t *testing.T) {
	Convey("two responses of the same member are no quorum, and a satisfied read expires", t, func() {
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
