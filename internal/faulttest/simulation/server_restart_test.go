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

// catchUpLimit is the shortest catch-up-s of the deployments.
const catchUpLimit = 6 * time.Second

// routingRequest returns a change of one route, or of many with the first label.
func routingRequest(label uint64) config.Request {
	change := &config.Routing{
		Label: label, ParentLabel: label - 1, Digest: fmt.Sprint("digest ", label), Routes: map[string]route.Route{}, Items: map[string][]config.Item{},
	}
	request, count := config.Request{Kind: config.OperationPatchRoutes, Routing: change}, uint64(1)
	if label == 1 {
		request.Kind, count = config.OperationReplaceRoutes, 350
		change.Services, change.Bounds = map[string]route.Service{"s": {Name: "s"}}, &route.Limits{}
	}
	for number := range count {
		name := fmt.Sprint("route-", (label+number)%350)
		change.Routes[name] = route.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: route.KindStream, TotalTimeout: clock.Second, Services: []route.WeightedService{{Service: "s", Weight: 1}},
		}
		text := fmt.Sprintf(`{"name":%q,"host":"h","path-prefix":"/%s/","to":[{"service":"s","weight":1}],"label":%d}`, name, name, label)
		change.Items["routes"] = append(change.Items["routes"], config.Item{Name: name, Text: text})
	}
	return request
}

// labelSequence sends changes with increasing labels.
type labelSequence struct {
	*fleetObserver
	// label is the last one that was acknowledged.
	label uint64
}

// advance sends changes until so many more are acknowledged.
func (l *labelSequence) advance(count int) {
	for target := l.label + uint64(count); l.label < target; {
		done := l.sendChange(routingRequest(l.label + 1))
		switch done.resultCode {
		case errcode.OK:
			l.label++
		case errcode.OutcomeUnknown, errcode.NoQuorum, errcode.NotLeader:
			// Sent again.
		default:
			l.Fatalf("label %d: %v %s", l.label+1, done.resultCode, done.outcome.Text)
		}
	}
}

// TestServerRestart_CatchesUpAfterHundredsOfChanges has a server come back after hundreds of changes, with
// its disk and without: it catches up in time. Afterwards the first change is acknowledged once more.
func TestServerRestart_CatchesUpAfterHundredsOfChanges(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		observer := newFleetObserver(&fleetSoak{testFleet: fleet, startedAt: time.Now()}, "")
		changes := &labelSequence{fleetObserver: observer}
		changes.advance(50)
		for _, wiped := range []bool{false, true} {
			restarted := (fleet.leaderNumber(0) + 1) % 3
			name := fmt.Sprint("core-", restarted)
			fleet.killDaemon(name)
			if wiped {
				changes.advance(20)
				fleet.wipeDisk(name)
			} else {
				changes.advance(400)
			}
			leader := fleet.serverAddresses[fleet.leaderNumber(0)]
			wanted := fleet.fetchOverview(leader).Shards[0].Revision
			startedAt := time.Now()
			fleet.startDaemon(name)
			fleet.awaitRevision(restarted, wanted, 4*catchUpLimit)
			duration := time.Since(startedAt)
			t.Logf("wiped %v: caught up after %v", wiped, duration)
			if duration > catchUpLimit {
				t.Errorf("wiped %v: caught up only after %v", wiped, duration)
			}
		}
		if done := observer.sendChange(routingRequest(1)); done.resultCode != errcode.OK {
			t.Errorf("the first of %d changes, sent again: %v", changes.label, done.resultCode)
		}
	})
}

// awaitRevision waits until a server is up to date and has a revision of the first shard.
func (t *testFleet) awaitRevision(server int, wanted uint64, timeout time.Duration) {
	for startedAt := time.Now(); time.Since(startedAt) < timeout; time.Sleep(20 * time.Millisecond) {
		shards := t.fetchOverview(t.serverAddresses[server]).Shards
		if len(shards) > 0 && shards[0].UpToDate && !shards[0].CatchingUp && shards[0].Revision >= wanted {
			return
		}
	}
}
