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

func (figures *Figures) violate(text string) { figures.Violations = append(figures.Violations, text) }

func (figures *Figures) add(end ending) {
	figures.Sent++
	figures.Endings[end.name]++
	for _, wrong := range end.wrongs {
		figures.violate(wrong + ": " + end.key)
	}
	if end.started > 0 {
		figures.starts[end.kind] = append(figures.starts[end.kind], end.started)
		if end.started > end.template.Start() {
			figures.Late++
		}
	}
	if end.name == "whole" {
		figures.wholes[end.kind] = append(figures.wholes[end.kind], end.ended)
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
func (figures *Figures) Print(writer io.Writer, asJSON bool) {
	for kind, values := range figures.starts {
		figures.Start[kind] = spread(values)
	}
	for kind, values := range figures.wholes {
		figures.Whole[kind] = spread(values)
	}
	if asJSON {
		_ = json.NewEncoder(writer).Encode(figures)
		return
	}
	fmt.Fprintf(writer, "sent %d, late starts %d, engine books read %d, missing %d, prefills begun %d\n", figures.Sent, figures.Late, figures.Books, figures.Missing, figures.Runs)
	for _, name := range slices.Sorted(maps.Keys(figures.Endings)) {
		fmt.Fprintf(writer, "  ending %-40s %6d\n", name, figures.Endings[name])
	}
	for _, part := range []struct {
		name    string
		spreads map[string]Spread
	}{{"start", figures.Start}, {"whole", figures.Whole}} {
		for _, kind := range slices.Sorted(maps.Keys(part.spreads)) {
			each := part.spreads[kind]
			fmt.Fprintf(writer, "  %s %-12s count %6d  median %8d µs  p99 %8d µs  worst %8d µs\n", part.name, kind, each.Count, each.Median, each.High, each.Worst)
		}
	}
	fmt.Fprintf(writer, "violations %d\n", len(figures.Violations))
	for _, violation := range figures.Violations {
		fmt.Fprintln(writer, "  "+violation)
	}
}
