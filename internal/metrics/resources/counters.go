package resources

import (
	"sync"
	"sync/atomic"
)

// Counters holds the counters of one daemon since its start. The zero value is ready for use. Counters is
// safe for concurrent use.
type Counters struct {
	// LoopWakeups counts the runs of the periodic loops of the daemon.
	LoopWakeups atomic.Int64

	traffic     [sideCount][kindCount][zoneCount]byteCounter
	connections [sideCount][kindCount]connectionCounter
	// procedures maps a procedureKey to its *Procedure.
	procedures sync.Map
}

// byteCounter counts bytes by direction.
type byteCounter struct{ in, out atomic.Int64 }

// total returns the number of bytes in both directions.
func (b *byteCounter) total() int64 { return b.in.Load() + b.out.Load() }

// connectionCounter counts the connections that are open, and all connections opened or accepted since the
// start.
type connectionCounter struct{ open, opened atomic.Int64 }

// Bytes returns the number of bytes that were exchanged with a zone over the connections of a side, in both
// directions and for all kinds of traffic.
func (c *Counters) Bytes(side Side, zone Zone) int64 {
	sum := int64(0)
	for kind := range kindCount {
		sum += c.traffic[side][kind][zone].total()
	}
	return sum
}

// Open counts a new connection and returns its counters. The locate function returns the zone of the peer, or
// [UnknownZone]. The connection calls locate at each read or write that transfers bytes, until locate returns a
// known zone. A nil locate leaves the zone unknown.
func (c *Counters) Open(side Side, kind Kind, locate func() Zone) *Connection {
	connection := &Connection{counters: c, side: side, kind: kind, locate: locate}
	totals := &c.connections[side][kind]
	totals.opened.Add(1)
	totals.open.Add(1)
	return connection
}

// Procedure returns the counters of a procedure for calls on the given side, and creates them at first use.
func (c *Counters) Procedure(side Side, name string) *Procedure {
	key := procedureKey{side, name}
	known, exists := c.procedures.Load(key)
	if !exists {
		known, _ = c.procedures.LoadOrStore(key, &Procedure{})
	}
	return known.(*Procedure)
}
