package emulator

import (
	"fmt"
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/enginecommand"
)

// Observer watches one engine through all its incarnations. It knows nothing of how the fleet
// works: it sees commands and starts of runs, and records what must never happen. It is safe for
// use by several goroutines.
type Observer struct {
	// Lease is the least time between commands of two different leaders.
	Lease clock.Microseconds
	*RunLog
	clock *clock.Clock
	lock  sync.Mutex
	// highestTerm is the highest term of any command so far, and leader whose it was.
	highestTerm uint64
	leader      string
	// lastCommandBy has the time of the last command by leader.
	lastCommandBy map[string]clock.Microseconds
	commandCount  int64
	violations    []string
	// warmUpRejections counts rejected runs by incarnation.
	warmUpRejections map[string]int
}

// NewObserver makes an observer with a run log in memory, for a fleet with the given lease.
func NewObserver(lease clock.Microseconds) *Observer {
	return &Observer{
		Lease:            lease,
		RunLog:           &RunLog{},
		clock:            clock.New(),
		lastCommandBy:    map[string]clock.Microseconds{},
		warmUpRejections: map[string]int{},
	}
}

// Now is the time on the observer's own clock, which outlives the engine's.
func (o *Observer) Now() clock.Microseconds { return o.clock.Now() }

// RecordCommand checks a command that arrived: its term must not be lower than an earlier one's,
// and commands of two leaders must be at least a lease apart.
func (o *Observer) RecordCommand(now clock.Microseconds, command enginecommand.Command) {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.commandCount++
	if command.Term < o.highestTerm {
		o.recordViolation("term %d of %s after term %d of %s", command.Term, command.Leader, o.highestTerm, o.leader)
	}
	for leader, last := range o.lastCommandBy {
		if leader != command.Leader && now-last < o.Lease {
			o.recordViolation("%s sends a command %d µs after %s", command.Leader, now-last, leader)
		}
	}
	if command.Term >= o.highestTerm {
		o.highestTerm = command.Term
		o.leader = command.Leader
	}
	o.lastCommandBy[command.Leader] = now
}

// RecordWarmUpRejection counts a run that an incarnation rejected because it was warming up.
func (o *Observer) RecordWarmUpRejection(incarnation string) {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.warmUpRejections[incarnation]++
}

// MaxWarmUpRejections is the highest count of runs that one incarnation rejected while it was
// warming up.
func (o *Observer) MaxWarmUpRejections() int {
	o.lock.Lock()
	defer o.lock.Unlock()
	maxCount := 0
	for _, count := range o.warmUpRejections {
		maxCount = max(maxCount, count)
	}
	return maxCount
}

// RecordViolation records a violation that the engine found.
func (o *Observer) RecordViolation(format string, values ...any) {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.recordViolation(format, values...)
}

// recordViolation is RecordViolation with the lock held.
func (o *Observer) recordViolation(format string, values ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, values...))
}

// Term is the highest term of any command.
func (o *Observer) Term() uint64 {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.highestTerm
}

// CommandCount is how many commands arrived.
func (o *Observer) CommandCount() int64 {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.commandCount
}

// Violations returns a copy of all violations so far.
func (o *Observer) Violations() []string {
	o.lock.Lock()
	defer o.lock.Unlock()
	return append([]string(nil), o.violations...)
}
