package transport

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
	return errcode.Wrap(err, errcode.InvalidSetting, "address "+address+" is not an IP number with a port")
}

// Network opens circuits. System is the machine's own; simulations have others.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, address string, userTimeout clock.Microseconds) (net.Conn, error)
}

// ClockProvider is a network whose machines have a clock of their own.
type ClockProvider interface{ NewClock() *clock.Clock }

// NewClock is the clock of a machine on this network.
func NewClock(network Network) *clock.Clock {
	if provider, ok := network.(ClockProvider); ok {
		return provider.NewClock()
	}
	return clock.New()
}

type systemNetwork struct{}

// NewClock counts the time in suspend.
func (systemNetwork) NewClock() *clock.Clock { return clock.NewSuspendAware() }

// SystemNetwork is the machine's own network.
var SystemNetwork Network = systemNetwork{}

// Listen listens on an IP number and port.
func (systemNetwork) Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	return listener, errcode.Wrap(err, errcode.AddressInUse, address)
}

// Dial opens a circuit; with a silence, the kernel keeps trying no longer than
// that, and drops at a close what still waits in it.
func (systemNetwork) Dial(ctx context.Context, address string, userTimeout clock.Microseconds) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		if userTimeout == 0 {
			return nil
		}
		return raw.Control(func(descriptor uintptr) {
			_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/clock.Millisecond))
		})
	}}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errcode.Wrap(err, errcode.ConnectionLost, address)
	}
	if tcpConn, ok := conn.(*net.TCPConn); ok && userTimeout != 0 {
		_ = tcpConn.SetLinger(0)
	}
	return conn, nil
}

// Options of a transport. Guard is asked directly before each write to the
// kernel; Silence is how long the kernel keeps trying before it gives up a
// circuit, with all that waits in it.
type Options struct {
	Network          Network
	Meter            *topology.TrafficMeter
	WriteGuard       func() error
	UserTimeout      clock.Microseconds
	SingleConnection bool
}

type meteredConn struct {
	net.Conn
	Options
	address string
}

func (m *meteredConn) Read(buffer []byte) (int, error) {
	count, err := m.Conn.Read(buffer)
	m.Meter.AddBytes(m.address, count)
	return count, err
}

func (m *meteredConn) Write(buffer []byte) (int, error) {
	if m.WriteGuard != nil {
		if err := m.WriteGuard(); err != nil {
			m.Conn.Close()
			return 0, err
		}
	}
	count, err := m.Conn.Write(buffer)
	m.Meter.AddBytes(m.address, count)
	return count, err
}

// NewHTTPTransport makes an HTTP/1.1 transport over counted circuits.
func NewHTTPTransport(options Options) *http.Transport {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			conn, err := options.Network.Dial(ctx, address, options.UserTimeout)
			if err != nil {
				return nil, err
			}
			return &meteredConn{conn, options, address}, nil
		},
		MaxIdleConns: 1024, MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second,
		DisableCompression: true,
	}
	if options.SingleConnection {
		transport.MaxConnsPerHost = 1
	}
	return transport
}
