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
	"syscall"
	"time"

	"github.com/google/pprof/profile"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/dataplane/router"
	"coursepass/internal/errcode"
)

// trafficCounts are what one daemon has counted.
type trafficCounts struct{ calls, sameZone, crossZone, unknownZone, served float64 }

func (t trafficCounts) minus(other trafficCounts) trafficCounts {
	return t.addScaled(other, -1)
}

func (t trafficCounts) addScaled(addend trafficCounts, sign float64) trafficCounts {
	return trafficCounts{t.calls + sign*addend.calls, t.sameZone + sign*addend.sameZone, t.crossZone + sign*addend.crossZone, t.unknownZone + sign*addend.unknownZone, t.served + sign*addend.served}
}

func (b *benchFleet) getJSON(address, path string, target any) error {
	response, err := b.client.Get("http://" + address + path)
	if err != nil {
		return errcode.Wrap(err, errcode.ConnectionLost, address)
	}
	defer response.Body.Close()
	return errcode.Wrap(json.NewDecoder(response.Body).Decode(target), errcode.MalformedMessage, address)
}

func (b *benchFleet) postJSON(path string, body []byte) bool {
	response, err := b.client.Post("http://"+b.serverEndpoints[0].publicAddress+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func trafficOf(counters map[string]int64, side *daemonEndpoint) trafficCounts {
	return trafficCounts{float64(counters["calls"]), float64(counters["bytes-inside"]), float64(counters["bytes-across"]), float64(counters["bytes-unknown"]), float64(side.traffic.bytes.Load())}
}

// counterSnapshot is everything that is counted, at one moment. The leader is the core that owns
// the engines' part.
type counterSnapshot struct {
	servers                      map[string]trafficCounts
	leader                       string
	routers, simulatedRouters    trafficCounts
	headsRead, softReports       float64
	listCalls, reports, commands float64
}

// splitByLeader is what the named core has counted, and all the others together.
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

// addSimulatedRouter counts a hollow router.
func (c *counterSnapshot) addSimulatedRouter(simulated *simulatedRouter) {
	meter := simulated.meter
	c.simulatedRouters = c.simulatedRouters.addScaled(trafficCounts{
		float64(meter.Calls.Load()), float64(meter.IntraZoneBytes.Load()), float64(meter.CrossZoneBytes.Load()), float64(meter.UnknownZoneBytes.Load()), float64(simulated.servedTraffic.bytes.Load()),
	}, 1)
	c.headsRead += float64(simulated.headsRead.Load())
	c.softReports += float64(simulated.softReports.Load())
}

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
	counted.simulatedRouters, counted.headsRead, counted.softReports = b.retiredCounters.simulatedRouters, b.retiredCounters.headsRead, b.retiredCounters.softReports
	for _, endpoint := range b.simulatedRouters {
		counted.addSimulatedRouter(endpoint)
	}
	counted.listCalls, counted.reports, counted.commands = float64(b.directory.listCalls.Load()), float64(b.directory.reports.Load()), float64(b.directory.commands.Load())
	return counted
}

// encodedStates are the encoded states of both parts, as a hollow router that has both holds them.
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

// cpuSecondsByRole parts the processor time of a profile by the label of the role.
func cpuSecondsByRole(profileData []byte) (map[string]float64, error) {
	read, err := profile.ParseData(profileData)
	if err != nil {
		return nil, errcode.Wrap(err, errcode.MalformedMessage, "profile")
	}
	seconds := map[string]float64{}
	for _, sample := range read.Sample {
		role := "runtime"
		if labels := sample.Label["role"]; len(labels) > 0 {
			role = labels[0]
		}
		seconds[role] += float64(sample.Value[len(sample.Value)-1]) / 1e9
	}
	return seconds, nil
}

func processCPUSeconds() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}

// latencies collects how long something took.
type latencies struct {
	lock   sync.Mutex
	values []float64
	missed int
}

func (l *latencies) add(value clock.Microseconds) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.values = append(l.values, float64(value)/1000)
}

