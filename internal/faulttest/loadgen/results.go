package loadgen

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"coursepass/internal/clock"
)

// LatencySummary is the median, the 99th percentile and the maximum of a latency.
type LatencySummary struct {
	Count  int                `json:"count"`
	Median clock.Microseconds `json:"medianMicroseconds"`
	P99    clock.Microseconds `json:"p99Microseconds"`
	Max    clock.Microseconds `json:"worstMicroseconds"`
}

// Results are the counts, latencies and violations of a run. The latencies are set by Print.
type Results struct {
	Sent     int             `json:"sent"`
	Outcomes map[Outcome]int `json:"endings"`
	// LateStarts counts first frames that came after the start timeout.
	LateStarts      int      `json:"lateStarts"`
	RunLogsRead     int      `json:"engineBooksRead"`
	RunLogsMissing  int      `json:"engineBooksMissing"`
	PrefillsStarted int      `json:"prefillsBegun"`
	Keys            int      `json:"keys"`
	Violations      []string `json:"violations"`
	// FirstTokenLatency and TotalLatency are by kind, since the intended arrival.
	FirstTokenLatency map[string]LatencySummary `json:"start"`
	TotalLatency      map[string]LatencySummary `json:"whole"`
	firstTokenSamples map[string][]clock.Microseconds
	totalSamples      map[string][]clock.Microseconds
}

// NewResults returns empty results.
func NewResults() Results {
	return Results{
		Outcomes:          map[Outcome]int{},
		FirstTokenLatency: map[string]LatencySummary{},
		TotalLatency:      map[string]LatencySummary{},
		Violations:        []string{},
		firstTokenSamples: map[string][]clock.Microseconds{},
		totalSamples:      map[string][]clock.Microseconds{},
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
	if sample.outcome == OutcomeComplete {
		r.totalSamples[sample.kind] = append(r.totalSamples[sample.kind], sample.endedAt)
	}
}

func summarize(values []clock.Microseconds) LatencySummary {
	if len(values) == 0 {
		return LatencySummary{}
	}
	sorted := slices.Sorted(slices.Values(values))
	return LatencySummary{
		Count:  len(sorted),
		Median: sorted[len(sorted)/2],
		P99:    sorted[len(sorted)*99/100],
		Max:    sorted[len(sorted)-1],
	}
}

// Print summarizes the latencies and writes all results, as JSON or as lines of text.
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
	r.printText(writer)
}

func (r *Results) printText(writer io.Writer) {
	// A report that cannot be printed has nowhere to say so.
	printf := func(format string, values ...any) { _, _ = fmt.Fprintf(writer, format, values...) }
	printf("sent %d, late starts %d, engine run logs read %d, missing %d, prefills started %d\n",
		r.Sent, r.LateStarts, r.RunLogsRead, r.RunLogsMissing, r.PrefillsStarted)
	for _, outcome := range slices.Sorted(maps.Keys(r.Outcomes)) {
		printf("  outcome %-40s %6d\n", outcome, r.Outcomes[outcome])
	}
	sections := []struct {
		name      string
		summaries map[string]LatencySummary
	}{
		{"first token", r.FirstTokenLatency},
		{"total", r.TotalLatency},
	}
	for _, section := range sections {
		for _, kind := range slices.Sorted(maps.Keys(section.summaries)) {
			summary := section.summaries[kind]
			printf("  %s %-12s count %6d  median %8d µs  p99 %8d µs  max %8d µs\n",
				section.name, kind, summary.Count, summary.Median, summary.P99, summary.Max)
		}
	}
	printf("violations %d\n", len(r.Violations))
	for _, violation := range r.Violations {
		printf("  %s\n", violation)
	}
}
