package circuit

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/topology"
)

// CheckAddress declines an address that is not an IP number with a port.
func CheckAddress(address string) error {
	_, err := netip.ParseAddrPort(address)
	return mishap.Wrap(err, mishap.SettingBad, "address "+address+" is not an IP number with a port")
}

// Network opens circuits. System is the machine's own; simulations have others.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, address string, silence schedule.Microseconds) (net.Conn, error)
}

// Timed is a network whose machines have a clock of their own.
type Timed interface{ NewClock() *schedule.Clock }

// NewClock is the clock of a machine on this network.
func NewClock(network Network) *schedule.Clock {
	if timed, yes := network.(Timed); yes {
		return timed.NewClock()
	}
	return schedule.NewClock()
}

type system struct{}

// NewClock counts the time in suspend.
func (system) NewClock() *schedule.Clock { return schedule.NewSuspendClock() }

// System is the machine's own network.
var System Network = system{}

// Listen listens on an IP number and port.
func (system) Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	return listener, mishap.Wrap(err, mishap.AddressTaken, address)
}

// Dial opens a circuit; with a silence, the kernel keeps trying no longer than
// that, and drops at a close what still waits in it.
func (system) Dial(ctx context.Context, address string, silence schedule.Microseconds) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		if silence == 0 {
			return nil
		}
		return raw.Control(func(descriptor uintptr) {
			_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence/schedule.Millisecond))
		})
	}}
	circuit, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, mishap.Wrap(err, mishap.CircuitLost, address)
	}
	if plain, yes := circuit.(*net.TCPConn); yes && silence != 0 {
		_ = plain.SetLinger(0)
	}
	return circuit, nil
}

// Options of a transport. Guard is asked directly before each write to the
// kernel; Silence is how long the kernel keeps trying before it gives up a
// circuit, with all that waits in it.
type Options struct {
	Network Network
	Meter   *hall.Meter
	Guard   func() error
	Silence schedule.Microseconds
	Single  bool
}

type countedCircuit struct {
	net.Conn
	Options
	address string
}

func (m *countedCircuit) Read(buffer []byte) (int, error) {
	count, err := m.Conn.Read(buffer)
	m.Meter.Count(m.address, count)
	return count, err
}

func (m *countedCircuit) Write(buffer []byte) (int, error) {
	if m.Guard != nil {
		if err := m.Guard(); err != nil {
			m.Conn.Close()
			return 0, err
		}
	}
	count, err := m.Conn.Write(buffer)
	m.Meter.Count(m.address, count)
	return count, err
}

// NewTransport makes an HTTP/1.1 transport over counted circuits.
func NewTransport(options Options) *http.Transport {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			plain, err := options.Network.Dial(ctx, address, options.Silence)
			if err != nil {
				return nil, err
			}
			return &countedCircuit{plain, options, address}, nil
		},
		MaxIdleConns: 1024, MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second,
		DisableCompression: true,
	}
	if options.Single {
		transport.MaxConnsPerHost = 1
	}
	return transport
}
