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
	"coursepass/internal/enginecommand"
	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/emulator"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/platformport"
	"coursepass/internal/settings"
	"coursepass/internal/state/pairing"
)

// registry is a directory that all cores follow, and the engines that take orders.
type registry struct {
	lock     sync.Mutex
	engines  []port.Engine
	down     bool
	lists    int
	orders   []string
	holders  map[uint64]string
	observer *engine.Observer
	began    time.Time
}

func (e *registry) List(context.Context) ([]port.Engine, error) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.lists++
	if e.down {
		return nil, mishap.New(mishap.CircuitLost, "declined")
	}
	return append([]port.Engine(nil), e.engines...), nil
}

func (e *registry) Part(_ context.Context, _ *http.Client, address, part, holder string, round uint64) error {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.orders = append(e.orders, address+" "+part)
	if before, known := e.holders[round]; known && before != holder {
		e.observer.Flag("%s and %s have round %d", before, holder, round)
	}
	e.holders[round] = holder
	given := order.Order{Round: round, Holder: holder}
	e.observer.Order(schedule.Of(time.Since(e.began)), given)
	for place := range e.engines {
		if e.engines[place].Address == address {
			e.engines[place].Part = part
		}
	}
	return nil
}

func (e *registry) change(act func()) {
	e.lock.Lock()
	defer e.lock.Unlock()
	act()
}

// Three real cores follow a directory. Its engines come into the contract by themselves;
// a decline of the list changes nothing; one that leaves or is missing twice goes; where
// all readers are lost one maker is ordered over, also by the next leader.
func TestCoresMirrorADirectory(test *testing.T) {
	folder := test.TempDir()
	synctest.Test(test, func(test *testing.T) {
		stage := &stage{T: test, Fabric: simulation.NewFabric(200), deployment: small(), lives: map[string]*life{}, folder: folder, observers: map[string]*engine.Observer{}, start: map[string]func() func(context.Context) error{}}
		defer stage.end()
		registry := &registry{observer: engine.NewObserver(3 * schedule.Second), began: time.Now(), holders: map[uint64]string{}}
		stage.observers["registry"] = registry.observer
		for number := range 6 {
			part := contract.Decode
			if number < 2 {
				part = contract.Prefill
			}
			registry.engines = append(registry.engines, port.Engine{Life: fmt.Sprint("life-", number), Service: stage.service, Address: fmt.Sprintf("127.0.2.%d:2", number), Hall: halls[number%3], Slots: 8, Part: part, Weights: 1})
		}
		for number := range 3 {
			stage.seeds = append(stage.seeds, fmt.Sprintf("10.0.0.%d:1", number))
			stage.corePub = append(stage.corePub, fmt.Sprintf("127.0.0.%d:2", number))
		}
		for number := range 3 {
			name := fmt.Sprint("core-", number)
			settings := core.Settings{
				Place: setting.Place{Name: name, Hall: halls[number], Fleet: "stage", Public: stage.corePub[number], Seeds: stage.seeds},
				Inner: setting.Inner{Inner: stage.seeds[number], Parts: 2}, Lengths: setting.Lengths{Delta: 200, Lease: 3000}, Rewrite: 16, Data: filepath.Join(folder, name),
			}
			stage.add(name, settings.Inner.Inner, settings.Place.Public, func(port simulation.Port) (daemon, error) {
				made, err := core.New(settings, setting.Incarnation(), port)
				if err == nil {
					made.Attach(registry, registry)
				}
				return made, err
			})
			stage.wake(name)
		}
		expect := func(what string, span time.Duration, wanted string) {
			test.Helper()
			found := ""
			for range int(span / (250 * time.Millisecond)) {
				time.Sleep(250 * time.Millisecond)
				if found = stage.mirroredParts(); found == wanted {
					return
				}
			}
			test.Errorf("%s: %s, not %s", what, found, wanted)
		}
		expect("all come", 10*time.Second, "life-0:prefill life-1:prefill life-2:decode life-3:decode life-4:decode life-5:decode ")
		registry.change(func() { registry.down = true })
		time.Sleep(5 * time.Second)
		expect("declined", time.Second, "life-0:prefill life-1:prefill life-2:decode life-3:decode life-4:decode life-5:decode ")
		registry.change(func() {
			registry.down = false
			registry.engines[5].Leaving = true
		})
		expect("one leaves", 3*time.Second, "life-0:prefill life-1:prefill life-2:decode life-3:decode life-4:decode ")
		registry.change(func() {
			registry.engines[5].Leaving = false
			registry.engines[4].Part = contract.Prefill
		})
		expect("a mark stays, a part changes", 3*time.Second, "life-0:prefill life-1:prefill life-2:decode life-3:decode life-4:prefill ")
		registry.change(func() { registry.engines = registry.engines[2:4] })
		expect("three go", 4*time.Second, "life-2:decode life-3:decode ")
		expect("one is ordered over", 20*time.Second, "life-2:prefill life-3:decode ")
		registry.change(func() {
			next := registry.engines[0]
			next.Life, next.Address, next.Part = "life-6", "127.0.2.6:2", contract.Decode
			registry.engines = append(registry.engines[1:], next)
		})
		expect("the reader is gone", 4*time.Second, "life-3:decode life-6:decode ")
		stage.kill(stage.leader())
		expect("one is ordered over by the next leader", 30*time.Second, "life-3:prefill life-6:decode ")
		lists := 0
		registry.change(func() {
			lists = registry.lists
			if want := []string{"127.0.2.2:2 prefill", "127.0.2.3:2 prefill"}; !slices.Equal(registry.orders, want) || len(registry.holders) != 2 {
				test.Errorf("orders: %v, by %v", registry.orders, registry.holders)
			}
		})
		time.Sleep(20 * time.Second)
		registry.change(func() {
			if more := registry.lists - lists; more < 15 || more > 21 {
				test.Errorf("%d lists in 20 s", more)
			}
		})
	})
}

// mirroredParts is the contract as any core shows it, in order.
func (t *stage) mirroredParts() string {
	text := ""
	for number, address := range t.corePub {
		if t.lives[fmt.Sprint("core-", number)] == nil {
			continue
		}
		var listed []core.Listed
		target := operator.Target{Cores: []string{address}, Network: simulation.Port{Fabric: t.Fabric, Machine: "operator"}}
		if target.Get("/v1/services/"+t.service+"/engines", &listed) == nil {
			for _, each := range listed {
				if each.Live {
					text += each.Name + ":" + each.Part + " "
				}
			}
			return text
		}
	}
	return "nobody answers"
}
