package transport

import (
	"maps"
	"net/http"
)

// Headers that connect and net/http add, and that no daemon reads. They are removed because most control traffic
// consists of small calls, and most bytes of a small call are headers.
const (
	userAgentHeader       = "User-Agent"
	protocolVersionHeader = "Connect-Protocol-Version"
	dateHeader            = "Date"
	acceptEncodingHeader  = "Accept-Encoding"
)

// headerStrippingTransport removes headers that no daemon reads from requests. It embeds the transport so that
// [http.Client.CloseIdleConnections] reaches the transport.
type headerStrippingTransport struct{ *http.Transport }

// RoundTrip sends a copy of the request without the headers that no daemon reads.
func (h headerStrippingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	stripped := *request
	stripped.Header = maps.Clone(request.Header)
	stripped.Header.Del(protocolVersionHeader)
	// An empty value prevents net/http from adding its own User-Agent.
	stripped.Header[userAgentHeader] = []string{""}
	return h.Transport.RoundTrip(&stripped)
}

// headerStrippingWriter is a response writer that removes headers that no daemon reads, and records the status of the
// response.
type headerStrippingWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader records the status and sends it with the remaining headers.
func (h *headerStrippingWriter) WriteHeader(status int) {
	h.status = status
	h.Header().Del(acceptEncodingHeader)
	// A nil value prevents net/http from adding its own Date.
	h.Header()[dateHeader] = nil
	h.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body. It sends the headers first if they haven't been sent.
func (h *headerStrippingWriter) Write(body []byte) (int, error) {
	if h.status == 0 {
		h.WriteHeader(http.StatusOK)
	}
	return h.ResponseWriter.Write(body)
}
