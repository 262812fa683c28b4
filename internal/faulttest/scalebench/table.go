package scale

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
	Vary string
	Rows []Figures
}

// Fit is a straight line through the figures of a slope.
type Fit struct {
	Offset, Slope float64
	// Spread is the greatest distance of a figure from the line, in its own size.
	Spread float64
	// Bend is the exponent between the first and the last size: 1 where a figure grows with
	// the size, 2 where it grows with its square, 0 where it does not.
	Bend float64
}

// Straight fits a line by least squares.
func Straight(places, values []float64) Fit {
	count, sumX, sumY, sumXX, sumXY := float64(len(places)), 0.0, 0.0, 0.0, 0.0
	for index, place := range places {
		sumX, sumY = sumX+place, sumY+values[index]
		sumXX, sumXY = sumXX+place*place, sumXY+place*values[index]
	}
	found := Fit{}
	if divisor := count*sumXX - sumX*sumX; divisor != 0 {
		found.Slope = (count*sumXY - sumX*sumY) / divisor
	}
	found.Offset = (sumY - found.Slope*sumX) / count
	for index, place := range places {
		if values[index] != 0 {
			found.Spread = max(found.Spread, math.Abs(found.Offset+found.Slope*place-values[index])/math.Abs(values[index]))
		}
	}
	last := len(places) - 1
	if places[0] > 0 && places[last] > places[0] && values[0] > 0 && values[last] > 0 {
		found.Bend = math.Log(values[last]/values[0]) / math.Log(places[last]/places[0])
	}
	return found
}

func (t *Table) column(name string) []float64 {
	var values []float64
	for _, row := range t.Rows {
		values = append(values, row.Of(name))
	}
	return values
}

func (t *Table) varied() string {
	switch t.Vary {
	case "changes":
		return "changes a second"
	case "restarts", "lives":
		return t.Vary + " a minute"
	}
	return t.Vary
}

func (t *Table) fitted() bool { return t.Vary != "" && len(t.Rows) >= 4 }

// Print writes one line for each figure, with its fit where there are four sizes or more.
func (t *Table) Print(writer io.Writer) {
	places := t.column(t.varied())
	for _, figure := range t.Rows[0] {
		values := t.column(figure.Name)
		fmt.Fprintf(writer, "%-30s", figure.Name)
		for _, value := range values {
			fmt.Fprintf(writer, " %11.2f", value)
		}
		if t.fitted() && figure.Name != t.varied() {
			fit := Straight(places, values)
			fmt.Fprintf(writer, "  | %.5g + %.5g a unit, spread %.0f %%, exponent %.2f", fit.Offset, fit.Slope, 100*fit.Spread, fit.Bend)
		}
		fmt.Fprintln(writer)
	}
}

// Write writes the table as CSV, and a plot of each figure that has a slope.
func (t *Table) Write(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return mishap.Wrap(err, mishap.StartFailed, folder)
	}
	name := "scale"
	if t.Vary != "" {
		name += "-" + t.Vary
	}
	file, err := os.Create(filepath.Join(folder, name+".csv"))
	if err != nil {
		return mishap.Wrap(err, mishap.StartFailed, folder)
	}
	defer file.Close()
	lines := csv.NewWriter(file)
	for _, figure := range t.Rows[0] {
		line := []string{figure.Name}
		for _, value := range t.column(figure.Name) {
			line = append(line, strconv.FormatFloat(value, 'g', 7, 64))
		}
		_ = lines.Write(line)
	}
	if lines.Flush(); lines.Error() != nil {
		return mishap.Wrap(lines.Error(), mishap.StartFailed, folder)
	}
	if !t.fitted() {
		return nil
	}
	for _, figure := range t.Rows[0] {
		if err := t.plot(filepath.Join(folder, name), figure.Name); err != nil {
			return err
		}
	}
	return nil
}

// plot draws one figure over the varied size with its line; one that does not change has none.
func (t *Table) plot(path, name string) error {
	places, values := t.column(t.varied()), t.column(name)
	fit := Straight(places, values)
	if name == t.varied() || sorted(values)[0] == sorted(values)[len(values)-1] {
		return nil
	}
	var line []float64
	for _, place := range places {
		line = append(line, fit.Offset+fit.Slope*place)
	}
	drawn := chart.Chart{
		Title: name, XAxis: chart.XAxis{Name: t.varied()}, YAxis: chart.YAxis{Name: name},
		Series: []chart.Series{
			chart.ContinuousSeries{XValues: places, YValues: values, Style: chart.Style{DotWidth: 4, StrokeWidth: chart.Disabled}},
			chart.ContinuousSeries{XValues: places, YValues: line, Style: chart.Style{StrokeWidth: 1}},
		},
	}
	short := strings.NewReplacer(" ", "-", "/", "-a-", "%", "share").Replace(name)
	file, err := os.Create(path + "-" + short + ".svg")
	if err != nil {
		return mishap.Wrap(err, mishap.StartFailed, path)
	}
	defer file.Close()
	return mishap.Wrap(drawn.Render(chart.SVG, file), mishap.StartFailed, name)
}
