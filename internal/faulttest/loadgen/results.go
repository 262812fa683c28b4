package loadgen

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"coursepass/internal/clock"
)

// LatencySummary is the median, the 99th hundredth and the worst of a figure.
type LatencySummary struct {
	Count  int                `json:"count"`
	Median clock.Microseconds `json:"medianMicroseconds"`
	P99    clock.Microseconds `json:"p99Microseconds"`
	Max    clock.Microseconds `json:"worstMicroseconds"`
}

// Results are what a run measured and found.
type Results struct {
	Sent              int                       `json:"sent"`
	Outcomes          map[string]int            `json:"endings"`
	LateStarts        int                       `json:"lateStarts"`
	RunLogsRead       int                       `json:"engineBooksRead"`
	RunLogsMissing    int                       `json:"engineBooksMissing"`
	PrefillsStarted   int                       `json:"prefillsBegun"`
	Keys              int                       `json:"keys"`
	Violations        []string                  `json:"violations"`
	FirstTokenLatency map[string]LatencySummary `json:"start"`
	TotalLatency      map[string]LatencySummary `json:"whole"`
	firstTokenSamples map[string][]clock.Microseconds
	totalSamples      map[string][]clock.Microseconds
}

// NewResults is empty.
func NewResults() Results {
	return Results{
		Outcomes: map[string]int{}, FirstTokenLatency: map[string]LatencySummary{}, TotalLatency: map[string]LatencySummary{}, Violations: []string{},
		firstTokenSamples: map[string][]clock.Microseconds{}, totalSamples: map[string][]clock.Microseconds{},
	}
}

func (r *Results) addViolation(text string) { r.Violations = append(r.Violations, text) }

func (r *Results) addResult(sample requestSample) {
	r.Sent++
	r.Outcomes[sample.outcome]++
	for _, violation := range sample.violations {
		r.addViolation(violation + ": " + sample.key)
	}
	if sample.firstFrameAt > 0 {
		r.firstTokenSamples[sample.kind] = append(r.firstTokenSamples[sample.kind], sample.firstFrameAt)
		if sample.firstFrameAt > sample.template.StartTimeout() {
			r.LateStarts++
		}
	}
	if sample.outcome == "whole" {
		r.totalSamples[sample.kind] = append(r.totalSamples[sample.kind], sample.endedAt)
	}
}

func summarize(values []clock.Microseconds) LatencySummary {
	if len(values) == 0 {
		return LatencySummary{}
	}
	sorted := slices.Sorted(slices.Values(values))
	return LatencySummary{len(sorted), sorted[len(sorted)/2], sorted[len(sorted)*99/100], sorted[len(sorted)-1]}
}

// Print writes the figures for people or, as JSON, for programs.
func (r *Results) Print(writer io.Writer, asJSON bool) {
	for kind, values := range r.firstTokenSamples {
		r.FirstTokenLatency[kind] = summarize(values)
	}
	for kind, values := range r.totalSamples {
		r.TotalLatency[kind] = summarize(values)
	}
	if asJSON {
		_ = json.NewEncoder(writer).Encode(r)
		return
	}
	fmt.Fprintf(writer, "sent %d, late starts %d, engine books read %d, missing %d, prefills begun %d\n", r.Sent, r.LateStarts, r.RunLogsRead, r.RunLogsMissing, r.PrefillsStarted)
	for _, name := range slices.Sorted(maps.Keys(r.Outcomes)) {
		fmt.Fprintf(writer, "  ending %-40s %6d\n", name, r.Outcomes[name])
	}
	for _, section := range []struct {
		name      string
		summaries map[string]LatencySummary
	}{{"start", r.FirstTokenLatency}, {"whole", r.TotalLatency}} {
		for _, kind := range slices.Sorted(maps.Keys(section.summaries)) {
			summary := section.summaries[kind]
			fmt.Fprintf(writer, "  %s %-12s count %6d  median %8d µs  p99 %8d µs  worst %8d µs\n", section.name, kind, summary.Count, summary.Median, summary.P99, summary.Max)
		}
	}
	fmt.Fprintf(writer, "violations %d\n", len(r.Violations))
	for _, violation := range r.Violations {
		fmt.Fprintln(writer, "  "+violation)
	}
}
