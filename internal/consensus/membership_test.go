package consensus

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/wal"
)

// Guards against a new member that concludes, while it catches up, that another daemon holds its
// slot. The log that it receives begins before the entry that gave it the slot.
func TestReplica_RecoveryKeepsMembership(t *testing.T) {
	Convey("a recovering replica keeps its initial membership until the log contains a later one", t, func() {
		newMember := Member{Identity: "n", Address: "n"}
		formerMember := Member{Identity: "f", Address: "f"}
		olderMembership := Membership{Epoch: 7, Members: []Member{{}, {}, formerMember}}
		currentMembership := Membership{Epoch: 9, Members: []Member{{}, {}, newMember}}
		laterMembership := Membership{Epoch: 10, Members: []Member{{}, {}, formerMember}}
		entry := func(index uint64, membership Membership) wal.Entry {
			return wal.Entry{Index: index, Term: 1, Data: MembershipData(membership)}
		}
		config := Config{
			Config:            election.Config{Slots: 3, Self: 2},
			LocalMember:       newMember,
			InitialMembership: currentMembership,
		}
		replica := &Replica{Config: config, recovery: &recovery{}}
		replica.Entries = []wal.Entry{entry(1, olderMembership)}
		replica.refreshMembership()
		So(replica.Removed(), ShouldBeFalse)
		So(replica.Membership().Epoch, ShouldEqual, 9)

		replica.Entries = append(replica.Entries, entry(2, currentMembership), entry(3, laterMembership))
		replica.refreshMembership()
		So(replica.Removed(), ShouldBeTrue)
		So(replica.Membership().Epoch, ShouldEqual, 10)

		replica.Entries, replica.recovery = replica.Entries[:1], nil
		replica.refreshMembership()
		So(replica.Membership().Epoch, ShouldEqual, 7)
	})
}
