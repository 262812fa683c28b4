package faulttest

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"coursepass/internal/adminclient"
	"coursepass/internal/errcode"
)

// Lengths of the faults.
const (
	// downtime is how long killed processes stay down.
	downtime = 2 * time.Second
	// wipedDowntime is how long a server with a lost disk stays down.
	wipedDowntime = time.Second
	// killedLeaderDowntime is how long a killed leader stays down after another leads.
	killedLeaderDowntime = 3 * time.Second
	leaderFreezeTime     = 6 * time.Second
	engineFreezeTime     = 4 * time.Second
	evacuationTime       = 8 * time.Second
)

// replacementTimeout is how long a server may take to become a member again.
const replacementTimeout = 30 * time.Second

// faultyEngines are the engines that engine faults happen to.
var faultyEngines = []int{0, 7}

// killLeader kills the leader of the service, and starts it again some time after another leads.
func killLeader(ctx context.Context, fleet *processFleet) error {
	number, term := fleet.serviceLeader(ctx)
	if number < 0 {
		return errcode.New(errcode.NotLeader, "no leader to kill")
	}
	fmt.Printf("kill core-%d, the leader of term %d\n", number, term)
	fleet.servers[number].terminate(syscall.SIGKILL)
	fleet.awaitLeader(ctx, number, time.Now())
	sleepContext(ctx, killedLeaderDowntime)
	return fleet.servers[number].start()
}

// freezeLeader stops the leader's process for longer than its lease, and lets it go on.
func freezeLeader(ctx context.Context, fleet *processFleet) error {
	number, term := fleet.serviceLeader(ctx)
	if number < 0 {
		return errcode.New(errcode.NotLeader, "no leader to freeze")
	}
	fmt.Printf("freeze core-%d, the leader of term %d, for %v\n", number, term, leaderFreezeTime)
	fleet.servers[number].signal(syscall.SIGSTOP)
	sleepContext(ctx, leaderFreezeTime)
	fleet.servers[number].signal(syscall.SIGCONT)
	fleet.awaitLeader(ctx, number, time.Now())
	return nil
}

// wipeServer kills a server, the leader if there is one, and starts it again with an empty disk.
func wipeServer(ctx context.Context, fleet *processFleet) error {
	number, _ := fleet.serviceLeader(ctx)
	number = max(number, 0)
	fmt.Printf("kill core-%d and lose its disk\n", number)
	fleet.servers[number].terminate(syscall.SIGKILL)
	if err := os.RemoveAll(filepath.Join(fleet.directory, fleet.servers[number].name)); err != nil {
		return errcode.Wrap(err, errcode.StartFailed, "wipe")
	}
	sleepContext(ctx, wipedDowntime)
	return fleet.servers[number].start()
}

// moveServer has a server come back with an empty disk at new addresses, and then kills another, so
// that the returned one is needed for every majority.
func moveServer(ctx context.Context, fleet *processFleet) error {
	newAddresses, err := freeAddresses(addressesPerServer)
	if err != nil {
		return err
	}
	internalAddress, publicAddress := newAddresses[0], newAddresses[1]
	const movedNumber = 2
	moved := fleet.servers[movedNumber]
	fmt.Printf("kill %s and lose its disk; it comes back at a new address\n", moved.name)
	moved.terminate(syscall.SIGKILL)
	if err := os.RemoveAll(filepath.Join(fleet.directory, moved.name)); err != nil {
		return errcode.Wrap(err, errcode.StartFailed, "wipe")
	}
	for index, flag := range moved.flags {
		switch flag {
		case flagInternal:
			moved.flags[index+1] = internalAddress
		case flagPublic:
			moved.flags[index+1] = publicAddress
		}
	}
	fleet.serverAddresses[movedNumber] = publicAddress
	sleepContext(ctx, wipedDowntime)
	startedAt := time.Now()
	if err := moved.start(); err != nil {
		return err
	}
	for !fleet.votesInAllShards(ctx, movedNumber) && time.Since(startedAt) < replacementTimeout {
		sleepContext(ctx, statusPollInterval)
	}
	fmt.Printf("%s is a member of all shards %d ms after its start; kill core-0\n",
		moved.name, time.Since(startedAt).Milliseconds())
	fleet.servers[0].terminate(syscall.SIGKILL)
	fleet.awaitLeader(ctx, 0, time.Now())
	return nil
}

