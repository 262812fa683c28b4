package timesync

import (
	"slices"

	"coursepass/internal/clock"
)

const (
	// minVoters is the minimum number of voters at which a single wrong machine is outvoted.
	minVoters = 3
	// maxMachines is the maximum number of machines with a stored reading. When it is exceeded, the reading of the
	// machine that was heard from least recently is removed.
	maxMachines = 64
	// maxReadingAge is the time after which a reading is removed if its machine was not heard from again.
	maxReadingAge = 300 * clock.Second
	// maxRoundTrip is the maximum duration of a call whose response is used. The response may have been written at
	// any time during the call, so a longer call gives a less accurate reading.
	maxRoundTrip = clock.Second / 2
	// maxDriftDivisor limits the assumed drift between two clocks: they drift apart by at most 1/maxDriftDivisor of
	// the elapsed time, which is 200 ppm.
	maxDriftDivisor = 5000
	// minStep is the gap between two readings above which a wall clock counts as having jumped. Clocks that are
	// adjusted gradually change by less.
	minStep = 100 * clock.Millisecond
	// reliableError is the maximum error of a reliable estimate.
	reliableError = clock.Second / 4
)

// halves is the divisor that halves a range.
const halves = 2

func midpoint(low, high clock.Microseconds) clock.Microseconds { return low + (high-low)/halves }

// Exchange is a call to another machine whose response contained the machine's wall clock.
type Exchange struct {
	// Machine identifies the machine. All daemons on one machine have the same wall clock.
	Machine string
	// SentAt and ReceivedAt are times of the caller's monotonic clock.
	SentAt     clock.Microseconds
	ReceivedAt clock.Microseconds
	// WallClock is the time in the response, counted from the start of 1970.
	WallClock clock.Microseconds
}

// Estimate is an estimate of the true time. The estimated time is the time of the monotonic clock plus Offset.
type Estimate struct {
	Offset clock.Microseconds
	// Error is the maximum error of Offset, provided that most of the voters are right.
	Error clock.Microseconds
	// Voters is the number of machines on which the estimate is based.
	Voters int
}

// Reliable reports whether the estimate has enough voters to outvote a single wrong machine, and an error of at most
// reliableError.
func (e Estimate) Reliable() bool { return e.Voters >= minVoters && e.Error <= reliableError }

// reading is one measurement of a machine's wall clock. Its times are those of the monotonic clock.
type reading struct {
	// offset is the offset of the wall clock from the monotonic clock.
	offset clock.Microseconds
	// err is the maximum error of offset at readAt.
	err clock.Microseconds
	// readAt is the time to which offset applies.
	readAt clock.Microseconds
	// lastReadingAt is the time at which the latest reading of the machine arrived. It may be later than readAt, since an
	// older reading is kept if it is more accurate.
	lastReadingAt clock.Microseconds
	// stepped is true if the wall clock has jumped since the machine's first stored reading.
	stepped bool
}

// errorAt returns the reading's maximum error at a later time, including the drift between the clocks since readAt.
func (r reading) errorAt(now clock.Microseconds) clock.Microseconds {
	return r.err + max(now-r.readAt, 0)/maxDriftDivisor
}

// gapTo returns the gap between the ranges of the offset that two readings allow, or 0 if the ranges overlap. A gap
// means that the readings contradict each other.
func (r reading) gapTo(other reading, now clock.Microseconds) clock.Microseconds {
	distance := max(r.offset-other.offset, other.offset-r.offset)
	return max(distance-r.errorAt(now)-other.errorAt(now), 0)
}

// Estimator estimates the true time. It is not safe for concurrent use.
type Estimator struct {
	// self is the machine of the estimator's daemon.
	self string
	// readings holds one reading for each machine.
	readings map[string]reading
	estimate Estimate
	// estimated is true once an estimate has been computed.
	estimated bool
}

// NewEstimator returns an estimator for a daemon on the machine self. Until the first reading, its estimate is the
// zero value.
func NewEstimator(self string) *Estimator {
	return &Estimator{self: self, readings: map[string]reading{}}
}

// RecordOwn records the current time of the machine's own wall clock.
func (e *Estimator) RecordOwn(now, wallClock clock.Microseconds) {
	e.record(e.self, reading{offset: wallClock - now, readAt: now, lastReadingAt: now})
}

// RecordExchange records another machine's wall clock. It reports whether the exchange was used. An exchange is ignored
// if its times are out of order, it took longer than maxRoundTrip, its machine is unnamed or the daemon's own, or the
// response contained no wall clock.
func (e *Estimator) RecordExchange(exchange Exchange) bool {
	roundTrip := exchange.ReceivedAt - exchange.SentAt
	usable := roundTrip >= 0 && roundTrip <= maxRoundTrip && exchange.WallClock > 0
	if !usable || exchange.Machine == "" || exchange.Machine == e.self {
		return false
	}
	middle := midpoint(exchange.SentAt, exchange.ReceivedAt)
	e.record(exchange.Machine, reading{
		offset:        exchange.WallClock - middle,
		err:           exchange.ReceivedAt - middle,
		readAt:        middle,
		lastReadingAt: exchange.ReceivedAt,
	})
	return true
}

// record stores the more accurate of the known and the latest reading of a machine. If the two contradict each other,
// the machine's clock was changed, and the latest reading is stored.
func (e *Estimator) record(machine string, latest reading) {
	now := latest.lastReadingAt
	known, exists := e.readings[machine]
	kept := latest
	if exists {
		kept.stepped = known.stepped
		gap := known.gapTo(latest, now)
		switch {
		case gap > minStep:
			kept.stepped = true
		case gap == 0 && known.errorAt(now) < latest.errorAt(now):
			known.lastReadingAt = now
			kept = known
		}
	}
	e.readings[machine] = kept
	e.removeExpired(now)
	e.update(now)
}

// removeExpired removes expired readings. If more than maxMachines readings remain, it also removes the reading of the
// machine that was heard from least recently. The daemon's own machine is exempt from the second rule.
func (e *Estimator) removeExpired(now clock.Microseconds) {
	oldest, oldestReadingAt := "", clock.Never
	for machine, known := range e.readings {
		if now-known.lastReadingAt > maxReadingAge {
			delete(e.readings, machine)
			continue
		}
		isOlder := known.lastReadingAt < oldestReadingAt || known.lastReadingAt == oldestReadingAt && machine < oldest
		if machine != e.self && isOlder {
			oldest, oldestReadingAt = machine, known.lastReadingAt
		}
	}
	if len(e.readings) > maxMachines {
		delete(e.readings, oldest)
	}
}

// voters returns the readings on which the estimate is based: the readings of clocks that have not jumped, or all
// readings if fewer than minVoters clocks have not jumped.
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

// update computes the estimate. Each voter gives a range for the offset. If the ranges of most voters contain the
// true offset, then at least half of the lower ends are at or below the true offset, and at least half of the upper
// ends are at or above it. The true offset therefore lies between the median lower end and the median upper end.
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
		// Fewer than minVoters voters don't show which of them is wrong, so the estimate moves only as far as needed
		// to lie in the range.
		offset = min(max(e.estimate.Offset, low), high)
	}
	e.estimate = Estimate{Offset: offset, Error: max(high-offset, offset-low), Voters: len(voters)}
	e.estimated = true
}

// Estimate returns the estimate after the last recorded reading.
func (e *Estimator) Estimate() Estimate { return e.estimate }
