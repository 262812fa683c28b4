package scalebench

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/wcharczuk/go-chart/v2"

	"coursepass/internal/errcode"
)

// Table is the figures of all sizes, one row each.
type Table struct {
	Parameter string
	Rows      []Measurements
}

// Fit is a straight line through the figures of a slope.
type Fit struct {
	Offset, Slope float64
	// MaxRelativeError is the greatest distance of a figure from the line, in its own size.
	MaxRelativeError float64
	// GrowthExponent is the exponent between the first and the last size: 1 where a figure grows with
	// the size, 2 where it grows with its square, 0 where it does not.
	GrowthExponent float64
}

// FitLine fits a line by least squares.
func FitLine(xs, values []float64) Fit {
	count, sumX, sumY, sumXX, sumXY := float64(len(xs)), 0.0, 0.0, 0.0, 0.0
	for index, x := range xs {
		sumX, sumY = sumX+x, sumY+values[index]
		sumXX, sumXY = sumXX+x*x, sumXY+x*values[index]
	}
	fit := Fit{}
	if divisor := count*sumXX - sumX*sumX; divisor != 0 {
		fit.Slope = (count*sumXY - sumX*sumY) / divisor
	}
	fit.Offset = (sumY - fit.Slope*sumX) / count
	for index, x := range xs {
		if values[index] != 0 {
			fit.MaxRelativeError = max(fit.MaxRelativeError, math.Abs(fit.Offset+fit.Slope*x-values[index])/math.Abs(values[index]))
		}
	}
	last := len(xs) - 1
	if xs[0] > 0 && xs[last] > xs[0] && values[0] > 0 && values[last] > 0 {
		fit.GrowthExponent = math.Log(values[last]/values[0]) / math.Log(xs[last]/xs[0])
	}
	return fit
}

func (t *Table) valuesOf(name string) []float64 {
	var values []float64
	for _, row := range t.Rows {
		values = append(values, row.ValueOf(name))
	}
	return values
}

func (t *Table) parameterColumn() string {
	switch t.Parameter {
	case "changes":
		return "changes a second"
	case "restarts", engineRestartsParameter:
		return t.Parameter + " a minute"
	}
	return t.Parameter
}

func (t *Table) hasFit() bool { return t.Parameter != "" && len(t.Rows) >= 4 }

// Print writes one line for each figure, with its fit where there are four sizes or more.
func (t *Table) Print(writer io.Writer) {
	xs := t.valuesOf(t.parameterColumn())
	for _, measurement := range t.Rows[0] {
		values := t.valuesOf(measurement.Name)
		fmt.Fprintf(writer, "%-30s", measurement.Name)
		for _, value := range values {
			fmt.Fprintf(writer, " %11.2f", value)
		}
		if t.hasFit() && measurement.Name != t.parameterColumn() {
			fit := FitLine(xs, values)
			fmt.Fprintf(writer, "  | %.5g + %.5g a unit, spread %.0f %%, exponent %.2f", fit.Offset, fit.Slope, 100*fit.MaxRelativeError, fit.GrowthExponent)
		}
		fmt.Fprintln(writer)
	}
}

// Write writes the table as CSV, and a plot of each figure that has a slope.
func (t *Table) Write(directory string) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return errcode.Wrap(err, errcode.StartFailed, directory)
	}
	name := "scale"
	if t.Parameter != "" {
		name += "-" + t.Parameter
	}
	file, err := os.Create(filepath.Join(directory, name+".csv"))
	if err != nil {
		return errcode.Wrap(err, errcode.StartFailed, directory)
	}
	defer file.Close()
	lines := csv.NewWriter(file)
	for _, measurement := range t.Rows[0] {
		line := []string{measurement.Name}
		for _, value := range t.valuesOf(measurement.Name) {
			line = append(line, strconv.FormatFloat(value, 'g', 7, 64))
		}
		_ = lines.Write(line)
	}
	if lines.Flush(); lines.Error() != nil {
		return errcode.Wrap(lines.Error(), errcode.StartFailed, directory)
	}
	if !t.hasFit() {
		return nil
	}
	for _, measurement := range t.Rows[0] {
		if err := t.writePlot(filepath.Join(directory, name), measurement.Name); err != nil {
			return err
		}
	}
	return nil
}

// writePlot draws one figure over the varied size with its line; one that does not change has none.
func (t *Table) writePlot(path, name string) error {
	xs, values := t.valuesOf(t.parameterColumn()), t.valuesOf(name)
	fit := FitLine(xs, values)
	if name == t.parameterColumn() || sortedCopy(values)[0] == sortedCopy(values)[len(values)-1] {
		return nil
	}
	var line []float64
	for _, x := range xs {
		line = append(line, fit.Offset+fit.Slope*x)
	}
	graph := chart.Chart{
		Title: name, XAxis: chart.XAxis{Name: t.parameterColumn()}, YAxis: chart.YAxis{Name: name},
		Series: []chart.Series{
			chart.ContinuousSeries{XValues: xs, YValues: values, Style: chart.Style{DotWidth: 4, StrokeWidth: chart.Disabled}},
			chart.ContinuousSeries{XValues: xs, YValues: line, Style: chart.Style{StrokeWidth: 1}},
		},
	}
	short := strings.NewReplacer(" ", "-", "/", "-a-", "%", "share").Replace(name)
	file, err := os.Create(path + "-" + short + ".svg")
	if err != nil {
		return errcode.Wrap(err, errcode.StartFailed, path)
	}
	defer file.Close()
	return errcode.Wrap(graph.Render(chart.SVG, file), errcode.StartFailed, name)
}
