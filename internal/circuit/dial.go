package circuit

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"coursepass/internal/hall"
	"coursepass/internal/mishap"
	"coursepass/internal/schedule"
)

// CheckAddress declines an address that is not an IP number with a port.
func CheckAddress(address string) error {
	_, failure := netip.ParseAddrPort(address)
	return mishap.Wrap(failure, mishap.SettingBad, "address "+address+" is not an IP number with a port")
}

// Options of a transport. Guard is asked directly before each write to the
// kernel; Silence is how long the kernel keeps trying before it gives up a
// circuit, with all that waits in it.
type Options struct {
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

func (circuit *countedCircuit) Read(buffer []byte) (int, error) {
	count, failure := circuit.Conn.Read(buffer)
	circuit.Meter.Count(circuit.address, count)
	return count, failure
}

func (circuit *countedCircuit) Write(buffer []byte) (int, error) {
	if circuit.Guard != nil {
		if failure := circuit.Guard(); failure != nil {
			circuit.Conn.Close()
			return 0, failure
		}
	}
	count, failure := circuit.Conn.Write(buffer)
	circuit.Meter.Count(circuit.address, count)
	return count, failure
}

// NewTransport makes an HTTP/1.1 transport over counted circuits.
func NewTransport(options Options) *http.Transport {
	dialer := &net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		if options.Silence == 0 {
			return nil
		}
		return raw.Control(func(descriptor uintptr) {
			_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(options.Silence/schedule.Millisecond))
		})
	}}
	transport := &http.Transport{
		DialContext: func(context context.Context, network, address string) (net.Conn, error) {
			plain, failure := dialer.DialContext(context, network, address)
			if failure != nil {
				return nil, mishap.Wrap(failure, mishap.CircuitLost, address)
			}
			if options.Silence != 0 {
				_ = plain.(*net.TCPConn).SetLinger(0)
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
