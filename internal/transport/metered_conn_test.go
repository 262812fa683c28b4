package transport

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/metrics/resources"
	"coursepass/internal/topology"
)

// observedNetwork counts the bytes of all connections below the counters under test, separately for dialed and
// accepted connections.
type observedNetwork struct {
	Network
	dialed, accepted observedBytes
}

type observedBytes struct{ in, out atomic.Int64 }

func (o *observedNetwork) Dial(
	ctx context.Context, address string, userTimeout clock.Microseconds,
) (net.Conn, error) {
	conn, err := o.Network.Dial(ctx, address, userTimeout)
	return observedConn{conn, &o.dialed}, err
}

func (o *observedNetwork) Listen(address string) (net.Listener, error) {
	listener, err := o.Network.Listen(address)
	return observedListener{listener, &o.accepted}, err
}

type observedListener struct {
	net.Listener
	bytes *observedBytes
}

func (o observedListener) Accept() (net.Conn, error) {
	conn, err := o.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return observedConn{conn, o.bytes}, nil
}

type observedConn struct {
	net.Conn
	bytes *observedBytes
}

func (o observedConn) Read(buffer []byte) (int, error) {
	count, err := o.Conn.Read(buffer)
	o.bytes.in.Add(int64(count))
	return count, err
}

func (o observedConn) Write(buffer []byte) (int, error) {
	count, err := o.Conn.Write(buffer)
	o.bytes.out.Add(int64(count))
	return count, err
}

const (
	echoPath = "/test/echo"
	dropPath = "/test/drop"
)

// meteredPair is a client in zone norte that calls a server in zone sur over loopback.
type meteredPair struct {
	*testing.T
	network        *observedNetwork
	client, server *Internal
	address        string
	stop           context.CancelFunc
	stopped        chan error
}

func newMeteredPair(t *testing.T) *meteredPair {
	t.Helper()
	network := &observedNetwork{Network: SystemNetwork}
	pair := &meteredPair{
		T:       t,
		network: network,
		client:  NewInternal("fleet", topology.NewTrafficMeter("norte"), network),
		server:  NewInternal("fleet", topology.NewTrafficMeter("sur"), network),
		stopped: make(chan error, 1),
	}
	Handle(pair.server, echoPath, func(_ context.Context, message *testMessage) (*testMessage, error) {
		return message, nil
	})
	Handle(pair.server, dropPath, func(context.Context, *testMessage) (*testMessage, error) {
		return nil, errcode.New(errcode.Malformed, "dropped")
	})
	listener, err := network.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	pair.address = listener.Addr().String()
	pair.client.Meter.SetDaemonZone(pair.address, "sur")
	pair.server.Meter.SetDaemonZone("127.0.0.1:1", "norte")
	ctx, stop := context.WithCancel(t.Context())
	pair.stop = stop
	metered := MeterListener(listener, pair.server.Meter, resources.Control)
	go func() { pair.stopped <- Serve(ctx, metered, pair.server, clock.Second) }()
	return pair
}

func (m *meteredPair) call(procedure string, message *testMessage) error {
	m.Helper()
	target := Target{Address: m.address, Procedure: procedure, Timeout: 5 * clock.Second}
	_, err := Call[testMessage, testMessage](m.Context(), m.client, target, message)
	return err
}

// stopServer stops the server, so that all written bytes are counted, and returns the counters of both sides.
func (m *meteredPair) stopServer() (client, server resources.Snapshot) {
	m.Helper()
	m.client.client.CloseIdleConnections()
	m.stop()
	if err := <-m.stopped; err != nil {
		m.Fatal(err)
	}
	return m.client.Meter.Resources.Snapshot(clock.Second), m.server.Meter.Resources.Snapshot(clock.Second)
}

// sumOfTraffic returns the total bytes in and out of all traffic counters.
func sumOfTraffic(snapshot resources.Snapshot) (in, out int64) {
	for _, count := range snapshot.Traffic {
		in += count.BytesIn
		out += count.BytesOut
	}
	return in, out
}

