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

// observedNetwork counts the bytes of all connections beneath the counters under test, by side.
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

// meteredPair is a client and a server that call each other over loopback, in the zones norte and sur.
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

// finish ends the server, so that all that was written is counted, and returns what both have used.
func (m *meteredPair) finish() (client, server resources.Snapshot) {
	m.Helper()
	m.client.client.CloseIdleConnections()
	m.stop()
	if err := <-m.stopped; err != nil {
		m.Fatal(err)
	}
	return m.client.Meter.Resources.Snapshot(clock.Second), m.server.Meter.Resources.Snapshot(clock.Second)
}

// sumOfTraffic and sumOfProcedures return the bytes in and out of all rows.
func sumOfTraffic(snapshot resources.Snapshot) (in, out int64) {
	for _, count := range snapshot.Traffic {
		in += count.BytesIn
		out += count.BytesOut
	}
	return in, out
}

func sumOfProcedures(snapshot resources.Snapshot) (in, out int64) {
	for _, count := range snapshot.Procedures {
		in += count.BytesIn
		out += count.BytesOut
	}
	return in, out
}

// requireSums compares the sums of a side's counters with what was observed beneath them.
func requireSums(t *testing.T, name string, snapshot resources.Snapshot, observed *observedBytes) {
	t.Helper()
	for _, sum := range []struct {
		name string
		of   func(resources.Snapshot) (in, out int64)
	}{{"traffic", sumOfTraffic}, {"procedures", sumOfProcedures}} {
		in, out := sum.of(snapshot)
		if in != observed.in.Load() || out != observed.out.Load() {
			t.Errorf("%s: %s has %d bytes in and %d out, the sockets %d and %d",
				name, sum.name, in, out, observed.in.Load(), observed.out.Load())
		}
	}
}

// procedureOf returns the counts of a procedure on one side.
func procedureOf(snapshot resources.Snapshot, name, side string) resources.ProcedureCount {
	for _, count := range snapshot.Procedures {
		if count.Procedure == name && count.Side == side {
			return count
		}
	}
	return resources.ProcedureCount{}
}

func TestCall_CountersAddUp(t *testing.T) {
	pair := newMeteredPair(t)
	long := &testMessage{Words: make([]string, 4000)} // larger than a buffer, also compressed
	for index := range long.Words {
		long.Words[index] = fmt.Sprint(index * 7919)
	}
	for number := range 20 {
		if err := pair.call(echoPath, &testMessage{Words: []string{"short"}}); err != nil {
			t.Fatal(err)
		}
		if number%4 == 0 {
			if pair.call(dropPath, long) == nil {
				t.Fatal("a dropped message is answered")
			}
		}
	}
	if err := pair.call(echoPath, long); err != nil {
		t.Fatal(err)
	}
	client, server := pair.finish()

	requireSums(t, "client", client, &pair.network.dialed)
	requireSums(t, "server", server, &pair.network.accepted)
	for _, procedure := range []string{echoPath, dropPath} {
		begun, served := procedureOf(client, procedure, "client"), procedureOf(server, procedure, "server")
		if begun.BytesOut != served.BytesIn || begun.BytesIn != served.BytesOut || begun.BytesOut == 0 {
			t.Errorf("%s: the client has %+v, the server %+v", procedure, begun, served)
		}
	}
	if begun := procedureOf(client, echoPath, "client").Calls; begun != 21 {
		t.Errorf("%d calls begun, want 21", begun)
	}
	if served := procedureOf(server, echoPath, "server").Calls; served != 21 {
		t.Errorf("%d calls served, want 21", served)
	}
	if other := procedureOf(server, resources.ProcedureOther, "server"); other.Bytes() != 0 || other.Calls != 0 {
		t.Errorf("without a procedure: %+v", other)
	}
	if calls := pair.client.Meter.Calls.Load(); calls != 26 {
		t.Errorf("%d calls to other daemons, want 26", calls)
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
	client, server := pair.finish()
	requireSums(t, "client", client, &pair.network.dialed)
	requireSums(t, "server", server, &pair.network.accepted)
	if begun := client.Calls(resources.Client); begun != callers*callsEach {
		t.Errorf("%d calls begun, want %d", begun, callers*callsEach)
	}
	if served := server.Calls(resources.Server); served != callers*callsEach {
		t.Errorf("%d calls served, want %d", served, callers*callsEach)
	}
}

func TestCall_ZonesAndConnections(t *testing.T) {
	pair := newMeteredPair(t)
	if err := pair.call(echoPath, &testMessage{}); err != nil {
		t.Fatal(err)
	}
	client, server := pair.finish()
	for _, snapshot := range []resources.Snapshot{client, server} {
		for _, count := range snapshot.Traffic {
			isExpected := count.Kind == "control" && count.Zone == "other"
			if isExpected != (count.Bytes() > 0) {
				t.Errorf("%+v", count)
			}
		}
		open, opened := snapshot.OpenConnections()
		if open != 0 || opened != 1 {
			t.Errorf("%d connections open and %d opened, want 0 and 1", open, opened)
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
	used, server := pair.finish()
	requireSums(t, "client", used, &pair.network.dialed)
	requireSums(t, "server", server, &pair.network.accepted)
	if other := procedureOf(server, resources.ProcedureOther, "server"); other.Calls != 2 || other.BytesIn == 0 {
		t.Errorf("rejected requests: %+v", other)
	}
	if probes := procedureOf(used, "probe", "client"); probes.Calls != 2 || probes.BytesOut == 0 {
		t.Errorf("requests: %+v", probes)
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
	if operators := procedureOf(used, resources.ProcedureOperators, "server"); operators.Calls != 3 {
		t.Errorf("%+v, want 3 calls", operators)
	}
}

// A connection to a server of net/http that has not read all of a request half-closes, so that the answer
// arrives; the wrapper must not hide that.
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
		t.Error("the connection was not half-closed")
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
