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
func (address fabricAddress) String() string { return string(address) }

type fabricListener struct {
	fabric  *Fabric
	machine string
	address string
	queue   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept waits for a circuit.
func (listener *fabricListener) Accept() (net.Conn, error) {
	select {
	case circuit := <-listener.queue:
		return circuit, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

// Close frees the address.
func (listener *fabricListener) Close() error {
	listener.once.Do(func() {
		close(listener.closed)
		listener.fabric.lock.Lock()
		defer listener.fabric.lock.Unlock()
		if listener.fabric.listeners[listener.address] == listener {
			delete(listener.fabric.listeners, listener.address)
		}
	})
	return nil
}

// Addr is the listening address.
func (listener *fabricListener) Addr() net.Addr { return fabricAddress(listener.address) }

// Port is one machine's way into the fabric.
type Port struct {
	*Fabric
	Machine string
}

var _ circuit.Network = Port{}

// Listen takes an address for the machine.
func (port Port) Listen(address string) (net.Listener, error) {
	port.lock.Lock()
	defer port.lock.Unlock()
	if _, taken := port.listeners[address]; taken {
		return nil, mishap.New(mishap.AddressTaken, "%s", address)
	}
	listener := &fabricListener{fabric: port.Fabric, machine: port.Machine, address: address, queue: make(chan net.Conn, 64), closed: make(chan struct{})}
	port.listeners[address] = listener
	return listener, nil
}

// Dial opens a circuit; across a cut it hangs until its context ends.
func (port Port) Dial(parent context.Context, address string, _ schedule.Microseconds) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(parent, time.Second)
	defer cancel()
	port.lock.Lock()
	listener, known := port.listeners[address]
	broken := known && port.cut[[2]string{port.Machine, listener.machine}]
	port.lock.Unlock()
	if broken {
		<-ctx.Done()
		return nil, mishap.Wrap(ctx.Err(), mishap.CircuitLost, address)
	}
	if !known {
		return nil, mishap.Wrap(syscall.ECONNREFUSED, mishap.CircuitLost, address)
	}
	near, far := net.Pipe()
	here := &fabricCircuit{Conn: near, fabric: port.Fabric, from: port.Machine, to: listener.machine}
	there := &fabricCircuit{Conn: far, fabric: port.Fabric, from: listener.machine, to: port.Machine}
	here.other, there.other = there, here
	port.lock.Lock()
	port.circuits[here], port.circuits[there] = true, true
	port.lock.Unlock()
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
func (circuit *fabricCircuit) Write(data []byte) (int, error) {
	circuit.fabric.rest(circuit)
	circuit.fabric.lock.Lock()
	broken := circuit.fabric.cut[[2]string{circuit.from, circuit.to}]
	circuit.swallowed = circuit.swallowed || broken
	circuit.fabric.lock.Unlock()
	if broken {
		return len(data), nil
	}
	return circuit.Conn.Write(data)
}

// Close ends both ends.
func (circuit *fabricCircuit) Close() error {
	circuit.fabric.lock.Lock()
	delete(circuit.fabric.circuits, circuit)
	circuit.fabric.lock.Unlock()
	return circuit.Conn.Close()
}

// Cut breaks the way from one machine to another.
func (fabric *Fabric) Cut(from, to string) {
	fabric.lock.Lock()
	defer fabric.lock.Unlock()
	fabric.cut[[2]string{from, to}] = true
}

// Isolate cuts a machine off from the others, both ways.
func (fabric *Fabric) Isolate(machine string, others []string) {
	for _, other := range others {
		if other != machine {
			fabric.Cut(machine, other)
			fabric.Cut(other, machine)
		}
	}
}

// Heal mends all cuts.
func (fabric *Fabric) Heal() {
	fabric.lock.Lock()
	clear(fabric.cut)
	clear(fabric.slow)
	clear(fabric.frozen)
	var lost []*fabricCircuit
	for circuit := range fabric.circuits {
		if circuit.swallowed || circuit.other.swallowed {
			lost = append(lost, circuit)
		}
	}
	fabric.lock.Unlock()
	for _, circuit := range lost {
		circuit.Close()
	}
}

// Kill closes all that a machine listens on and every circuit of it.
func (fabric *Fabric) Kill(machine string) {
	fabric.lock.Lock()
	delete(fabric.disks, machine)
	fabric.kills[machine]++
	delete(fabric.frozen, machine)
	var lost []interface{ Close() error }
	for _, listener := range fabric.listeners {
		if listener.machine == machine {
			lost = append(lost, listener)
		}
	}
	for circuit := range fabric.circuits {
		if circuit.from == machine || circuit.to == machine {
			lost = append(lost, circuit)
		}
	}
	fabric.lock.Unlock()
	for _, each := range lost {
		each.Close()
	}
}
