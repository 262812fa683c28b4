package emulator

import (
	"fmt"
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/enginecommand"
)

// Observer watches one engine through all its lives. It knows nothing of how the
// fleet works: it sees orders and starts, and flags what must never happen.
type Observer struct {
	Lease clock.Microseconds
	*RunLog
	clock            *clock.Clock
	lock             sync.Mutex
	highestTerm      uint64
	leader           string
	lastCommandBy    map[string]clock.Microseconds
	commandCount     int64
	violations       []string
	warmUpRejections map[string]int
}

// NewObserver watches for holders that take turns within the lease.
func NewObserver(lease clock.Microseconds) *Observer {
	return &Observer{Lease: lease, RunLog: &RunLog{}, clock: clock.New(), lastCommandBy: map[string]clock.Microseconds{}, warmUpRejections: map[string]int{}}
}

// Now is the observer's own clock, which outlives the engine's.
func (o *Observer) Now() clock.Microseconds { return o.clock.Now() }

// RecordCommand sees an order arrive.
func (o *Observer) RecordCommand(now clock.Microseconds, command enginecommand.Command) {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.commandCount++
	if command.Term < o.highestTerm {
		o.recordViolation("round %d of %s after round %d of %s", command.Term, command.Leader, o.highestTerm, o.leader)
	}
	for leader, last := range o.lastCommandBy {
		if leader != command.Leader && now-last < o.Lease {
			o.recordViolation("%s orders %d µs after %s", command.Leader, now-last, leader)
		}
	}
	if command.Term >= o.highestTerm {
		o.highestTerm, o.leader = command.Term, command.Leader
	}
	o.lastCommandBy[command.Leader] = now
}

// RecordWarmUpRejection sees a cold life of the engine turn work away.
func (o *Observer) RecordWarmUpRejection(incarnation string) {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.warmUpRejections[incarnation]++
}

// MaxWarmUpRejections is the most that one life turned away while it was cold.
func (o *Observer) MaxWarmUpRejections() int {
	o.lock.Lock()
	defer o.lock.Unlock()
	maxCount := 0
	for _, count := range o.warmUpRejections {
		maxCount = max(maxCount, count)
	}
	return maxCount
}

// RecordViolation notes a violation seen elsewhere in the engine.
func (o *Observer) RecordViolation(format string, values ...any) {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.recordViolation(format, values...)
}

func (o *Observer) recordViolation(format string, values ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, values...))
}

// Term is the highest round heard.
func (o *Observer) Term() uint64 {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.highestTerm
}

// CommandCount is how many orders arrived.
func (o *Observer) CommandCount() int64 {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.commandCount
}

// Violations is all that was flagged.
func (o *Observer) Violations() []string {
	o.lock.Lock()
	defer o.lock.Unlock()
	return append([]string(nil), o.violations...)
}
