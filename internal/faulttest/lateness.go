package faulttest

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"

	"coursepass/internal/dataplane/proxy"
	"coursepass/internal/errcode"
)

// Lateness turns the logged requests of routers that were late or not served into a table: which priority,
// in which seconds, for which phase. It reads log lines as routers write them, also with words before them,
// as the users' bench prints them; run the routers with --slow-requests-per-second so high that no line is
// left out.
type Lateness struct {
	WindowSeconds int `long:"window" description:"seconds in a row of the table" default:"2"`
	Arguments     struct {
		File string `positional-arg-name:"FILE" description:"log of the routers"`
	} `positional-args:"true" required:"true"`
}

// maxLogLineBytes bounds a line of the log.
const maxLogLineBytes = 1 << 20

// slowRequest is what the table needs of a logged request.
type slowRequest struct {
	Message  string `json:"message"`
	Priority int    `json:"priority"`
	End      string `json:"end"`
	Phase    string `json:"phase"`
	TotalMS  int64  `json:"total_ms"`
	second   float64
}

// latenessKey names a row of the table.
type latenessKey struct {
	priority, window int
	end, phase       string
}

// latenessRow is one row: how many requests, and how long they took together.
type latenessRow struct {
	latenessKey
	count   int
	totalMS int64
}

// Run reads the log and prints the table.
func (l *Lateness) Run() error {
	file, err := os.Open(l.Arguments.File)
	if err != nil {
		return errcode.Wrap(err, errcode.MalformedMessage, l.Arguments.File)
	}
	defer func() { _ = file.Close() }() // It was only read.
	rows, err := latenessTable(file, max(l.WindowSeconds, 1))
	if err != nil {
		return errcode.Wrap(err, errcode.MalformedMessage, l.Arguments.File)
	}
	printLateness(os.Stdout, rows, max(l.WindowSeconds, 1))
	return nil
}

// latenessTable counts the slow requests of a log by window, priority, end and phase, the most frequent
// first.
func latenessTable(log io.Reader, windowSeconds int) ([]latenessRow, error) {
	rows := map[latenessKey]*latenessRow{}
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLogLineBytes)
	for lines.Scan() {
		request, ok := parseSlowRequest(lines.Text())
		if !ok {
			continue
		}
		window := int(request.second) / windowSeconds * windowSeconds
		key := latenessKey{request.Priority, window, request.End, request.Phase}
		row, exists := rows[key]
		if !exists {
			row = &latenessRow{latenessKey: key}
			rows[key] = row
		}
		row.count++
		row.totalMS += request.TotalMS
	}
	var sorted []latenessRow
	for _, row := range rows {
		sorted = append(sorted, *row)
	}
	slices.SortFunc(sorted, func(left, right latenessRow) int {
		return cmp.Or(
			cmp.Compare(right.count, left.count),
			cmp.Compare(left.window, right.window),
			cmp.Compare(left.priority, right.priority),
			strings.Compare(left.end+left.phase, right.end+right.phase),
		)
	})
	return sorted, lines.Err()
}

// parseSlowRequest reads a log line, and the second of the day if that stands before it. It reports false
// for any other line.
func parseSlowRequest(line string) (slowRequest, bool) {
	start := strings.IndexByte(line, '{')
	if start < 0 || !strings.Contains(line, proxy.SlowRequestMessage) {
		return slowRequest{}, false
	}
	var request slowRequest
	if json.Unmarshal([]byte(line[start:]), &request) != nil || request.Message != proxy.SlowRequestMessage {
		return slowRequest{}, false
	}
	if words := strings.Fields(line[:start]); len(words) > 0 {
		if second, err := strconv.ParseFloat(words[0], 64); err == nil {
			request.second = second
		}
	}
	return request, true
}

// printLateness prints the rows.
func printLateness(output io.Writer, rows []latenessRow, windowSeconds int) {
	total := 0
	for _, row := range rows {
		total += row.count
	}
	_, _ = fmt.Fprintf(output, "%d requests late or not served\n", total)
	_, _ = fmt.Fprintf(output, "%9s %8s  %-11s %-13s %7s %8s\n", "seconds", "priority", "end", "phase", "count", "mean ms")
	for _, row := range rows {
		seconds := fmt.Sprintf("%d-%d", row.window, row.window+windowSeconds)
		_, _ = fmt.Fprintf(output, "%9s %8d  %-11s %-13s %7d %8d\n",
			seconds, row.priority, row.end, row.phase, row.count, row.totalMS/int64(row.count))
	}
}
