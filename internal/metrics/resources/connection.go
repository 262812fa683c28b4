package resources

import (
	"io"
	"sync/atomic"
)

// Connection counts the bytes of one connection that carries HTTP/1.1: one request at a time, whose answer
// is complete before the next request. Several goroutines may use it.
//
// The bytes of a control connection are attributed to the procedure of the call that they belong to. A
// client names the procedure before it writes the request. A server knows it once it has read the head of
// the request; bytes that it reads after it has written are those of the next request, and wait until then.
type Connection struct {
	counters *Counters
	side     Side
	kind     Kind
	locate   func() Zone
	// zone caches the Zone once it is known.
	zone atomic.Uint32
	// procedure is that of the call under way, nil while a server does not know it yet.
	procedure atomic.Pointer[Procedure]
	// unattributed counts the bytes read while there is no procedure.
	unattributed atomic.Int64
	// answering is true from the first byte that a server writes until it reads the next request.
	answering atomic.Bool
	closed    atomic.Bool
}

// Read reads from the connection and counts the bytes.
func (c *Connection) Read(source io.Reader, buffer []byte) (int, error) {
	count, err := source.Read(buffer)
	if count <= 0 {
		return count, err
	}
	c.bytes().in.Add(int64(count))
	if c.kind == Control {
		c.attributeRead(int64(count))
	}
	return count, err
}

func (c *Connection) attributeRead(count int64) {
	if c.side == Server && c.answering.CompareAndSwap(true, false) {
		c.procedure.Store(nil)
	}
	if procedure := c.procedure.Load(); procedure != nil {
		procedure.bytes.in.Add(count)
		return
	}
	c.unattributed.Add(count)
}

// Write writes to the connection and counts the bytes.
func (c *Connection) Write(destination io.Writer, buffer []byte) (int, error) {
	// The other end may have the whole answer and send its next request before the write returns here.
	procedure := c.procedure.Load()
	c.answering.Store(true)
	count, err := destination.Write(buffer)
	if count <= 0 {
		return count, err
	}
	c.bytes().out.Add(int64(count))
	if c.kind == Control {
		c.attributeWrite(procedure, int64(count))
	}
	return count, err
}

func (c *Connection) attributeWrite(procedure *Procedure, count int64) {
	if procedure == nil {
		procedure = c.counters.Procedure(c.side, ProcedureOther)
	}
	procedure.bytes.out.Add(count)
}

// Begin attributes the bytes of a call to a procedure, from its request's first byte on.
func (c *Connection) Begin(procedure *Procedure) {
	procedure.bytes.in.Add(c.unattributed.Swap(0))
	c.procedure.Store(procedure)
}

// Close counts the end of the connection. It may be called more than once.
func (c *Connection) Close() {
	if !c.closed.CompareAndSwap(false, true) {
		return
	}
	c.counters.connections[c.side][c.kind].open.Add(-1)
	if count := c.unattributed.Swap(0); count > 0 {
		c.counters.Procedure(c.side, ProcedureOther).bytes.in.Add(count)
	}
}

// bytes returns the counters of the connection's kind and zone.
func (c *Connection) bytes() *byteCounter {
	return &c.counters.traffic[c.side][c.kind][c.currentZone()]
}

// currentZone returns the zone of the other end as far as it is known.
func (c *Connection) currentZone() Zone {
	zone := Zone(c.zone.Load())
	if zone != UnknownZone || c.locate == nil {
		return zone
	}
	zone = c.locate()
	c.zone.Store(uint32(zone))
	return zone
}
