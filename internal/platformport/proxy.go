package platformport

import (
	"context"
	"net/http"

	"coursepass/internal/clock"
)

// ResponseWriter is the caller's side of a forwarded request. The proxy calls WriteHead once and
// then Write for each chunk as it arrives, or Reject alone if the response has no head yet.
type ResponseWriter interface {
	// WriteHead begins an engine's response, unchanged. Length is -1 if it is not known.
	WriteHead(status int, header http.Header, length int64)
	// Write passes bytes on at once, without buffering.
	Write([]byte) error
	// Reject responds with the code of the failure. The caller is told when to retry if
	// retryAfter is above zero.
	Reject(failure error, retryAfter clock.Microseconds)
}

// Proxy forwards requests to engines.
type Proxy interface {
	// Forward reports whether the response is complete. The connection of an incomplete response
	// must be broken off visibly if its head has been written.
	Forward(context.Context, Request, ResponseWriter) bool
	// Ready reports whether new callers may come.
	Ready() bool
	// Limits returns the largest header and body, in bytes, that callers may send; zero where no
	// configuration is active yet.
	Limits() (header, body int)
}
