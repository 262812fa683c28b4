package simulation

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/transport"
)

// MemoryNetwork is a network in memory between named machines, for real daemons under a
// virtual clock. What crosses a cut is swallowed, as if it lay in kernels; a mended
// cut closes the circuits that lost something.
type MemoryNetwork struct {
	Latency       clock.Microseconds
	lock          sync.Mutex
	listeners     map[string]*memoryListener
	partitioned   map[[2]string]bool
	linkDelays    map[[2]string]clock.Microseconds
	frozenUntil   map[string]time.Time
	diskFaults    map[string]*diskFault
	killCounts    map[string]int
	suspendedTime map[string]clock.Microseconds
	conns         map[*memoryConn]bool
}

// NewMemoryNetwork has every write take the latency.
func NewMemoryNetwork(latency clock.Microseconds) *MemoryNetwork {
	return &MemoryNetwork{Latency: latency, listeners: map[string]*memoryListener{}, partitioned: map[[2]string]bool{}, linkDelays: map[[2]string]clock.Microseconds{},
		frozenUntil: map[string]time.Time{}, diskFaults: map[string]*diskFault{}, killCounts: map[string]int{}, suspendedTime: map[string]clock.Microseconds{}, conns: map[*memoryConn]bool{}}
}

type memoryAddress string

// Network is always the same.
func (memoryAddress) Network() string { return "fabric" }

// String is the IP number and port.
func (m memoryAddress) String() string { return string(m) }

type memoryListener struct {
	network *MemoryNetwork
	host    string
	address string
	queue   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept waits for a circuit.
func (m *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-m.queue:
		return conn, nil
	case <-m.closed:
		return nil, net.ErrClosed
	}
}

// Close frees the address.
func (m *memoryListener) Close() error {
	m.once.Do(func() {
		close(m.closed)
		m.network.lock.Lock()
		defer m.network.lock.Unlock()
		if m.network.listeners[m.address] == m {
			delete(m.network.listeners, m.address)
		}
	})
	return nil
}

// Addr is the listening address.
func (m *memoryListener) Addr() net.Addr { return memoryAddress(m.address) }

// Host is one machine's way into the fabric.
type Host struct {
	*MemoryNetwork
	Name string
}

var _ transport.Network = Host{}

// Listen takes an address for the machine.
func (h Host) Listen(address string) (net.Listener, error) {
	h.lock.Lock()
	defer h.lock.Unlock()
	if _, taken := h.listeners[address]; taken {
		return nil, errcode.New(errcode.AddressInUse, "%s", address)
	}
	listener := &memoryListener{network: h.MemoryNetwork, host: h.Name, address: address, queue: make(chan net.Conn, 64), closed: make(chan struct{})}
	h.listeners[address] = listener
	return listener, nil
}

// Dial opens a circuit; across a cut it hangs until its context ends.
func (h Host) Dial(parent context.Context, address string, _ clock.Microseconds) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(parent, time.Second)
	defer cancel()
	h.lock.Lock()
	listener, known := h.listeners[address]
	partitioned := known && h.partitioned[[2]string{h.Name, listener.host}]
	h.lock.Unlock()
	if partitioned {
		<-ctx.Done()
		return nil, errcode.Wrap(ctx.Err(), errcode.ConnectionLost, address)
	}
	if !known {
		return nil, errcode.Wrap(syscall.ECONNREFUSED, errcode.ConnectionLost, address)
	}
	localPipe, remotePipe := net.Pipe()
	localConn := &memoryConn{Conn: localPipe, network: h.MemoryNetwork, from: h.Name, to: listener.host}
	remoteConn := &memoryConn{Conn: remotePipe, network: h.MemoryNetwork, from: listener.host, to: h.Name}
	localConn.peer, remoteConn.peer = remoteConn, localConn
	h.lock.Lock()
	h.conns[localConn], h.conns[remoteConn] = true, true
	h.lock.Unlock()
	select {
	case listener.queue <- remoteConn:
		return localConn, nil
	case <-listener.closed:
		return nil, errcode.New(errcode.ConnectionLost, "%s", address)
	case <-ctx.Done():
		return nil, errcode.Wrap(ctx.Err(), errcode.ConnectionLost, address)
	}
}

type memoryConn struct {
	net.Conn
	network  *MemoryNetwork
	from, to string
	peer     *memoryConn
	lostData bool
}

// Write takes its time, and vanishes across a cut.
func (m *memoryConn) Write(data []byte) (int, error) {
	m.network.delayWrite(m)
	m.network.lock.Lock()
	partitioned := m.network.partitioned[[2]string{m.from, m.to}]
	m.lostData = m.lostData || partitioned
	m.network.lock.Unlock()
	if partitioned {
		return len(data), nil
	}
	return m.Conn.Write(data)
}

// Close ends both ends.
func (m *memoryConn) Close() error {
	m.network.lock.Lock()
	delete(m.network.conns, m)
	m.network.lock.Unlock()
	return m.Conn.Close()
}

// Partition breaks the way from one machine to another.
func (m *MemoryNetwork) Partition(from, to string) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.partitioned[[2]string{from, to}] = true
}

// Isolate cuts a machine off from the others, both ways.
func (m *MemoryNetwork) Isolate(host string, others []string) {
	for _, other := range others {
		if other != host {
			m.Partition(host, other)
			m.Partition(other, host)
		}
	}
}

// Heal mends all cuts.
func (m *MemoryNetwork) Heal() {
	m.lock.Lock()
	clear(m.partitioned)
	clear(m.linkDelays)
	clear(m.frozenUntil)
	var brokenConns []*memoryConn
	for conn := range m.conns {
		if conn.lostData || conn.peer.lostData {
			brokenConns = append(brokenConns, conn)
		}
	}
	m.lock.Unlock()
	for _, conn := range brokenConns {
		conn.Close()
	}
}

// Kill closes all that a machine listens on and every circuit of it.
func (m *MemoryNetwork) Kill(host string) {
	m.lock.Lock()
	delete(m.diskFaults, host)
	m.killCounts[host]++
	delete(m.frozenUntil, host)
	var closers []interface{ Close() error }
	for _, listener := range m.listeners {
		if listener.host == host {
			closers = append(closers, listener)
		}
	}
	for conn := range m.conns {
		if conn.from == host || conn.to == host {
			closers = append(closers, conn)
		}
	}
	m.lock.Unlock()
	for _, closer := range closers {
		closer.Close()
	}
}
