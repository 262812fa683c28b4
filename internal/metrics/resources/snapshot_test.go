package resources_test

import (
	"reflect"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/metrics/resources"
)

func TestSnapshot_Since(t *testing.T) {
	var counters resources.Counters
	connection := openConnection(t, &counters, resources.Client, resources.Control)
	heads := counters.Procedure(resources.Client, "/heads")
	heads.Calls.Add(3)
	connection.Begin(heads)
	connection.write(100)
	counters.LoopWakeups.Add(5)
	earlier := counters.Snapshot(2 * clock.Second)

	heads.Calls.Add(2)
	connection.write(10)
	connection.read(4)
	counters.Procedure(resources.Client, "/deliver").Calls.Add(7) // sorts before /heads, which the earlier snapshot has
	counters.LoopWakeups.Add(6)
	openConnection(t, &counters, resources.Server, resources.Data).read(9)
	later := counters.Snapshot(4500 * clock.Millisecond)
	unchanged := counters.Snapshot(4500 * clock.Millisecond)
	difference := later.Since(earlier)

	if difference.Seconds != 2.5 || difference.LoopWakeups != 6 {
		t.Errorf("%v seconds and %d wake-ups, want 2.5 and 6", difference.Seconds, difference.LoopWakeups)
	}
	wantProcedures := []resources.ProcedureCount{
		{Procedure: "/deliver", Side: "client", Calls: 7},
		{Procedure: "/heads", Side: "client", Calls: 2, BytesIn: 4, BytesOut: 10},
	}
	if !reflect.DeepEqual(difference.Procedures, wantProcedures) {
		t.Errorf("procedures %+v, want %+v", difference.Procedures, wantProcedures)
	}
	if got := difference.TrafficBytes(resources.Control); got != 14 {
		t.Errorf("%d bytes of control traffic, want 14", got)
	}
	if got := difference.TrafficBytes(resources.Data); got != 9 {
		t.Errorf("%d bytes of data, want 9", got)
	}
	if open, opened := difference.OpenConnections(); open != 2 || opened != 1 {
		t.Errorf("%d connections open and %d opened, want 2 and 1", open, opened)
	}
	if !reflect.DeepEqual(later.Traffic, unchanged.Traffic) || !reflect.DeepEqual(later.Procedures, unchanged.Procedures) {
		t.Error("Since changed the later snapshot")
	}
}

// difference returns the resource usage of a daemon over a time: 600 bytes of control traffic, 300 bytes of
// data, 3 calls started, 2 calls served and 4 connections opened.
func difference(seconds float64) resources.Snapshot {
	return resources.Snapshot{
		Seconds: seconds,
		Traffic: []resources.TrafficCount{
			{Kind: "control", Zone: "same", BytesIn: 100, BytesOut: 200},
			{Kind: "control", Zone: "other", BytesIn: 300},
			{Kind: "data", Zone: "unknown", BytesOut: 300},
		},
		Connections: []resources.ConnectionCount{{Kind: "control", Side: "client", Open: 9, Opened: 4}},
		Procedures: []resources.ProcedureCount{
			{Procedure: "/a", Side: "client", Calls: 3},
			{Procedure: "/a", Side: "server", Calls: 2},
		},
		LoopWakeups: 15,
		Process:     resources.Process{CPUSeconds: 0.5},
	}
}

func TestSnapshot_Rates(t *testing.T) {
	for _, testCase := range []struct {
		name    string
		seconds float64
		want    resources.Rates
	}{
		{"over ten seconds", 10, resources.Rates{
			Processors: 0.05, ControlBytes: 60, DataBytes: 30, Wakeups: 2, ConnectionsOpened: 0.4,
		}},
		{"over half a second", 0.5, resources.Rates{
			Processors: 1, ControlBytes: 1200, DataBytes: 600, Wakeups: 40, ConnectionsOpened: 8,
		}},
		{"over no time", 0, resources.Rates{}},
		{"backwards", -1, resources.Rates{}},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			// A NaN rate also fails this comparison, because NaN is unequal to itself.
			if got := difference(testCase.seconds).Rates(); got != testCase.want {
				t.Errorf("rates %+v, want %+v", got, testCase.want)
			}
		})
	}
}

func TestSnapshot_RatesOfTwoEqualSnapshots(t *testing.T) {
	var counters resources.Counters
	snapshot := counters.Snapshot(clock.Second)
	if got := snapshot.Since(snapshot).Rates(); got != (resources.Rates{}) {
		t.Errorf("rates %+v, want all 0", got)
	}
}

func TestSnapshot_BusiestProcedures(t *testing.T) {
	snapshot := resources.Snapshot{Procedures: []resources.ProcedureCount{
		{Procedure: "/silent", Side: "client"},
		{Procedure: "/small", Side: "client", Calls: 9, BytesIn: 1, BytesOut: 2},
		{Procedure: "/failed", Side: "client", Calls: 4},
		{Procedure: "/large", Side: "server", Calls: 1, BytesIn: 500},
		{Procedure: "/large", Side: "client", Calls: 1, BytesOut: 400},
	}}
	for _, testCase := range []struct {
		limit int
		want  []string
	}{
		{0, []string{}},
		{2, []string{"/large server", "/large client"}},
		{9, []string{"/large server", "/large client", "/small client", "/failed client"}},
	} {
		names := []string{}
		for _, count := range snapshot.BusiestProcedures(testCase.limit) {
			names = append(names, count.Procedure+" "+count.Side)
		}
		if !reflect.DeepEqual(names, testCase.want) {
			t.Errorf("the %d busiest are %v, want %v", testCase.limit, names, testCase.want)
		}
	}
	if snapshot.Procedures[0].Procedure != "/silent" {
		t.Error("BusiestProcedures reordered the snapshot")
	}
}
