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

// draftTimeout is the maximum time between two calls of Draft for which a collected window is kept. After a longer
// pause it is dropped: another server may have led meanwhile, and the ledgers may have more usage of the window.
const draftTimeout = 2 * clock.Second

// Task drafts the usage reports.
type Task struct {
	Counters
	options  Options
	schedule schedule

	// lock guards the fields below.
	lock sync.Mutex
	// draftedAt is the monotonic time of the last call of Draft.
	draftedAt clock.Microseconds
	// firstWindow is the window that this server reports first if none has been reported before. It is 0 until it is
	// set by nextWindow.
	firstWindow uint64
	// skippedAfter is the reported window after which windows were last skipped. It prevents the same skipped windows
	// from being counted again.
	skippedAfter uint64
	// isCollecting is true while a window is being collected. collected is the last collected window, nil if there is
	// none.
	isCollecting bool
	collected    *collectedWindow
}

// collectedWindow is the collected usage of a window that is ready to be reported.
type collectedWindow struct {
	platformport.UsageReport
	// isPartial is true if some usage of the window could not be collected.
	isPartial bool
	// isDrafted is true once the report has been drafted. It prevents the report from being counted again.
	isDrafted bool
}

var (
	_ singleton.Task   = (*Task)(nil)
	_ singleton.Floors = (*Task)(nil)
)

// NewTask returns a task that has not collected any window.
func NewTask(options Options) *Task {
	return &Task{options: options, schedule: schedule{windows: options.Windows, delay: options.Delay}}
}

// Kind implements singleton.Task.
func (t *Task) Kind() string { return platformport.SingletonUsage }

// subject returns the outbox subject of all reports: the windows are numbered entries of a single subject.
func subject() outbox.Subject { return outbox.Subject{Kind: platformport.SingletonUsage} }

// Floors implements singleton.Floors.
func (t *Task) Floors(clock.Microseconds) []outbox.Mark {
	return []outbox.Mark{{Subject: subject(), Number: t.schedule.lastDraftable(t.options.TrueTime.Now())}}
}

// Draft implements singleton.Task. It starts to collect the next window in the background, and returns the report of
// the window once it is collected.
func (t *Task) Draft(ctx context.Context, now clock.Microseconds, committed outbox.View) []outbox.Entry {
	t.lock.Lock()
	defer t.lock.Unlock()
	if now-t.draftedAt > draftTimeout {
		t.collected, t.firstWindow = nil, 0
	}
	t.draftedAt = now
	window := t.nextWindow(committed)
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

// countDraft updates the counters when a report is drafted for the first time.
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

// nextWindow returns the next window to report, and counts and logs the windows that are skipped. The caller must
// hold the lock.
func (t *Task) nextWindow(committed outbox.View) uint64 {
	trueTime := t.options.TrueTime.Now()
	reported, known := committed.Highest(subject())
	if !known {
		if t.firstWindow == 0 {
			t.firstWindow = t.schedule.firstWindow(trueTime)
		}
		reported = t.firstWindow - 1
	}
	window, skipped := t.schedule.nextWindow(reported, trueTime)
	if skipped > 0 && t.skippedAfter != reported {
		t.skippedAfter = reported
		t.Skipped.Add(int64(skipped))
		log.Warn().Str("server", t.options.Server).Uint64("from", reported+1).Uint64("to", window-1).
			Msg("usage not reported, too many windows are waiting")
	}
	return window
}

// mayCollect reports whether a window may be collected now. It counts the cases in which the estimate of the true time
// is not reliable.
func (t *Task) mayCollect(window uint64) bool {
	now, estimate := t.options.TrueTime.Now(), t.options.TrueTime.Estimate()
	if !estimate.Reliable() {
		t.TimeUncertain.Add(1)
	}
	return t.schedule.mayCollect(window, now, estimate)
}

// entry returns the outbox entry for a report.
func (t *Task) entry(report platformport.UsageReport) outbox.Entry {
	return outbox.Entry{
		Subject:   subject(),
		Number:    report.Window,
		Retention: outbox.RetainEach,
		Priority:  outbox.PriorityReport,
		Payload:   t.options.Encode(report),
	}
}

// collect collects a window, and stores the result for Draft unless the context has ended.
func (t *Task) collect(ctx context.Context, window uint64) {
	collection := t.collectFromServers(ctx, window)
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

// collectFromServers collects a window from all servers. While a server does not answer, the round is repeated until
// the window's time to give up. Each round requests the digests of all servers again, since the ledgers may have
// changed.
func (t *Task) collectFromServers(ctx context.Context, window uint64) *usage.Collection {
	for {
		round := newCollectionRound(t.options, window)
		round.readDigests(ctx)
		isFinalRound := t.options.TrueTime.Now()+retryInterval >= t.schedule.giveUpAt(window)
		if len(round.collection.LedgersWithoutDigests()) == 0 || isFinalRound || ctx.Err() != nil {
			round.readCounts(ctx)
			return round.collection
		}
		waitFor(ctx, retryInterval)
	}
}
