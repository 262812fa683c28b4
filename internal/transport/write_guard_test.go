package transport

import (
	"errors"
	"net"
	"testing"

	"coursepass/internal/metrics/resources"
	"coursepass/internal/topology"
)

// When the guard rejects a write, the connection is closed, and both the write and a concurrent read must fail
// with the guard's error.
func TestMeteredConn_BothDirectionsFailWithTheGuardsError(t *testing.T) {
	errRejected := errors.New("rejected")
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	meter := topology.NewTrafficMeter("")
	conn := &meteredConn{
		Conn:       near,
		usage:      meter.Accepted("10.0.0.1:1", resources.Control),
		writeGuard: func() error { return errRejected },
	}
	readError := make(chan error)
	go func() {
		_, err := conn.Read(make([]byte, 1))
		readError <- err
	}()
	if _, err := conn.Write([]byte("x")); !errors.Is(err, errRejected) {
		t.Errorf("Write returned error %v, want %v", err, errRejected)
	}
	if err := <-readError; !errors.Is(err, errRejected) {
		t.Errorf("Read returned error %v, want %v", err, errRejected)
	}
}
