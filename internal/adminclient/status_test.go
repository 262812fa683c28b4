package adminclient

import (
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/dataplane/router"
	"coursepass/internal/metrics/resources"
)

func TestReadiness_ComparesRevisionWithLatest(t *testing.T) {
	for _, test := range []struct {
		ready    bool
		revision uint64
		wanted   string
	}{
		{true, 7, "ready"},
		{true, 6, "ready, catching up"},
		{false, 7, "not ready"},
		{false, 6, "STALE, not ready"},
	} {
		overview := router.Status{Ready: test.ready}
		overview.ActiveConfig.Revision = test.revision
		if text := readiness(overview, 7); text != test.wanted {
			t.Errorf("ready %t at revision %d: %q, want %q", test.ready, test.revision, text, test.wanted)
		}
	}
}

func TestKnownFleet_KeepsLatestReports(t *testing.T) {
	known := newKnownFleet()
	known.addShards([]controlapi.ShardStatus{
		{Shard: configurationShard, UpToDate: true, Revision: 7},
		{Shard: configurationShard, UpToDate: false, Revision: 9},
		{Shard: configurationShard + 1, UpToDate: true, Revision: 8},
	})
	if known.latestRevision != 7 {
		t.Errorf("latest revision %d, want that of an up-to-date replica of the configuration, 7", known.latestRevision)
	}
	for _, age := range []clock.Microseconds{3, 1, 2} {
		known.addDaemons(controlapi.FleetStatus{Routers: []controlapi.RouterStatus{{Name: "a", SinceLastSeen: age}}})
	}
	if age := known.routers["a"].SinceLastSeen; age != 1 {
		t.Errorf("the report is %d µs old, want the latest, of 1 µs", age)
	}
}

func TestUsageLine(t *testing.T) {
	used := &resources.Snapshot{
		Seconds: 90.4,
		Traffic: []resources.TrafficCount{
			{Kind: "control", Zone: "same", BytesIn: 1000, BytesOut: 24},
			{Kind: "control", Zone: "other", BytesOut: 2048},
			{Kind: "data", Zone: "unknown", BytesIn: 5 << 20},
		},
		Connections: []resources.ConnectionCount{{Open: 3, Opened: 8}, {Open: 1, Opened: 2}},
		Process:     resources.Process{CPUSeconds: 2.25, ResidentBytes: 45 << 20},
	}
	want := "  used in 90 s  cpu 2.2 s  resident 45 MiB  control 3 KiB  data 5120 KiB  connections 4 of 10\n"
	if line := usageLine(used); line != want {
		t.Errorf("%q, want %q", line, want)
	}
	if line := usageLine(nil); line != "" {
		t.Errorf("%q for a daemon of an earlier release", line)
	}
}

func TestCopyLines(t *testing.T) {
	shard := controlapi.ShardStatus{Copies: []controlapi.CopyStatus{
		{Slot: 0, Server: "core-0", Address: "10.0.0.1:1", State: "complete", Since: 90 * clock.Second},
		{Slot: 1, Server: "core-1", Address: "10.0.0.2:1", State: "catching-up", Since: 7 * clock.Second, MissingEntries: 12},
	}}
	want := "    copy in slot 0  complete  10.0.0.1:1  for 90 s  missing entries 0  server core-0\n" +
		"    copy in slot 1  catching-up  10.0.0.2:1  for 7 s  missing entries 12  server core-1\n"
	if text := copyLines(shard); text != want {
		t.Errorf("got %q, want %q", text, want)
	}
	learner := controlapi.ShardStatus{CatchingUp: true, SinceProgress: 1500 * clock.Millisecond}
	if text := copyLines(learner); text != "    nothing received for 1500 ms\n" {
		t.Errorf("got %q", text)
	}
}
