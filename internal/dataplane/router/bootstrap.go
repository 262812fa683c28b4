package router

import (
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
)

const (
	// responseTTL is how long a member's response counts, as the members are asked in turn.
	responseTTL = 2 * clock.Second
	// leaderlessTimeout is how long a router waits if a quorum of members responds, too few of which
	// are up to date. Where a quorum says that it is not up to date, nobody can lead, and the
	// router does not wait.
	leaderlessTimeout = clock.Second
	// noQuorumTimeout is how long a router waits if no quorum responds at all.
	noQuorumTimeout = 3 * clock.Second
)

// ActivationBasis is the evidence on which a router activated its first configuration.
type ActivationBasis uint8

// The evidence a first configuration may rest on. The numbers are shown to operators.
const (
	// BasisUnconfirmed is no evidence yet: nothing was activated.
	BasisUnconfirmed ActivationBasis = iota
	// BasisQuorum is the rule: the configuration has all that was acknowledged before the router
	// started.
	BasisQuorum
	// BasisLeaderless is the highest revision of a quorum that nobody leads.
	BasisLeaderless
	// BasisNoQuorum is the highest revision of whoever responds while there is no quorum.
	BasisNoQuorum
)

// memberResponse is a member's last response.
type memberResponse struct {
	requestedAt clock.Microseconds
	epoch       uint64
	revision    uint64
	upToDate    bool
}

// Bootstrap decides when the first configuration of a router's incarnation may be activated, from the
// responses of single members that together make up a quorum read.
type Bootstrap struct {
	lock      sync.Mutex
	startedAt clock.Microseconds
	quorum    int
	// responses are the members' responses by slot.
	responses map[int]memberResponse
	// basis does not change any more once it is not BasisUnconfirmed.
	basis ActivationBasis
}

// NewBootstrap begins at a router's start, with so many members of the configuration's shard.
func NewBootstrap(now clock.Microseconds, memberCount int) *Bootstrap {
	return &Bootstrap{startedAt: now, quorum: memberCount/2 + 1, responses: map[int]memberResponse{}}
}

// Record takes a member's response to a request that was sent at a moment.
func (b *Bootstrap) Record(requestedAt clock.Microseconds, head controlapi.ShardHead) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if head.Slot < 0 || head.Recovering || requestedAt < b.startedAt {
		return
	}
	previous, ok := b.responses[head.Slot]
	if ok && requestedAt < previous.requestedAt {
		return
	}
	b.responses[head.Slot] = memberResponse{
		requestedAt: requestedAt,
		epoch:       head.Epoch,
		revision:    head.Revision,
		upToDate:    head.Current,
	}
}

// Decide decides by the recent responses whether a pending configuration of this revision may be
// activated. A quorum of up-to-date members determines the revision that it must have.
func (b *Bootstrap) Decide(now clock.Microseconds, pendingRevision uint64) ActivationBasis {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.basis != BasisUnconfirmed {
		return b.basis
	}
	b.expireResponses(now)
	counts := b.countResponses()
	switch elapsed := now - b.startedAt; {
	case counts.upToDate >= b.quorum:
		if pendingRevision >= counts.requiredRevision {
			b.basis = BasisQuorum
		}
	case pendingRevision < counts.highestRevision:
	case counts.behind >= b.quorum, len(b.responses) >= b.quorum && elapsed >= leaderlessTimeout:
		b.basis = BasisLeaderless
	case elapsed >= noQuorumTimeout:
		b.basis = BasisNoQuorum
	}
	return b.basis
}

// expireResponses drops the responses that are older than responseTTL.
func (b *Bootstrap) expireResponses(now clock.Microseconds) {
	for slot, response := range b.responses {
		if now-response.requestedAt > responseTTL {
			delete(b.responses, slot)
		}
	}
}

// responseCounts sums the responses up.
type responseCounts struct {
	// upToDate counts the members that are up to date under the latest membership, and
	// requiredRevision is the highest revision among them.
	upToDate         int
	requiredRevision uint64
	// behind counts the members that are not up to date under any membership.
	behind int
	// highestRevision is the highest revision among all members.
	highestRevision uint64
}

// countResponses sums the responses up. Of several memberships, the one of the highest epoch counts.
func (b *Bootstrap) countResponses() responseCounts {
	epoch := uint64(0)
	for _, response := range b.responses {
		epoch = max(epoch, response.epoch)
	}
	var counts responseCounts
	for _, response := range b.responses {
		counts.highestRevision = max(counts.highestRevision, response.revision)
		if !response.upToDate {
			counts.behind++
		}
		if response.upToDate && response.epoch == epoch {
			counts.upToDate++
			counts.requiredRevision = max(counts.requiredRevision, response.revision)
		}
	}
	return counts
}

// Basis is the evidence on which the first configuration was activated.
func (b *Bootstrap) Basis() ActivationBasis {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.basis
}
