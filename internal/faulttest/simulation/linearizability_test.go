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
	// freshnessLimit is how old a ready router's configuration may be.
	freshnessLimit = 2 * time.Second
	// orderTimeout is how long an operator waits for an answer.
	orderTimeout = 1500 * time.Millisecond
	// knownWithin is when the outcome of each operation is known, counted from the begin.
	outcomeTimeout = time.Minute
	// lostResponsePercent of a hundred answers never reach their operator.
	lostResponsePercent = 8
	// checkTimeout bounds the check of one history, by the machine's own clock.
	checkTimeout = time.Minute
)

// Two operators have four orders each under way, some of them sent again, a third
// evacuates halls, all read, and probes look at the routers, while cores fail as a seed
// draws it. Each order is sent until its outcome is known. All that any of them saw must be
// explained by one register.
func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := *firstHistorySeed; seed < *firstHistorySeed+*historySeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			recorded := &history{codeCounts: map[errcode.Code]int{}}
			// The check takes real time, so it comes after the virtual clock's end.
			t.Cleanup(func() { recorded.reportVerdict(t, seed) })
			deployment := smallDeployment()
			deployment.routerCount, deployment.engineCount = 2, 2
			runScenarioFor(t, deployment, 200, func(fleet *testFleet) {
				run := &historyRecorder{testFleet: fleet, history: recorded, random: rand.New(rand.NewPCG(seed, 11)), downServers: map[string]bool{}, startedAt: time.Now()}
				run.runClients()
			})
		})
	}
}

func (h *history) reportVerdict(t *testing.T, seed uint64) {
	verdict := h.checkLinearizable(checkTimeout)
	t.Logf("%d operations, codes %v: %s", len(h.operations), h.codeCounts, verdict)
	if h.codeCounts[errcode.OK] == 0 {
		t.Error("nothing was ever acknowledged")
	}
	if verdict != porcupine.Ok || t.Failed() {
		t.Errorf("%s; replay with: go test ./internal/simulation -run TestHistoriesAreLinearizable -first-history %d -histories 1 -v\n%s",
			verdict, seed, strings.Join(h.trace, "\n"))
	}
}

// historyRecorder has operators, probes and failures act on a stage, and writes down what the
// first two see.
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
	h.trace = append(h.trace, fmt.Sprintf("%6d ms ", time.Since(h.startedAt).Milliseconds())+fmt.Sprintf(format, values...))
}

// randomBelow is a number below a bound, for whichever goroutine asks.
func (h *historyRecorder) randomBelow(bound int) int {
	h.randomLock.Lock()
	defer h.randomLock.Unlock()
	return h.random.IntN(bound)
}

