package resources

import (
	"cmp"
	"slices"

	"coursepass/internal/clock"
)

// Snapshot holds the resource usage of a daemon at one time, or the difference between two snapshots.
type Snapshot struct {
	// Seconds is the time of the snapshot on the clock of the daemon, which starts at 1 s. In a difference,
	// Seconds is the time between the two snapshots.
	Seconds float64 `json:"seconds"`
	// Traffic has one row for each kind and zone, and Connections has one row for each kind and side. The
	// order of the rows is the same in every snapshot.
	Traffic     []TrafficCount    `json:"traffic"`
	Connections []ConnectionCount `json:"connections"`
	// Procedures are sorted by side and name.
	Procedures []ProcedureCount `json:"procedures"`
	// LoopWakeups is the number of runs of the periodic loops of the daemon.
	LoopWakeups int64   `json:"loopWakeups"`
	Process     Process `json:"process"`
}

// TrafficCount holds the number of bytes of one kind of traffic that were exchanged with one zone.
type TrafficCount struct {
	Kind     string `json:"kind"`
	Zone     string `json:"zone"`
	BytesIn  int64  `json:"bytesIn"`
	BytesOut int64  `json:"bytesOut"`
}

// ConnectionCount holds the number of connections of one kind for which the daemon is on one side.
type ConnectionCount struct {
	Kind string `json:"kind"`
	Side string `json:"side"`
	// Open is the number of connections open at the time of the snapshot. In a difference, Open is the
	// value of the later snapshot.
	Open int64 `json:"open"`
	// Opened is the number of connections opened or accepted.
	Opened int64 `json:"opened"`
}

// ProcedureCount holds the number of calls of one procedure on one side, and the bytes of these calls.
type ProcedureCount struct {
	Procedure string `json:"procedure"`
	Side      string `json:"side"`
	Calls     int64  `json:"calls"`
	BytesIn   int64  `json:"bytesIn"`
	BytesOut  int64  `json:"bytesOut"`
}

// Bytes returns the number of bytes in both directions.
func (t TrafficCount) Bytes() int64 { return t.BytesIn + t.BytesOut }

// Bytes returns the number of bytes in both directions.
func (p ProcedureCount) Bytes() int64 { return p.BytesIn + p.BytesOut }

// Snapshot reads the counters and the resource usage of the process. The time on the clock of the daemon is
// passed as now.
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

// compareProcedures orders counts by side, then by procedure name.
func compareProcedures(left, right ProcedureCount) int {
	return cmp.Or(cmp.Compare(left.Side, right.Side), cmp.Compare(left.Procedure, right.Procedure))
}

// Since returns the difference between this snapshot and an earlier snapshot of the same daemon. Counters are
// subtracted. Gauges (open connections, memory, goroutines) keep the value of this snapshot.
func (s Snapshot) Since(earlier Snapshot) Snapshot {
	difference := s
	difference.Seconds -= earlier.Seconds
	difference.LoopWakeups -= earlier.LoopWakeups
	difference.Process.CPUSeconds -= earlier.Process.CPUSeconds
	difference.Traffic = slices.Clone(s.Traffic)
	for index, earlierCount := range earlier.Traffic {
		difference.Traffic[index].BytesIn -= earlierCount.BytesIn
		difference.Traffic[index].BytesOut -= earlierCount.BytesOut
	}
	difference.Connections = slices.Clone(s.Connections)
	for index, earlierCount := range earlier.Connections {
		difference.Connections[index].Opened -= earlierCount.Opened
	}
	difference.Procedures = subtractProcedures(s.Procedures, earlier.Procedures)
	return difference
}

// subtractProcedures subtracts the earlier counts of each procedure from its later counts. A procedure without
// earlier counts keeps its later counts. Both slices are sorted by compareProcedures.
func subtractProcedures(later, earlier []ProcedureCount) []ProcedureCount {
	difference := slices.Clone(later)
	for _, earlierCount := range earlier {
		index, exists := slices.BinarySearchFunc(difference, earlierCount, compareProcedures)
		if !exists {
			continue
		}
		difference[index].Calls -= earlierCount.Calls
		difference[index].BytesIn -= earlierCount.BytesIn
		difference[index].BytesOut -= earlierCount.BytesOut
	}
	return difference
}

// BusiestProcedures returns at most the given number of procedures, in descending order of bytes, then of
// calls. Procedures without calls and bytes are left out.
func (s Snapshot) BusiestProcedures(limit int) []ProcedureCount {
	busy := slices.DeleteFunc(slices.Clone(s.Procedures), func(count ProcedureCount) bool {
		return count.Calls == 0 && count.Bytes() == 0
	})
	slices.SortStableFunc(busy, func(left, right ProcedureCount) int {
		return cmp.Or(cmp.Compare(right.Bytes(), left.Bytes()), cmp.Compare(right.Calls, left.Calls))
	})
	return busy[:min(limit, len(busy))]
}

// Calls returns the number of control calls that were started ([Client]) or served ([Server]).
func (s Snapshot) Calls(side Side) int64 {
	sum := int64(0)
	for _, count := range s.Procedures {
		if count.Side == side.String() {
			sum += count.Calls
		}
	}
	return sum
}

// TrafficBytes returns the number of bytes of a kind of traffic in both directions.
func (s Snapshot) TrafficBytes(kind Kind) int64 {
	sum := int64(0)
	for _, count := range s.Traffic {
		if count.Kind == kind.String() {
			sum += count.Bytes()
		}
	}
	return sum
}

// OpenConnections returns the number of connections that are open, and the number that were opened or accepted.
func (s Snapshot) OpenConnections() (open, opened int64) {
	for _, count := range s.Connections {
		open += count.Open
		opened += count.Opened
	}
	return open, opened
}
