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

const (
	// listenerBacklog is how many connections wait to be accepted.
	listenerBacklog = 64
	dialTimeout     = time.Second
)

// link is the direction from one host to another.
type link struct{ from, to string }

// MemoryNetwork is a network in memory between named hosts, for real daemons under a virtual clock.
// Data that is sent over a partitioned link is lost without an error, as if it was in the buffers of
// the kernels; when the partition heals, the connections that lost data are closed.
type MemoryNetwork struct {
	// Latency is what every write takes.
	Latency clock.Microseconds

	lock sync.Mutex
	// listeners is by address, the other maps are by host or link.
	listeners   map[string]*memoryListener
	partitioned map[link]bool
	linkDelays  map[link]clock.Microseconds
	frozenUntil map[string]time.Time
	diskFaults  map[string]*diskFault
	// killCounts has an operation notice that its host was killed meanwhile.
	killCounts    map[string]int
	suspendedTime map[string]clock.Microseconds
	// wallClockErrors are by how much the hosts' wall clocks are ahead of the true time.
	wallClockErrors map[string]clock.Microseconds
	// conns are the open ends of connections.
	conns map[*memoryConn]bool
	holds []*HeldWrites
}

// NewMemoryNetwork makes a network on which every write takes the latency.
func NewMemoryNetwork(latency clock.Microseconds) *MemoryNetwork {
	return &MemoryNetwork{
		Latency:         latency,
		listeners:       map[string]*memoryListener{},
		partitioned:     map[link]bool{},
		linkDelays:      map[link]clock.Microseconds{},
		frozenUntil:     map[string]time.Time{},
		diskFaults:      map[string]*diskFault{},
		killCounts:      map[string]int{},
		suspendedTime:   map[string]clock.Microseconds{},
		wallClockErrors: map[string]clock.Microseconds{},
		conns:           map[*memoryConn]bool{},
	}
}

// memoryAddress is an IP number and port.
type memoryAddress string

// Network implements net.Addr.
func (memoryAddress) Network() string { return "fabric" }

// String implements net.Addr.
func (m memoryAddress) String() string { return string(m) }

// memoryListener is a listening socket of a host.
type memoryListener struct {
	network *MemoryNetwork
	host    string
	address string
	queue   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept waits for a connection.
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

// Host is the network as one host sees it.
type Host struct {
	*MemoryNetwork
	Name string
}

var _ transport.Network = Host{}

// Listen opens a listening socket of the host.
func (h Host) Listen(address string) (net.Listener, error) {
	h.lock.Lock()
	defer h.lock.Unlock()
	if _, taken := h.listeners[address]; taken {
		return nil, errcode.New(errcode.AddressInUse, "%s", address)
	}
	listener := &memoryListener{
		network: h.MemoryNetwork,
		host:    h.Name,
		address: address,
		queue:   make(chan net.Conn, listenerBacklog),
		closed:  make(chan struct{}),
	}
	h.listeners[address] = listener
	return listener, nil
}

// Dial opens a connection. Over a partitioned link it waits until its context or dialTimeout ends.
func (h Host) Dial(parent context.Context, address string, _ clock.Microseconds) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(parent, dialTimeout)
	defer cancel()
	h.lock.Lock()
	listener, known := h.listeners[address]
	partitioned := known && h.partitioned[link{h.Name, listener.host}]
	h.lock.Unlock()
	if partitioned {
		<-ctx.Done()
		return nil, errcode.Wrap(ctx.Err(), errcode.ConnectionLost, address)
	}
	if !known {
		return nil, errcode.Wrap(syscall.ECONNREFUSED, errcode.ConnectionLost, address)
	}
	localConn, remoteConn := h.connect(listener)
	select {
	case listener.queue <- remoteConn:
		return localConn, nil
	case <-listener.closed:
		return nil, errcode.New(errcode.ConnectionLost, "%s", address)
	case <-ctx.Done():
		return nil, errcode.Wrap(ctx.Err(), errcode.ConnectionLost, address)
	}
}

// connect makes both ends of a connection from the host to a listener.
func (h Host) connect(listener *memoryListener) (local, remote *memoryConn) {
	localPipe, remotePipe := net.Pipe()
	local = &memoryConn{Conn: localPipe, network: h.MemoryNetwork, from: h.Name, to: listener.host}
	remote = &memoryConn{Conn: remotePipe, network: h.MemoryNetwork, from: listener.host, to: h.Name}
	local.peer = remote
	remote.peer = local
	h.lock.Lock()
	defer h.lock.Unlock()
	h.conns[local] = true
	h.conns[remote] = true
	return local, remote
}

// memoryConn is one end of a connection.
type memoryConn struct {
	net.Conn
	network  *MemoryNetwork
	from, to string
	peer     *memoryConn
	// lostData is set once data was sent over a partitioned link. The network's lock guards it.
	lostData bool
	// heldData is what a HeldWrites holds back, and wasHeld is set once there was any. The network's lock guards both.
	heldData []byte
	wasHeld  bool
	// closeOnce has only the first Close end the sender's side of a connection whose data was held back.
	closeOnce sync.Once
}

// Write takes the latency of the link, and loses the data if the link is partitioned.
func (m *memoryConn) Write(data []byte) (int, error) {
	m.network.delayWrite(m)
	m.network.lock.Lock()
	partitioned := m.network.partitioned[link{m.from, m.to}]
	m.lostData = m.lostData || partitioned
	held := !partitioned && m.network.holdBack(m, data)
	m.network.lock.Unlock()
	if partitioned || held {
		return len(data), nil
	}
	return m.Conn.Write(data)
}

// Close closes this end; the other one then reads an end of file, unless data on the connection was held back.
func (m *memoryConn) Close() error {
	m.network.lock.Lock()
	wasHeld := m.wasHeld
	m.network.lock.Unlock()
	if wasHeld {
		m.closeOnce.Do(m.closeForSender)
		return nil
	}
	return m.abort()
}

// abort closes this end at once.
func (m *memoryConn) abort() error {
	m.network.lock.Lock()
	delete(m.network.conns, m)
	m.network.lock.Unlock()
	return m.Conn.Close()
}

// Partition loses all data from one host to another, in this direction only.
func (m *MemoryNetwork) Partition(from, to string) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.partitioned[link{from, to}] = true
}

// Isolate partitions a host from others, in both directions.
func (m *MemoryNetwork) Isolate(host string, others []string) {
	for _, other := range others {
		if other != host {
			m.Partition(host, other)
			m.Partition(other, host)
		}
	}
}

// Heal ends all partitions, delays and freezes, and closes the connections that lost data.
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
		_ = conn.Close() // Closing a pipe cannot fail.
	}
}

// Kill closes all listeners and connections of a host, and ends its freeze and its disk faults.
func (m *MemoryNetwork) Kill(host string) {
	m.lock.Lock()
	delete(m.diskFaults, host)
	m.killCounts[host]++
	delete(m.frozenUntil, host)
	var listeners []*memoryListener
	for _, listener := range m.listeners {
		if listener.host == host {
			listeners = append(listeners, listener)
		}
	}
	var conns []*memoryConn
	for conn := range m.conns {
		if conn.from == host || conn.to == host {
			conns = append(conns, conn)
		}
	}
	m.lock.Unlock()
	for _, listener := range listeners {
		_ = listener.Close() // Closing a listener cannot fail.
	}
	for _, conn := range conns {
		_ = conn.abort() // Closing a pipe cannot fail.
	}
}
