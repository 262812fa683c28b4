package usagereport

import (
	"context"
	"sync"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/singleton"
	"coursepass/internal/platformport"
	"coursepass/internal/state/outbox"
	"coursepass/internal/usage"
)

// draftTimeout is how long Draft may not have been called until what was collected is dropped: another server may
// have led since, and more may be known.
const draftTimeout = 2 * clock.Second

// Task drafts the reports of usage.
type Task struct {
	Counters
	options  Options
	schedule schedule

	// lock guards what follows.
	lock sync.Mutex
	// draftedAt is when Draft was called last, on the monotonic clock.
	draftedAt clock.Microseconds
	// first is the first window that this server would report while none is, 0 before that is known.
	first uint64
	// skippedFrom is the window from which windows were skipped last, so that each is counted once.
	skippedFrom uint64
	// isCollecting is set while a window is being collected. collected is the last result, nil if there is none.
	isCollecting bool
	collected    *collectedWindow
}

// collectedWindow is a window that is ready to be reported.
type collectedWindow struct {
	platformport.UsageReport
	// isPartial says that not all was heard of it.
	isPartial bool
	// isDrafted is set once it was drafted, so that it is counted once.
	isDrafted bool
}

var (
	_ singleton.Task   = (*Task)(nil)
	_ singleton.Floors = (*Task)(nil)
)

// NewTask makes a task that has collected nothing yet.
func NewTask(options Options) *Task {
	return &Task{options: options, schedule: schedule{windows: options.Windows, delay: options.Delay}}
}

// Kind implements singleton.Task.
func (t *Task) Kind() string { return platformport.SingletonUsage }

// subject is what all reports are about: all windows together form one subject.
func subject() outbox.Subject { return outbox.Subject{Kind: platformport.SingletonUsage} }

// Floors implements singleton.Floors.
func (t *Task) Floors(clock.Microseconds) []outbox.Mark {
	return []outbox.Mark{{Subject: subject(), Number: t.schedule.lastDrafted(t.options.TrueTime.Now())}}
}

// Draft implements singleton.Task. It returns the report of the next window once that is collected, which happens
// in the background.
func (t *Task) Draft(ctx context.Context, now clock.Microseconds, held outbox.View) []outbox.Entry {
	t.lock.Lock()
	defer t.lock.Unlock()
	if now-t.draftedAt > draftTimeout {
		t.collected, t.first = nil, 0
	}
	t.draftedAt = now
	window := t.nextWindow(held)
	if t.collected != nil && t.collected.Window == window {
		t.countDraft(t.collected)
		return []outbox.Entry{t.entry(t.collected.UsageReport)}
	}
	t.collected = nil
	if !t.isCollecting && t.mayCollect(window) {
		t.isCollecting = true
		go t.collect(ctx, window)
	}
	return nil
}

// countDraft counts a report that is drafted for the first time.
func (t *Task) countDraft(drafted *collectedWindow) {
	if drafted.isDrafted {
		return
	}
	drafted.isDrafted = true
	t.Reported.Add(1)
	if drafted.isPartial {
		t.Partial.Add(1)
	}
	if t.options.TrueTime.Now() > t.schedule.dueAt(drafted.Window) {
		t.Late.Add(1)
	}
}

// nextWindow returns the window that is to be reported next, and counts those that are skipped. The lock must be
// held.
func (t *Task) nextWindow(held outbox.View) uint64 {
	trueTime := t.options.TrueTime.Now()
	reported, known := held.Highest(subject())
	if !known {
		if t.first == 0 {
			t.first = t.schedule.first(trueTime)
		}
		reported = t.first - 1
	}
	window, skipped := t.schedule.next(reported, trueTime)
	if skipped > 0 && t.skippedFrom != reported {
		t.skippedFrom = reported
		t.Skipped.Add(int64(skipped))
		log.Warn().Str("server", t.options.Server).Uint64("from", reported+1).Uint64("to", window-1).
			Msg("usage not reported, too many windows are waiting")
	}
	return window
}

func (t *Task) mayCollect(window uint64) bool {
	now, estimate := t.options.TrueTime.Now(), t.options.TrueTime.Estimate()
	if !estimate.Reliable() {
		t.TimeUncertain.Add(1)
	}
	return t.schedule.mayCollect(window, now, estimate)
}

// entry returns the outbox's entry for a report.
func (t *Task) entry(report platformport.UsageReport) outbox.Entry {
	return outbox.Entry{
		Subject:   subject(),
		Number:    report.Window,
		Retention: outbox.RetainEach,
		Priority:  outbox.PriorityReport,
		Payload:   t.options.Encode(report),
	}
}

// collect collects a window, and keeps the result for Draft.
func (t *Task) collect(ctx context.Context, window uint64) {
	collection := t.gather(ctx, window)
	unheard := collection.LedgersWithoutDigests()
	result := &collectedWindow{
		UsageReport: platformport.UsageReport{Window: window, Counts: collection.Totals()},
		isPartial:   len(unheard) > 0 || !collection.Complete(),
	}
	if result.isPartial && ctx.Err() == nil {
		log.Warn().Str("server", t.options.Server).Uint64("window", window).Strs("unheard", unheard).
			Msg("usage is reported without some servers")
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	t.isCollecting = false
	if ctx.Err() == nil {
		t.collected = result
	}
}

// gather collects from all servers. Those that don't answer are asked again until they are given up; each time the
// others are asked anew too, as they may know more by then.
func (t *Task) gather(ctx context.Context, window uint64) *usage.Collection {
	for {
		round := newCollectionRound(t.options, window)
		round.readDigests(ctx)
		isLast := t.options.TrueTime.Now()+retryInterval >= t.schedule.giveUpAt(window)
		if len(round.collection.LedgersWithoutDigests()) == 0 || isLast || ctx.Err() != nil {
			round.readCounts(ctx)
			return round.collection
		}
		waitFor(ctx, retryInterval)
	}
}
