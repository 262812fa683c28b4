package transport

import (
	"context"
	"net"
	"net/http"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
)

const (
	// readHeaderTimeout is the timeout for reading the headers of a request.
	readHeaderTimeout = 5 * time.Second
	// serverIdleTimeout is the time after which a server closes an idle connection.
	serverIdleTimeout = 60 * time.Second
	// maxHeaderBytes is the maximum size of the headers of a request.
	maxHeaderBytes = 64 << 10
)

// Serve serves requests on the listener until the context is done. It then waits for open requests to
// finish, for at most the grace period. Serve closes the listener before it returns.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, grace clock.Microseconds) error {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       withConnection,
	}
	serveErrors := make(chan error, 1)
	go func() { serveErrors <- server.Serve(listener) }()
	select {
	case err := <-serveErrors:
		return errcode.Wrap(err, errcode.StartFailed, "serve "+listener.Addr().String())
	case <-ctx.Done():
		return shutdown(context.WithoutCancel(ctx), server, grace)
	}
}

// shutdown stops the server, and closes the connections that are still open after the grace period.
func shutdown(ctx context.Context, server *http.Server, grace clock.Microseconds) error {
	boundedCtx, cancel := context.WithTimeout(ctx, grace.Duration())
	defer cancel()
	if server.Shutdown(boundedCtx) != nil {
		return server.Close()
	}
	return nil
}
