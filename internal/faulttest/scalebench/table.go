package scalebench

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/wcharczuk/go-chart/v2"

	"coursepass/internal/errcode"
)

// minFitSizes is the least number of sizes that a line is fitted to.
const minFitSizes = 4

const (
	directoryMode = 0o755
	// csvDigits is the precision of the values in the CSV file.
	csvDigits = 7
	floatBits = 64
	dotWidth  = 4
)

// Table has the measurements of all sizes, one row for each size.
type Table struct {
	Parameter string
	Rows      []Measurements
}

// Fit is a straight line fitted to the values of a measurement.
type Fit struct {
	Offset, Slope float64
	// MaxRelativeError is the greatest distance of a value from the line, relative to the value.
	MaxRelativeError float64
	// GrowthExponent is the exponent between the first and the last size: 1 if a measurement grows
	// with the size, 2 if it grows with its square, 0 if it does not grow.
	GrowthExponent float64
}

// FitLine fits a line by least squares. Both slices must have the same length, at least one.
func FitLine(xs, values []float64) Fit {
	count := float64(len(xs))
	var sumX, sumY, sumXX, sumXY float64
	for index, x := range xs {
		sumX += x
		sumY += values[index]
		sumXX += x * x
		sumXY += x * values[index]
	}
	fit := Fit{}
	if divisor := count*sumXX - sumX*sumX; divisor != 0 {
		fit.Slope = (count*sumXY - sumX*sumY) / divisor
	}
	fit.Offset = (sumY - fit.Slope*sumX) / count
	for index, x := range xs {
		if values[index] == 0 {
			continue
		}
		distance := math.Abs(fit.Offset + fit.Slope*x - values[index])
		fit.MaxRelativeError = max(fit.MaxRelativeError, distance/math.Abs(values[index]))
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

// parameterColumn returns the name of the measurement that is the varied size.
func (t *Table) parameterColumn() string {
	switch t.Parameter {
	case parameterChanges:
		return "changes a second"
	case parameterRouterRestarts, parameterEngineRestarts:
		return t.Parameter + " a minute"
	}
	return t.Parameter
}

func (t *Table) hasFit() bool { return t.Parameter != "" && len(t.Rows) >= minFitSizes }

// Print writes a line for each measurement, with its fit if there are minFitSizes sizes or more.
func (t *Table) Print(writer io.Writer) {
	// A table that cannot be printed has nowhere to say so.
	printf := func(format string, values ...any) { _, _ = fmt.Fprintf(writer, format, values...) }
	xs := t.valuesOf(t.parameterColumn())
	for _, measurement := range t.Rows[0] {
		values := t.valuesOf(measurement.Name)
		printf("%-30s", measurement.Name)
		for _, value := range values {
			printf(" %11.2f", value)
		}
		if t.hasFit() && measurement.Name != t.parameterColumn() {
			fit := FitLine(xs, values)
			printf("  | %.5g + %.5g a unit, spread %.0f %%, exponent %.2f",
				fit.Offset, fit.Slope, percent*fit.MaxRelativeError, fit.GrowthExponent)
		}
		printf("\n")
	}
}

// Write writes the table as a CSV file to a directory, and a plot of each measurement that varies.
func (t *Table) Write(directory string) error {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return errcode.Wrap(err, errcode.StartFailed, directory)
	}
	name := "scale"
	if t.Parameter != "" {
		name += "-" + t.Parameter
	}
	if err := t.writeCSV(filepath.Join(directory, name+".csv")); err != nil {
		return err
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

func (t *Table) writeCSV(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return errcode.Wrap(err, errcode.StartFailed, path)
	}
	defer func() { _ = file.Close() }()
	lines := csv.NewWriter(file)
	for _, measurement := range t.Rows[0] {
		line := []string{measurement.Name}
		for _, value := range t.valuesOf(measurement.Name) {
			line = append(line, strconv.FormatFloat(value, 'g', csvDigits, floatBits))
		}
		_ = lines.Write(line) // The writer keeps its first error.
	}
	lines.Flush()
	return errcode.Wrap(lines.Error(), errcode.StartFailed, path)
}

// writePlot draws one measurement over the varied size, with the fitted line. A measurement that
// does not vary has no plot.
func (t *Table) writePlot(path, name string) error {
	xs := t.valuesOf(t.parameterColumn())
	values := t.valuesOf(name)
	fit := FitLine(xs, values)
	if name == t.parameterColumn() || slices.Min(values) == slices.Max(values) {
		return nil
	}
	var line []float64
	for _, x := range xs {
		line = append(line, fit.Offset+fit.Slope*x)
	}
	graph := chart.Chart{
		Title: name,
		XAxis: chart.XAxis{Name: t.parameterColumn()},
		YAxis: chart.YAxis{Name: name},
		Series: []chart.Series{
			chart.ContinuousSeries{
				XValues: xs,
				YValues: values,
				Style:   chart.Style{DotWidth: dotWidth, StrokeWidth: chart.Disabled},
			},
			chart.ContinuousSeries{
				XValues: xs,
				YValues: line,
				Style:   chart.Style{StrokeWidth: 1},
			},
		},
	}
	short := strings.NewReplacer(" ", "-", "/", "-a-", "%", "share").Replace(name)
	file, err := os.Create(path + "-" + short + ".svg")
	if err != nil {
		return errcode.Wrap(err, errcode.StartFailed, path)
	}
	defer func() { _ = file.Close() }()
	return errcode.Wrap(graph.Render(chart.SVG, file), errcode.StartFailed, name)
}
