package consensus

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/wal"
)

// What a newcomer copies begins before the entry that gave it its slot: while it catches
// up it must not take itself for one whose slot is another's.
func TestReplica_RecoveryKeepsMembership(t *testing.T) {
	Convey("a log that ends before the bindings that count", t, func() {
		newMember, formerMember := Member{Identity: "n", Address: "n"}, Member{Identity: "f", Address: "f"}
		olderMembership, currentMembership := Membership{Epoch: 7, Seats: []Member{{}, {}, formerMember}}, Membership{Epoch: 9, Seats: []Member{{}, {}, newMember}}
		laterMembership := Membership{Epoch: 10, Seats: []Member{{}, {}, formerMember}}
		entry := func(index uint64, membership Membership) wal.Entry {
			return wal.Entry{Index: index, Round: 1, Data: append([]byte{membershipTag}, encodeGob(membership)...)}
		}
		replica := &Replica{Config: Config{Config: election.Config{Slots: 3, Self: 2}, LocalMember: newMember, InitialMembership: currentMembership}, recovery: &recovery{}}
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
