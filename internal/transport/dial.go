package transport

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
)

// dialTimeout is the timeout for opening a TCP connection.
const dialTimeout = time.Second

// CheckAddress returns an InvalidSetting error if the address is not an IP address with a port.
func CheckAddress(address string) error {
	_, err := netip.ParseAddrPort(address)
	return errcode.Wrap(err, errcode.InvalidSetting, "address "+address+" is not an IP address with a port")
}

// Network opens and accepts connections. [SystemNetwork] is the implementation of the operating system;
// simulations have their own implementations.
type Network interface {
	// Listen opens a listener on an IP address and port.
	Listen(address string) (net.Listener, error)
	// Dial opens a connection. If userTimeout is not 0, the connection is closed once sent data has
	// remained unacknowledged for that time.
	Dial(ctx context.Context, address string, userTimeout clock.Microseconds) (net.Conn, error)
}

// ClockProvider is implemented by a simulated network that provides the clock of the simulated machine.
type ClockProvider interface{ NewClock() *clock.Clock }

// NewClock returns a clock for a daemon on this network.
func NewClock(network Network) *clock.Clock {
	if provider, ok := network.(ClockProvider); ok {
		return provider.NewClock()
	}
	return clock.New()
}

// WallClockProvider is implemented by a simulated network that provides the wall clock of the simulated
// machine.
type WallClockProvider interface{ WallClock() time.Time }

// NewWallClock returns a function that reads the wall clock of a daemon's machine on this network. The wall
// clock may jump.
func NewWallClock(network Network) func() time.Time {
	if provider, ok := network.(WallClockProvider); ok {
		return provider.WallClock
	}
	return time.Now
}

// systemNetwork is a Network over the TCP implementation of the operating system.
type systemNetwork struct{}

// NewClock returns a clock that also advances while the machine is suspended.
func (systemNetwork) NewClock() *clock.Clock { return clock.NewSuspendAware() }

// SystemNetwork is the network of the operating system.
var SystemNetwork Network = systemNetwork{}

// Listen opens a TCP listener on an IP address and port.
func (systemNetwork) Listen(address string) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	return listener, errcode.Wrap(err, errcode.AddressInUse, address)
}

// Dial opens a TCP connection. A user timeout limits how long the kernel retransmits data
// (TCP_USER_TIMEOUT). Closing a connection with a user timeout discards unsent data, so that no data reaches
// the peer after the caller has closed the connection.
func (systemNetwork) Dial(ctx context.Context, address string, userTimeout clock.Microseconds) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
		return setUserTimeout(raw, userTimeout)
	}}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errcode.Wrap(err, errcode.ConnectionLost, address)
	}
	if tcpConn, ok := conn.(*net.TCPConn); ok && userTimeout != 0 {
		_ = tcpConn.SetLinger(0) // Fails only on a closed socket, which has no data to discard.
	}
	return conn, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket that isn't connected yet. A timeout of 0 leaves the
// option unchanged.
func setUserTimeout(raw syscall.RawConn, userTimeout clock.Microseconds) error {
	if userTimeout == 0 {
		return nil
	}
	milliseconds := int(userTimeout / clock.Millisecond)
	return raw.Control(func(descriptor uintptr) {
		// On a kernel without the option, the kernel's default timeout applies.
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
	})
}
