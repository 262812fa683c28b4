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
	// migrationBackoff is how long a stream that could not be moved waits until it is tried again.
	migrationBackoff = 250 * clock.Millisecond
	// migrationTimeout is how long the engine that is to go on may take to answer; callers give up
	// after two seconds of silence.
	migrationTimeout = clock.Second
)

// migrationDue tells whether a stream's moment has come to leave the region of its engine.
func (way *forwardedRequest) migrationDue(decoder platformport.Engine) bool {
	now := way.now()
	return now >= way.nextMigrationAt && way.proxy.maintenance.HasActive() && way.proxy.maintenance.ShouldMigrate(now, way.proxy.Regions.RegionOf(decoder.Zone), way.request.RequestID)
}

// migrate has another engine go on behind the last whole event that the caller has. The engine
// that it leaves keeps its run, unread, until the other's answer has come: a move that comes
// to nothing costs the caller no event. It says whether the stream has left.
func (way *forwardedRequest) migrate(ctx context.Context, decoder platformport.Engine, detach func()) (attemptOutcome, bool) {
	way.nextMigrationAt = way.now() + migrationBackoff
	if way.attempts >= way.route.Tries || !way.proxy.beginMigration(decoder.Incarnation) {
		return outcomeEnded, false
	}
	endMigration := func() { way.proxy.endMigration(decoder.Incarnation) }
	selection, ok := way.selectEngines()
	if !ok || selection.Full || way.exceedsGap(selection, decoder) || !way.acquireRetry() {
		return way.abortMigration(endMigration)
	}
	migrationCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(migrationTimeout.Duration(), cancel)
	defer timer.Stop()
	way.adopted = false
	way.detachPrevious = func() bool {
		if !timer.Stop() {
			return false
		}
		endMigration()
		detach()
		way.proxy.Migrated.Add(1)
		return true
	}
	way.mustTransition(StateResuming)
	result := way.attempt(migrationCtx, selection)
	if way.adopted {
		return result, true
	}
	way.detachPrevious = nil
	if way.State != StateResuming {
		way.mustTransition(StateResuming)
	}
	way.mustTransition(lifecycle.StateStreaming)
	return way.abortMigration(endMigration)
}

// exceedsGap tells whether a move would pause the stream for longer than its budget of pauses.
// Once the window is over it leaves all the same.
func (way *forwardedRequest) exceedsGap(selection balancer.Selection, decoder platformport.Engine) bool {
	drainEnded := way.proxy.maintenance.Phase(way.now(), way.proxy.Regions.RegionOf(decoder.Zone)) == maintenance.PhaseEnded
	return !drainEnded && way.route.Gap > 0 && selection.TimeToFirstToken > way.route.Gap
}

func (way *forwardedRequest) abortMigration(endMigration func()) (attemptOutcome, bool) {
	endMigration()
	way.proxy.MigrationsAborted.Add(1)
	way.nextMigrationAt = way.now() + migrationBackoff
	return outcomeEnded, false
}

// beginMigration begins a move from an engine, one at a time, so that the others aren't flooded.
func (p *Proxy) beginMigration(incarnation string) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.migratingEngines[incarnation] {
		return false
	}
	p.migratingEngines[incarnation] = true
	return true
}

func (p *Proxy) endMigration(incarnation string) {
	p.lock.Lock()
	defer p.lock.Unlock()
	delete(p.migratingEngines, incarnation)
}

// PendingCalls counts the calls under way at engines of regions under notice, by engine.
func (p *Proxy) PendingCalls() map[string]int {
	regions := p.maintenance.Regions()
	if len(regions) == 0 {
		return nil
	}
	counts := map[string]int{}
	p.lock.Lock()
	defer p.lock.Unlock()
	for _, lb := range p.balancers {
		lb.CountPending(regions, counts)
	}
	return counts
}
