package balancer

import "coursepass/internal/clock"

const (
	// urgencyLevels is the number of urgency levels of engines. Level 0 is the most urgent.
	urgencyLevels = 10
	// prefillChunkTokens is the number of prompt tokens that an engine computes at once. A request waits
	// for at most one chunk of less urgent requests.
	prefillChunkTokens = 2048
)

// promptBacklog holds the number of prompt tokens that an engine has yet to compute, by the urgency of their
// requests.
type promptBacklog struct {
	tokens [urgencyLevels]float64
	// drainedAt is the time of the last call of drain.
	drainedAt clock.Microseconds
}

// add adds tokens to the level of an urgency. A negative number removes tokens.
func (p *promptBacklog) add(urgency, tokens int) {
	level := &p.tokens[min(max(urgency, 0), urgencyLevels-1)]
	*level = max(*level+float64(tokens), 0)
}

// total returns the number of tokens of all urgencies.
func (p *promptBacklog) total() int {
	sum := 0.0
	for _, tokens := range p.tokens {
		sum += tokens
	}
	return int(sum)
}

// tokensAhead returns the number of tokens that an engine computes before those of a new request: the tokens of
// equal or higher urgency, and at most one chunk of lower urgency that the engine may have begun.
func (p *promptBacklog) tokensAhead(urgency int) int {
	sum, lessUrgent := 0.0, 0.0
	for level, tokens := range p.tokens {
		if level <= urgency {
			sum += tokens
		} else {
			lessUrgent += tokens
		}
	}
	return int(sum + min(lessUrgent, prefillChunkTokens))
}

// drain removes the tokens that an engine has computed since the last call, the most urgent first. The rate is
// in tokens per millisecond.
func (p *promptBacklog) drain(now clock.Microseconds, rate float64) {
	computed := float64(max(now-p.drainedAt, 0)) / millisecondsToMicroseconds * rate
	p.drainedAt = now
	for level := range p.tokens {
		taken := min(p.tokens[level], computed)
		p.tokens[level] -= taken
		computed -= taken
	}
}
