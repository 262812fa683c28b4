package resources

import (
	"sync"
	"sync/atomic"
)

// Counters are the counters of one daemon since its start. The zero value is ready for use; several
// goroutines may use it.
type Counters struct {
	// LoopWakeups counts how often periodic loops of the daemon ran.
	LoopWakeups atomic.Int64

	traffic     [sideCount][kindCount][zoneCount]byteCounter
	connections [sideCount][kindCount]connectionCounter
	// procedures maps a procedureKey to its *Procedure.
	procedures sync.Map
}

// byteCounter counts bytes by direction.
type byteCounter struct{ in, out atomic.Int64 }

// total returns the bytes of both directions.
func (b *byteCounter) total() int64 { return b.in.Load() + b.out.Load() }

// connectionCounter counts connections: those that are open now, and all that ever were.
type connectionCounter struct{ open, opened atomic.Int64 }

// Bytes returns the bytes of both directions and all kinds that were exchanged with a zone over the
// connections of a side.
func (c *Counters) Bytes(side Side, zone Zone) int64 {
	sum := int64(0)
	for kind := range kindCount {
		sum += c.traffic[side][kind][zone].total()
	}
	return sum
}

// Open counts a new connection, and returns its counters. The function returns the zone of the other end as
// far as it is known; it is asked at each read and write until it knows, and nil stands for never.
func (c *Counters) Open(side Side, kind Kind, locate func() Zone) *Connection {
	connection := &Connection{counters: c, side: side, kind: kind, locate: locate}
	totals := &c.connections[side][kind]
	totals.opened.Add(1)
	totals.open.Add(1)
	return connection
}

// Procedure returns the counters of the calls of a procedure, on one side of them.
func (c *Counters) Procedure(side Side, name string) *Procedure {
	key := procedureKey{side, name}
	known, exists := c.procedures.Load(key)
	if !exists {
		known, _ = c.procedures.LoadOrStore(key, &Procedure{})
	}
	return known.(*Procedure)
}
