package resources_test

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"coursepass/internal/metrics/resources"
)

// testConnection reads and writes whole pieces on a connection of counters.
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

// requireProcedures compares the procedures of the counters, which are sorted by side and name.
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

func served(name string, in, out int64) resources.ProcedureCount {
	return resources.ProcedureCount{Procedure: name, Side: "server", BytesIn: in, BytesOut: out}
}

func begun(name string, in, out int64) resources.ProcedureCount {
	return resources.ProcedureCount{Procedure: name, Side: "client", BytesIn: in, BytesOut: out}
}

// attributionCase is what happens on one connection, and the procedures that its bytes then belong to.
type attributionCase struct {
	name string
	side resources.Side
	kind resources.Kind
	run  func(connection testConnection, heads, push *resources.Procedure)
	want []resources.ProcedureCount
}

var attributionCases = []attributionCase{
	{
		name: "a server's calls, of which the head comes before their procedure",
		side: resources.Server,
		run: func(connection testConnection, heads, push *resources.Procedure) {
			connection.read(100)
			connection.Begin(heads)
			connection.read(11) // the rest of its body
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
		want: []resources.ProcedureCount{served("/heads", 1111, 555), served("/push", 33, 20)},
	},
	{
		name: "a client's calls, named before they are written",
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
		want: []resources.ProcedureCount{begun("/heads", 11, 100), begun("/push", 3, 30)},
	},
	{
		name: "what names no procedure before the connection ends",
		side: resources.Server,
		run: func(connection testConnection, _, _ *resources.Procedure) {
			connection.read(7)
			connection.write(9)
			connection.Close()
			connection.Close()
		},
		want: []resources.ProcedureCount{
			served("/heads", 0, 0), served("/push", 0, 0), served(resources.ProcedureOther, 7, 9),
		},
	},
	{
		name: "data, which has no procedures",
		side: resources.Server,
		kind: resources.Data,
		run: func(connection testConnection, _, _ *resources.Procedure) {
			connection.read(7)
			connection.write(9)
			connection.Close()
		},
		want: []resources.ProcedureCount{served("/heads", 0, 0), served("/push", 0, 0)},
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

// pipelinedWriter is a peer that sends its next request before the write of the answer has returned.
type pipelinedWriter struct{ sendNext func() }

func (p pipelinedWriter) Write(answer []byte) (int, error) {
	p.sendNext()
	return len(answer), nil
}

func TestConnection_NextRequestDuringWrite(t *testing.T) {
	var counters resources.Counters
	connection := openConnection(t, &counters, resources.Server, resources.Control)
	connection.read(10)
	connection.Begin(counters.Procedure(resources.Server, "/first"))
	answer := pipelinedWriter{func() { connection.read(3) }}
	if _, err := connection.Write(answer, make([]byte, 20)); err != nil {
		t.Fatal(err)
	}
	connection.Begin(counters.Procedure(resources.Server, "/second"))
	requireProcedures(t, &counters, served("/first", 10, 20), served("/second", 3, 0))
}

// brokenStream transfers one byte of each piece and fails.
type brokenStream struct{}

var errBroken = errors.New("broken")

func (brokenStream) Read([]byte) (int, error)  { return 1, errBroken }
func (brokenStream) Write([]byte) (int, error) { return 1, errBroken }

func TestConnection_CountsWhatWasTransferred(t *testing.T) {
	var counters resources.Counters
	connection := counters.Open(resources.Client, resources.Data, func() resources.Zone { return resources.OtherZone })
	if _, err := connection.Read(brokenStream{}, make([]byte, 9)); !errors.Is(err, errBroken) {
		t.Errorf("read: %v", err)
	}
	if _, err := connection.Write(brokenStream{}, make([]byte, 9)); !errors.Is(err, errBroken) {
		t.Errorf("write: %v", err)
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
			t.Errorf("%+v, want %+v", count, want)
		}
	}
}

// BenchmarkConnection_ReadAndWrite measures what counting adds to one read and one write.
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

// endlessReader reads as much as is wanted, and does nothing.
type endlessReader struct{}

func (endlessReader) Read(buffer []byte) (int, error) { return len(buffer), nil }
