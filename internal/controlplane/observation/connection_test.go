package observation

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/transport"
)

// What follows a request must be noticed however the bytes arrive.
func TestFraming_NoticesBytesAfterRequest(t *testing.T) {
	for name, test := range map[string]struct {
		received string
		length   int64
		exact    bool
	}{
		"no body":                  {"POST / HTTP/1.1\r\nHost: a\r\n\r\n", 0, true},
		"bare line feeds":          {"POST / HTTP/1.1\nHost: a\n\n", 0, true},
		"no header":                {"GET / HTTP/1.1\r\n\r\n", 0, true},
		"body":                     {"POST / HTTP/1.1\r\nContent-Length: 6\r\n\r\n{\r\n\r\n}", 6, true},
		"part of a body":           {"POST / HTTP/1.1\r\nContent-Length: 6\r\n\r\n{\r\n", 6, false},
		"body of unknown length":   {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", -1, false},
		"first byte of the next":   {"POST / HTTP/1.1\r\nHost: a\r\n\r\nP", 0, false},
		"the next, after a body":   {"POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n1POST", 1, false},
		"head that is not ended":   {"POST / HTTP/1.1\r\nHost: a\r\n", 0, false},
		"line end after a request": {"POST / HTTP/1.1\r\nHost: a\r\n\r\n\r\n", 0, false},
	} {
		for _, size := range []int{1, 2, 3, 1 << 10} {
			observed := framing{}
			for rest := test.received; rest != ""; rest = rest[min(size, len(rest)):] {
				observed.read([]byte(rest[:min(size, len(rest))]))
			}
			if observed.isExactly(test.length) != test.exact {
				t.Errorf("%s, in pieces of %d: exact %v", name, size, !test.exact)
			}
		}
	}
}

// observedServer serves on loopback and reports the heads that apply to each request.
type observedServer struct {
	address string
	index   atomic.Uint64
	paused  atomic.Bool
	// seen receives the index that applied to each request.
	seen chan uint64
}

// checkSeen compares the indexes that applied to the requests so far.
func (o *observedServer) checkSeen(t *testing.T, wanted ...uint64) {
	t.Helper()
	for position, index := range wanted {
		if seen := <-o.seen; seen != index {
			t.Errorf("request %d saw %d, want one of %v", position, seen, wanted)
		}
	}
}

// startObservedServer starts a server that calls handle for each request.
func startObservedServer(t *testing.T, handle func(*observedServer, http.ResponseWriter)) *observedServer {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &observedServer{address: listener.Addr().String(), seen: make(chan uint64, 16)}
	source := Source{
		Heads:          func() []Head { return []Head{{Index: server.index.Load()}} },
		RecentlyPaused: server.paused.Load,
	}
	handler := Handler(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		server.seen <- FromContext(request.Context()).Head(0).Index
		handle(server, writer)
	}))
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = transport.Serve(t.Context(), Listen(listener, source), handler, clock.Second) // Ends with the test.
	}()
	t.Cleanup(func() { <-done })
	return server
}

func (o *observedServer) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp4", o.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

const plainRequest = "POST / HTTP/1.1\r\nHost: a\r\n\r\n"

// exchange sends a request and waits for the answer.
func exchange(t *testing.T, conn net.Conn) {
	t.Helper()
	if _, err := io.WriteString(conn, plainRequest); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
}

// The head that applies to a request is that of the accept or of the last answer, and never that of the request's arrival.
func TestConnection_HeadIsReadBeforeRequest(t *testing.T) {
	server := startObservedServer(t, func(*observedServer, http.ResponseWriter) {})
	server.index.Store(3)
	conn := server.dial(t)
	time.Sleep(50 * time.Millisecond)
	for _, later := range []uint64{5, 8, 9} {
		server.index.Store(later)
		exchange(t, conn)
	}
	server.paused.Store(true)
	late := server.dial(t)
	time.Sleep(50 * time.Millisecond)
	server.paused.Store(false)
	exchange(t, late)
	exchange(t, late)
	server.checkSeen(t, 3, 5, 8, 0, 9)
}

// The head must be read before the first byte of an answer is sent: the caller may send its next request then.
func TestHandler_ObservesBeforeAnswer(t *testing.T) {
	server := startObservedServer(t, func(server *observedServer, writer http.ResponseWriter) {
		writer.WriteHeader(http.StatusAccepted)
		server.index.Add(1)
		_, _ = io.WriteString(writer, "more") // The client reads it.
		server.index.Add(1)
	})
	server.index.Store(1)
	conn := server.dial(t)
	exchange(t, conn)
	exchange(t, conn)
	server.checkSeen(t, 1, 1)
}

// A second request that has arrived before the first one is answered is not handled.
func TestConnection_EndsIfNextRequestCameEarly(t *testing.T) {
	server := startObservedServer(t, func(*observedServer, http.ResponseWriter) { time.Sleep(50 * time.Millisecond) })
	for _, parts := range [][]string{{plainRequest + plainRequest}, {plainRequest, plainRequest}, {plainRequest, "P", plainRequest[1:]}} {
		conn := server.dial(t)
		for _, part := range parts {
			_, _ = io.WriteString(conn, part) // The server may have closed the connection.
			time.Sleep(20 * time.Millisecond)
		}
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second)) // Fails only on a closed connection.
		answers, _ := io.ReadAll(conn)                            // Ends when the server closes the connection.
		if handled := len(server.seen); handled != 1 || strings.Count(string(answers), "HTTP/1.1 ") != 1 {
			t.Errorf("%q: %d requests handled, answers %q", parts, handled, answers)
		}
		server.checkSeen(t, 0)
	}
}
