package membership

import (
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
)

// A standby must get a slot that is not served, but never one whose assignment would let the loss of the standby's
// zone take a majority of the slots.
func TestReplaceableSlot(t *testing.T) {
	member := func(name, zone string) consensus.Member {
		return consensus.Member{Name: name, Address: "address of " + name, Zone: zone}
	}
	leader := slotState{member: member("leader", "norte"), isLeader: true}
	responsive := slotState{member: member("responsive", "sur"), caughtUp: true}
	lagging := slotState{member: member("lagging", "sur")}
	draining := slotState{member: member("draining", "este"), caughtUp: true, draining: true}
	silent := slotState{member: member("silent", "este"), caughtUp: true, silentFor: standbyReplacementDelay}
	longSilent := slotState{member: member("long-silent", "oeste"), silentFor: standbyReplacementDelay + clock.Second}
	unidentified := slotState{member: consensus.Member{Address: "address of unidentified"}}
	unidentifiedSilent := slotState{member: unidentified.member, silentFor: standbyReplacementDelay}
	vacant := slotState{}

	for _, testCase := range []struct {
		name  string
		slots []slotState
		zone  string
		want  int
	}{
		{"all healthy", []slotState{leader, responsive, responsive}, "este", noSlot},
		{"a vacant slot", []slotState{leader, responsive, vacant}, "este", 2},
		{"a silent member", []slotState{leader, silent, responsive}, "este", 1},
		{"the longest silent of two", []slotState{leader, silent, longSilent}, "centro", 2},
		{"a vacant slot before a silent member", []slotState{leader, longSilent, vacant}, "este", 2},
		{"the leader's own slot", []slotState{leader, {member: leader.member, isLeader: true}}, "este", noSlot},
		{"another slot in the zone would risk the majority", []slotState{leader, responsive, vacant}, "sur", noSlot},
		{"the zone's own silent member", []slotState{leader, responsive, longSilent}, "oeste", 2},
		{"an unidentified member may be in the zone", []slotState{leader, unidentified, vacant}, "este", noSlot},
		{"a silent unidentified member is ignored", []slotState{leader, unidentifiedSilent, responsive}, "este", 1},
		{"a draining member while all are healthy", []slotState{leader, responsive, draining}, "oeste", 2},
		{"no draining member while another lags", []slotState{leader, lagging, draining}, "oeste", noSlot},
		{"a silent member before a draining one", []slotState{leader, longSilent, draining}, "centro", 1},
		{"no draining member without capacity", []slotState{leader, responsive, draining}, "sur", noSlot},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			got := replaceableSlot(testCase.slots, testCase.zone)
			if got != testCase.want {
				t.Errorf("replaceableSlot returned %d, want %d", got, testCase.want)
			}
		})
	}
}
