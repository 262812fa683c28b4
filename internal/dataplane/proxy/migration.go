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
	// migrationBackoff is the time that a stream waits after a failed migration attempt before the next
	// one.
	migrationBackoff = 250 * clock.Millisecond
	// migrationTimeout is the maximum time that the new engine may take to respond. Clients give up
	// after two seconds without data.
	migrationTimeout = clock.Second
)

// migrationDue reports whether the stream has to migrate to another region now.
func (f *forwardedRequest) migrationDue(decoder platformport.Engine) bool {
	now := f.now()
	if now < f.nextMigrationAt || !f.proxy.maintenance.HasActive() {
		return false
	}
	region := f.proxy.Regions.RegionOf(decoder.Zone)
	return f.proxy.maintenance.ShouldMigrate(now, region, f.request.RequestID)
}

// migrate moves the stream to another engine, which continues it after the last relayed event. The
// call to the old engine stays open, unread, until the new engine has responded, so that the client
// loses no event if the migration fails. It reports whether the stream was migrated and, if so, the
// outcome of the attempt at the new engine.
func (f *forwardedRequest) migrate(ctx context.Context, call runningCall) (attemptOutcome, bool) {
	f.nextMigrationAt = f.now() + migrationBackoff
	incarnation := call.decoder.Incarnation
	if f.attempts >= f.route.MaxAttempts || !f.proxy.beginMigration(incarnation) {
		return outcomeEnded, false
	}
	selection, ok := f.selectEngines(ctx)
	if !ok || selection.Full || f.exceedsPauseTarget(selection, call.decoder) || !f.acquireRetry() {
		f.abortMigration(incarnation)
		return outcomeEnded, false
	}
	migrationCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(migrationTimeout.Duration(), cancel)
	defer timer.Stop()
	abort := call.abort
	f.relayStarted = false
	f.abortPrevious = func() bool {
		if !timer.Stop() {
			return false
		}
		f.proxy.endMigration(incarnation)
		abort()
		f.proxy.Migrated.Add(1)
		return true
	}
	f.tryTransition(StateResuming)
	outcome := f.attempt(migrationCtx, selection)
	if f.relayStarted {
		return outcome, true
	}
	f.abortPrevious = nil
	f.tryTransition(StateResuming)
	f.tryTransition(lifecycle.StateStreaming)
	f.abortMigration(incarnation)
	return outcomeEnded, false
}

// exceedsPauseTarget reports whether a migration is expected to pause the stream for longer than the
// route's target. It returns false after the end of the maintenance window, when the stream must migrate
// in any case.
func (f *forwardedRequest) exceedsPauseTarget(selection balancer.Selection, decoder platformport.Engine) bool {
	phase := f.proxy.maintenance.Phase(f.now(), f.proxy.Regions.RegionOf(decoder.Zone))
	if phase == maintenance.PhaseEnded || f.route.EventTimeout <= 0 {
		return false
	}
	return selection.TimeToFirstToken > f.route.EventTimeout
}

// abortMigration ends a failed migration attempt. The stream stays at its engine, and the next attempt
// starts after migrationBackoff at the earliest.
func (f *forwardedRequest) abortMigration(incarnation string) {
	f.proxy.endMigration(incarnation)
	f.proxy.MigrationsAborted.Add(1)
	f.nextMigrationAt = f.now() + migrationBackoff
}

// beginMigration starts a migration away from an engine. It reports false while another stream migrates
// away from the same engine. Migrating one stream at a time avoids a burst of load on the other
// engines.
func (p *Proxy) beginMigration(incarnation string) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.migratingEngines[incarnation] {
		return false
	}
	p.migratingEngines[incarnation] = true
	return true
}

// endMigration ends a migration away from an engine and permits the next one.
func (p *Proxy) endMigration(incarnation string) {
	p.lock.Lock()
	defer p.lock.Unlock()
	delete(p.migratingEngines, incarnation)
}
