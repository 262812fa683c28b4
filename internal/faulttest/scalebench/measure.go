package scalebench

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"runtime"
	"runtime/pprof"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/pprof/profile"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/dataplane/router"
	"coursepass/internal/errcode"
	"coursepass/internal/metrics/resources"
)

const (
	secondsPerMinute = 60
	nanoseconds      = 1e9
	microsPerMilli   = 1000

	// propagationTimeout is the longest propagation that is waited for; it counts as that long.
	propagationTimeout      = 5 * clock.Second
	propagationPollInterval = 5 * time.Millisecond
	restartPollInterval     = 10 * time.Millisecond
	// engineRestartStride spreads the engines that are restarted one after the other.
	engineRestartStride = 7
)

// trafficCounts are the calls and bytes that a daemon, or several, have counted: those of its own
// calls by where they went, and those that it served to others.
type trafficCounts struct{ calls, sameZone, crossZone, unknownZone, served float64 }

func (t trafficCounts) minus(other trafficCounts) trafficCounts {
	return t.addScaled(other, -1)
}

func (t trafficCounts) addScaled(addend trafficCounts, sign float64) trafficCounts {
	return trafficCounts{
		calls:       t.calls + sign*addend.calls,
		sameZone:    t.sameZone + sign*addend.sameZone,
		crossZone:   t.crossZone + sign*addend.crossZone,
		unknownZone: t.unknownZone + sign*addend.unknownZone,
		served:      t.served + sign*addend.served,
	}
}

func (b *benchFleet) getJSON(address, path string, target any) error {
	request, err := http.NewRequestWithContext(b.running, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return errcode.Wrap(err, errcode.ConnectionLost, address)
	}
	response, err := b.client.Do(request)
	if err != nil {
		return errcode.Wrap(err, errcode.ConnectionLost, address)
	}
	defer func() { _ = response.Body.Close() }()
	return errcode.Wrap(json.NewDecoder(response.Body).Decode(target), errcode.MalformedMessage, address)
}

