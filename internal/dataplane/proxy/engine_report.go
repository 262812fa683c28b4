package proxy

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/placement"
)

const (
	// engineReportInterval is the minimum time between two reports about the same engine.
	engineReportInterval = 250 * clock.Millisecond
	// engineReportTimeout is the timeout of the call that sends a report to an owner.
	engineReportTimeout = 100 * clock.Millisecond
	// maxReportedEngines is the maximum number of engines whose last report time is stored. When it is
	// reached, all stored times are dropped, so that engines may be reported again early.
	maxReportedEngines = 1024
)

// reportEngine reports to the placement owner of an engine that a call to the engine failed or has had
// no output for longer than expected. The owner then places no requests there for some time.
// reportEngine does not wait for the owner. A lost report is not repeated, because the next failure is
// reported too.
func (p *Proxy) reportEngine(ctx context.Context, service, incarnation string) {
	now := p.clock.Now()
	owner, ok := p.placements.beginEngineReport(now, service, incarnation)
	if !ok {
		return
	}
	if owner.Router == p.Router {
		p.HandleEngineReport(&placement.EngineReport{Router: p.Router, Service: service, Incarnation: incarnation})
		return
	}
	if p.Placer == nil || !p.placements.health.Allow(now, owner.Address) {
		return
	}
	p.runInBackground(ctx, engineReportTimeout, func(ctx context.Context) {
		report := &placement.EngineReport{Router: p.Router, Service: service, Incarnation: incarnation}
		if p.Placer.ReportEngine(ctx, owner, report) != nil {
			p.placements.health.RecordFailure(p.clock.Now(), owner.Address)
		}
	})
}

// HandleEngineReport handles a router's report about an engine that this router owns. It ignores
// malformed reports.
func (p *Proxy) HandleEngineReport(report *placement.EngineReport) {
	if report.Check() != nil {
		return
	}
	p.EngineReports.Add(1)
	if owned := p.placements.ownedBalancer(report.Service); owned != nil {
		owned.RecordOverdue(p.clock.Now(), report.Incarnation)
	}
}

// runInBackground runs a call that may outlive its request. The context of the call ends after the
// timeout. CloseBackground waits for the call; once it has begun, runInBackground does nothing.
func (p *Proxy) runInBackground(
	parent context.Context, timeout clock.Microseconds, call func(context.Context),
) {
	if !p.background.Begin() {
		return
	}
	detached := context.WithoutCancel(parent)
	go func() {
		defer p.background.End()
		ctx, cancel := context.WithTimeout(detached, timeout.Duration())
		defer cancel()
		call(ctx)
	}()
}

// CloseBackground waits for all calls that runInBackground has started, until the context ends. The calls of
// requests that are still in progress are not started any more.
func (p *Proxy) CloseBackground(ctx context.Context) error { return p.background.Close(ctx) }
