package resources_test

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"coursepass/internal/metrics/resources"
)

// testConnection reads and writes a given number of bytes on a counted connection.
type testConnection struct {
	*testing.T
	*resources.Connection
}

func openConnection(t *testing.T, counters *resources.Counters, side resources.Side, kind resources.Kind) testConnection {
	t.Helper()
	return testConnection{t, counters.Open(side, kind, nil)}
}

func (c testConnection) read(length int) {
	c.Helper()
	if _, err := c.Read(bytes.NewReader(make([]byte, length)), make([]byte, length)); err != nil {
		c.Fatal(err)
	}
}

func (c testConnection) write(length int) {
	c.Helper()
	if _, err := c.Write(io.Discard, make([]byte, length)); err != nil {
		c.Fatal(err)
	}
}

// requireProcedures compares the procedures of the counters with the wanted procedures, which must be sorted by
// side and name.
func requireProcedures(t *testing.T, counters *resources.Counters, want ...resources.ProcedureCount) {
	t.Helper()
	got := counters.Snapshot(0).Procedures
	if len(got) != len(want) {
		t.Fatalf("procedures %+v, want %+v", got, want)
	}
	for index := range want {
		if got[index] != want[index] {
			t.Errorf("procedure %+v, want %+v", got[index], want[index])
		}
	}
}

// serverCount returns the expected counts of a procedure on the server side.
func serverCount(name string, in, out int64) resources.ProcedureCount {
	return resources.ProcedureCount{Procedure: name, Side: "server", BytesIn: in, BytesOut: out}
}

// clientCount returns the expected counts of a procedure on the client side.
func clientCount(name string, in, out int64) resources.ProcedureCount {
	return resources.ProcedureCount{Procedure: name, Side: "client", BytesIn: in, BytesOut: out}
}

// attributionCase is a sequence of operations on one connection, and the expected counts by procedure.
type attributionCase struct {
	name string
	side resources.Side
	kind resources.Kind
	run  func(connection testConnection, heads, push *resources.Procedure)
	want []resources.ProcedureCount
}

var attributionCases = []attributionCase{
	{
		name: "server reads the head of each call before the procedure is known",
		side: resources.Server,
		run: func(connection testConnection, heads, push *resources.Procedure) {
			connection.read(100)
			connection.Begin(heads)
			connection.read(11) // the rest of the request body
			connection.write(50)
			connection.write(5)
			connection.read(30)
			connection.read(3)
			connection.Begin(push)
			connection.write(20)
			connection.read(1000)
			connection.Begin(heads)
			connection.write(500)
			connection.Close()
		},
		want: []resources.ProcedureCount{serverCount("/heads", 1111, 555), serverCount("/push", 33, 20)},
	},
	{
		name: "client names the procedure of each call before the first write",
		side: resources.Client,
		run: func(connection testConnection, heads, push *resources.Procedure) {
			connection.Begin(heads)
			connection.write(100)
			connection.read(10)
			connection.read(1)
			connection.Begin(push)
			connection.write(30)
			connection.read(3)
			connection.Close()
		},
		want: []resources.ProcedureCount{clientCount("/heads", 11, 100), clientCount("/push", 3, 30)},
	},
	{
		name: "connection closes before a procedure is known",
		side: resources.Server,
		run: func(connection testConnection, _, _ *resources.Procedure) {
			connection.read(7)
			connection.write(9)
			connection.Close()
			connection.Close()
		},
		want: []resources.ProcedureCount{
			serverCount("/heads", 0, 0), serverCount("/push", 0, 0), serverCount(resources.ProcedureOther, 7, 9),
		},
	},
	{
		name: "data connection has no procedures",
		side: resources.Server,
		kind: resources.Data,
		run: func(connection testConnection, _, _ *resources.Procedure) {
			connection.read(7)
			connection.write(9)
			connection.Close()
		},
		want: []resources.ProcedureCount{serverCount("/heads", 0, 0), serverCount("/push", 0, 0)},
	},
}

