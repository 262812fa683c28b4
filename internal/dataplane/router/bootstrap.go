package router

import (
	"sync"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/state/config"
)

const (
	// responseTTL is how long a core's answer counts for the first configuration, as the
	// cores are asked in turn.
	responseTTL = 2 * clock.Second
	// leaderlessTimeout is how long a router waits if a majority of the seats answers, and too
	// few are current, and unheardAfter if no majority answers at all. Where a majority says
	// that it is not current, nobody can lead, and nothing is waited for.
	leaderlessTimeout = clock.Second
	noQuorumTimeout   = 3 * clock.Second
)

// ActivationBasis says by what a router's first configuration was put in force.
type ActivationBasis uint8

// What a first configuration may rest on.
const (
	BasisUnconfirmed ActivationBasis = iota
	// BasisQuorum is the rule: it has all that was acknowledged before the router started.
	BasisQuorum
	// BasisLeaderless is the highest of a majority that nobody leads, and ByUnheard of
	// whoever answers while there is no majority.
	BasisLeaderless
	BasisNoQuorum
)

type memberResponse struct {
	requestedAt clock.Microseconds
	epoch       uint64
	revision    uint64
	upToDate    bool
}

// Bootstrap decides when the first configuration of a router's life may be put in force, from
// single cores' answers that are gathered into a majority read.
type Bootstrap struct {
	lock      sync.Mutex
	startedAt clock.Microseconds
	quorum    int
	responses map[int]memberResponse
	basis     ActivationBasis
}

// NewBootstrap begins at a router's start, among so many seats.
func NewBootstrap(now clock.Microseconds, memberCount int) *Bootstrap {
	return &Bootstrap{startedAt: now, quorum: memberCount/2 + 1, responses: map[int]memberResponse{}}
}

// Record takes a core's answer to a question that was sent at that moment.
func (b *Bootstrap) Record(requestedAt clock.Microseconds, head controlapi.ShardHead) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if head.Slot < 0 || head.Recovering || requestedAt < b.startedAt {
		return
	}
	if previous, ok := b.responses[head.Slot]; !ok || requestedAt >= previous.requestedAt {
		b.responses[head.Slot] = memberResponse{requestedAt, head.Epoch, head.Sequence, head.Current}
	}
}

// Decide decides by the answers of the last while whether a sequence that is held may be put
// in force. A majority of seats that are current names the sequence that it must have.
func (b *Bootstrap) Decide(now clock.Microseconds, pendingRevision uint64) ActivationBasis {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.basis != BasisUnconfirmed {
		return b.basis
	}
	epoch := uint64(0)
	for slot, response := range b.responses {
		if now-response.requestedAt > responseTTL {
			delete(b.responses, slot)
			continue
		}
		epoch = max(epoch, response.epoch)
	}
	upToDate, behind, highestRevision, requiredRevision := 0, 0, uint64(0), uint64(0)
	for _, response := range b.responses {
		highestRevision = max(highestRevision, response.revision)
		if !response.upToDate {
			behind++
		}
		if response.upToDate && response.epoch == epoch {
			upToDate++
			requiredRevision = max(requiredRevision, response.revision)
		}
	}
	switch elapsed := now - b.startedAt; {
	case upToDate >= b.quorum:
		if pendingRevision >= requiredRevision {
			b.basis = BasisQuorum
		}
	case pendingRevision < highestRevision:
	case behind >= b.quorum || len(b.responses) >= b.quorum && elapsed >= leaderlessTimeout:
		b.basis = BasisLeaderless
	case elapsed >= noQuorumTimeout:
		b.basis = BasisNoQuorum
	}
	return b.basis
}

// Basis is by what the first configuration was put in force.
func (b *Bootstrap) Basis() ActivationBasis {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.basis
}

// offerConfig puts a configuration in force, or holds it until the first one of this life may be.
func (r *Router) offerConfig(view *config.View) {
	r.activationLock.Lock()
	defer r.activationLock.Unlock()
	if r.GateMode != gateModeOpen {
		r.activateConfig(view)
		return
	}
	r.pendingConfig = view
	r.activatePending()
}

// activateIfAllowed puts the configuration that is held in force if it may be by now.
func (r *Router) activateIfAllowed() {
	r.activationLock.Lock()
	defer r.activationLock.Unlock()
	r.activatePending()
}

func (r *Router) activatePending() {
	if r.pendingConfig == nil {
		return
	}
	previous := r.bootstrap.Basis()
	basis := r.bootstrap.Decide(r.clock.Now(), r.pendingConfig.Sequence)
	if basis == BasisUnconfirmed {
		return
	}
	if previous == BasisUnconfirmed {
		log.Info().Str("router", r.Node.Name).Uint64("sequence", r.pendingConfig.Sequence).Uint8("basis", uint8(basis)).Msg("first configuration")
	}
	view := r.pendingConfig
	r.pendingConfig = nil
	r.activateConfig(view)
}
