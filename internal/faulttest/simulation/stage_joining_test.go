package simulation_test

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane"
	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/emulator"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/settings"
	"coursepass/internal/state/config"
)

// catchUp is the users' shortest catch-up-s: a machine counts as lost until so long after
// its start, and then the group must bear the next loss.
const catchUp = 4 * time.Second

// trio is a fleet of three cores alone, with the settings that the users' platform gives.
func trio(test *testing.T, act func(*stage)) {
	test.Parallel()
	folder := test.TempDir()
	synctest.Test(test, func(test *testing.T) {
		stage := &stage{
			T: test, Fabric: simulation.NewFabric(200), deployment: small(), engines: map[string]*engine.Engine{}, lives: map[string]*life{},
			folder: folder, observers: map[string]*engine.Observer{}, start: map[string]func() func(context.Context) error{},
		}
		defer stage.end()
		for number := range 3 {
			stage.seeds = append(stage.seeds, fmt.Sprintf("10.0.0.%d:1", number))
		}
		for number := range 3 {
			stage.join(number, number, true)
			stage.wake(fmt.Sprint("core-", number))
		}
		stage.configure()
		time.Sleep(5 * time.Second)
		for number := range 3 {
			stage.join(number, number, false)
		}
		act(stage)
	})
}

// join adds a core at an address of its own, in the hall of a place; operators ask it in
// place of the one that was there.
func (t *stage) join(number, place int, first bool) {
	name, inner, public := fmt.Sprint("core-", number), fmt.Sprintf("10.0.0.%d:1", number), fmt.Sprintf("127.0.0.%d:2", number)
	if place == len(t.corePub) {
		t.corePub = append(t.corePub, "")
	}
	t.corePub[place] = public
	settings := core.Settings{
		Place: setting.Place{Name: name, Hall: halls[place], Fleet: "stage", Public: public, Seeds: t.seeds, Slots: 3, RegionOf: t.regions},
		Inner: setting.Inner{Inner: inner, Parts: 2}, Lengths: setting.Lengths{Delta: 200, Lease: 3000}, Rewrite: 16,
		Data: filepath.Join(t.folder, name), First: first, Joining: !first, Reserve: true,
	}
	t.add(name, inner, public, func(port simulation.Port) (daemon, error) {
		return core.New(settings, uint64(schedule.Of(time.Since(time.Unix(0, 0)))), port)
	})
}

// joined says how long it takes until a core has a vote in every part.
func (t *stage) joined(number int) time.Duration {
	address, begun := fmt.Sprintf("127.0.0.%d:2", number), time.Now()
	for !t.seated(address) && time.Since(begun) < 20*time.Second {
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(begun)
}

// bears checks that the rest go on without a core.
func (t *stage) bears(lost string) {
	t.kill(lost)
	if span := t.acknowledges(); span > 4*time.Second {
		t.Errorf("without %s a change was acknowledged only after %v", lost, span)
	}
}

// A member is gone and comes back in each way there is: within catch-up-s of its start the
// group bears the loss of any other member, and what was acknowledged is still there.
func TestEachWayOfJoiningEndsWithinCatchUp(test *testing.T) {
	ways := map[string]func(stage *stage, old, fresh int) int{
		"restart in place": func(stage *stage, old, _ int) int {
			stage.kill(fmt.Sprint("core-", old))
			time.Sleep(time.Second)
			stage.wake(fmt.Sprint("core-", old))
			return old
		},
		"restart without its disk": func(stage *stage, old, _ int) int {
			stage.kill(fmt.Sprint("core-", old))
			stage.wipe(fmt.Sprint("core-", old))
			time.Sleep(time.Second)
			stage.wake(fmt.Sprint("core-", old))
			return old
		},
		"empty at another address": func(stage *stage, old, fresh int) int {
			stage.kill(fmt.Sprint("core-", old))
			time.Sleep(time.Second)
			stage.join(fresh, old, false)
			stage.wake(fmt.Sprint("core-", fresh))
			return fresh
		},
		"planned": func(stage *stage, old, fresh int) int {
			stage.join(fresh, old, false)
			stage.wake(fmt.Sprint("core-", fresh))
			time.Sleep(time.Second)
			stage.polite(fmt.Sprint("core-", old))
			return fresh
		},
	}
	for name, join := range ways {
		for _, leads := range []bool{false, true} {
			test.Run(fmt.Sprintf("%s, leader %v", name, leads), func(test *testing.T) {
				trio(test, func(stage *stage) {
					leader := int(stage.owner(0)[5] - '0')
					old := leader
					if !leads {
						old = (leader + 1) % 3
					}
					stage.evacuated("sur")
					fresh := join(stage, old, 3)
					span := stage.joined(fresh)
					if test.Logf("joined after %v", span); span > catchUp {
						test.Errorf("a vote only after %v", span)
					}
					before := stage.commits()
					stage.bears(fmt.Sprint("core-", (old+1)%3))
					if after := stage.commits(); after < before {
						test.Errorf("committed up to %d before the loss, %d after", before, after)
					}
				})
			})
		}
	}
}

// commits is the highest commit of the first part that any core shows.
func (t *stage) commits() uint64 {
	highest := uint64(0)
	for _, address := range t.corePub {
		if parts := t.overview(address).Parts; len(parts) > 0 {
			highest = max(highest, parts[0].Commit)
		}
	}
	return highest
}

// evacuated has a change acknowledged, or fails.
func (t *stage) evacuated(hall string) {
	watch := newWatch(&soak{stage: t, begun: time.Now()}, "")
	if done := watch.operate(configuration.Request{Kind: configuration.Evacuate, Whichever: true, Hall: hall}); done.code != mishap.Fine {
		t.Fatalf("not acknowledged: %d", done.code)
	}
}
