package router

import (
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
)

const (
	// responseTTL is the maximum age of a member's response, from the time at which its request was
	// sent. The router asks one member per read, so the responses of a quorum come from several reads.
	responseTTL = 2 * clock.Second
	// leaderlessTimeout is the time after which a router stops waiting for more up-to-date members
	// when a quorum responds, but too few of its members are up to date. The router does not wait
	// when a quorum reports that it is not up to date, since no member can lead then.
	leaderlessTimeout = clock.Second
	// noQuorumTimeout is the time after which a router stops waiting for a quorum to respond.
	noQuorumTimeout = 3 * clock.Second
)

// ActivationBasis says which responses allowed a router to activate its first configuration.
type ActivationBasis uint8

// The possible bases. Their values are logged and exported in the counter "first-basis".
const (
	// BasisUnconfirmed means that no configuration may be activated yet.
	BasisUnconfirmed ActivationBasis = iota
	// BasisQuorum is the normal case: a quorum of members is up to date, and the configuration
	// includes every change that was acknowledged before the router started.
	BasisQuorum
	// BasisLeaderless means that a quorum responded, but too few of its members were up to date to
	// have a leader. The configuration is at least as new as the highest revision of the responses.
	BasisLeaderless
	// BasisNoQuorum means that fewer members than a quorum responded. The configuration is at least
	// as new as the highest revision of the responses.
	BasisNoQuorum
)

// memberResponse is the latest response of a member.
type memberResponse struct {
	requestedAt clock.Microseconds
	epoch       uint64
	revision    uint64
	upToDate    bool
}

// Bootstrap decides when a router that has just started may activate its first configuration. It
// combines the responses of single members into a quorum read. It is safe for concurrent use.
type Bootstrap struct {
	lock      sync.Mutex
	startedAt clock.Microseconds
	quorum    int
	// responses has the latest response of each member, by slot.
	responses map[int]memberResponse
	// basis is final once it differs from BasisUnconfirmed.
	basis ActivationBasis
}

// NewBootstrap returns the Bootstrap of a router that starts now. memberCount is the number of
// members of the configuration shard.
func NewBootstrap(now clock.Microseconds, memberCount int) *Bootstrap {
	return &Bootstrap{startedAt: now, quorum: memberCount/2 + 1, responses: map[int]memberResponse{}}
}

// Record records a member's response to a request that was sent at requestedAt. It ignores the
// response of a server that is no member or is recovering, and a response to a request that was sent
// before the router started or before that of the recorded response.
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

// Decide returns the basis on which a pending configuration of this revision may be activated, or
// BasisUnconfirmed if it may not be activated yet. If a quorum of members is up to date, the
// configuration must be at least as new as the highest revision of these members.
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

// expireResponses deletes the responses that are older than responseTTL.
func (b *Bootstrap) expireResponses(now clock.Microseconds) {
	for slot, response := range b.responses {
		if now-response.requestedAt > responseTTL {
			delete(b.responses, slot)
		}
	}
}

// responseCounts summarizes the responses.
type responseCounts struct {
	// upToDate is the number of members that are up to date under the latest membership, and
	// requiredRevision is the highest revision among these members.
	upToDate         int
	requiredRevision uint64
	// behind is the number of members that are not up to date, under whichever membership.
	behind int
	// highestRevision is the highest revision in any response.
	highestRevision uint64
}

// countResponses summarizes the responses. If they differ in membership, the membership with the
// highest epoch is the latest.
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

// Basis returns the basis on which the first configuration was activated.
func (b *Bootstrap) Basis() ActivationBasis {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.basis
}