func (l *latencies) quantile(share float64) float64 {
	if len(l.values) == 0 {
		return 0
	}
	ordered := sortedCopy(l.values)
	return ordered[min(int(share*float64(len(ordered))), len(ordered)-1)]
}

// measure counts over the span that is set, while changes, restarts and lives go on.
func (b *benchFleet) measure() (Measurements, error) {
	runtime.GC()
	before, startedAt, cpuStarted := b.readCounters(), b.clock.Now(), processCPUSeconds()
	var profileData bytes.Buffer
	if b.ProfileCPU {
		if err := pprof.StartCPUProfile(&profileData); err != nil {
			return nil, errcode.Wrap(err, errcode.StartFailed, "profile")
		}
		defer pprof.StopCPUProfile()
	}
	ctx, cancel := context.WithTimeout(b.running, time.Duration(b.Seconds)*time.Second)
	defer cancel()
	acknowledged, propagated, restarted := &latencies{}, &latencies{}, &latencies{}
	var group sync.WaitGroup
	group.Go(func() {
		runWithRole(ctx, "operator", func(context.Context) { b.sendChanges(ctx, acknowledged, propagated) })
	})
	group.Go(func() { b.restartRouters(ctx, restarted) })
	group.Go(func() { b.restartEngines(ctx) })
	<-ctx.Done()
	group.Wait()
	pprof.StopCPUProfile()
	after, duration := b.readCounters(), float64(b.clock.Now()-startedAt)/float64(clock.Second)
	total := processCPUSeconds() - cpuStarted
	if b.running.Err() != nil {
		return nil, errcode.New(errcode.ExecutionFailed, "the run was ended before its measurement")
	}
	seconds := map[string]float64{}
	if b.ProfileCPU {
		var err error
		if seconds, err = cpuSecondsByRole(profileData.Bytes()); err != nil {
			return nil, err
		}
	}
	return b.collectMeasurements(before, after, duration, total, seconds, acknowledged, propagated, restarted), nil
}

// runAtRate calls an action so many times a second until the context ends.
func runAtRate(ctx context.Context, rate float64, action func()) {
	if rate <= 0 {
		return
	}
	clock.Every(ctx, max(clock.Microseconds(float64(clock.Second)/rate), clock.Millisecond), action)
}

func (b *benchFleet) sendChanges(ctx context.Context, acknowledged, propagated *latencies) {
	var group sync.WaitGroup
	defer group.Wait()
	runAtRate(ctx, b.ChangesPerSecond, func() {
		startedAt, revision := b.clock.Now(), b.simulatedRevision(slices.Max[[]uint64])
		if b.applyChange(oneRouteRequest(b.Sizes, b.label+1, b.label)) != nil {
			acknowledged.missed++
			return
		}
		known := b.clock.Now()
		acknowledged.add(known - startedAt)
		group.Go(func() {
			for b.simulatedRevision(slices.Min[[]uint64]) <= revision {
				if b.clock.Now()-known > 5*clock.Second {
					propagated.add(5 * clock.Second)
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
			propagated.add(b.clock.Now() - known)
		})
	})
}

// simulatedRevision is the least or the greatest sequence of part 0 among the hollow routers that
// hold one.
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

func (b *benchFleet) restartRouters(ctx context.Context, restarted *latencies) {
	var group sync.WaitGroup
	defer group.Wait()
	index := 0
	runAtRate(ctx, b.RouterRestartsPerMinute/60, func() {
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
				time.Sleep(10 * time.Millisecond)
			}
			if duration := restartedRouter.completeAfter.Load(); duration > 0 {
				restarted.add(clock.Microseconds(duration))
			}
		})
	})
}

func (b *benchFleet) restartEngines(ctx context.Context) {
	number := 0
	runAtRate(ctx, b.EngineRestartsPerMinute/60, func() {
		b.directory.restart(number)
		number += 7
	})
}

func cpuSecondsOfOthers(seconds map[string]float64, prefix, excluded string) float64 {
	sum := 0.0
	for role, spent := range seconds {
		if strings.HasPrefix(role, prefix) && role != excluded {
			sum += spent
		}
	}
	return sum
}
