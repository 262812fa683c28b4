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

// Fabric is a network in memory between named machines, for real daemons under a
// virtual clock. What crosses a cut is swallowed, as if it lay in kernels; a mended
// cut closes the circuits that lost something.
type Fabric struct {
	Latency   schedule.Microseconds
	lock      sync.Mutex
	listeners map[string]*fabricListener
	cut       map[[2]string]bool
	slow      map[[2]string]schedule.Microseconds
	frozen    map[string]time.Time
	disks     map[string]*disk
	kills     map[string]int
	suspended map[string]schedule.Microseconds
	circuits  map[*fabricCircuit]bool
}

// NewFabric has every write take the latency.
func NewFabric(latency schedule.Microseconds) *Fabric {
	return &Fabric{Latency: latency, listeners: map[string]*fabricListener{}, cut: map[[2]string]bool{}, slow: map[[2]string]schedule.Microseconds{},
		frozen: map[string]time.Time{}, disks: map[string]*disk{}, kills: map[string]int{}, suspended: map[string]schedule.Microseconds{}, circuits: map[*fabricCircuit]bool{}}
}

type fabricAddress string

// Network is always the same.
func (fabricAddress) Network() string { return "fabric" }

// String is the IP number and port.
func (m fabricAddress) String() string { return string(m) }

type fabricListener struct {
	fabric  *Fabric
	machine string
	address string
	queue   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept waits for a circuit.
func (m *fabricListener) Accept() (net.Conn, error) {
	select {
	case circuit := <-m.queue:
		return circuit, nil
	case <-m.closed:
		return nil, net.ErrClosed
	}
}

// Close frees the address.
func (m *fabricListener) Close() error {
	m.once.Do(func() {
		close(m.closed)
		m.fabric.lock.Lock()
		defer m.fabric.lock.Unlock()
		if m.fabric.listeners[m.address] == m {
			delete(m.fabric.listeners, m.address)
		}
	})
	return nil
}

// Addr is the listening address.
func (m *fabricListener) Addr() net.Addr { return fabricAddress(m.address) }

// Port is one machine's way into the fabric.
type Port struct {
	*Fabric
	Machine string
}

var _ circuit.Network = Port{}

// Listen takes an address for the machine.
func (h Port) Listen(address string) (net.Listener, error) {
	h.lock.Lock()
	defer h.lock.Unlock()
	if _, taken := h.listeners[address]; taken {
		return nil, mishap.New(mishap.AddressTaken, "%s", address)
	}
	listener := &fabricListener{fabric: h.Fabric, machine: h.Machine, address: address, queue: make(chan net.Conn, 64), closed: make(chan struct{})}
	h.listeners[address] = listener
	return listener, nil
}

// Dial opens a circuit; across a cut it hangs until its context ends.
func (h Port) Dial(parent context.Context, address string, _ schedule.Microseconds) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(parent, time.Second)
	defer cancel()
	h.lock.Lock()
	listener, known := h.listeners[address]
	broken := known && h.cut[[2]string{h.Machine, listener.machine}]
	h.lock.Unlock()
	if broken {
		<-ctx.Done()
		return nil, mishap.Wrap(ctx.Err(), mishap.CircuitLost, address)
	}
	if !known {
		return nil, mishap.Wrap(syscall.ECONNREFUSED, mishap.CircuitLost, address)
	}
	near, far := net.Pipe()
	here := &fabricCircuit{Conn: near, fabric: h.Fabric, from: h.Machine, to: listener.machine}
	there := &fabricCircuit{Conn: far, fabric: h.Fabric, from: listener.machine, to: h.Machine}
	here.other, there.other = there, here
	h.lock.Lock()
	h.circuits[here], h.circuits[there] = true, true
	h.lock.Unlock()
	select {
	case listener.queue <- there:
		return here, nil
	case <-listener.closed:
		return nil, mishap.New(mishap.CircuitLost, "%s", address)
	case <-ctx.Done():
		return nil, mishap.Wrap(ctx.Err(), mishap.CircuitLost, address)
	}
}

type fabricCircuit struct {
	net.Conn
	fabric    *Fabric
	from, to  string
	other     *fabricCircuit
	swallowed bool
}

// Write takes its time, and vanishes across a cut.
func (m *fabricCircuit) Write(data []byte) (int, error) {
	m.fabric.rest(m)
	m.fabric.lock.Lock()
	broken := m.fabric.cut[[2]string{m.from, m.to}]
	m.swallowed = m.swallowed || broken
	m.fabric.lock.Unlock()
	if broken {
		return len(data), nil
	}
	return m.Conn.Write(data)
}

// Close ends both ends.
func (m *fabricCircuit) Close() error {
	m.fabric.lock.Lock()
	delete(m.fabric.circuits, m)
	m.fabric.lock.Unlock()
	return m.Conn.Close()
}

// Cut breaks the way from one machine to another.
func (m *Fabric) Cut(from, to string) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.cut[[2]string{from, to}] = true
}

// Isolate cuts a machine off from the others, both ways.
func (m *Fabric) Isolate(machine string, others []string) {
	for _, other := range others {
		if other != machine {
			m.Cut(machine, other)
			m.Cut(other, machine)
		}
	}
}

// Heal mends all cuts.
func (m *Fabric) Heal() {
	m.lock.Lock()
	clear(m.cut)
	clear(m.slow)
	clear(m.frozen)
	var lost []*fabricCircuit
	for circuit := range m.circuits {
		if circuit.swallowed || circuit.other.swallowed {
			lost = append(lost, circuit)
		}
	}
	m.lock.Unlock()
	for _, circuit := range lost {
		circuit.Close()
	}
}

// Kill closes all that a machine listens on and every circuit of it.
func (m *Fabric) Kill(machine string) {
	m.lock.Lock()
	delete(m.disks, machine)
	m.kills[machine]++
	delete(m.frozen, machine)
	var lost []interface{ Close() error }
	for _, listener := range m.listeners {
		if listener.machine == machine {
			lost = append(lost, listener)
		}
	}
	for circuit := range m.circuits {
		if circuit.from == machine || circuit.to == machine {
			lost = append(lost, circuit)
		}
	}
	m.lock.Unlock()
	for _, each := range lost {
		each.Close()
	}
}
