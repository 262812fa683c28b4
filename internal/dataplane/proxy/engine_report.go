package proxy

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/placement"
)

const (
	// engineReportInterval is how often at most the owner of an engine is told of it.
	engineReportInterval = 250 * clock.Millisecond
	// engineReportTimeout bounds the call.
	engineReportTimeout = 100 * clock.Millisecond
	// maxReportedEngines bounds the engines whose last report is remembered.
	maxReportedEngines = 1024
)

// reportEngine tells the owner of an engine that a call to it failed, or has shown nothing for longer than
// expected, so that no router sends more there for now. It does not wait for that, and a report that is
// lost is not repeated: the next failure is reported too.
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

// HandleEngineReport records another router's report at the engines that this router owns. A malformed one
// is ignored.
func (p *Proxy) HandleEngineReport(report *placement.EngineReport) {
	if report.Check() != nil {
		return
	}
	p.EngineReports.Add(1)
	if owned := p.placements.ownedBalancer(report.Service); owned != nil {
		owned.RecordOverdue(p.clock.Now(), report.Incarnation)
	}
}

// runInBackground runs a call that outlives its request, for so long at most. WaitForBackground waits for
// it.
func (p *Proxy) runInBackground(
	parent context.Context, timeout clock.Microseconds, call func(context.Context),
) {
	detached := context.WithoutCancel(parent)
	p.background.Go(func() {
		ctx, cancel := context.WithTimeout(detached, timeout.Duration())
		defer cancel()
		call(ctx)
	})
}

// WaitForBackground waits for the calls that have outlived their requests. It must not be called before the
// last request has ended.
func (p *Proxy) WaitForBackground() { p.background.Wait() }