func (h *historyRecorder) runClients() {
	h.initialState = register{revision: 1}
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for client := range 8 {
		group.Go(func() { h.sendOrders(ctx, client, fmt.Sprint("operator", client%2)) })
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

// healAndRead heals all, and has a last read that must be answered.
func (h *historyRecorder) healAndRead() {
	h.healAll()
	for range 100 {
		if _, known := h.readConfiguration(0); known {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	h.Error("no read was answered within 20 seconds after all failures")
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

// crashServer kills a core; its clients find nobody there.
func (h *historyRecorder) crashServer(name string) {
	h.randomLock.Lock()
	h.downServers[name] = true
	h.randomLock.Unlock()
	h.killDaemon(name)
}

// injectFaults causes one failure after the other, some of them together.
func (h *historyRecorder) injectFaults() {
	wiped := false
	for time.Since(h.startedAt) < historyDuration {
		name := fmt.Sprint("core-", h.randomBelow(3))
		if leader := h.shardLeader(0); leader != "" && h.randomBelow(2) == 0 {
			name = leader
		}
		kind := h.randomBelow(8)
		if kind == 6 && wiped {
			kind = 0
		}
		duration := time.Duration(300+h.randomBelow(4000)) * time.Millisecond
		h.recordTrace("failure %d of %s for %v", kind, name, duration)
		switch kind {
		case 0, 1:
			h.crashServer(name)
		case 2:
			h.Isolate(name, h.daemonNames())
		case 3:
			h.partitionOneWay(name, h.randomBelow(2) == 0)
		case 4:
			h.Freeze(name, clock.FromDuration(duration))
		case 5:
			h.StallDisk(name)
		case 6:
			wiped = true
			h.crashServer(name)
			h.wipeDisk(name)
		case 7:
			h.Partition(name, fmt.Sprint("core-", h.randomBelow(3)))
		}
		time.Sleep(duration)
		h.healAll()
		// A disk that was lost is another's only copy until its core has caught up.
		if kind == 6 {
			h.awaitVotingServer(name)
		}
		time.Sleep(time.Duration(h.randomBelow(1500)) * time.Millisecond)
	}
}

func (h *historyRecorder) awaitVotingServer(name string) {
	for range 200 {
		if h.votesInAllShards(h.serverAddresses[int(name[len(name)-1]-'0')]) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	h.Errorf("%s may not vote 20 seconds after it lost its disk", name)
}

// partitionOneWay has a core hear nobody, or be heard by nobody, among the cores.
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

// sendOrders sends orders on what is in force as far as this client knows, one at a time, and
// some of them again to another core.
func (h *historyRecorder) sendOrders(ctx context.Context, client int, content string) {
	knownLabel := uint64(0)
	for number := 0; ctx.Err() == nil; number++ {
		if h.randomBelow(3) == 0 || number == 0 {
			if view, read := h.readConfiguration(client); read {
				knownLabel = view.Label
			}
		}
		input := historyInput{kind: inputOrder, label: knownLabel + 1, parentLabel: knownLabel, content: fmt.Sprint(content, "-", number/2)}
		output := h.sendOperation(client, input)
		for h.randomBelow(3) == 0 && ctx.Err() == nil {
			output = h.sendOperation(client, input)
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
		h.sendOperation(client, input)
		time.Sleep(time.Duration(300+h.randomBelow(1500)) * time.Millisecond)
	}
}

func (h historyInput) toRequest(key string) config.Request {
	switch h.kind {
	case inputEvacuate:
		return config.Request{Kind: config.OperationEvacuate, Key: key, Whichever: true, Hall: h.zone}
	case inputReturn:
		return config.Request{Kind: config.OperationReturn, Key: key, Whichever: true, Hall: h.zone}
	}
	return config.Request{Kind: config.OperationReplaceRoutes, Key: key, Routing: &config.Routing{
		Label: h.label, On: h.parentLabel, Digest: h.content, Others: []config.Item{{Name: "content", Text: h.content}},
	}}
}

// sendOperation gives an order to some core, again and again until its outcome is known, and writes
// down what came of it. An order by routes has a key of its own each time, as on the users'
// platform; an evacuation keeps its key, which takes effect once.
func (h *historyRecorder) sendOperation(client int, input historyInput) historyOutput {
	startedAt := time.Now()
	key := h.newOperationKey(client)
	pending := false
	for time.Since(h.startedAt) < outcomeTimeout {
		called := time.Now()
		result, unchanged := h.attemptOperation(input, key)
		switch {
		case unchanged && !pending:
			// Nothing was changed: what is said of it later must not show it.
			return historyOutput{rejected: true}
		case !unchanged && !result.unknown:
			h.recordOutcome(client, startedAt, called, input, result, pending)
			return result
		}
		pending = pending || result.unknown
		if input.kind == inputOrder {
			key = h.newOperationKey(client)
		}
		time.Sleep(time.Duration(50+h.randomBelow(200)) * time.Millisecond)
	}
	h.Errorf("the outcome of %+v was not known %v after the begin", input, outcomeTimeout)
	result := historyOutput{unknown: true}
	h.recordOperation(client, startedAt, time.Now(), input, result)
	return result
}

// conclude writes down an operation whose outcome has become known. The tries before are one
// more operation of unknown outcome, at an end by now: labels only rise, so that an order that
// was acknowledged or refused changes nothing any more. Tries under one key are one operation.
func (h *historyRecorder) recordOutcome(client int, startedAt, called time.Time, input historyInput, output historyOutput, pending bool) {
	now := time.Now()
	if input.kind != inputOrder {
		h.recordOperation(client, startedAt, now, input, output)
		return
	}
	// One that is refused never took effect, or it would be acknowledged again: what is seen
	// later must not show it.
	if pending && !output.rejected {
		h.recordUntil(client, startedAt, now.UnixMicro(), input, historyOutput{unknown: true})
	}
	h.recordOperation(client, called, now, input, output)
}

func (h *historyRecorder) newOperationKey(client int) string {
	return fmt.Sprint(client, "-", time.Now().UnixNano(), "-", h.randomBelow(1<<30))
}

// try gives an order to some core once; unchanged says that it took no effect and never will.
func (h *historyRecorder) attemptOperation(input historyInput, key string) (output historyOutput, unchanged bool) {
	attemptCtx, cancel := context.WithTimeout(context.Background(), orderTimeout)
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
		output.revision = outcome.Sequence
	case code == errcode.RevisionStale:
		output.rejected = true
	default:
		output.unknown = true
	}
	return output, false
}

// randomRunningServer is some core that is not down.
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

// readConfiguration asks some core for what is in force.
func (h *historyRecorder) readConfiguration(client int) (config.View, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	startedAt := time.Now()
	view, err := h.randomRunningServer().Read(ctx)
	if err != nil {
		return view, false
	}
	output := historyOutput{revision: view.Sequence, label: view.Label, evacuatedZones: joinSorted(view.Evacuated)}
	for _, item := range view.Others {
		output.content = item.Text
	}
	h.recordOperation(client, startedAt, time.Now(), historyInput{kind: inputRead}, output)
	return view, true
}

func joinSorted(zones []string) string { return strings.Join(slices.Sorted(slices.Values(zones)), " ") }

// pollRouter looks at a router as the platform does. What a ready one works by was in force at
// some moment within the freshness bound.
func (h *historyRecorder) pollRouter(ctx context.Context, client int, address string) {
	target := adminclient.Client{Cores: []string{address}, Network: simulation.Host{MemoryNetwork: h.MemoryNetwork, Name: "platform"}}
	for ctx.Err() == nil {
		startedAt := time.Now()
		var overview router.Status
		if err := target.Get("/v1/status", &overview); err == nil && overview.Ready {
			h.recordOperation(client, startedAt.Add(-freshnessLimit), time.Now(), historyInput{kind: inputRouterRead}, historyOutput{
				revision: overview.ActiveConfig.Revision, evacuatedZones: joinSorted(overview.ActiveConfig.EvacuatedZones),
			})
		}
		time.Sleep(400 * time.Millisecond)
	}
}
