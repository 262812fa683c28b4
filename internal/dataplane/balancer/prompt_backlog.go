package balancer

import "coursepass/internal/clock"

const (
	// urgencyLevels is the number of urgencies that engines know, 0 is the most urgent.
	urgencyLevels = 10
	// prefillChunkTokens is how many prompt tokens an engine computes at once: a more urgent prompt waits
	// for no more than that of a less urgent one.
	prefillChunkTokens = 2048
)

// promptBacklog is how many prompt tokens an engine has yet to compute, by the urgency of their requests.
type promptBacklog struct {
	tokens [urgencyLevels]float64
	// drainedAt is up to when drain has taken tokens away.
	drainedAt clock.Microseconds
}

// add adds tokens; a negative number takes them back.
func (p *promptBacklog) add(urgency, tokens int) {
	level := &p.tokens[min(max(urgency, 0), urgencyLevels-1)]
	*level = max(*level+float64(tokens), 0)
}

// total returns the tokens of all urgencies.
func (p *promptBacklog) total() int {
	sum := 0.0
	for _, tokens := range p.tokens {
		sum += tokens
	}
	return int(sum)
}

// ahead returns the tokens that an engine computes before those of a request that it gets now: the ones
// that are as urgent or more, and the chunk that it has begun.
func (p *promptBacklog) ahead(urgency int) int {
	sum, less := 0.0, 0.0
	for level, tokens := range p.tokens {
		if level <= urgency {
			sum += tokens
		} else {
			less += tokens
		}
	}
	return int(sum + min(less, prefillChunkTokens))
}

// drain takes away what an engine has computed since the last call, at a rate in tokens per millisecond,
// the most urgent first.
func (p *promptBacklog) drain(now clock.Microseconds, rate float64) {
	computed := float64(max(now-p.drainedAt, 0)) / millisecondsToMicroseconds * rate
	p.drainedAt = now
	for level := range p.tokens {
		taken := min(p.tokens[level], computed)
		p.tokens[level] -= taken
		computed -= taken
	}
}
