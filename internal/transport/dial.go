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

const dialTimeout = time.Second

// CheckAddress returns an InvalidSetting error if the address is not an IP address with a port.
func CheckAddress(address string) error {
	_, err := netip.ParseAddrPort(address)
	return errcode.Wrap(err, errcode.InvalidSetting, "address "+address+" is not an IP address with a port")
}

// Network opens and accepts connections. [SystemNetwork] is the operating system's; simulations
// have their own.
type Network interface {
	// Listen accepts connections on an IP address and port.
	Listen(address string) (net.Listener, error)
	// Dial opens a connection. If userTimeout is not 0, it is the longest time for which sent
	// data may stay unacknowledged before the connection is closed.
	Dial(ctx context.Context, address string, userTimeout clock.Microseconds) (net.Conn, error)
}

// ClockProvider is a network that has its own clock for the machine that it simulates.
type ClockProvider interface{ NewClock() *clock.Clock }

// NewClock returns a clock for a daemon on this network.
func NewClock(network Network) *clock.Clock {
	if provider, ok := network.(ClockProvider); ok {
		return provider.NewClock()
	}
	return clock.New()
}

// WallClockProvider is a network that has its own wall clock for the machine that it simulates.
type WallClockProvider interface{ WallClock() time.Time }

// NewWallClock returns the wall clock of a daemon's machine on this network. It may jump.
func NewWallClock(network Network) func() time.Time {
	if provider, ok := network.(WallClockProvider); ok {
		return provider.WallClock
	}
	return time.Now
}

// systemNetwork is TCP of the operating system.
type systemNetwork struct{}

// NewClock returns a clock that also counts the time in suspend.
func (systemNetwork) NewClock() *clock.Clock { return clock.NewSuspendAware() }

// SystemNetwork is the network of the operating system.
var SystemNetwork Network = systemNetwork{}

// Listen accepts TCP connections on an IP address and port.
func (systemNetwork) Listen(address string) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	return listener, errcode.Wrap(err, errcode.AddressInUse, address)
}

// Dial opens a TCP connection. With a user timeout, the kernel retransmits for no longer than
// that (TCP_USER_TIMEOUT), and closing the connection discards unsent data, so that nothing
// reaches the peer after the caller has given it up.
func (systemNetwork) Dial(ctx context.Context, address string, userTimeout clock.Microseconds) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
		return setUserTimeout(raw, userTimeout)
	}}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errcode.Wrap(err, errcode.ConnectionLost, address)
	}
	if tcpConn, ok := conn.(*net.TCPConn); ok && userTimeout != 0 {
		_ = tcpConn.SetLinger(0) // Fails only on a closed socket, which has nothing left to discard.
	}
	return conn, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT of a socket that isn't connected yet; 0 leaves it as it is.
func setUserTimeout(raw syscall.RawConn, userTimeout clock.Microseconds) error {
	if userTimeout == 0 {
		return nil
	}
	milliseconds := int(userTimeout / clock.Millisecond)
	return raw.Control(func(descriptor uintptr) {
		// A kernel without the option keeps its own timeout.
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
	})
}
