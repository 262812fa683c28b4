package resources

import (
	"cmp"
	"slices"

	"coursepass/internal/clock"
)

// Snapshot is what the counters of a daemon stand at, or the difference of two snapshots.
type Snapshot struct {
	// Seconds is the time on the daemon's clock, which starts at 1; in a difference, the time between.
	Seconds float64 `json:"seconds"`
	// Traffic and Connections have one row for each of their labels, in the same order.
	Traffic     []TrafficCount    `json:"traffic"`
	Connections []ConnectionCount `json:"connections"`
	// Procedures are sorted by side and name.
	Procedures []ProcedureCount `json:"procedures"`
	// LoopWakeups counts how often periodic loops of the daemon ran.
	LoopWakeups int64   `json:"loopWakeups"`
	Process     Process `json:"process"`
}

// TrafficCount counts the bytes of one kind that were exchanged with one zone.
type TrafficCount struct {
	Kind     string `json:"kind"`
	Zone     string `json:"zone"`
	BytesIn  int64  `json:"bytesIn"`
	BytesOut int64  `json:"bytesOut"`
}

// ConnectionCount counts the connections of one kind that were opened on one side.
type ConnectionCount struct {
	Kind string `json:"kind"`
	Side string `json:"side"`
	// Open is how many are open now, also in a difference.
	Open   int64 `json:"open"`
	Opened int64 `json:"opened"`
}

// ProcedureCount counts the calls of one procedure on one side, and their bytes.
type ProcedureCount struct {
	Procedure string `json:"procedure"`
	Side      string `json:"side"`
	Calls     int64  `json:"calls"`
	BytesIn   int64  `json:"bytesIn"`
	BytesOut  int64  `json:"bytesOut"`
}

// Bytes are those of both directions.
func (t TrafficCount) Bytes() int64 { return t.BytesIn + t.BytesOut }

// Bytes are those of both directions.
func (p ProcedureCount) Bytes() int64 { return p.BytesIn + p.BytesOut }

// Snapshot reads the counters at a time on the daemon's clock, and what the process uses.
func (c *Counters) Snapshot(now clock.Microseconds) Snapshot {
	return Snapshot{
		Seconds:     now.Duration().Seconds(),
		Traffic:     c.trafficCounts(),
		Connections: c.connectionCounts(),
		Procedures:  c.procedureCounts(),
		LoopWakeups: c.LoopWakeups.Load(),
		Process:     ReadProcess(),
	}
}

func (c *Counters) trafficCounts() []TrafficCount {
	var counts []TrafficCount
	for kind := range kindCount {
		for zone := range zoneCount {
			count := TrafficCount{Kind: kind.String(), Zone: zone.String()}
			for side := range sideCount {
				count.BytesIn += c.traffic[side][kind][zone].in.Load()
				count.BytesOut += c.traffic[side][kind][zone].out.Load()
			}
			counts = append(counts, count)
		}
	}
	return counts
}

func (c *Counters) connectionCounts() []ConnectionCount {
	var counts []ConnectionCount
	for kind := range kindCount {
		for side := range sideCount {
			counter := &c.connections[side][kind]
			counts = append(counts, ConnectionCount{
				Kind:   kind.String(),
				Side:   side.String(),
				Open:   counter.open.Load(),
				Opened: counter.opened.Load(),
			})
		}
	}
	return counts
}

func (c *Counters) procedureCounts() []ProcedureCount {
	counts := []ProcedureCount{}
	c.procedures.Range(func(key, value any) bool {
		identity, procedure := key.(procedureKey), value.(*Procedure)
		counts = append(counts, ProcedureCount{
			Procedure: identity.name,
			Side:      identity.side.String(),
			Calls:     procedure.Calls.Load(),
			BytesIn:   procedure.bytes.in.Load(),
			BytesOut:  procedure.bytes.out.Load(),
		})
		return true
	})
	slices.SortFunc(counts, compareProcedures)
	return counts
}

func compareProcedures(left, right ProcedureCount) int {
	return cmp.Or(cmp.Compare(left.Side, right.Side), cmp.Compare(left.Procedure, right.Procedure))
}

// Since returns what was counted after an earlier snapshot of the same daemon. What is no count but a level
// (open connections, memory, goroutines) is that of the later one.
func (s Snapshot) Since(earlier Snapshot) Snapshot {
	difference := s
	difference.Seconds -= earlier.Seconds
	difference.LoopWakeups -= earlier.LoopWakeups
	difference.Process.CPUSeconds -= earlier.Process.CPUSeconds
	difference.Traffic = slices.Clone(s.Traffic)
	for index, before := range earlier.Traffic {
		difference.Traffic[index].BytesIn -= before.BytesIn
		difference.Traffic[index].BytesOut -= before.BytesOut
	}
	difference.Connections = slices.Clone(s.Connections)
	for index, before := range earlier.Connections {
		difference.Connections[index].Opened -= before.Opened
	}
	difference.Procedures = subtractProcedures(s.Procedures, earlier.Procedures)
	return difference
}

// subtractProcedures subtracts the counts of the procedures that were known before.
func subtractProcedures(later, earlier []ProcedureCount) []ProcedureCount {
	difference := slices.Clone(later)
	for _, before := range earlier {
		index, exists := slices.BinarySearchFunc(difference, before, compareProcedures)
		if !exists {
			continue
		}
		difference[index].Calls -= before.Calls
		difference[index].BytesIn -= before.BytesIn
		difference[index].BytesOut -= before.BytesOut
	}
	return difference
}

// BusiestProcedures returns the procedures with the most bytes, the first of them first, and none that took
// no bytes and had no calls.
func (s Snapshot) BusiestProcedures(most int) []ProcedureCount {
	busy := slices.DeleteFunc(slices.Clone(s.Procedures), func(count ProcedureCount) bool {
		return count.Calls == 0 && count.Bytes() == 0
	})
	slices.SortStableFunc(busy, func(left, right ProcedureCount) int {
		return cmp.Or(cmp.Compare(right.Bytes(), left.Bytes()), cmp.Compare(right.Calls, left.Calls))
	})
	return busy[:min(most, len(busy))]
}

// Calls returns how many control calls were begun (Client) or served (Server).
func (s Snapshot) Calls(side Side) int64 {
	sum := int64(0)
	for _, count := range s.Procedures {
		if count.Side == side.String() {
			sum += count.Calls
		}
	}
	return sum
}

// TrafficBytes returns the bytes of a kind in both directions.
func (s Snapshot) TrafficBytes(kind Kind) int64 {
	sum := int64(0)
	for _, count := range s.Traffic {
		if count.Kind == kind.String() {
			sum += count.Bytes()
		}
	}
	return sum
}

// OpenConnections returns how many connections are open, and how many were opened.
func (s Snapshot) OpenConnections() (open, opened int64) {
	for _, count := range s.Connections {
		open += count.Open
		opened += count.Opened
	}
	return open, opened
}
