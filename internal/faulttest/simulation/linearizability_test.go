package simulation_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"coursepass/internal/adminclient"
	"coursepass/internal/clock"
	"coursepass/internal/controlplane"
	"coursepass/internal/dataplane/router"
	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/state/config"
)

var (
	firstHistorySeed = flag.Uint64("first-history", 0, "first seed of the histories")
	historySeeds     = flag.Uint64("histories", 2, "number of seeds of the histories")
)

const (
	historyDuration = 14 * time.Second
	// freshnessLimit is the greatest staleness of a ready router's configuration.
	freshnessLimit = 2 * time.Second
	// attemptTimeout is how long an operator waits for an answer.
	attemptTimeout = 1500 * time.Millisecond
	// outcomeTimeout is when the outcome of each operation must be known, counted from the start.
	outcomeTimeout = time.Minute
	// lostResponsePercent is the percentage of responses that never reach their operator.
	lostResponsePercent = 8
	// checkTimeout bounds the check of one history, in real time.
	checkTimeout = time.Minute
	// replayCommand runs one seed again.
	replayCommand = "go test ./internal/faulttest/simulation" +
		" -run TestHistoriesAreLinearizable -first-history %d -histories 1 -v"
)

// historyFault is a kind of fault that happens to a server while a history is recorded.
type historyFault int

const (
	faultCrash historyFault = iota
	faultIsolate
	faultPartitionOneWay
	faultFreeze
	faultStallDisk
	faultLoseDisk
	faultPartitionLink
)

// String returns the name of the fault in traces.
func (f historyFault) String() string {
	names := [...]string{
		faultCrash:           "crash",
		faultIsolate:         "isolation",
		faultPartitionOneWay: "one-way partition",
		faultFreeze:          "freeze",
		faultStallDisk:       "disk stall",
		faultLoseDisk:        "disk loss",
		faultPartitionLink:   "partition of one link",
	}
	if f < 0 || int(f) >= len(names) {
		return fmt.Sprintf("historyFault(%d)", int(f))
	}
	return names[f]
}

// historyFaultDraws are what a random number is drawn from: a crash is twice as likely as any other.
// The order is part of what a seed leads to.
var historyFaultDraws = []historyFault{
	faultCrash,
	faultCrash,
	faultIsolate,
	faultPartitionOneWay,
	faultFreeze,
	faultStallDisk,
	faultLoseDisk,
	faultPartitionLink,
}

// TestHistoriesAreLinearizable has two operators with four concurrent changes each, some of them
// repeated, a third one that evacuates zones, reads of all of them and polls of the routers, while
// servers fail as a seed determines. Each change is sent until its outcome is known. All that any
// client has seen must be explained by one linearizable register.
func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := *firstHistorySeed; seed < *firstHistorySeed+*historySeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			recorded := &history{codeCounts: map[errcode.Code]int{}}
			// The check takes real time, so it comes after the virtual clock's end.
			t.Cleanup(func() { recorded.reportVerdict(t, seed) })
			deployment := smallDeployment()
			deployment.routerCount, deployment.engineCount = 2, 2
			runScenarioFor(t, deployment, 200, func(fleet *testFleet) {
				recorder := &historyRecorder{
					testFleet:   fleet,
					history:     recorded,
					random:      rand.New(rand.NewPCG(seed, 11)),
					downServers: map[string]bool{},
					startedAt:   time.Now(),
				}
				recorder.runClients()
			})
		})
	}
}

// reportVerdict checks the history and, if it is not linearizable, prints how to replay the seed.
func (h *history) reportVerdict(t *testing.T, seed uint64) {
	t.Helper()
	verdict := h.checkLinearizable(checkTimeout)
	t.Logf("%d operations, codes %v: %s", len(h.operations), h.codeCounts, verdict)
	if h.codeCounts[errcode.OK] == 0 {
		t.Error("nothing was ever acknowledged")
	}
	if verdict != porcupine.Ok || t.Failed() {
		replay := fmt.Sprintf(replayCommand, seed)
		t.Errorf("%s; replay with: %s\n%s", verdict, replay, strings.Join(h.trace, "\n"))
	}
}

