package leadertasks

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/state/registry"
)

const (
	// pollInterval is the interval at which a leader polls all engines.
	pollInterval = 500 * clock.Millisecond
	// pollTimeout is the timeout of one poll of all engines.
	pollTimeout = 400 * clock.Millisecond
	// unresponsiveAfter is how long an engine may go without a report before it gets no new work.
	unresponsiveAfter = 1500 * clock.Millisecond
	// maxReportBytes is the maximum size of a report that is read from an engine.
	maxReportBytes = 1 << 20
)

// engineObservation is the leader's record of an engine: the engine's last report and related times.
type engineObservation struct {
	registry.Report
	reportedAt clock.Microseconds
	// suspectedUntil is the time when the engine may be assigned again after a reported failure.
	suspectedUntil clock.Microseconds
	// unpairedSince is the time when the engine left the committed assignment, or 0 while the engine is in it.
	unpairedSince clock.Microseconds
	// baseline is subtracted from the cumulative busy times of the report. With each draft of an assignment it
	// moves a step closer to the report.
	baseline registry.Report
}

// pollEngines requests the reports of all registered engines, and waits for the responses.
func (l *ServiceLeader) pollEngines(parent context.Context, view registry.View) {
	ctx, cancel := context.WithTimeout(parent, pollTimeout.Duration())
	defer cancel()
	var group sync.WaitGroup
	for _, engine := range view.Engines {
		group.Go(func() {
			l.polls.Add(1)
			l.options.Transport.Meter.SetZone(engine.Address, engine.Zone)
			report, err := l.fetchReport(ctx, engine.Address)
			if err != nil || report.Name != engine.Name || report.Incarnation != engine.Incarnation {
				return
			}
			l.recordReport(report)
		})
	}
	group.Wait()
}

func (l *ServiceLeader) recordReport(report registry.Report) {
	l.lock.Lock()
	defer l.lock.Unlock()
	observation, exists := l.observations[report.Name]
	if !exists {
		observation = &engineObservation{baseline: report}
		l.observations[report.Name] = observation
	}
	if exists && observation.Incarnation != report.Incarnation {
		observation.baseline, observation.suspectedUntil = report, 0
	}
	observation.Report, observation.reportedAt = report, l.options.Clock.Now()
}

func (l *ServiceLeader) fetchReport(ctx context.Context, address string) (registry.Report, error) {
	var report registry.Report
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/report", http.NoBody)
	if err != nil {
		return report, errcode.Wrap(err, errcode.MalformedMessage, address)
	}
	response, err := l.client.Do(request)
	if err != nil {
		return report, errcode.Wrap(err, errcode.ConnectionLost, address)
	}
	defer func() { _ = response.Body.Close() }() // The report was read, or the read error is more useful.
	err = json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&report)
	return report, errcode.Wrap(err, errcode.MalformedMessage, address)
}

// freshReport returns the report of an engine if the engine answered the last poll.
func (l *ServiceLeader) freshReport(name string) (registry.Report, bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	observation, exists := l.observations[name]
	if !exists || l.options.Clock.Now()-observation.reportedAt > pollInterval+pollTimeout {
		return registry.Report{}, false
	}
	return observation.Report, true
}

// RecentReports returns the last reports of all responsive engines, or nil if this server does not lead the shard.
func (l *ServiceLeader) RecentReports() []registry.Report {
	if !l.isOwner() {
		return nil
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	var reports []registry.Report
	for _, observation := range l.observations {
		if l.options.Clock.Now()-observation.reportedAt < unresponsiveAfter {
			reports = append(reports, observation.Report)
		}
	}
	return reports
}