func TestConnection_AttributesCalls(t *testing.T) {
	for _, testCase := range attributionCases {
		t.Run(testCase.name, func(t *testing.T) {
			var counters resources.Counters
			heads := counters.Procedure(testCase.side, "/heads")
			push := counters.Procedure(testCase.side, "/push")
			testCase.run(openConnection(t, &counters, testCase.side, testCase.kind), heads, push)
			requireProcedures(t, &counters, testCase.want...)
		})
	}
}

// pipelinedWriter simulates a peer that sends its next request before the write of the response returns.
type pipelinedWriter struct{ sendNext func() }

func (p pipelinedWriter) Write(response []byte) (int, error) {
	p.sendNext()
	return len(response), nil
}

func TestConnection_NextRequestDuringWrite(t *testing.T) {
	var counters resources.Counters
	connection := openConnection(t, &counters, resources.Server, resources.Control)
	connection.read(10)
	connection.Begin(counters.Procedure(resources.Server, "/first"))
	destination := pipelinedWriter{func() { connection.read(3) }}
	if _, err := connection.Write(destination, make([]byte, 20)); err != nil {
		t.Fatal(err)
	}
	connection.Begin(counters.Procedure(resources.Server, "/second"))
	requireProcedures(t, &counters, serverCount("/first", 10, 20), serverCount("/second", 3, 0))
}

// failingStream transfers one byte of each read or write and returns an error.
type failingStream struct{}

var errTransfer = errors.New("transfer failed")

func (failingStream) Read([]byte) (int, error)  { return 1, errTransfer }
func (failingStream) Write([]byte) (int, error) { return 1, errTransfer }

func TestConnection_CountsWhatWasTransferred(t *testing.T) {
	var counters resources.Counters
	connection := counters.Open(resources.Client, resources.Data, func() resources.Zone { return resources.OtherZone })
	if _, err := connection.Read(failingStream{}, make([]byte, 9)); !errors.Is(err, errTransfer) {
		t.Errorf("read error %v, want %v", err, errTransfer)
	}
	if _, err := connection.Write(failingStream{}, make([]byte, 9)); !errors.Is(err, errTransfer) {
		t.Errorf("write error %v, want %v", err, errTransfer)
	}
	if got := counters.Bytes(resources.Client, resources.OtherZone); got != 2 {
		t.Errorf("%d bytes, want 2", got)
	}
}

func TestConnection_OpenAndOpened(t *testing.T) {
	var counters resources.Counters
	first := counters.Open(resources.Client, resources.Control, nil)
	counters.Open(resources.Client, resources.Control, nil)
	counters.Open(resources.Server, resources.Data, nil)
	first.Close()
	first.Close()
	for _, count := range counters.Snapshot(0).Connections {
		want := resources.ConnectionCount{Kind: count.Kind, Side: count.Side}
		switch {
		case count.Kind == "control" && count.Side == "client":
			want.Open, want.Opened = 1, 2
		case count.Kind == "data" && count.Side == "server":
			want.Open, want.Opened = 1, 1
		}
		if count != want {
			t.Errorf("connections %+v, want %+v", count, want)
		}
	}
}

// BenchmarkConnection_ReadAndWrite measures the overhead of counting for one read and one write.
func BenchmarkConnection_ReadAndWrite(b *testing.B) {
	for _, kind := range []resources.Kind{resources.Control, resources.Data} {
		b.Run(kind.String(), func(b *testing.B) {
			var counters resources.Counters
			connection := counters.Open(resources.Client, kind, func() resources.Zone { return resources.SameZone })
			connection.Begin(counters.Procedure(resources.Client, "/heads"))
			buffer := make([]byte, 100)
			b.ReportAllocs()
			for b.Loop() {
				_, _ = connection.Write(io.Discard, buffer)
				_, _ = connection.Read(endlessReader{}, buffer)
			}
		})
	}
}

// endlessReader reports each buffer as filled without writing to it.
type endlessReader struct{}

func (endlessReader) Read(buffer []byte) (int, error) { return len(buffer), nil }