// historyRecorder runs operators, polls and faults on a fleet, and records what the first two see.
type historyRecorder struct {
	*testFleet
	*history
	random      *rand.Rand
	randomLock  sync.Mutex
	downServers map[string]bool
	startedAt   time.Time
}

func (h *historyRecorder) recordTrace(format string, values ...any) {
	h.history.lock.Lock()
	defer h.history.lock.Unlock()
	timestamp := fmt.Sprintf("%6d ms ", time.Since(h.startedAt).Milliseconds())
	h.trace = append(h.trace, timestamp+fmt.Sprintf(format, values...))
}

// randomBelow returns a random number below a bound. It is safe for concurrent use.
func (h *historyRecorder) randomBelow(bound int) int {
	h.randomLock.Lock()
	defer h.randomLock.Unlock()
	return h.random.IntN(bound)
}

func (h *historyRecorder) runClients() {
	h.initialState = register{revision: 1}
	ctx, stop := context.WithCancel(h.Context())
	var group sync.WaitGroup
	for client := range 8 {
		group.Go(func() { h.sendChanges(ctx, client, fmt.Sprint("operator", client%2)) })
	}
	group.Go(func() { h.changeEvacuations(ctx, 8) })
	for number, address := range h.routerAddresses {
		group.Go(func() { h.pollRouter(ctx, 9+number, address) })
	}
	h.injectFaults()
	stop()
	group.Wait()
	h.healAndRead()
}