// sumOfProcedures returns the total bytes in and out of all procedure counters.
func sumOfProcedures(snapshot resources.Snapshot) (in, out int64) {
	for _, count := range snapshot.Procedures {
		in += count.BytesIn
		out += count.BytesOut
	}
	return in, out
}

// requireSums checks that the totals of a side's traffic and procedure counters match the bytes observed at the
// sockets.
func requireSums(t *testing.T, name string, snapshot resources.Snapshot, observed *observedBytes) {
	t.Helper()
	for _, sum := range []struct {
		name string
		of   func(resources.Snapshot) (in, out int64)
	}{{"traffic", sumOfTraffic}, {"procedures", sumOfProcedures}} {
		in, out := sum.of(snapshot)
		if in != observed.in.Load() || out != observed.out.Load() {
			t.Errorf("%s: %s counters have %d bytes in and %d out, the sockets %d in and %d out",
				name, sum.name, in, out, observed.in.Load(), observed.out.Load())
		}
	}
}

// countersOf returns the counters of a procedure on one side.
func countersOf(snapshot resources.Snapshot, name, side string) resources.ProcedureCount {
	for _, count := range snapshot.Procedures {
		if count.Procedure == name && count.Side == side {
			return count
		}
	}
	return resources.ProcedureCount{}
}

func TestCall_CountersAddUp(t *testing.T) {
	pair := newMeteredPair(t)
	long := &testMessage{Words: make([]string, 4000)} // larger than a buffer, even when compressed
	for index := range long.Words {
		long.Words[index] = fmt.Sprint(index * 7919)
	}
	for number := range 20 {
		if err := pair.call(echoPath, &testMessage{Words: []string{"short"}}); err != nil {
			t.Fatal(err)
		}
		if number%4 == 0 {
			if pair.call(dropPath, long) == nil {
				t.Fatal("a call of dropPath succeeded, want an error")
			}
		}
	}
	if err := pair.call(echoPath, long); err != nil {
		t.Fatal(err)
	}
	client, server := pair.stopServer()

	requireSums(t, "client", client, &pair.network.dialed)
	requireSums(t, "server", server, &pair.network.accepted)
	for _, procedure := range []string{echoPath, dropPath} {
		begun, served := countersOf(client, procedure, "client"), countersOf(server, procedure, "server")
		if begun.BytesOut != served.BytesIn || begun.BytesIn != served.BytesOut || begun.BytesOut == 0 {
			t.Errorf("%s: client counters %+v don't match server counters %+v", procedure, begun, served)
		}
	}
	if begun := countersOf(client, echoPath, "client").Calls; begun != 21 {
		t.Errorf("client counted %d calls, want 21", begun)
	}
	if served := countersOf(server, echoPath, "server").Calls; served != 21 {
		t.Errorf("server counted %d calls, want 21", served)
	}
	if other := countersOf(server, resources.ProcedureOther, "server"); other.Bytes() != 0 || other.Calls != 0 {
		t.Errorf("counters of requests without a registered procedure are %+v, want zero", other)
	}
	if calls := pair.client.Meter.Calls.Load(); calls != 26 {
		t.Errorf("meter counted %d calls to other daemons, want 26", calls)
	}
}

func TestCall_CountersAddUpUnderConcurrency(t *testing.T) {
	pair := newMeteredPair(t)
	const callers, callsEach = 8, 25
	errs := make(chan error, callers)
	for range callers {
		go func() {
			var last error
			for range callsEach {
				if err := pair.call(echoPath, &testMessage{Count: map[string]int64{"x": 1}}); err != nil {
					last = err
				}
			}
			errs <- last
		}()
	}
	for range callers {
		if err := <-errs; err != nil {
			t.Fatal(err)
		}
	}
	client, server := pair.stopServer()
	requireSums(t, "client", client, &pair.network.dialed)
	requireSums(t, "server", server, &pair.network.accepted)
	if begun := client.Calls(resources.Client); begun != callers*callsEach {
		t.Errorf("client counted %d calls, want %d", begun, callers*callsEach)
	}
	if served := server.Calls(resources.Server); served != callers*callsEach {
		t.Errorf("server counted %d calls, want %d", served, callers*callsEach)
	}
}