// postJSON posts a body to the first server and reports whether it was accepted.
func (b *benchFleet) postJSON(path string, body []byte) bool {
	url := "http://" + b.serverEndpoints[0].publicAddress + path
	request, err := http.NewRequestWithContext(b.running, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close() // Only the status counts.
	return response.StatusCode == http.StatusOK
}

// trafficOf returns the traffic of a real daemon by its published counters and its listener.
func trafficOf(counters map[string]int64, endpoint *daemonEndpoint) trafficCounts {
	return trafficCounts{
		calls:       float64(counters["calls"]),
		sameZone:    float64(counters["bytes-inside"]),
		crossZone:   float64(counters["bytes-across"]),
		unknownZone: float64(counters["bytes-unknown"]),
		served:      float64(endpoint.traffic.bytes.Load()),
	}
}

// counterSnapshot is everything that is counted, at one time.
type counterSnapshot struct {
	servers map[string]trafficCounts
	// leader is the name of the server that leads the engines' shard, "" if none does.
	leader                       string
	routers, simulatedRouters    trafficCounts
	headsRead, softReports       float64
	listCalls, reports, commands float64
}

// splitByLeader returns the counts of the named server, and the sum of all others.
func (c counterSnapshot) splitByLeader(leader string) (leading, remaining trafficCounts) {
	for name, counted := range c.servers {
		if name == leader {
			leading = counted
			continue
		}
		remaining = remaining.addScaled(counted, 1)
	}
	return leading, remaining
}

// addSimulatedRouter adds the counts of a simulated router.
func (c *counterSnapshot) addSimulatedRouter(simulated *simulatedRouter) {
	meter := simulated.meter
	c.simulatedRouters = c.simulatedRouters.addScaled(trafficCounts{
		calls:       float64(meter.Calls.Load()),
		sameZone:    float64(meter.Resources.Bytes(resources.Client, resources.SameZone)),
		crossZone:   float64(meter.Resources.Bytes(resources.Client, resources.OtherZone)),
		unknownZone: float64(meter.Resources.Bytes(resources.Client, resources.UnknownZone)),
		served:      float64(simulated.servedTraffic.bytes.Load()),
	}, 1)
	c.headsRead += float64(simulated.headsRead.Load())
	c.softReports += float64(simulated.softReports.Load())
}

// readCounters reads all counters; those of daemons that do not answer are missing.
func (b *benchFleet) readCounters() counterSnapshot {
	counted := counterSnapshot{servers: map[string]trafficCounts{}}
	for _, endpoint := range b.serverEndpoints {
		var overview controlapi.ServerStatus
		if b.getJSON(endpoint.publicAddress, "/v1/status", &overview) != nil {
			continue
		}
		counted.servers[endpoint.name] = trafficOf(overview.Counters, endpoint)
		if len(overview.Shards) > 1 && overview.Shards[1].Owner {
			counted.leader = endpoint.name
		}
	}
	for _, endpoint := range b.routerEndpoints {
		var overview router.Status
		if b.getJSON(endpoint.publicAddress, "/v1/status", &overview) == nil {
			counted.routers = counted.routers.addScaled(trafficOf(overview.Counters, endpoint), 1)
		}
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	counted.simulatedRouters = b.retiredCounters.simulatedRouters
	counted.headsRead = b.retiredCounters.headsRead
	counted.softReports = b.retiredCounters.softReports
	for _, simulated := range b.simulatedRouters {
		counted.addSimulatedRouter(simulated)
	}
	counted.listCalls = float64(b.directory.listCalls.Load())
	counted.reports = float64(b.directory.reports.Load())
	counted.commands = float64(b.directory.commands.Load())
	return counted
}

// encodedStates returns the encoded states of both shards, as a simulated router that has both has
// them.
func (b *benchFleet) encodedStates() (configuration, engines []byte) {
	for _, simulated := range b.simulatedRouters {
		first, known := simulated.gossip.Get(0)
		second, both := simulated.gossip.Get(1)
		if known && both {
			_, configuration, _ = consensus.DecodeSnapshot(first.Data)
			_, engines, _ = consensus.DecodeSnapshot(second.Data)
			return configuration, engines
		}
	}
	return nil, nil
}

// cpuSecondsByRole sums the processor time of a profile by the label of the role; what has no label
// is of the runtime.
func cpuSecondsByRole(profileData []byte) (map[string]float64, error) {
	read, err := profile.ParseData(profileData)
	if err != nil {
		return nil, errcode.Wrap(err, errcode.MalformedMessage, "profile")
	}
	seconds := map[string]float64{}
	for _, sample := range read.Sample {
		role := roleRuntime
		if labels := sample.Label["role"]; len(labels) > 0 {
			role = labels[0]
		}
		spent := sample.Value[len(sample.Value)-1]
		seconds[role] += float64(spent) / nanoseconds
	}
	return seconds, nil
}

// latencies collects how long something took, in milliseconds, and how often it failed.
type latencies struct {
	lock   sync.Mutex
	values []float64
	missed int
}

func (l *latencies) add(value clock.Microseconds) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.values = append(l.values, float64(value)/microsPerMilli)
}

// quantile returns the value below which a share of all values is; 1 is the maximum.
func (l *latencies) quantile(share float64) float64 {
	if len(l.values) == 0 {
		return 0
	}
	ordered := sortedCopy(l.values)
	return ordered[min(int(share*float64(len(ordered))), len(ordered)-1)]
}

// observations are what is seen of a fleet during a measurement.
type observations struct {
	before, after counterSnapshot
	// seconds is the length of the measurement.
	seconds float64
	// cpuSeconds is the processor time of the process, and cpuByRole its attribution, if profiled.
	cpuSeconds float64
	cpuByRole  map[string]float64
	// acknowledged is the latency of changes until their acknowledgement, propagated from there
	// until they are everywhere, and restarted that of routers until they have the state.
	acknowledged, propagated, restarted latencies
}

// measure measures for the time in the settings, while changes and restarts go on.
func (b *benchFleet) measure(running context.Context) (Measurements, error) {
	runtime.GC()
	observed := &observations{before: b.readCounters(), cpuByRole: map[string]float64{}}
	startedAt := b.clock.Now()
	cpuStarted := resources.ReadProcess().CPUSeconds
	var profileData bytes.Buffer
	if b.ProfileCPU {
		if err := pprof.StartCPUProfile(&profileData); err != nil {
			return nil, errcode.Wrap(err, errcode.StartFailed, "profile")
		}
		defer pprof.StopCPUProfile()
	}
	b.disturb(running, observed)
	pprof.StopCPUProfile()
	observed.after = b.readCounters()
	observed.seconds = float64(b.clock.Now()-startedAt) / float64(clock.Second)
	observed.cpuSeconds = resources.ReadProcess().CPUSeconds - cpuStarted
	if running.Err() != nil {
		return nil, errcode.New(errcode.ExecutionFailed, "the run was ended before its measurement")
	}
	if b.ProfileCPU {
		var err error
		observed.cpuByRole, err = cpuSecondsByRole(profileData.Bytes())
		if err != nil {
			return nil, err
		}
	}
	return b.collectMeasurements(observed), nil
}

// disturb sends changes and restarts daemons at the rates of the sizes, for the time in the
// settings.
func (b *benchFleet) disturb(running context.Context, observed *observations) {
	ctx, cancel := context.WithTimeout(running, time.Duration(b.settings.Seconds)*time.Second)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() {
		runWithRole(ctx, roleOperator, func(context.Context) { b.sendChanges(ctx, observed) })
	})
	group.Go(func() { b.restartRouters(ctx, &observed.restarted) })
	group.Go(func() { b.restartEngines(ctx) })
	<-ctx.Done()
	group.Wait()
}

