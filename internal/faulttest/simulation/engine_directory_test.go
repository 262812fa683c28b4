package simulation_test

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"coursepass/internal/adminclient"
	"coursepass/internal/clock"
	"coursepass/internal/controlplane"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/enginecommand"
	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/emulator"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/platformport"
	"coursepass/internal/settings"
	"coursepass/internal/state/pairing"
)

// engineDirectory is a directory that all cores follow, and the engines that take orders.
type engineDirectory struct {
	lock         sync.Mutex
	engines      []platformport.Engine
	unavailable  bool
	listCalls    int
	commands     []string
	leaderOfTerm map[uint64]string
	observer     *emulator.Observer
	startedAt    time.Time
}

func (e *engineDirectory) List(context.Context) ([]platformport.Engine, error) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.listCalls++
	if e.unavailable {
		return nil, errcode.New(errcode.ConnectionLost, "declined")
	}
	return append([]platformport.Engine(nil), e.engines...), nil
}

func (e *engineDirectory) SetRole(_ context.Context, _ *http.Client, role platformport.RoleCommand) error {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.commands = append(e.commands, role.Address+" "+role.Role)
	if before, known := e.leaderOfTerm[role.Term]; known && before != role.LeaseHolder {
		e.observer.RecordViolation("%s and %s have round %d", before, role.LeaseHolder, role.Term)
	}
	e.leaderOfTerm[role.Term] = role.LeaseHolder
	command := enginecommand.Command{Term: role.Term, Leader: role.LeaseHolder}
	e.observer.RecordCommand(clock.FromDuration(time.Since(e.startedAt)), command)
	for index := range e.engines {
		if e.engines[index].Address == role.Address {
			e.engines[index].Role = role.Role
		}
	}
	return nil
}

func (e *engineDirectory) withLock(action func()) {
	e.lock.Lock()
	defer e.lock.Unlock()
	action()
}

// Three real cores follow a directory. Its engines come into the contract by themselves;
// a decline of the list changes nothing; one that leaves or is missing twice goes; where
// all readers are lost one maker is ordered over, also by the next leader.
func TestServers_FollowEngineDirectory(t *testing.T) {
	dataDirectory := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		fleet := &testFleet{T: t, MemoryNetwork: simulation.NewMemoryNetwork(200), deployment: smallDeployment(), processes: map[string]*process{}, dataDirectory: dataDirectory, observers: map[string]*emulator.Observer{}, starters: map[string]func() func(context.Context) error{}}
		defer fleet.shutDown()
		directory := &engineDirectory{observer: emulator.NewObserver(3 * clock.Second), startedAt: time.Now(), leaderOfTerm: map[uint64]string{}}
		fleet.observers["registry"] = directory.observer
		for number := range 6 {
			role := pairing.RoleDecode
			if number < 2 {
				role = pairing.RolePrefill
			}
			directory.engines = append(directory.engines, platformport.Engine{Incarnation: fmt.Sprint("life-", number), Service: fleet.service, Address: fmt.Sprintf("127.0.2.%d:2", number), Zone: defaultZones[number%3], Slots: 8, Role: role, ModelVersion: 1})
		}
		for number := range 3 {
			fleet.seeds = append(fleet.seeds, fmt.Sprintf("10.0.0.%d:1", number))
			fleet.serverAddresses = append(fleet.serverAddresses, fmt.Sprintf("127.0.0.%d:2", number))
		}
		for number := range 3 {
			name := fmt.Sprint("core-", number)
			daemonSettings := controlplane.Settings{
				Common:   settings.Common{Name: name, Zone: defaultZones[number], Fleet: "stage", Public: fleet.serverAddresses[number], Seeds: fleet.seeds},
				Internal: settings.Internal{InternalAddress: fleet.seeds[number], Shards: 2}, Timing: settings.Timing{DeltaMillis: 200, LeaseMillis: 3000}, CompactionMiB: 16, DataDirectory: filepath.Join(dataDirectory, name),
			}
			fleet.addDaemon(name, daemonSettings.Internal.InternalAddress, daemonSettings.Common.Public, func(host simulation.Host) (daemon, error) {
				server, err := controlplane.New(daemonSettings, settings.NewIncarnation(), host)
				if err == nil {
					server.Attach(directory, directory)
				}
				return server, err
			})
			fleet.startDaemon(name)
		}
		expect := func(description string, duration time.Duration, wantRoles string) {
			t.Helper()
			actual := ""
			for range int(duration / (250 * time.Millisecond)) {
				time.Sleep(250 * time.Millisecond)
				if actual = fleet.engineRoles(); actual == wantRoles {
					return
				}
			}
			t.Errorf("%s: %s, not %s", description, actual, wantRoles)
		}
		expect("all come", 10*time.Second, "life-0:prefill life-1:prefill life-2:decode life-3:decode life-4:decode life-5:decode ")
		directory.withLock(func() { directory.unavailable = true })
		time.Sleep(5 * time.Second)
		expect("declined", time.Second, "life-0:prefill life-1:prefill life-2:decode life-3:decode life-4:decode life-5:decode ")
		directory.withLock(func() {
			directory.unavailable = false
			directory.engines[5].Draining = true
		})
		expect("one leaves", 3*time.Second, "life-0:prefill life-1:prefill life-2:decode life-3:decode life-4:decode ")
		directory.withLock(func() {
			directory.engines[5].Draining = false
			directory.engines[4].Role = pairing.RolePrefill
		})
		expect("a mark stays, a part changes", 3*time.Second, "life-0:prefill life-1:prefill life-2:decode life-3:decode life-4:prefill ")
		directory.withLock(func() { directory.engines = directory.engines[2:4] })
		expect("three go", 4*time.Second, "life-2:decode life-3:decode ")
		expect("one is ordered over", 20*time.Second, "life-2:prefill life-3:decode ")
		directory.withLock(func() {
			next := directory.engines[0]
			next.Incarnation, next.Address, next.Role = "life-6", "127.0.2.6:2", pairing.RoleDecode
			directory.engines = append(directory.engines[1:], next)
		})
		expect("the reader is gone", 4*time.Second, "life-3:decode life-6:decode ")
		fleet.killDaemon(fleet.serviceLeader())
		expect("one is ordered over by the next leader", 30*time.Second, "life-3:prefill life-6:decode ")
		listCalls := 0
		directory.withLock(func() {
			listCalls = directory.listCalls
			if want := []string{"127.0.2.2:2 prefill", "127.0.2.3:2 prefill"}; !slices.Equal(directory.commands, want) || len(directory.leaderOfTerm) != 2 {
				t.Errorf("orders: %v, by %v", directory.commands, directory.leaderOfTerm)
			}
		})
		time.Sleep(20 * time.Second)
		directory.withLock(func() {
			if more := directory.listCalls - listCalls; more < 15 || more > 21 {
				t.Errorf("%d lists in 20 s", more)
			}
		})
	})
}

// engineRoles is the contract as any core shows it, in order.
func (t *testFleet) engineRoles() string {
	text := ""
	for number, address := range t.serverAddresses {
		if t.processes[fmt.Sprint("core-", number)] == nil {
			continue
		}
		var engines []controlapi.EngineEntry
		target := adminclient.Client{Cores: []string{address}, Network: simulation.Host{MemoryNetwork: t.MemoryNetwork, Name: "operator"}}
		if target.Get("/v1/services/"+t.service+"/engines", &engines) == nil {
			for _, engine := range engines {
				if engine.Assigned {
					text += engine.Name + ":" + engine.Role + " "
				}
			}
			return text
		}
	}
	return "nobody answers"
}
