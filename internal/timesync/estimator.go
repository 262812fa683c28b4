package timesync

import (
	"slices"

	"coursepass/internal/clock"
)

const (
	// minVoters is how many machines outvote a single wrong one.
	minVoters = 3
	// maxMachines bounds the machines whose clocks are remembered; the one that was read longest ago is forgotten.
	maxMachines = 64
	// maxReadingAge is how long a reading counts.
	maxReadingAge = 300 * clock.Second
	// maxRoundTrip is the longest call whose answer is used: the answer may have been written at any time in it.
	maxRoundTrip = clock.Second / 2
	// maxDriftDivisor bounds the drift between two clocks: 1/5000 is 200 ppm.
	maxDriftDivisor = 5000
	// minStep is the least change of a wall clock that counts as a jump; clocks that are adjusted move by less.
	minStep = 100 * clock.Millisecond
	// reliableError is the largest error of an estimate that is called reliable.
	reliableError = clock.Second / 4
)

// halves is the number of halves of a range.
const halves = 2

func midpoint(low, high clock.Microseconds) clock.Microseconds { return low + (high-low)/halves }

// Exchange is a call to another machine, whose answer had the machine's wall clock.
type Exchange struct {
	// Machine names the machine: daemons on one machine have the same wall clock.
	Machine string
	// SentAt and ReceivedAt are on the caller's monotonic clock.
	SentAt     clock.Microseconds
	ReceivedAt clock.Microseconds
	// WallClock is counted from the start of 1970.
	WallClock clock.Microseconds
}

// Estimate is an estimate of the true time, as the offset that turns a moment of the monotonic clock into it.
type Estimate struct {
	Offset clock.Microseconds
	// Error is the largest error, if most of the machines that voted are right.
	Error clock.Microseconds
	// Voters is how many machines the estimate is based on.
	Voters int
}

// Reliable reports whether a single wrong machine can't have caused the estimate, and its error is small.
func (e Estimate) Reliable() bool { return e.Voters >= minVoters && e.Error <= reliableError }

// reading is what one wall clock showed: its offset from the monotonic clock at a moment, with the error.
type reading struct {
	offset  clock.Microseconds
	err     clock.Microseconds
	readAt  clock.Microseconds
	heardAt clock.Microseconds
	// stepped says that the wall clock has jumped since its machine is known.
	stepped bool
}

// errorAt is the reading's error at a later moment: the clocks may have drifted apart since.
func (r reading) errorAt(now clock.Microseconds) clock.Microseconds {
	return r.err + max(now-r.readAt, 0)/maxDriftDivisor
}

// gapTo returns by how much two readings contradict each other: how far apart the ranges are in which they
// place the offset, 0 if the ranges overlap.
func (r reading) gapTo(other reading, now clock.Microseconds) clock.Microseconds {
	distance := max(r.offset-other.offset, other.offset-r.offset)
	return max(distance-r.errorAt(now)-other.errorAt(now), 0)
}

// Estimator estimates the true time. It is not safe for concurrent use.
type Estimator struct {
	self     string
	readings map[string]reading
	estimate Estimate
	// estimated says that there was an estimate before.
	estimated bool
}

// NewEstimator returns an estimator for a daemon on a machine. Until the first reading it estimates nothing.
func NewEstimator(self string) *Estimator {
	return &Estimator{self: self, readings: map[string]reading{}}
}

// RecordOwn records what the machine's own wall clock shows now.
func (e *Estimator) RecordOwn(now, wallClock clock.Microseconds) {
	e.record(e.self, reading{offset: wallClock - now, readAt: now, heardAt: now})
}

// RecordExchange records another machine's wall clock. It reports whether the exchange was used: not one that
// took too long, was with the own machine, or had no wall clock in its answer.
func (e *Estimator) RecordExchange(exchange Exchange) bool {
	roundTrip := exchange.ReceivedAt - exchange.SentAt
	usable := roundTrip >= 0 && roundTrip <= maxRoundTrip && exchange.WallClock > 0
	if !usable || exchange.Machine == "" || exchange.Machine == e.self {
		return false
	}
	middle := midpoint(exchange.SentAt, exchange.ReceivedAt)
	e.record(exchange.Machine, reading{
		offset:  exchange.WallClock - middle,
		err:     exchange.ReceivedAt - middle,
		readAt:  middle,
		heardAt: exchange.ReceivedAt,
	})
	return true
}

// record keeps the better one of two readings of a machine, unless they contradict each other: then its clock
// was changed, and the later one counts.
func (e *Estimator) record(machine string, latest reading) {
	now := latest.heardAt
	known, exists := e.readings[machine]
	kept := latest
	if exists {
		kept.stepped = known.stepped
		gap := known.gapTo(latest, now)
		switch {
		case gap > minStep:
			kept.stepped = true
		case gap == 0 && known.errorAt(now) < latest.errorAt(now):
			known.heardAt = now
			kept = known
		}
	}
	e.readings[machine] = kept
	e.forget(now)
	e.update(now)
}

// forget removes old readings, and the one that was heard of longest ago if there are too many.
func (e *Estimator) forget(now clock.Microseconds) {
	oldest, oldestHeardAt := "", clock.Never
	for machine, known := range e.readings {
		if now-known.heardAt > maxReadingAge {
			delete(e.readings, machine)
			continue
		}
		isOlder := known.heardAt < oldestHeardAt || known.heardAt == oldestHeardAt && machine < oldest
		if machine != e.self && isOlder {
			oldest, oldestHeardAt = machine, known.heardAt
		}
	}
	if len(e.readings) > maxMachines {
		delete(e.readings, oldest)
	}
}

// voters returns the readings that count: those of clocks that have not jumped, or all if these are too few.
func (e *Estimator) voters() []reading {
	all := make([]reading, 0, len(e.readings))
	for _, known := range e.readings {
		all = append(all, known)
	}
	steady := slices.DeleteFunc(slices.Clone(all), func(known reading) bool { return known.stepped })
	if len(steady) >= minVoters {
		return steady
	}
	return all
}

// update computes the estimate. Each voter places the offset in a range. If the ranges of most voters contain the
// true offset, then at least half of the lower ends are below it and half of the upper ends above: so the true
// offset lies between the medians of the ends.
func (e *Estimator) update(now clock.Microseconds) {
	voters := e.voters()
	lowerEnds := make([]clock.Microseconds, len(voters))
	upperEnds := make([]clock.Microseconds, len(voters))
	for index, voter := range voters {
		lowerEnds[index] = voter.offset - voter.errorAt(now)
		upperEnds[index] = voter.offset + voter.errorAt(now)
	}
	slices.Sort(lowerEnds)
	slices.Sort(upperEnds)
	low, high := lowerEnds[(len(voters)-1)/2], upperEnds[len(voters)/2]
	offset := midpoint(low, high)
	if len(voters) < minVoters && e.estimated {
		// The few voters can't tell which of them is wrong: the estimate moves only as far as it must.
		offset = min(max(e.estimate.Offset, low), high)
	}
	e.estimate = Estimate{Offset: offset, Error: max(high-offset, offset-low), Voters: len(voters)}
	e.estimated = true
}

// Estimate returns the estimate as of the last reading.
func (e *Estimator) Estimate() Estimate { return e.estimate }
