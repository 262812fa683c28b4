package pool

import "coursepass/internal/clock"

// Stage is what an engine does for a request.
type Stage int

// The stages: an engine reads a prompt for another, or makes an answer.
const (
	ReadStage Stage = iota
	RunStage
)

const (
	// patienceLeast and patienceMost bound how much longer than expected an engine may take to
	// show something before a request is better sent elsewhere.
	patienceLeast = 600 * schedule.Millisecond
	patienceMost  = schedule.Second
	// lagStart is what lag and spread are taken to be before any was seen.
	lagStart = 60 * schedule.Millisecond
)

// lag is how much longer than expected engines take at one stage: the mean and the mean
// deviation from it, estimated as TCP does for its retransmission timeout (RFC 6298).
type lag struct{ mean, spread schedule.Microseconds }

func (lag *lag) add(sample schedule.Microseconds) {
	away := sample - lag.mean
	lag.spread += (max(away, -away) - lag.spread) / 4
	lag.mean += away / 8
}

func (lag *lag) limit() schedule.Microseconds {
	return min(max(lag.mean+4*lag.spread, patienceLeast), patienceMost)
}

// Patience is how long one request at an engine is expected to take to show something, and
// how long it is waited for at most.
type Patience struct{ Expected, Limit schedule.Microseconds }

// Patience is that for a request that goes to an engine now and is counted there already.
func (b *Pool) Patience(now schedule.Microseconds, life string, stage Stage) Patience {
	b.lock.Lock()
	defer b.lock.Unlock()
	each := b.member(life)
	tokens, share := each.reading, 0.5
	if stage == ReadStage {
		tokens, share = tokens+int(each.strangers(now)*b.mean), 1
	}
	expected := b.readTime(tokens, share)
	limit := 2*expected + b.lags[stage].limit()
	if each.cold(now) || stage == RunStage && b.full(now, each) {
		// It is slow, or has a queue of unknown length.
		limit += silence
	}
	return Patience{Expected: expected, Limit: limit}
}

// Took notes how long an engine took to show something.
func (b *Pool) Took(stage Stage, patience Patience, took schedule.Microseconds) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.lags[stage].add(took - patience.Expected)
}
