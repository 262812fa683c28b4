package transport

import (
	"maps"
	"net/http"
)

// Headers that connect and net/http add, and that no daemon reads. Small calls are most of the control traffic, and
// most of a small call are its headers.
const (
	userAgentHeader       = "User-Agent"
	protocolVersionHeader = "Connect-Protocol-Version"
	dateHeader            = "Date"
	acceptEncodingHeader  = "Accept-Encoding"
)

// leanTransport leaves headers that no daemon reads out of requests. It embeds the transport, so that a client can
// close the transport's idle connections.
type leanTransport struct{ *http.Transport }

// RoundTrip sends a copy of the request without the headers.
func (l leanTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	lean := *request
	lean.Header = maps.Clone(request.Header)
	lean.Header.Del(protocolVersionHeader)
	// An empty value keeps net/http from adding its own.
	lean.Header[userAgentHeader] = []string{""}
	return l.Transport.RoundTrip(&lean)
}

// leanRecorder is a response writer that leaves out headers that no daemon reads, and remembers the status of the
// answer.
type leanRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader records the status and sends it with the headers that remain.
func (l *leanRecorder) WriteHeader(status int) {
	l.status = status
	l.Header().Del(acceptEncodingHeader)
	// A nil value keeps net/http from adding its own.
	l.Header()[dateHeader] = nil
	l.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body, after the headers.
func (l *leanRecorder) Write(body []byte) (int, error) {
	if l.status == 0 {
		l.WriteHeader(http.StatusOK)
	}
	return l.ResponseWriter.Write(body)
}
