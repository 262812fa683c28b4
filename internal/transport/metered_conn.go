package transport

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"coursepass/internal/metrics/resources"
	"coursepass/internal/topology"
)

// meteredConn is a connection that counts its bytes and calls an optional guard before each write.
type meteredConn struct {
	net.Conn
	usage *resources.Connection
	// writeGuard may be nil; see [Options].
	writeGuard func() error
	// rejection is the guard's error after the guard has rejected a write, else nil.
	rejection atomic.Pointer[error]
}

// Read reads and counts bytes. Once the guard has rejected a write, a failed Read returns the guard's error:
// net/http reports the error of the direction that it sees fail first, which may be the read.
func (m *meteredConn) Read(buffer []byte) (int, error) {
	count, err := m.usage.Read(m.Conn, buffer)
	if rejection := m.rejection.Load(); err != nil && rejection != nil {
		return count, *rejection
	}
	return count, err
}

// Write calls the guard, and then writes and counts bytes. If the guard returns an error, Write closes the
// connection and returns that error.
func (m *meteredConn) Write(buffer []byte) (int, error) {
	if m.writeGuard != nil {
		if err := m.writeGuard(); err != nil {
			m.rejection.Store(&err)
			_ = m.Close() // The guard's error is the one to report.
			return 0, err
		}
	}
	return m.usage.Write(m.Conn, buffer)
}

// Close closes the connection and counts it as closed.
func (m *meteredConn) Close() error {
	m.usage.Close()
	return m.Conn.Close()
}

// NetConn returns the connection that is metered.
func (m *meteredConn) NetConn() net.Conn { return m.Conn }

// CloseWrite closes the sending direction if the connection supports it. net/http calls CloseWrite after a
// response to a request that it has not read completely.
func (m *meteredConn) CloseWrite() error {
	if halfCloser, ok := m.Conn.(interface{ CloseWrite() error }); ok {
		return halfCloser.CloseWrite()
	}
	return nil
}

// meteredListener is a listener that counts the connections it accepts and their bytes.
type meteredListener struct {
	net.Listener
	meter *topology.TrafficMeter
	kind  resources.Kind
}

// MeterListener returns a listener that counts its connections and their bytes in the meter.
func MeterListener(listener net.Listener, meter *topology.TrafficMeter, kind resources.Kind) net.Listener {
	return &meteredListener{Listener: listener, meter: meter, kind: kind}
}

// Accept accepts and counts a connection.
func (m *meteredListener) Accept() (net.Conn, error) {
	conn, err := m.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: conn, usage: m.meter.Accepted(conn.RemoteAddr().String(), m.kind)}, nil
}

type connectionKey struct{}

// withConnection adds a connection to the context of its requests.
func withConnection(parent context.Context, conn net.Conn) context.Context {
	return context.WithValue(parent, connectionKey{}, conn)
}

// ConnectionOf returns the connection of a type on which a request arrived that [Serve] serves: the accepted connection,
// or one that it wraps and returns by a method NetConn. It returns false if there is none.
func ConnectionOf[Conn net.Conn](ctx context.Context) (conn Conn, found bool) {
	current, _ := ctx.Value(connectionKey{}).(net.Conn)
	for current != nil {
		if conn, found = current.(Conn); found {
			return conn, true
		}
		wrapper, wraps := current.(interface{ NetConn() net.Conn })
		if !wraps {
			break
		}
		current = wrapper.NetConn()
	}
	return conn, false
}

// countServed counts a request as a call of a procedure. It also counts the request's bytes for the procedure
// if the request arrived over a metered connection.
func countServed(request *http.Request, procedure *resources.Procedure) {
	procedure.Calls.Add(1)
	if metered, found := ConnectionOf[*meteredConn](request.Context()); found {
		metered.usage.Begin(procedure)
	}
}

// CountServed returns a handler that counts all requests as calls of one procedure. To count the bytes as
// well, the handler must be served by [Serve] on a listener of [MeterListener].
func CountServed(meter *topology.TrafficMeter, procedure string, handler http.Handler) http.Handler {
	served := meter.Resources.Procedure(resources.Server, procedure)
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		countServed(request, served)
		handler.ServeHTTP(writer, request)
	})
}
