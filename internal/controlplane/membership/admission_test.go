package membership

import (
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/controlplane/replication"
)

const testLeaseDuration = 10 * clock.Second

func testMember(name, zone string) consensus.Member {
	return consensus.Member{Name: name, Address: "address of " + name, Zone: zone}
}

var (
	leaderSlot     = slotState{member: testMember("leader", "norte"), isLeader: true, caughtUp: true}
	responsiveSlot = slotState{member: testMember("responsive", "sur"), caughtUp: true}
	drainingSlot   = slotState{member: testMember("draining", "este"), caughtUp: true, draining: true}
	vacantSlot     = slotState{}
)

func silentSlot(silentFor clock.Microseconds) slotState {
	return slotState{member: testMember("silent", "este"), silentFor: silentFor}
}

type slotChoiceCase struct {
	name    string
	slots   []slotState
	request JoinRequest
	want    replication.SlotChoice
}

func checkSlotChoices(t *testing.T, testCases []slotChoiceCase) {
	t.Helper()
	service := &Service{options: Options{
		LeaseDuration: testLeaseDuration,
		ZoneDraining:  func(zone string) bool { return zone == "este" },
	}}
	for _, testCase := range testCases {
		t.Run(testCase.name, func(t *testing.T) {
			got := service.chooseSlot(testCase.slots, testCase.request)
			if got != testCase.want {
				t.Errorf("chooseSlot returned %+v, want %+v", got, testCase.want)
			}
		})
	}
}

// A request that names a member gets that member's slot, but may replace the member only after the member has
// been silent for the lease duration.
func TestChooseSlot_OfNamedMember(t *testing.T) {
	silent := []slotState{leaderSlot, responsiveSlot, silentSlot(testLeaseDuration)}
	almostSilent := []slotState{leaderSlot, responsiveSlot, silentSlot(testLeaseDuration - 1)}
	draining := []slotState{leaderSlot, responsiveSlot, drainingSlot}
	vacant := []slotState{leaderSlot, vacantSlot, responsiveSlot}
	checkSlotChoices(t, []slotChoiceCase{
		{"no member has the name", silent, JoinRequest{Replaces: "unknown"}, replication.SlotChoice{Slot: noSlot}},
		{"a responsive member", silent, JoinRequest{Replaces: "responsive"}, replication.SlotChoice{Slot: 1}},
		{
			"a responsive member, with override", silent,
			JoinRequest{Replaces: "responsive", Override: true}, replication.SlotChoice{Slot: 1, Promotable: true},
		},
		{"silent for less than a lease", almostSilent, JoinRequest{Replaces: "silent"}, replication.SlotChoice{Slot: 2}},
		{
			"silent for a lease", silent,
			JoinRequest{Replaces: "silent"}, replication.SlotChoice{Slot: 2, Promotable: true},
		},
		{"a member whose zone is draining", draining, JoinRequest{Replaces: "draining"}, replication.SlotChoice{Slot: 2}},
		{
			"a vacant slot", vacant,
			JoinRequest{Replaces: "unknown"}, replication.SlotChoice{Slot: 1, Promotable: true},
		},
	})
}

// A standby may replace a member after a shorter silence than the lease duration, and a member whose zone is being
// drained, but gets no slot while its own zone is being drained.
func TestChooseSlot_ForStandby(t *testing.T) {
	standby := JoinRequest{Standby: true, Member: testMember("standby", "oeste")}
	almostSilent := []slotState{leaderSlot, responsiveSlot, silentSlot(testLeaseDuration - 1)}
	draining := []slotState{leaderSlot, responsiveSlot, drainingSlot}
	healthy := []slotState{leaderSlot, responsiveSlot, responsiveSlot}
	vacant := []slotState{leaderSlot, responsiveSlot, vacantSlot}
	checkSlotChoices(t, []slotChoiceCase{
		{"silent for less than a lease", almostSilent, standby, replication.SlotChoice{Slot: 2, Promotable: true}},
		{"a member whose zone is draining", draining, standby, replication.SlotChoice{Slot: 2, Promotable: true}},
		{"all healthy", healthy, standby, replication.SlotChoice{Slot: noSlot}},
		{"a vacant slot", vacant, standby, replication.SlotChoice{Slot: 2, Promotable: true}},
		{
			"the standby's own zone is draining", vacant,
			JoinRequest{Standby: true, Member: testMember("standby", "este")}, replication.SlotChoice{Slot: noSlot},
		},
	})
}