// killAllServers kills all servers at once and starts them again.
func killAllServers(ctx context.Context, fleet *processFleet) error {
	fmt.Printf("kill all servers, start them again after %v\n", downtime)
	for _, process := range fleet.servers {
		process.terminate(syscall.SIGKILL)
	}
	return fleet.restartProcesses(ctx, fleet.servers)
}

// killEngines kills some engines and starts them again.
func killEngines(ctx context.Context, fleet *processFleet) error {
	fmt.Printf("kill engines %v, start them again after %v\n", faultyEngines, downtime)
	for _, number := range faultyEngines {
		fleet.engines[number].terminate(syscall.SIGKILL)
	}
	sleepContext(ctx, downtime)
	for _, number := range faultyEngines {
		if err := fleet.engines[number].start(); err != nil {
			return err
		}
	}
	return nil
}

// freezeEngines stops the processes of some engines for a while.
func freezeEngines(ctx context.Context, fleet *processFleet) error {
	fmt.Printf("freeze engines %v for %v\n", faultyEngines, engineFreezeTime)
	for _, number := range faultyEngines {
		fleet.engines[number].signal(syscall.SIGSTOP)
	}
	sleepContext(ctx, engineFreezeTime)
	for _, number := range faultyEngines {
		fleet.engines[number].signal(syscall.SIGCONT)
	}
	return nil
}

// killRouter kills a router and starts it again.
func killRouter(ctx context.Context, fleet *processFleet) error {
	fmt.Printf("kill router-0, start it again after %v\n", downtime)
	fleet.routers[0].terminate(syscall.SIGKILL)
	sleepContext(ctx, downtime)
	return fleet.routers[0].start()
}

// stopRouter has a router shut down gracefully and starts it again.
func stopRouter(ctx context.Context, fleet *processFleet) error {
	fmt.Println("shut router-0 down gracefully, start it again")
	startedAt := time.Now()
	fleet.routers[0].terminate(syscall.SIGTERM)
	fmt.Printf("router-0 ended after %d ms\n", time.Since(startedAt).Milliseconds())
	return fleet.routers[0].start()
}

// evacuateZone drains a zone and undoes that after a while.
func evacuateZone(ctx context.Context, fleet *processFleet) error {
	evacuate := &adminclient.Evacuate{ChangeCommand: adminclient.ChangeCommand{
		Client:           adminclient.Client{Cores: fleet.serverAddresses},
		ExpectedRevision: -1,
	}}
	evacuate.Arguments.Zone = "sur"
	fmt.Printf("evacuate zone sur, undo it after %v\n", evacuationTime)
	if err := evacuate.Run(); err != nil {
		return err
	}
	sleepContext(ctx, evacuationTime)
	evacuate.Undo = true
	return evacuate.Run()
}

// markEngineLeaving lists an engine as leaving.
func markEngineLeaving(_ context.Context, fleet *processFleet) error {
	fmt.Println("engine-3 is listed as leaving")
	leave := &adminclient.DrainEngine{Client: adminclient.Client{Cores: fleet.serverAddresses}}
	leave.Arguments.Service = "reservas"
	leave.Arguments.Engine = "engine-3"
	return leave.Run()
}

// killServersAndRouters kills all servers and routers at once and starts them again.
func killServersAndRouters(ctx context.Context, fleet *processFleet) error {
	fmt.Printf("kill all servers and routers, start them again after %v\n", downtime)
	stopped := slices.Concat(fleet.servers, fleet.routers)
	for _, process := range stopped {
		process.terminate(syscall.SIGKILL)
	}
	return fleet.restartProcesses(ctx, stopped)
}
