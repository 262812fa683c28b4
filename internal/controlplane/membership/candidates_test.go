package membership

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/controlplane/replication"
)

// fixedShard is a shard whose membership does not change.
type fixedShard struct{ members []consensus.Member }

func (f fixedShard) PublishedStatus() *controlapi.ShardStatus { return nil }

func (f fixedShard) Membership() consensus.Membership {
	return consensus.Membership{Members: f.members}
}

func (f fixedShard) ApplyMembership(context.Context, consensus.Membership) {}

func (f fixedShard) RunInLoop(context.Context, func()) bool { return true }

func (f fixedShard) AdmitMember(consensus.Member, func([]replication.SlotContact) replication.SlotChoice) {
}

// candidateFixture is a service whose clock the test sets.
type candidateFixture struct {
	*Service
	now clock.Microseconds
}

func newCandidateFixture(shards ...[]consensus.Member) *candidateFixture {
	fixture := &candidateFixture{now: clock.Second}
	var fixedShards []Shard
	for _, members := range shards {
		fixedShards = append(fixedShards, fixedShard{members})
	}
	fixture.Service = &Service{
		options: Options{
			Self:   testMember("self", "norte"),
			Clock:  clock.NewFromSource(func() clock.Microseconds { return fixture.now }),
			Shards: fixedShards,
		},
		candidates: map[string]candidate{},
	}
	return fixture
}

func (c *candidateFixture) checkServers(t *testing.T, want ...consensus.Member) {
	t.Helper()
	if servers := c.Servers(); !slices.Equal(servers, want) {
		t.Errorf("Servers returned %v, want %v", servers, want)
	}
}

// A candidate is listed until it has sent no request for candidateTimeout. If one shard knows only the address of a
// member, the list has the member's name and zone from the shard that knows them.
func TestServers_AreSelfMembersAndCandidates(t *testing.T) {
	self, member, other := testMember("self", "norte"), testMember("member", "sur"), testMember("other", "este")
	standby := testMember("standby", "sur")
	unidentified := consensus.Member{Address: other.Address}
	fixture := newCandidateFixture([]consensus.Member{self, unidentified, {}}, []consensus.Member{member, other})
	fixture.checkServers(t, member, other, self)
	fixture.handleJoin(t.Context(), &JoinRequest{Member: standby, Standby: true})
	fixture.handleJoin(t.Context(), &JoinRequest{})
	fixture.checkServers(t, member, other, self, standby)
	fixture.now += 2 * clock.Second
	fixture.checkServers(t, member, other, self, standby)
	fixture.now += 2 * clock.Second
	fixture.checkServers(t, member, other, self)
}

// Requests from many addresses must not grow the list of candidates without limit.
func TestServers_AreBounded(t *testing.T) {
	fixture := newCandidateFixture()
	for standbyIndex := range 1000 {
		fixture.recordCandidate(testMember(fmt.Sprint("standby-", standbyIndex), "sur"))
	}
	if servers := len(fixture.Servers()); servers > 1+maxCandidates {
		t.Errorf("Servers returned %d servers, want at most %d", servers, 1+maxCandidates)
	}
}
