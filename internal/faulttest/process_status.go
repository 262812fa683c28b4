package faulttest

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"coursepass/internal/adminclient"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/errcode"
)

// Timeouts and intervals of the requests to a process fleet.
const (
	statusTimeout         = 2 * time.Second
	statusPollInterval    = 50 * time.Millisecond
	leaderTimeout         = 20 * time.Second
	configurationTimeout  = 30 * time.Second
	configurationInterval = 200 * time.Millisecond
)

const (
	// serviceShard is the shard whose leader leads the service.
	serviceShard = 1
	// noServer is a number that no server has.
	noServer = -1
)

// getJSON decodes the answer of a GET request, whatever its status.
func getJSON(ctx context.Context, address, path string, target any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return errcode.Wrap(err, errcode.ConnectionLost, address)
	}
	client := &http.Client{Timeout: statusTimeout}
	response, err := client.Do(request)
	if err != nil {
		return errcode.Wrap(err, errcode.ConnectionLost, address)
	}
	defer func() { _ = response.Body.Close() }()
	return errcode.Wrap(json.NewDecoder(response.Body).Decode(target), errcode.MalformedMessage, address)
}

// printCounters prints the sums of the daemons' counters, those of servers and routers apart.
func (p *processFleet) printCounters(ctx context.Context) {
	printCounterSums(ctx, "cores", p.serverAddresses)
	printCounterSums(ctx, "routers", p.routerAddresses)
}

// printCounterSums prints the sums of the counters that are not zero. Daemons that do not answer are
// left out.
func printCounterSums(ctx context.Context, title string, addresses []string) {
	sums := map[string]int64{}
	for _, address := range addresses {
		var counters map[string]int64
		if getJSON(ctx, address, "/counters", &counters) != nil {
			continue
		}
		for name, count := range counters {
			sums[name] += count
		}
	}
	fmt.Printf("%s:", title)
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		if sums[name] != 0 {
			fmt.Printf(" %s=%d", name, sums[name])
		}
	}
	fmt.Println()
}

// printCPUTime prints the processor time of the fleet, which must have been stopped.
func (p *processFleet) printCPUTime() {
	fmt.Printf("processor time: cores %d ms, routers %d ms\n",
		p.cpuTime("core").Milliseconds(), p.cpuTime("router").Milliseconds())
}

// applyDocument applies a configuration document, and retries while the fleet starts.
func (p *processFleet) applyDocument(document string) error {
	apply := &adminclient.Apply{ChangeCommand: adminclient.ChangeCommand{
		Client: adminclient.Client{Cores: p.serverAddresses},
		Key:    "trial-start",
	}}
	apply.Arguments.File = document
	var err error
	startedAt := time.Now()
	for ; time.Since(startedAt) < configurationTimeout; time.Sleep(configurationInterval) {
		if err = apply.Run(); err == nil {
			return nil
		}
	}
	return err
}

// serviceLeader returns the server that leads the service, and its term; noServer if none does.
func (p *processFleet) serviceLeader(ctx context.Context) (number int, term uint64) {
	for number, address := range p.serverAddresses {
		var status controlapi.ServerStatus
		if p.servers[number].command == nil || getJSON(ctx, address, "/v1/status", &status) != nil {
			continue
		}
		for _, shard := range status.Shards {
			if shard.Shard == serviceShard && shard.Owner {
				return number, shard.Term
			}
		}
	}
	return noServer, 0
}

// awaitLeader waits until another server than the given one leads, and prints how long after a fault
// that is. It gives up at leaderTimeout.
func (p *processFleet) awaitLeader(ctx context.Context, other int, faultAt time.Time) {
	for ctx.Err() == nil && time.Since(faultAt) < leaderTimeout {
		number, term := p.serviceLeader(ctx)
		if number != noServer && number != other {
			fmt.Printf("core-%d leads term %d, %d ms after the fault\n", number, term, time.Since(faultAt).Milliseconds())
			return
		}
		sleepContext(ctx, statusPollInterval)
	}
}

// votesInAllShards reports whether a server is an up-to-date member of all shards.
func (p *processFleet) votesInAllShards(ctx context.Context, number int) bool {
	var status controlapi.ServerStatus
	if getJSON(ctx, p.serverAddresses[number], "/v1/status", &status) != nil || len(status.Shards) == 0 {
		return false
	}
	for _, shard := range status.Shards {
		if shard.Slot < 0 || shard.CatchingUp || !shard.UpToDate {
			return false
		}
	}
	return true
}

// restartProcesses starts processes again after the downtime and waits for a leader.
func (p *processFleet) restartProcesses(ctx context.Context, stopped []*daemonProcess) error {
	sleepContext(ctx, downtime)
	for _, process := range stopped {
		if err := process.start(); err != nil {
			return err
		}
	}
	p.awaitLeader(ctx, noServer, time.Now())
	return nil
}
