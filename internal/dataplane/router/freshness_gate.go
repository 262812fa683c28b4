package router

import (
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
)

// quorumRead is a quorum read that the installed state has not satisfied yet.
type quorumRead struct {
	startedAt clock.Microseconds
	// requiredRevisions are the revisions, by shard, that the read has seen.
	requiredRevisions []uint64
}

// FreshnessGate says whether a router's state is fresh enough to take new work. A quorum read sees
// everything that was acknowledged before it began; the gate is open while such a read, begun
// at most MaxStaleness ago, is satisfied by the revisions installed here.
type FreshnessGate struct {
	MaxStaleness clock.Microseconds
	shards       int
	replicas     int
	lock         sync.Mutex
	// satisfiedAt is when the latest satisfied read began, valid if satisfied is true.
	satisfiedAt  clock.Microseconds
	satisfied    bool
	pendingReads []quorumRead
}

// NewFreshnessGate returns a gate that is closed until the first read is satisfied.
func NewFreshnessGate(maxStaleness clock.Microseconds, shards, replicas int) *FreshnessGate {
	return &FreshnessGate{MaxStaleness: maxStaleness, shards: shards, replicas: replicas}
}

// RecordRead takes the members' responses to a read that began at a moment; false when they are no
// quorum of some shard.
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

// countUpToDate returns how many members of a shard are up to date, and the highest revision among
// them. Only those count that know the latest membership: a replica whose slot went to another
// may not know it yet.
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

// IsOpen reports whether new work may be taken now, given the revision installed of each shard.
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

// recordSatisfied notes that a read that began at a moment is satisfied.
func (f *FreshnessGate) recordSatisfied(startedAt clock.Microseconds) {
	if !f.satisfied || startedAt > f.satisfiedAt {
		f.satisfiedAt = startedAt
		f.satisfied = true
	}
}

// satisfies reports whether the installed revisions are as high as the required ones. A shard of
// which nothing was written needs no revision.
func satisfies(requiredRevisions []uint64, installed func(shard int) (uint64, bool)) bool {
	for shard, required := range requiredRevisions {
		revision, ok := installed(shard)
		if !ok && required > 0 || revision < required {
			return false
		}
	}
	return true
}

// Staleness is how long ago the latest satisfied read began.
func (f *FreshnessGate) Staleness(now clock.Microseconds) clock.Microseconds {
	f.lock.Lock()
	defer f.lock.Unlock()
	return now - f.satisfiedAt
}