// healAndRead ends all faults, and makes a last read, which must be answered.
func (h *historyRecorder) healAndRead() {
	h.healAll()
	for range 100 {
		if _, known := h.readConfiguration(h.Context(), 0); known {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	h.Error("no read was answered within 20 seconds after the last fault")
}

func (h *historyRecorder) healAll() {
	h.Heal()
	h.RepairDisks()
	for name := range h.starters {
		if h.processes[name] == nil {
			h.startDaemon(name)
		}
	}
	h.randomLock.Lock()
	defer h.randomLock.Unlock()
	clear(h.downServers)
}

// crashServer kills a server, which clients no longer choose.
func (h *historyRecorder) crashServer(name string) {
	h.randomLock.Lock()
	h.downServers[name] = true
	h.randomLock.Unlock()
	h.killDaemon(name)
}

// injectFaults injects one fault after the other, at random servers or at the leader.
func (h *historyRecorder) injectFaults() {
	wiped := false
	for time.Since(h.startedAt) < historyDuration {
		name := fmt.Sprint("core-", h.randomBelow(3))
		if leader := h.shardLeader(0); leader != "" && h.randomBelow(2) == 0 {
			name = leader
		}
		fault := historyFaultDraws[h.randomBelow(len(historyFaultDraws))]
		if fault == faultLoseDisk && wiped {
			fault = faultCrash
		}
		wiped = wiped || fault == faultLoseDisk
		duration := time.Duration(300+h.randomBelow(4000)) * time.Millisecond
		h.recordTrace("%v of %s for %v", fault, name, duration)
		h.injectFault(fault, name, duration)
		time.Sleep(duration)
		h.healAll()
		// Until the server has caught up, the loss of another disk could lose acknowledged entries.
		if fault == faultLoseDisk {
			h.awaitVotingServer(name)
		}
		time.Sleep(time.Duration(h.randomBelow(1500)) * time.Millisecond)
	}
}

// injectFault injects a fault at a server. Only a freeze ends by itself, after the duration.
func (h *historyRecorder) injectFault(fault historyFault, name string, duration time.Duration) {
	switch fault {
	case faultCrash:
		h.crashServer(name)
	case faultIsolate:
		h.Isolate(name, h.daemonNames())
	case faultPartitionOneWay:
		h.partitionOneWay(name, h.randomBelow(2) == 0)
	case faultFreeze:
		h.Freeze(name, clock.FromDuration(duration))
	case faultStallDisk:
		h.StallDisk(name)
	case faultLoseDisk:
		h.crashServer(name)
		h.wipeDisk(name)
	case faultPartitionLink:
		h.Partition(name, fmt.Sprint("core-", h.randomBelow(3)))
	}
}

func (h *historyRecorder) awaitVotingServer(name string) {
	for range 200 {
		if h.votesInAllShards(h.serverAddresses[int(name[len(name)-1]-'0')]) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	h.Errorf("%s does not vote 20 seconds after it lost its disk", name)
}

// partitionOneWay partitions a server from the other servers in one direction.
func (h *historyRecorder) partitionOneWay(name string, inbound bool) {
	for number := range 3 {
		switch other := fmt.Sprint("core-", number); {
		case other == name:
		case inbound:
			h.Partition(other, name)
		default:
			h.Partition(name, other)
		}
	}
}

// sendChanges sends changes on the latest label that this client knows, one at a time, and some of them
// again to another server.
func (h *historyRecorder) sendChanges(ctx context.Context, client int, content string) {
	knownLabel := uint64(0)
	for number := 0; ctx.Err() == nil; number++ {
		if h.randomBelow(3) == 0 || number == 0 {
			if view, read := h.readConfiguration(ctx, client); read {
				knownLabel = view.Label
			}
		}
		input := historyInput{
			kind:        inputChange,
			label:       knownLabel + 1,
			parentLabel: knownLabel,
			content:     fmt.Sprint(content, "-", number/2),
		}
		output := h.sendOperation(ctx, client, input)
		for h.randomBelow(3) == 0 && ctx.Err() == nil {
			output = h.sendOperation(ctx, client, input)
		}
		if !output.unknown && !output.rejected {
			knownLabel = max(knownLabel, input.label)
		}
		time.Sleep(time.Duration(100+h.randomBelow(900)) * time.Millisecond)
	}
}

func (h *historyRecorder) changeEvacuations(ctx context.Context, client int) {
	for ctx.Err() == nil {
		input := historyInput{kind: inputEvacuate, zone: h.zones[h.randomBelow(3)]}
		if h.randomBelow(2) == 0 {
			input.kind = inputReturn
		}
		h.sendOperation(ctx, client, input)
		time.Sleep(time.Duration(300+h.randomBelow(1500)) * time.Millisecond)
	}
}

func (h historyInput) toRequest(key string) config.Request {
	switch h.kind {
	case inputEvacuate:
		return config.Request{Kind: config.OperationEvacuate, Key: key, AnyRevision: true, Zone: h.zone}
	case inputReturn:
		return config.Request{Kind: config.OperationReturn, Key: key, AnyRevision: true, Zone: h.zone}
	default:
		return config.Request{Kind: config.OperationReplaceRoutes, Key: key, Routing: &config.Routing{
			Label:       h.label,
			ParentLabel: h.parentLabel,
			Digest:      h.content,
			Others:      []config.Item{{Name: "content", Text: h.content}},
		}}
	}
}

// sendOperation sends an operation to random servers until its outcome is known, and records it. A
// change of routes has a key of its own in each attempt, as on the users' platform; an evacuation
// keeps its key, under which it takes effect once.
func (h *historyRecorder) sendOperation(ctx context.Context, client int, input historyInput) historyOutput {
	startedAt := time.Now()
	key := h.newOperationKey(client)
	pending := false
	for time.Since(h.startedAt) < outcomeTimeout {
		called := time.Now()
		result, unchanged := h.attemptOperation(ctx, input, key)
		switch {
		case unchanged && !pending:
			// Nothing was changed, and nothing is recorded: no later read may show it.
			return historyOutput{rejected: true}
		case !unchanged && !result.unknown:
			h.recordOutcome(client, startedAt, called, input, result, pending)
			return result
		}
		pending = pending || result.unknown
		if input.kind == inputChange {
			key = h.newOperationKey(client)
		}
		time.Sleep(time.Duration(50+h.randomBelow(200)) * time.Millisecond)
	}
	h.Errorf("the outcome of %+v was not known %v after the start", input, outcomeTimeout)
	result := historyOutput{unknown: true}
	h.recordOperation(client, startedAt, time.Now(), input, result)
	return result
}

// recordOutcome records an operation whose outcome has become known. The earlier attempts are one
// more operation of unknown outcome, which has ended by now: labels only rise, so that a change that
// was acknowledged or rejected takes no effect any more. Attempts under one key are one operation.
func (h *historyRecorder) recordOutcome(client int, startedAt, called time.Time, input historyInput, output historyOutput, pending bool) {
	now := time.Now()
	if input.kind != inputChange {
		h.recordOperation(client, startedAt, now, input, output)
		return
	}
	// One that is rejected never took effect, or it would be acknowledged again: no later read may
	// show it.
	if pending && !output.rejected {
		h.recordUntil(client, startedAt, now.UnixMicro(), input, historyOutput{unknown: true})
	}
	h.recordOperation(client, called, now, input, output)
}

func (h *historyRecorder) newOperationKey(client int) string {
	return fmt.Sprint(client, "-", time.Now().UnixNano(), "-", h.randomBelow(1<<30))
}

// attemptOperation sends an operation to a random server once; unchanged is set if it took no effect and
// never will.
func (h *historyRecorder) attemptOperation(
	ctx context.Context,
	input historyInput,
	key string,
) (output historyOutput, unchanged bool) {
	// An attempt that has begun goes on when the clients are stopped.
	attemptCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), attemptTimeout)
	defer cancel()
	outcome, err := h.randomRunningServer().Configure(attemptCtx, input.toRequest(key))
	code := outcome.Code
	if err != nil {
		code = errcode.CodeOf(err, errcode.OutcomeUnknown)
	}
	h.countCode(code)
	switch {
	case code == errcode.NotLeader || code == errcode.NoQuorum:
		return historyOutput{}, true
	case h.randomBelow(100) < lostResponsePercent:
		output.unknown = true
	case code == errcode.OK:
		output.revision = outcome.Revision
	case code == errcode.RevisionStale:
		output.rejected = true
	default:
		output.unknown = true
	}
	return output, false
}

// randomRunningServer returns a random server that is not down.
func (h *historyRecorder) randomRunningServer() *controlplane.Server {
	var running []string
	h.randomLock.Lock()
	for number := range 3 {
		if name := fmt.Sprint("core-", number); !h.downServers[name] {
			running = append(running, name)
		}
	}
	h.randomLock.Unlock()
	name := running[h.randomBelow(len(running))]
	h.testFleet.lock.Lock()
	defer h.testFleet.lock.Unlock()
	return h.servers[name]
}

// readConfiguration reads the configuration at a random server, and records the read.
func (h *historyRecorder) readConfiguration(ctx context.Context, client int) (config.View, bool) {
	readCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), attemptTimeout)
	defer cancel()
	startedAt := time.Now()
	view, err := h.randomRunningServer().Read(readCtx)
	if err != nil {
		return view, false
	}
	output := historyOutput{
		revision:       view.Revision,
		label:          view.Label,
		evacuatedZones: joinSorted(view.Evacuated),
	}
	for _, item := range view.Others {
		output.content = item.Text
	}
	h.recordOperation(client, startedAt, time.Now(), historyInput{kind: inputRead}, output)
	return view, true
}

func joinSorted(zones []string) string { return strings.Join(slices.Sorted(slices.Values(zones)), " ") }

// pollRouter polls the status of a router, and records the configuration of a ready one, which must
// have been the latest at some time within freshnessLimit.
func (h *historyRecorder) pollRouter(ctx context.Context, client int, address string) {
	target := adminclient.Client{
		Cores:   []string{address},
		Network: simulation.Host{MemoryNetwork: h.MemoryNetwork, Name: "platform"},
	}
	for ctx.Err() == nil {
		startedAt := time.Now()
		var overview router.Status
		if err := target.Get("/v1/status", &overview); err == nil && overview.Ready {
			output := historyOutput{
				revision:       overview.ActiveConfig.Revision,
				evacuatedZones: joinSorted(overview.ActiveConfig.EvacuatedZones),
			}
			earliest := startedAt.Add(-freshnessLimit)
			h.recordOperation(client, earliest, time.Now(), historyInput{kind: inputRouterRead}, output)
		}
		time.Sleep(400 * time.Millisecond)
	}
}
