package simulation_test

import (
	"fmt"
	"testing"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
	"coursepass/internal/state/route"
)

// catchUpLimit is the least catch-up-s of the deployments.
const catchUpLimit = 6 * time.Second

// routingRequest puts a route in force, or many with the first label.
func routingRequest(label uint64) config.Request {
	change := &config.Routing{
		Label: label, On: label - 1, Digest: fmt.Sprint("digest ", label), Routes: map[string]route.Route{}, Items: map[string][]config.Item{},
	}
	request, count := config.Request{Kind: config.OperationPatchRoutes, Routing: change}, uint64(1)
	if label == 1 {
		request.Kind, count = config.OperationReplaceRoutes, 350
		change.Services, change.Bounds = map[string]route.Service{"s": {Name: "s"}}, &route.Limits{}
	}
	for number := range count {
		name := fmt.Sprint("route-", (label+number)%350)
		change.Routes[name] = route.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: route.KindStream, GiveUp: clock.Second, Shares: []route.WeightedService{{Service: "s", Weight: 1}},
		}
		text := fmt.Sprintf(`{"name":%q,"host":"h","path-prefix":"/%s/","to":[{"service":"s","weight":1}],"label":%d}`, name, name, label)
		change.Items["routes"] = append(change.Items["routes"], config.Item{Name: name, Text: text})
	}
	return request
}

// A core comes back after hundreds of changes, with its disk and without, and has caught up
// in time. Afterwards the first order is acknowledged once more.
func TestServerRestart_CatchesUpAfterHundredsOfChanges(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		observer, label := newFleetObserver(&fleetSoak{testFleet: fleet, startedAt: time.Now()}, ""), uint64(0)
		change := func(count int) {
			for target := label + uint64(count); label < target; {
				if done := observer.sendChange(routingRequest(label + 1)); done.resultCode == errcode.OK {
					label++
				} else if done.resultCode != errcode.OutcomeUnknown && done.resultCode != errcode.NoQuorum && done.resultCode != errcode.NotLeader {
					t.Fatalf("label %d: %v %s", label+1, done.resultCode, done.outcome.Text)
				}
			}
		}
		change(50)
		for iteration, wiped := range []bool{false, true} {
			restarted := (int(fleet.shardLeader(0)[5]-'0') + 1) % 3
			name := fmt.Sprint("core-", restarted)
			fleet.killDaemon(name)
			if wiped {
				change(20)
				fleet.wipeDisk(name)
			} else {
				change(400)
			}
			leading := fleet.serverAddresses[int(fleet.shardLeader(0)[5]-'0')]
			want := fleet.fetchOverview(leading).Shards[0].Revision
			startedAt := time.Now()
			fleet.startDaemon(name)
			for time.Since(startedAt) < 4*catchUpLimit {
				status := fleet.fetchOverview(fleet.serverAddresses[restarted]).Shards
				if len(status) > 0 && status[0].UpToDate && !status[0].CatchingUp && status[0].Revision >= want {
					break
				}
				time.Sleep(20 * time.Millisecond)
			}
			if duration := time.Since(startedAt); duration > catchUpLimit {
				t.Errorf("turn %d, wiped %v: caught up after %v", iteration, wiped, duration)
			} else {
				t.Logf("turn %d, wiped %v: caught up after %v", iteration, wiped, duration)
			}
		}
		if done := observer.sendChange(routingRequest(1)); done.resultCode != errcode.OK {
			t.Errorf("the first of %d orders, sent again: %v", label, done.resultCode)
		}
	})
}