func TestCall_ZonesAndConnections(t *testing.T) {
	pair := newMeteredPair(t)
	if err := pair.call(echoPath, &testMessage{}); err != nil {
		t.Fatal(err)
	}
	client, server := pair.stopServer()
	for _, snapshot := range []resources.Snapshot{client, server} {
		for _, count := range snapshot.Traffic {
			isExpected := count.Kind == "control" && count.Zone == "other"
			if isExpected != (count.Bytes() > 0) {
				t.Errorf("traffic counter %+v: only kind control in zone other may and must have bytes", count)
			}
		}
		open, opened := snapshot.OpenConnections()
		if open != 0 || opened != 1 {
			t.Errorf("%d connections are open and %d were opened, want 0 and 1", open, opened)
		}
	}
}

func TestInternal_CountsRejectedRequests(t *testing.T) {
	pair := newMeteredPair(t)
	client := NewHTTPClient(Options{Network: pair.network, Meter: pair.client.Meter, Procedure: "probe"})
	for _, testCase := range []struct{ fleet, path string }{
		{"another", echoPath},
		{"fleet", "/no/procedure"},
	} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+pair.address+testCase.path, strings.NewReader("{}"))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set(fleetHeader, testCase.fleet)
		response, err := client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	client.CloseIdleConnections()
	clientUsage, server := pair.stopServer()
	requireSums(t, "client", clientUsage, &pair.network.dialed)
	requireSums(t, "server", server, &pair.network.accepted)
	if other := countersOf(server, resources.ProcedureOther, "server"); other.Calls != 2 || other.BytesIn == 0 {
		t.Errorf("counters of rejected requests are %+v, want 2 calls and bytes in", other)
	}
	if probes := countersOf(clientUsage, "probe", "client"); probes.Calls != 2 || probes.BytesOut == 0 {
		t.Errorf("counters of probe requests are %+v, want 2 calls and bytes out", probes)
	}
}

func TestCountServed_CountsAllRequests(t *testing.T) {
	network := &observedNetwork{Network: SystemNetwork}
	meter := topology.NewTrafficMeter("norte")
	listener, err := network.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	handler := CountServed(meter, resources.ProcedureOperators, http.NotFoundHandler())
	metered := MeterListener(listener, meter, resources.Control)
	go func() { stopped <- Serve(ctx, metered, handler, clock.Second) }()
	client := NewHTTPClient(Options{Network: network, Meter: topology.NewTrafficMeter(""), Kind: resources.Data})
	for range 3 {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+listener.Addr().String()+"/live", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		response, err := client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	client.CloseIdleConnections()
	stop()
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
	used := meter.Resources.Snapshot(clock.Second)
	requireSums(t, "server", used, &network.accepted)
	if operators := countersOf(used, resources.ProcedureOperators, "server"); operators.Calls != 3 {
		t.Errorf("counters of operators' requests are %+v, want 3 calls", operators)
	}
}

// A net/http server that has not read a whole request closes only its sending direction, so that the response still
// reaches the client. meteredConn must pass CloseWrite on to the connection.
func TestMeteredConn_HalfCloses(t *testing.T) {
	meter := topology.NewTrafficMeter("")
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	withoutHalfClose := &meteredConn{Conn: near, usage: meter.Accepted("pipe", resources.Control)}
	if err := withoutHalfClose.CloseWrite(); err != nil {
		t.Error(err)
	}
	closer := &halfCloser{Conn: near}
	if err := (&meteredConn{Conn: closer, usage: meter.Accepted("pipe", resources.Control)}).CloseWrite(); err != nil {
		t.Error(err)
	}
	if !closer.halfClosed {
		t.Error("CloseWrite was not passed on to the connection")
	}
	_ = near.Close()
}

type halfCloser struct {
	net.Conn
	halfClosed bool
}

func (h *halfCloser) CloseWrite() error {
	h.halfClosed = true
	return nil
}
