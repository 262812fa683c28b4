package transport

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/metrics/resources"
	"coursepass/internal/topology"
)

const (
	// idleConnTimeout is the default time after which an idle connection of an HTTP client is closed.
	idleConnTimeout = 30 * time.Second
	// maxIdleConns is the maximum number of idle connections of one HTTP client.
	maxIdleConns = 1024
	// maxIdleConnsPerHost is the maximum number of idle connections of one HTTP client to one address.
	maxIdleConnsPerHost = 64
)

// Options holds the options of an HTTP client. Network and Meter are required.
type Options struct {
	Network Network
	// Meter counts the connections and their bytes.
	Meter *topology.TrafficMeter
	// Kind is the kind of traffic as which the connections are counted.
	Kind resources.Kind
	// Procedure is the name under which a client of [NewHTTPClient] counts its requests of control traffic.
	Procedure string
	// WriteGuard, if set, is called immediately before each write of a connection to the kernel. If it
	// returns an error, nothing is written and the connection is closed.
	WriteGuard func() error
	// IdleTimeout is the time after which an idle connection is closed; 0 selects the default of 30 s.
	IdleTimeout time.Duration
	// UserTimeout is passed to [Network.Dial].
	UserTimeout clock.Microseconds
	// SingleConnection limits the client to one connection per address.
	SingleConnection bool
}

// NewHTTPTransport returns an HTTP/1.1 client transport over metered connections.
func NewHTTPTransport(options Options) *http.Transport {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			conn, err := options.Network.Dial(ctx, address, options.UserTimeout)
			if err != nil {
				return nil, err
			}
			usage := options.Meter.Dialed(address, options.Kind)
			return &meteredConn{Conn: conn, usage: usage, writeGuard: options.WriteGuard}, nil
		},
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	if options.IdleTimeout != 0 {
		transport.IdleConnTimeout = options.IdleTimeout
	}
	if options.SingleConnection {
		transport.MaxConnsPerHost = 1
	}
	return transport
}

// NewHTTPClient returns an HTTP/1.1 client over metered connections. The client's requests are counted as
// calls of the procedure that the options name.
func NewHTTPClient(options Options) *http.Client {
	return &http.Client{Transport: &procedureTransport{
		Transport: NewHTTPTransport(options),
		meter:     options.Meter,
		procedure: options.Procedure,
	}}
}

// procedureTransport counts its requests as calls of one procedure.
type procedureTransport struct {
	*http.Transport
	meter     *topology.TrafficMeter
	procedure string
}

// RoundTrip sends a request and counts it.
func (p *procedureTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	procedure := p.meter.Resources.Procedure(resources.Client, p.procedure)
	procedure.Calls.Add(1)
	return p.Transport.RoundTrip(request.WithContext(attributeTo(request.Context(), procedure)))
}

// attributeTo returns a context with which the bytes of a request and its response are counted for a
// procedure.
func attributeTo(parent context.Context, procedure *resources.Procedure) context.Context {
	return httptrace.WithClientTrace(parent, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if metered, ok := info.Conn.(*meteredConn); ok {
				metered.usage.Begin(procedure)
			}
		},
	})
}
