package proxy

import (
	"context"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/platformport"
	"coursepass/internal/state/maintenance"
)

const (
	// migrationBackoff is how long a stream waits after a failed migration attempt.
	migrationBackoff = 250 * clock.Millisecond
	// migrationTimeout limits how long the new engine may take to respond; clients give up after
	// two seconds without data.
	migrationTimeout = clock.Second
)

// migrationDue reports whether it is time for the stream to leave the region of its engine.
func (f *forwardedRequest) migrationDue(decoder platformport.Engine) bool {
	now := f.now()
	if now < f.nextMigrationAt || !f.proxy.maintenance.HasActive() {
		return false
	}
	region := f.proxy.Regions.RegionOf(decoder.Zone)
	return f.proxy.maintenance.ShouldMigrate(now, region, f.request.RequestID)
}

// migrate has another engine continue the stream after the last event that the client has. The old
// engine keeps its run, unread, until the new one has responded: a failed migration costs the
// client no event. It reports whether the stream has migrated, and if so the outcome of the new
// run.
func (f *forwardedRequest) migrate(ctx context.Context, call runningCall) (attemptOutcome, bool) {
	f.nextMigrationAt = f.now() + migrationBackoff
	incarnation := call.decoder.Incarnation
	if f.attempts >= f.route.MaxAttempts || !f.proxy.beginMigration(incarnation) {
		return outcomeEnded, false
	}
	selection, ok := f.selectEngines(ctx)
	if !ok || selection.Full || f.exceedsGap(selection, call.decoder) || !f.acquireRetry() {
		f.abortMigration(incarnation)
		return outcomeEnded, false
	}
	migrationCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(migrationTimeout.Duration(), cancel)
	defer timer.Stop()
	detach := call.detach
	f.adopted = false
	f.detachPrevious = func() bool {
		if !timer.Stop() {
			return false
		}
		f.proxy.endMigration(incarnation)
		detach()
		f.proxy.Migrated.Add(1)
		return true
	}
	f.mustTransition(StateResuming)
	outcome := f.attempt(migrationCtx, selection)
	if f.adopted {
		return outcome, true
	}
	f.detachPrevious = nil
	f.mustTransition(StateResuming)
	f.mustTransition(lifecycle.StateStreaming)
	f.abortMigration(incarnation)
	return outcomeEnded, false
}

// exceedsGap reports whether a migration would pause the stream for longer than the route's target.
// Once the maintenance window is over the stream migrates all the same.
func (f *forwardedRequest) exceedsGap(selection balancer.Selection, decoder platformport.Engine) bool {
	phase := f.proxy.maintenance.Phase(f.now(), f.proxy.Regions.RegionOf(decoder.Zone))
	if phase == maintenance.PhaseEnded || f.route.EventTimeout <= 0 {
		return false
	}
	return selection.TimeToFirstToken > f.route.EventTimeout
}

// abortMigration leaves the stream at its engine until migrationBackoff has passed.
func (f *forwardedRequest) abortMigration(incarnation string) {
	f.proxy.endMigration(incarnation)
	f.proxy.MigrationsAborted.Add(1)
	f.nextMigrationAt = f.now() + migrationBackoff
}

// beginMigration begins a migration away from an engine. It reports false while there is another:
// one at a time keeps the other engines from being flooded.
func (p *Proxy) beginMigration(incarnation string) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.migratingEngines[incarnation] {
		return false
	}
	p.migratingEngines[incarnation] = true
	return true
}

// endMigration permits the next migration away from an engine.
func (p *Proxy) endMigration(incarnation string) {
	p.lock.Lock()
	defer p.lock.Unlock()
	delete(p.migratingEngines, incarnation)
}
