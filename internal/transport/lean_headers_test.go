package transport

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/topology"
)

// recordingListener records the bytes that its connections read and write.
type recordingListener struct {
	net.Listener
	lock          sync.Mutex
	read, written bytes.Buffer
}

type recordingConn struct {
	net.Conn
	listener *recordingListener
}

func (r *recordingListener) Accept() (net.Conn, error) {
	conn, err := r.Listener.Accept()
	return &recordingConn{conn, r}, err
}

func (r *recordingConn) Read(buffer []byte) (int, error) {
	count, err := r.Conn.Read(buffer)
	r.listener.lock.Lock()
	defer r.listener.lock.Unlock()
	r.listener.read.Write(buffer[:count])
	return count, err
}

func (r *recordingConn) Write(buffer []byte) (int, error) {
	r.listener.lock.Lock()
	defer r.listener.lock.Unlock()
	r.listener.written.Write(buffer)
	return r.Conn.Write(buffer)
}

// Maximum sizes of the headers of a call and of its response. They include the address
// and the fleet name of this test.
const (
	maxRequestHeaderBytes  = 190
	maxResponseHeaderBytes = 80
)

func TestCall_SendsOnlyHeadersThatAreRead(t *testing.T) {
	type message struct{ Text string }
	plain, err := SystemNetwork.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &recordingListener{Listener: plain}
	internal := NewInternal("fleet", topology.NewTrafficMeter(""), SystemNetwork)
	const procedure = "/core/heads"
	Handle(internal, procedure, func(_ context.Context, request *message) (*message, error) { return request, nil })
	server := &http.Server{Handler: internal}
	go func() { _ = server.Serve(listener) }() // Serve returns when the server is closed.
	t.Cleanup(func() { _ = server.Close() })
	target := Target{Address: plain.Addr().String(), Procedure: procedure, Timeout: clock.Second}
	long := string(bytes.Repeat([]byte("long "), compressMinBytes))
	for _, text := range []string{"short", "short", long} {
		response, err := Call[message, message](t.Context(), internal, target, &message{text})
		if err != nil || response.Text != text {
			t.Fatalf("the call returned error %v and response %+v", err, response)
		}
	}
	listener.lock.Lock()
	defer listener.lock.Unlock()
	if header := firstHeader(listener.read.Bytes()); len(header) > maxRequestHeaderBytes {
		t.Errorf("request headers have %d bytes, want at most %d: %s", len(header), maxRequestHeaderBytes, header)
	}
	if header := firstHeader(listener.written.Bytes()); len(header) > maxResponseHeaderBytes {
		t.Errorf("response headers have %d bytes, want at most %d: %s", len(header), maxResponseHeaderBytes, header)
	}
	if total := listener.read.Len() + listener.written.Len(); total > len(long)/2 {
		t.Errorf("connections carried %d bytes in total: the long message was not compressed", total)
	}
}

// firstHeader returns the headers of the first message on a connection.
func firstHeader(data []byte) []byte {
	header, _, _ := bytes.Cut(data, []byte("\r\n\r\n"))
	return header
}