// runAtRate calls an action at a rate, in times a second, until the context ends.
func runAtRate(ctx context.Context, rate float64, action func()) {
	if rate <= 0 {
		return
	}
	interval := clock.Microseconds(float64(clock.Second) / rate)
	clock.Every(ctx, max(interval, clock.Millisecond), action)
}

// sendChanges sends changes of one route, and waits for the propagation of each.
func (b *benchFleet) sendChanges(ctx context.Context, observed *observations) {
	var group sync.WaitGroup
	defer group.Wait()
	runAtRate(ctx, b.ChangesPerSecond, func() {
		startedAt := b.clock.Now()
		revision := b.simulatedRevision(slices.Max[[]uint64])
		if b.applyChange(oneRouteRequest(b.Sizes, b.label+1, b.label)) != nil {
			observed.acknowledged.missed++
			return
		}
		acknowledgedAt := b.clock.Now()
		observed.acknowledged.add(acknowledgedAt - startedAt)
		group.Go(func() { observed.propagated.add(b.awaitPropagation(revision, acknowledgedAt)) })
	})
}

// awaitPropagation waits until all simulated routers have a later revision than the given one, and
// returns how long that took since a time, at most propagationTimeout.
func (b *benchFleet) awaitPropagation(revision uint64, since clock.Microseconds) clock.Microseconds {
	for b.simulatedRevision(slices.Min[[]uint64]) <= revision {
		if b.clock.Now()-since > propagationTimeout {
			return propagationTimeout
		}
		time.Sleep(propagationPollInterval)
	}
	return b.clock.Now() - since
}

// simulatedRevision returns the least or the greatest revision of the configuration among the
// simulated routers that have one.
func (b *benchFleet) simulatedRevision(choose func([]uint64) uint64) uint64 {
	b.lock.Lock()
	defer b.lock.Unlock()
	var collected []uint64
	for _, simulated := range b.simulatedRouters {
		if revision := simulated.revisions[0].Load(); revision > 0 {
			collected = append(collected, revision)
		}
	}
	if len(collected) == 0 {
		return 0
	}
	return choose(collected)
}

// restartRouters replaces simulated routers, and waits until each new one has the state.
func (b *benchFleet) restartRouters(ctx context.Context, restarted *latencies) {
	var group sync.WaitGroup
	defer group.Wait()
	index := 0
	runAtRate(ctx, b.RouterRestartsPerMinute/secondsPerMinute, func() {
		b.lock.Lock()
		count := len(b.simulatedRouters)
		b.lock.Unlock()
		if count == 0 || b.startSimulatedRouter(index%count) != nil {
			return
		}
		b.lock.Lock()
		restartedRouter := b.simulatedRouters[index%count]
		b.lock.Unlock()
		index++
		group.Go(func() {
			for restartedRouter.completeAfter.Load() == 0 && ctx.Err() == nil {
				time.Sleep(restartPollInterval)
			}
			if duration := restartedRouter.completeAfter.Load(); duration > 0 {
				restarted.add(clock.Microseconds(duration))
			}
		})
	})
}

func (b *benchFleet) restartEngines(ctx context.Context) {
	number := 0
	runAtRate(ctx, b.EngineRestartsPerMinute/secondsPerMinute, func() {
		b.directory.restart(number)
		number += engineRestartStride
	})
}

// cpuSecondsOfOthers sums the processor time of the roles with a prefix but one.
func cpuSecondsOfOthers(seconds map[string]float64, prefix, excluded string) float64 {
	sum := 0.0
	for role, spent := range seconds {
		if strings.HasPrefix(role, prefix) && role != excluded {
			sum += spent
		}
	}
	return sum
}
