package observation

import (
	"context"
	"net"
	"sync"

	"coursepass/internal/transport"
)

// Head is the position of a shard's log at some moment. Its zero value means that no position is known.
type Head struct {
	// Index is a log index that was committed. Revision is the revision of the state at that index or before.
	Index, Revision uint64
}

// Source is what the observed connections read of a server. Both functions must be safe for concurrent use.
type Source struct {
	// Heads returns the present heads of all shards, by shard. The slice is not changed after the call.
	Heads func() []Head
	// RecentlyPaused reports whether this server was suspended recently. A connection that it accepts may then have been
	// open for its caller since before the suspension, and the present heads prove nothing about its first request.
	RecentlyPaused func() bool
}

// Connection is a connection from a caller.
type Connection struct {
	net.Conn
	source Source

	// lock guards heads and framing.
	lock sync.Mutex
	// heads are the heads at the accept or directly before the last answer.
	heads   []Head
	framing framing
}

// Listener is a listener whose connections are observed.
type Listener struct {
	net.Listener
	source Source
}

// Listen returns a listener that reads the heads whenever it accepts a connection.
func Listen(listener net.Listener, source Source) *Listener {
	return &Listener{Listener: listener, source: source}
}

// Accept accepts a connection.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	connection := &Connection{Conn: conn, source: l.source, heads: l.source.Heads()}
	if l.source.RecentlyPaused() {
		connection.heads = nil
	}
	return connection, nil
}

// FromContext returns the connection on which a request arrived, given the request's context. It returns nil if the
// request did not arrive on an observed connection.
func FromContext(ctx context.Context) *Connection {
	connection, _ := transport.ConnectionOf[*Connection](ctx)
	return connection
}

// Head returns the head of a shard at the last moment before which the caller cannot have sent the present request.
func (c *Connection) Head(shard int) Head {
	c.lock.Lock()
	defer c.lock.Unlock()
	if shard >= len(c.heads) {
		return Head{}
	}
	return c.heads[shard]
}

// Read reads from the connection and follows the framing of requests.
func (c *Connection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.lock.Lock()
	defer c.lock.Unlock()
	c.framing.read(buffer[:count])
	return count, err
}

// CloseWrite closes the sending direction if the connection supports it.
func (c *Connection) CloseWrite() error {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return halfCloser.CloseWrite()
	}
	return nil
}

// observeAnswer reads the heads directly before the answer to a request with a body of the given length. It returns false
// if the next request may have been sent before that answer; the connection must then end with it.
func (c *Connection) observeAnswer(bodyLength int64) bool {
	heads := c.source.Heads()
	c.lock.Lock()
	defer c.lock.Unlock()
	if !c.framing.isExactly(bodyLength) {
		return false
	}
	c.framing = framing{}
	c.heads = heads
	return true
}
