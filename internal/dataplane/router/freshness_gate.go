package router

import (
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
)

// quorumRead is a quorum read that the installed state has not satisfied yet.
type quorumRead struct {
	startedAt clock.Microseconds
	// requiredRevisions has the highest revision of each shard that the read returned, by shard.
	requiredRevisions []uint64
}

// FreshnessGate decides whether a router's state is fresh enough to accept new requests. A quorum read
// returns everything that was acknowledged before the read started. A read is satisfied once the
// router has installed the revisions that the read returned. The gate is open while a satisfied read
// exists that started at most MaxStaleness ago. The gate is safe for concurrent use.
type FreshnessGate struct {
	// MaxStaleness is the time after the start of a satisfied read at which the gate closes.
	MaxStaleness clock.Microseconds
	shards       int
	replicas     int
	lock         sync.Mutex
	// satisfiedAt is the time at which the latest satisfied read started. It is valid only if
	// satisfied is true.
	satisfiedAt  clock.Microseconds
	satisfied    bool
	pendingReads []quorumRead
}

// NewFreshnessGate returns a gate that stays closed until the first read is satisfied. shards is the
// number of shards, and replicas is the number of members of each shard.
func NewFreshnessGate(maxStaleness clock.Microseconds, shards, replicas int) *FreshnessGate {
	return &FreshnessGate{MaxStaleness: maxStaleness, shards: shards, replicas: replicas}
}

// RecordRead records the members' responses to a read that started at startedAt. It reports whether
// they contain a quorum of up-to-date members for every shard; if not, nothing is recorded.
func (f *FreshnessGate) RecordRead(startedAt clock.Microseconds, responses []controlapi.HeadsResponse) bool {
	requiredRevisions := make([]uint64, f.shards)
	for shard := range f.shards {
		responders, revision := countUpToDate(shard, responses)
		if responders < f.replicas/2+1 {
			return false
		}
		requiredRevisions[shard] = revision
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	f.pendingReads = append(f.pendingReads, quorumRead{startedAt, requiredRevisions})
	return true
}

// countUpToDate returns the number of members of a shard that are up to date, and the highest revision
// among these members. Only members that know the latest membership count: a replica whose slot was
// given to another replica may not know about it yet.
func countUpToDate(shard int, responses []controlapi.HeadsResponse) (responders int, revision uint64) {
	epoch := uint64(0)
	for _, response := range responses {
		if shard < len(response.Heads) {
			epoch = max(epoch, response.Heads[shard].Epoch)
		}
	}
	slots := map[int]bool{}
	for _, response := range responses {
		if shard >= len(response.Heads) {
			continue
		}
		head := response.Heads[shard]
		if head.Current && head.Epoch == epoch {
			slots[head.Slot] = true
			revision = max(revision, head.Revision)
		}
	}
	return len(slots), revision
}

// IsOpen reports whether the router may accept new requests now. installed returns the revision of a
// shard that the router has installed, and whether it has installed any.
func (f *FreshnessGate) IsOpen(now clock.Microseconds, installed func(shard int) (uint64, bool)) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	remaining := f.pendingReads[:0]
	for _, read := range f.pendingReads {
		switch {
		case now-read.startedAt > f.MaxStaleness:
		case satisfies(read.requiredRevisions, installed):
			f.recordSatisfied(read.startedAt)
		default:
			remaining = append(remaining, read)
		}
	}
	f.pendingReads = remaining
	return f.satisfied && now-f.satisfiedAt <= f.MaxStaleness
}

// recordSatisfied records that the read that started at startedAt is satisfied. The caller holds the
// lock.
func (f *FreshnessGate) recordSatisfied(startedAt clock.Microseconds) {
	if !f.satisfied || startedAt > f.satisfiedAt {
		f.satisfiedAt = startedAt
		f.satisfied = true
	}
}

// satisfies reports whether the installed revisions are at least as high as the required ones. A shard
// to which nothing has been written has the required revision 0, which needs no installed state.
func satisfies(requiredRevisions []uint64, installed func(shard int) (uint64, bool)) bool {
	for shard, required := range requiredRevisions {
		revision, ok := installed(shard)
		if !ok && required > 0 || revision < required {
			return false
		}
	}
	return true
}

// Staleness returns the time since the latest satisfied read started. If no read has been satisfied
// yet, it returns the value of the clock.
func (f *FreshnessGate) Staleness(now clock.Microseconds) clock.Microseconds {
	f.lock.Lock()
	defer f.lock.Unlock()
	return now - f.satisfiedAt
}
