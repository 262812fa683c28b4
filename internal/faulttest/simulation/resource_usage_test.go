package simulation_test

import (
	"strings"
	"testing"
	"time"

	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/dataplane/router"
	"coursepass/internal/metrics/resources"
)

// daemonUsage returns what each daemon has used, by its name, as its status shows it.
func (t *testFleet) daemonUsage() map[string]resources.Snapshot {
	t.Helper()
	used := map[string]resources.Snapshot{}
	for _, address := range t.serverAddresses {
		var overview controlapi.ServerStatus
		if err := t.newOperatorClient(address).Get("/v1/status", &overview); err != nil {
			t.Fatal(err)
		}
		used[overview.Name] = *overview.Resources
	}
	for _, address := range t.routerAddresses {
		var overview router.Status
		if err := t.newOperatorClient(address).Get("/v1/status", &overview); err != nil {
			t.Fatal(err)
		}
		used[overview.Name] = *overview.Resources
	}
	return used
}

// usageDuring returns what each daemon used in a time.
func (t *testFleet) usageDuring(duration time.Duration) map[string]resources.Snapshot {
	t.Helper()
	before := t.daemonUsage()
	time.Sleep(duration)
	used := t.daemonUsage()
	for name := range used {
		used[name] = used[name].Since(before[name])
	}
	return used
}

// sumProcedure sums the counts of a procedure on one side of all daemons with a prefix in their name.
func sumProcedure(used map[string]resources.Snapshot, prefix, procedure, side string) resources.ProcedureCount {
	sum := resources.ProcedureCount{Procedure: procedure, Side: side}
	for name, snapshot := range used {
		for _, count := range snapshot.Procedures {
			if strings.HasPrefix(name, prefix) && count.Procedure == procedure && count.Side == side {
				sum.Calls += count.Calls
				sum.BytesIn += count.BytesIn
				sum.BytesOut += count.BytesOut
			}
		}
	}
	return sum
}

// requireClose fails if two counts of the same differ by more than what may be under way.
func requireClose(t *testFleet, what string, first, second int64) {
	t.Helper()
	const maxShareUnderWay = 0.02
	if difference := float64(first - second); max(difference, -difference) > maxShareUnderWay*float64(first) {
		t.Errorf("%s: %d and %d", what, first, second)
	}
}

// What daemons begin, others serve, with the same bytes; a fleet at rest is in the counters as it is known to
// behave.
func TestResourceUsage_AddsUpOverFleet(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		used := fleet.usageDuring(30 * time.Second)
		for _, procedure := range []string{"/core/heads", "/core/deliver", "/sibling/shuffle", "/news/compare"} {
			begun := sumProcedure(used, "", procedure, "client")
			served := sumProcedure(used, "", procedure, "server")
			requireClose(fleet, procedure+" calls", begun.Calls, served.Calls)
			requireClose(fleet, procedure+" requests", begun.BytesOut, served.BytesIn)
			requireClose(fleet, procedure+" answers", served.BytesOut, begun.BytesIn)
		}
		// Three routers read three servers every 300 ms.
		if heads := sumProcedure(used, "router", "/core/heads", "client").Calls; heads < 880 || heads > 920 {
			fleet.Errorf("%d heads were read, want 900", heads)
		}
		for name, snapshot := range used {
			checkUsageAtRest(fleet, name, snapshot)
		}
	})
}

// checkUsageAtRest checks one daemon of a fleet without callers.
func checkUsageAtRest(t *testFleet, name string, snapshot resources.Snapshot) {
	t.Helper()
	bytesOf := map[string]int64{}
	for _, count := range snapshot.Traffic {
		bytesOf[count.Kind+" "+count.Zone] += count.Bytes()
	}
	// Connections of the memory network that a daemon has accepted have no remote address, so no zone.
	if bytesOf["control other"] == 0 {
		t.Errorf("%s: bytes %v", name, bytesOf)
	}
	procedureBytes := int64(0)
	for _, count := range snapshot.Procedures {
		procedureBytes += count.Bytes()
	}
	requireClose(t, name+" control traffic and procedures", snapshot.TrafficBytes(resources.Control), procedureBytes)
	if snapshot.LoopWakeups < 60 {
		t.Errorf("%s: %d wake-ups of loops in 30 s", name, snapshot.LoopWakeups)
	}
	if open, _ := snapshot.OpenConnections(); open < 2 {
		t.Errorf("%s: %d connections", name, open)
	}
}
