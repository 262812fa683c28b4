package resources

import (
	"io"
	"sync/atomic"
)

// Connection counts the bytes of one HTTP/1.1 connection that carries one request at a time: each response is
// complete before the next request starts. Connection is safe for concurrent use.
//
// The bytes of a control connection are attributed to the procedure of their call. A client calls
// [Connection.Begin] before it writes a request. A server calls it after it has read the head of a request,
// because the head names the procedure. Bytes that a server reads after it has started to write a response
// belong to the next request, and stay unattributed until the server calls [Connection.Begin] for that request.
type Connection struct {
	counters *Counters
	side     Side
	kind     Kind
	locate   func() Zone
	// zone caches the result of locate once the zone is known.
	zone atomic.Uint32
	// procedure is the procedure of the current call, or nil before the first call of Begin and while a server
	// reads the head of a request.
	procedure atomic.Pointer[Procedure]
	// unattributed counts the bytes that were read while procedure was nil.
	unattributed atomic.Int64
	// responding reports whether a response is being written. It is true from the first write of a server until
	// the server reads the next request. Only servers use the value.
	responding atomic.Bool
	closed     atomic.Bool
}

// Read reads from source, which is the underlying connection, and counts the bytes.
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

// attributeRead attributes bytes that were read to the procedure of the current call.
func (c *Connection) attributeRead(count int64) {
	if c.side == Server && c.responding.CompareAndSwap(true, false) {
		c.procedure.Store(nil)
	}
	if procedure := c.procedure.Load(); procedure != nil {
		procedure.bytes.in.Add(count)
		return
	}
	c.unattributed.Add(count)
}

// Write writes to destination, which is the underlying connection, and counts the bytes.
func (c *Connection) Write(destination io.Writer, buffer []byte) (int, error) {
	// Load the procedure before the write: the peer may receive the whole response and send its next request,
	// which resets the procedure, before destination.Write returns.
	procedure := c.procedure.Load()
	c.responding.Store(true)
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

// attributeWrite attributes bytes that were written to a procedure, or to ProcedureOther if procedure is nil.
func (c *Connection) attributeWrite(procedure *Procedure, count int64) {
	if procedure == nil {
		procedure = c.counters.Procedure(c.side, ProcedureOther)
	}
	procedure.bytes.out.Add(count)
}

// Begin attributes the bytes of a new call to a procedure. These include the unattributed bytes, which a server
// has read from the head of the request.
func (c *Connection) Begin(procedure *Procedure) {
	procedure.bytes.in.Add(c.unattributed.Swap(0))
	c.procedure.Store(procedure)
}

// Close counts the connection as closed and attributes its unattributed bytes to [ProcedureOther]. Calls after
// the first have no effect.
func (c *Connection) Close() {
	if !c.closed.CompareAndSwap(false, true) {
		return
	}
	c.counters.connections[c.side][c.kind].open.Add(-1)
	if count := c.unattributed.Swap(0); count > 0 {
		c.counters.Procedure(c.side, ProcedureOther).bytes.in.Add(count)
	}
}

// bytes returns the byte counter for the side, kind and current zone of the connection.
func (c *Connection) bytes() *byteCounter {
	return &c.counters.traffic[c.side][c.kind][c.currentZone()]
}

// currentZone returns the zone of the peer, or UnknownZone while the zone is not known.
func (c *Connection) currentZone() Zone {
	zone := Zone(c.zone.Load())
	if zone != UnknownZone || c.locate == nil {
		return zone
	}
	zone = c.locate()
	c.zone.Store(uint32(zone))
	return zone
}
