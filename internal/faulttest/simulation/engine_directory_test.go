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

// engineDirectory is a directory that all servers follow, and the engines that execute commands.
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

func (e *engineDirectory) SetRole(_ context.Context, _ *http.Client, command platformport.RoleCommand) error {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.commands = append(e.commands, command.Address+" "+command.Role)
	if before, known := e.leaderOfTerm[command.Term]; known && before != command.LeaseHolder {
		e.observer.RecordViolation("%s and %s have term %d", before, command.LeaseHolder, command.Term)
	}
	e.leaderOfTerm[command.Term] = command.LeaseHolder
	observed := enginecommand.Command{Term: command.Term, Leader: command.LeaseHolder}
	e.observer.RecordCommand(clock.FromDuration(time.Since(e.startedAt)), observed)
	for index := range e.engines {
		if e.engines[index].Address == command.Address {
			e.engines[index].Role = command.Role
		}
	}
	return nil
}

func (e *engineDirectory) withLock(action func()) {
	e.lock.Lock()
	defer e.lock.Unlock()
	action()
}

// newDirectoryFleet returns a fleet of three servers that follow a directory of six engines, two of them for
// prefill, and starts it.
func newDirectoryFleet(t *testing.T, dataDirectory string) (*testFleet, *engineDirectory) {
	t.Helper()
	fleet := newTestFleet(t, dataDirectory, smallDeployment(), 200)
	directory := &engineDirectory{
		observer:     emulator.NewObserver(3 * clock.Second),
		startedAt:    time.Now(),
		leaderOfTerm: map[uint64]string{},
	}
	fleet.observers["registry"] = directory.observer
	for number := range 6 {
		role := pairing.RoleDecode
		if number < 2 {
			role = pairing.RolePrefill
		}
		directory.engines = append(directory.engines, platformport.Engine{
			Incarnation:  fmt.Sprint("life-", number),
			Service:      fleet.service,
			Address:      fmt.Sprintf("127.0.2.%d:2", number),
			Zone:         defaultZones[number%3],
			Slots:        8,
			Role:         role,
			ModelVersion: 1,
		})
	}
	for number := range 3 {
		fleet.seeds = append(fleet.seeds, fmt.Sprintf("10.0.0.%d:1", number))
		fleet.serverAddresses = append(fleet.serverAddresses, fmt.Sprintf("127.0.0.%d:2", number))
	}
	for number := range 3 {
		fleet.addDirectoryServer(number, directory)
		fleet.startDaemon(fmt.Sprint("core-", number))
	}
	return fleet, directory
}

// addDirectoryServer adds a server that follows a directory.
func (t *testFleet) addDirectoryServer(number int, directory *engineDirectory) {
	name := fmt.Sprint("core-", number)
	daemonSettings := controlplane.Settings{
		Common: settings.Common{
			Name:   name,
			Zone:   defaultZones[number],
			Fleet:  "stage",
			Public: t.serverAddresses[number],
			Seeds:  t.seeds,
		},
		Internal:      settings.Internal{InternalAddress: t.seeds[number], Shards: 2},
		Timing:        settings.Timing{DeltaMillis: 200, LeaseMillis: 3000},
		CompactionMiB: 16,
		DataDirectory: filepath.Join(t.dataDirectory, name),
	}
	t.addDaemon(name, t.seeds[number], daemonSettings.Public, func(host simulation.Host) (daemon, error) {
		server, err := controlplane.New(daemonSettings, settings.NewIncarnation(), host)
		if err == nil {
			server.Attach(directory, directory)
		}
		return server, err
	})
}

// awaitEngineRoles waits until the assignment of engines has the wanted roles.
func (t *testFleet) awaitEngineRoles(description string, timeout time.Duration, wantRoles string) {
	t.Helper()
	actual := ""
	for range int(timeout / (250 * time.Millisecond)) {
		time.Sleep(250 * time.Millisecond)
		actual = t.engineRoles()
		if actual == wantRoles {
			return
		}
	}
	t.Errorf("%s: %s, not %s", description, actual, wantRoles)
}

// TestServers_FollowEngineDirectory has three real servers follow a directory. Its engines are assigned by
// themselves; a failed list changes nothing; an engine that leaves, or is missing twice, is removed; if no
// prefill engine is left, one decode engine is commanded to change its role, also by the next leader.
func TestServers_FollowEngineDirectory(t *testing.T) {
	dataDirectory := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		fleet, directory := newDirectoryFleet(t, dataDirectory)
		defer fleet.shutDown()
		followDirectoryChanges(fleet, directory)
		listCalls := 0
		directory.withLock(func() {
			listCalls = directory.listCalls
			want := []string{"127.0.2.2:2 prefill", "127.0.2.3:2 prefill"}
			if !slices.Equal(directory.commands, want) || len(directory.leaderOfTerm) != 2 {
				t.Errorf("commands: %v, by %v", directory.commands, directory.leaderOfTerm)
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

// followDirectoryChanges changes the directory, and expects the roles that follow.
func followDirectoryChanges(fleet *testFleet, directory *engineDirectory) {
	const allRoles = "life-0:prefill life-1:prefill life-2:decode life-3:decode life-4:decode life-5:decode "
	fleet.awaitEngineRoles("all are assigned", 10*time.Second, allRoles)
	directory.withLock(func() { directory.unavailable = true })
	time.Sleep(5 * time.Second)
	fleet.awaitEngineRoles("the directory is unavailable", time.Second, allRoles)
	directory.withLock(func() {
		directory.unavailable = false
		directory.engines[5].Draining = true
	})
	fleet.awaitEngineRoles("one leaves", 3*time.Second,
		"life-0:prefill life-1:prefill life-2:decode life-3:decode life-4:decode ")
	directory.withLock(func() {
		directory.engines[5].Draining = false
		directory.engines[4].Role = pairing.RolePrefill
	})
	fleet.awaitEngineRoles("a leaving engine stays removed, a role changes", 3*time.Second,
		"life-0:prefill life-1:prefill life-2:decode life-3:decode life-4:prefill ")
	directory.withLock(func() { directory.engines = directory.engines[2:4] })
	fleet.awaitEngineRoles("three are removed", 4*time.Second, "life-2:decode life-3:decode ")
	fleet.awaitEngineRoles("one is commanded to change its role", 20*time.Second, "life-2:prefill life-3:decode ")
	directory.withLock(func() {
		next := directory.engines[0]
		next.Incarnation = "life-6"
		next.Address = "127.0.2.6:2"
		next.Role = pairing.RoleDecode
		directory.engines = append(directory.engines[1:], next)
	})
	fleet.awaitEngineRoles("the prefill engine is gone", 4*time.Second, "life-3:decode life-6:decode ")
	fleet.killDaemon(fleet.serviceLeader())
	fleet.awaitEngineRoles("one is commanded by the next leader", 30*time.Second, "life-3:prefill life-6:decode ")
}

// engineRoles returns the assigned engines with their roles, as a server that answers shows them.
func (t *testFleet) engineRoles() string {
	text := ""
	for number, address := range t.serverAddresses {
		if t.processes[fmt.Sprint("core-", number)] == nil {
			continue
		}
		var engines []controlapi.EngineEntry
		target := t.newOperatorClient(address)
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
