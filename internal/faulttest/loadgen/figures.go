package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"coursepass/internal/clock"
)

// Spread is the median, the 99th hundredth and the worst of a figure.
type Spread struct {
	Count  int                   `json:"count"`
	Median schedule.Microseconds `json:"medianMicroseconds"`
	High   schedule.Microseconds `json:"p99Microseconds"`
	Worst  schedule.Microseconds `json:"worstMicroseconds"`
}

// Figures are what a run measured and found.
type Figures struct {
	Sent       int               `json:"sent"`
	Endings    map[string]int    `json:"endings"`
	Late       int               `json:"lateStarts"`
	Books      int               `json:"engineBooksRead"`
	Missing    int               `json:"engineBooksMissing"`
	Runs       int               `json:"prefillsBegun"`
	Keys       int               `json:"keys"`
	Violations []string          `json:"violations"`
	Start      map[string]Spread `json:"start"`
	Whole      map[string]Spread `json:"whole"`
	starts     map[string][]schedule.Microseconds
	wholes     map[string][]schedule.Microseconds
}

// NewFigures is empty.
func NewFigures() Figures {
	return Figures{
		Endings: map[string]int{}, Start: map[string]Spread{}, Whole: map[string]Spread{}, Violations: []string{},
		starts: map[string][]schedule.Microseconds{}, wholes: map[string][]schedule.Microseconds{},
	}
}

func (r *Figures) violate(text string) { r.Violations = append(r.Violations, text) }

func (r *Figures) add(end ending) {
	r.Sent++
	r.Endings[end.name]++
	for _, wrong := range end.wrongs {
		r.violate(wrong + ": " + end.key)
	}
	if end.started > 0 {
		r.starts[end.kind] = append(r.starts[end.kind], end.started)
		if end.started > end.template.Start() {
			r.Late++
		}
	}
	if end.name == "whole" {
		r.wholes[end.kind] = append(r.wholes[end.kind], end.ended)
	}
}

func spread(values []schedule.Microseconds) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sorted := slices.Sorted(slices.Values(values))
	return Spread{len(sorted), sorted[len(sorted)/2], sorted[len(sorted)*99/100], sorted[len(sorted)-1]}
}

// Print writes the figures for people or, as JSON, for programs.
func (r *Figures) Print(writer io.Writer, asJSON bool) {
	for kind, values := range r.starts {
		r.Start[kind] = spread(values)
	}
	for kind, values := range r.wholes {
		r.Whole[kind] = spread(values)
	}
	if asJSON {
		_ = json.NewEncoder(writer).Encode(r)
		return
	}
	fmt.Fprintf(writer, "sent %d, late starts %d, engine books read %d, missing %d, prefills begun %d\n", r.Sent, r.Late, r.Books, r.Missing, r.Runs)
	for _, name := range slices.Sorted(maps.Keys(r.Endings)) {
		fmt.Fprintf(writer, "  ending %-40s %6d\n", name, r.Endings[name])
	}
	for _, part := range []struct {
		name    string
		spreads map[string]Spread
	}{{"start", r.Start}, {"whole", r.Whole}} {
		for _, kind := range slices.Sorted(maps.Keys(part.spreads)) {
			each := part.spreads[kind]
			fmt.Fprintf(writer, "  %s %-12s count %6d  median %8d µs  p99 %8d µs  worst %8d µs\n", part.name, kind, each.Count, each.Median, each.High, each.Worst)
		}
	}
	fmt.Fprintf(writer, "violations %d\n", len(r.Violations))
	for _, violation := range r.Violations {
		fmt.Fprintln(writer, "  "+violation)
	}
}
