package scale

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
	"coursepass/internal/controlplane"
	"coursepass/internal/dataplane/router"
	"coursepass/internal/errcode"
)

// counts are what one daemon has counted.
type counts struct{ calls, inside, across, unknown, served float64 }

func (t counts) less(other counts) counts {
	return t.plus(other, -1)
}

func (t counts) plus(right counts, sign float64) counts {
	return counts{t.calls + sign*right.calls, t.inside + sign*right.inside, t.across + sign*right.across, t.unknown + sign*right.unknown, t.served + sign*right.served}
}

func (b *stand) get(address, path string, into any) error {
	answer, err := b.client.Get("http://" + address + path)
	if err != nil {
		return mishap.Wrap(err, mishap.CircuitLost, address)
	}
	defer answer.Body.Close()
	return mishap.Wrap(json.NewDecoder(answer.Body).Decode(into), mishap.Garbage, address)
}

func (b *stand) post(path string, body []byte) bool {
	answer, err := b.client.Post("http://"+b.coreSides[0].public+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func countersOf(found map[string]int64, side *side) counts {
	return counts{float64(found["calls"]), float64(found["bytes-inside"]), float64(found["bytes-across"]), float64(found["bytes-unknown"]), float64(side.served.bytes.Load())}
}

// snapshot is everything that is counted, at one moment. The leader is the core that owns
// the engines' part.
type snapshot struct {
	cores                  map[string]counts
	leader                 string
	routers, hollow        counts
	heads, soft            float64
	lists, reports, orders float64
}

// parted is what the named core has counted, and all the others together.
func (c snapshot) parted(leader string) (leading, others counts) {
	for name, counted := range c.cores {
		if name == leader {
			leading = counted
			continue
		}
		others = others.plus(counted, 1)
	}
	return leading, others
}

// add counts a hollow router.
func (c *snapshot) add(each *hollow) {
	meter := each.meter
	c.hollow = c.hollow.plus(counts{
		float64(meter.Calls.Load()), float64(meter.Inside.Load()), float64(meter.Across.Load()), float64(meter.Unknown.Load()), float64(each.served.bytes.Load()),
	}, 1)
	c.heads += float64(each.heads.Load())
	c.soft += float64(each.soft.Load())
}

func (b *stand) count() snapshot {
	found := snapshot{cores: map[string]counts{}}
	for _, each := range b.coreSides {
		var overview core.Overview
		if b.get(each.public, "/v1/status", &overview) != nil {
			continue
		}
		found.cores[each.name] = countersOf(overview.Counters, each)
		if len(overview.Parts) > 1 && overview.Parts[1].Owner {
			found.leader = each.name
		}
	}
	for _, each := range b.realSides {
		var overview router.Overview
		if b.get(each.public, "/v1/status", &overview) == nil {
			found.routers = found.routers.plus(countersOf(overview.Counters, each), 1)
		}
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	found.hollow, found.heads, found.soft = b.retired.hollow, b.retired.heads, b.retired.soft
	for _, each := range b.hollows {
		found.add(each)
	}
	found.lists, found.reports, found.orders = float64(b.registry.lists.Load()), float64(b.registry.reports.Load()), float64(b.registry.orders.Load())
	return found
}

// states are the encoded states of both parts, as a hollow router that has both holds them.
func (b *stand) states() (configuration, engines []byte) {
	for _, each := range b.hollows {
		first, known := each.gossip.Item(0)
		second, both := each.gossip.Item(1)
		if known && both {
			_, configuration, _ = part.Unpack(first.Data)
			_, engines, _ = part.Unpack(second.Data)
			return configuration, engines
		}
	}
	return nil, nil
}

// processor parts the processor time of a profile by the label of the role.
func processor(taken []byte) (map[string]float64, error) {
	read, err := profile.ParseData(taken)
	if err != nil {
		return nil, mishap.Wrap(err, mishap.Garbage, "profile")
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

func used() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}

// spans collects how long something took.
type spans struct {
	lock   sync.Mutex
	values []float64
	missed int
}

func (l *spans) add(value schedule.Microseconds) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.values = append(l.values, float64(value)/1000)
}

func (l *spans) at(share float64) float64 {
	if len(l.values) == 0 {
		return 0
	}
	ordered := sorted(l.values)
	return ordered[min(int(share*float64(len(ordered))), len(ordered)-1)]
}

// measure counts over the span that is set, while changes, restarts and lives go on.
func (b *stand) measure() (Figures, error) {
	runtime.GC()
	before, begun, processorBegan := b.count(), b.clock.Now(), used()
	var taken bytes.Buffer
	if b.Profiled {
		if err := pprof.StartCPUProfile(&taken); err != nil {
			return nil, mishap.Wrap(err, mishap.StartFailed, "profile")
		}
		defer pprof.StopCPUProfile()
	}
	bounded, cancel := context.WithTimeout(b.running, time.Duration(b.Seconds)*time.Second)
	defer cancel()
	acknowledged, everywhere, restarted := &spans{}, &spans{}, &spans{}
	var group sync.WaitGroup
	group.Go(func() {
		labelled(bounded, "operator", func(context.Context) { b.change(bounded, acknowledged, everywhere) })
	})
	group.Go(func() { b.restart(bounded, restarted) })
	group.Go(func() { b.relive(bounded) })
	<-bounded.Done()
	group.Wait()
	pprof.StopCPUProfile()
	after, span := b.count(), float64(b.clock.Now()-begun)/float64(schedule.Second)
	total := used() - processorBegan
	if b.running.Err() != nil {
		return nil, mishap.New(mishap.RunFailed, "the run was ended before its measurement")
	}
	seconds := map[string]float64{}
	if b.Profiled {
		var err error
		if seconds, err = processor(taken.Bytes()); err != nil {
			return nil, err
		}
	}
	return b.figures(before, after, span, total, seconds, acknowledged, everywhere, restarted), nil
}

// pace calls an action so many times a second until the context ends.
func pace(running context.Context, rate float64, act func()) {
	if rate <= 0 {
		return
	}
	schedule.Every(running, max(schedule.Microseconds(float64(schedule.Second)/rate), schedule.Millisecond), act)
}

func (b *stand) change(running context.Context, acknowledged, everywhere *spans) {
	var group sync.WaitGroup
	defer group.Wait()
	pace(running, b.Changes, func() {
		begun, sequence := b.clock.Now(), b.lowest(slices.Max[[]uint64])
		if b.configure(smallRequest(b.Sizes, b.label+1, b.label)) != nil {
			acknowledged.missed++
			return
		}
		known := b.clock.Now()
		acknowledged.add(known - begun)
		group.Go(func() {
			for b.lowest(slices.Min[[]uint64]) <= sequence {
				if b.clock.Now()-known > 5*schedule.Second {
					everywhere.add(5 * schedule.Second)
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
			everywhere.add(b.clock.Now() - known)
		})
	})
}

// lowest is the least or the greatest sequence of part 0 among the hollow routers that
// hold one.
func (b *stand) lowest(choose func([]uint64) uint64) uint64 {
	b.lock.Lock()
	defer b.lock.Unlock()
	var all []uint64
	for _, each := range b.hollows {
		if sequence := each.sequence[0].Load(); sequence > 0 {
			all = append(all, sequence)
		}
	}
	if len(all) == 0 {
		return 0
	}
	return choose(all)
}

func (b *stand) restart(running context.Context, restarted *spans) {
	var group sync.WaitGroup
	defer group.Wait()
	place := 0
	pace(running, b.Restarts/60, func() {
		b.lock.Lock()
		count := len(b.hollows)
		b.lock.Unlock()
		if count == 0 || b.bear(place%count) != nil {
			return
		}
		b.lock.Lock()
		made := b.hollows[place%count]
		b.lock.Unlock()
		place++
		group.Go(func() {
			for made.whole.Load() == 0 && running.Err() == nil {
				time.Sleep(10 * time.Millisecond)
			}
			if span := made.whole.Load(); span > 0 {
				restarted.add(schedule.Microseconds(span))
			}
		})
	})
}

func (b *stand) relive(running context.Context) {
	number := 0
	pace(running, b.Lives/60, func() {
		b.registry.restart(number)
		number += 7
	})
}

func roleShare(seconds map[string]float64, prefix, without string) float64 {
	sum := 0.0
	for role, spent := range seconds {
		if strings.HasPrefix(role, prefix) && role != without {
			sum += spent
		}
	}
	return sum
}
