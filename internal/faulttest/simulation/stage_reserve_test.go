package simulation_test

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"coursepass/internal/adminclient"
	"coursepass/internal/clock"
	"coursepass/internal/controlplane"
	"coursepass/internal/faulttest/emulator"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/settings"
)

// reserves is a fleet of cores alone: five seats, three seeds, six cores in three halls.
func reserves(test *testing.T, act func(*stage)) {
	test.Parallel()
	folder := test.TempDir()
	synctest.Test(test, func(test *testing.T) {
		stage := &stage{
			T: test, Fabric: simulation.NewFabric(200), deployment: apart(), engines: map[string]*engine.Engine{}, lives: map[string]*life{},
			folder: folder, observers: map[string]*engine.Observer{}, start: map[string]func() func(context.Context) error{},
		}
		defer stage.end()
		for number := range 3 {
			stage.seeds = append(stage.seeds, fmt.Sprintf("10.0.0.%d:1", number))
		}
		for number := range 6 {
			stage.corePub = append(stage.corePub, fmt.Sprintf("127.0.0.%d:2", number))
			stage.reserve(number, true)
			stage.wake(fmt.Sprint("core-", number))
		}
		act(stage)
	})
}

func (t *stage) reserve(number int, first bool) {
	name, inner := fmt.Sprint("core-", number), fmt.Sprintf("10.0.0.%d:1", number)
	settings := core.Settings{
		Place: setting.Place{Name: name, Hall: halls[number%3], Fleet: "stage", Public: t.corePub[number], Seeds: t.seeds, Slots: 5, RegionOf: t.regions},
		Inner: setting.Inner{Inner: inner, Parts: 2}, Lengths: setting.Lengths{Delta: 200, Lease: 3000}, Rewrite: 16,
		Data: filepath.Join(t.folder, name), First: first, Joining: !first, Reserve: true,
	}
	t.add(name, inner, settings.Public, func(port simulation.Port) (daemon, error) {
		return core.New(settings, uint64(schedule.Of(time.Since(time.Unix(0, 0)))), port)
	})
}

// held is the least number of seats of a part whose holders may vote, and the most of them
// in one hall.
func (t *stage) held() (count int, most int) {
	count = 5
	for part := range 2 {
		perHall, held := map[string]int{}, 0
		for number, address := range t.corePub {
			if t.lives[fmt.Sprint("core-", number)] == nil {
				continue
			}
			overview := t.overview(address)
			if len(overview.Parts) <= part {
				continue
			}
			if each := overview.Parts[part]; each.Slot >= 0 && !each.Recovering && each.Current {
				held++
				perHall[halls[number%3]]++
				most = max(most, perHall[halls[number%3]])
			}
		}
		count = min(count, held)
	}
	return count, most
}

func (t *stage) awaitHeld(wanted int, within time.Duration) {
	begun := time.Now()
	for time.Since(begun) < within {
		if count, most := t.held(); count == wanted && most <= 2 {
			t.Logf("%d seats held after %v", wanted, time.Since(begun))
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	for _, address := range t.corePub {
		overview := t.overview(address)
		t.Logf("%s %+v", overview.Name, overview.Parts)
	}
	count, most := t.held()
	t.Errorf("%d seats are held after %v, at most %d in a hall; wanted %d and 2", count, within, most, wanted)
}

// Seeds name three cores only; the others take the seats that are left, and a seat whose
// holder falls silent goes to the one in reserve.
func TestReservesTakeSeats(test *testing.T) {
	reserves(test, func(stage *stage) {
		stage.awaitHeld(5, 14*time.Second)
		stage.kill(stage.owner(0))
		stage.awaitHeld(5, 14*time.Second)
		if stage.owner(0) == "" || stage.owner(1) == "" {
			test.Error("no leader after a seat has changed hands")
		}
	})
}

// Two disks are lost while all others lose power: what was acknowledged is still there.
func TestFiveSeatsBearTwoLostDisks(test *testing.T) {
	reserves(test, func(stage *stage) {
		stage.awaitHeld(5, 14*time.Second)
		before := uint64(0)
		for _, address := range stage.corePub {
			for _, part := range stage.overview(address).Parts {
				before = max(before, part.Commit)
			}
		}
		var wiped []int
		for number, address := range stage.corePub {
			if len(wiped) < 2 && stage.seated(address) {
				wiped = append(wiped, number)
			}
		}
		for number := range stage.corePub {
			stage.kill(fmt.Sprint("core-", number))
		}
		for _, number := range wiped {
			stage.wipe(fmt.Sprint("core-", number))
		}
		for number := range stage.corePub {
			stage.reserve(number, false)
			stage.wake(fmt.Sprint("core-", number))
		}
		stage.awaitHeld(5, 25*time.Second)
		after := uint64(0)
		for _, address := range stage.corePub {
			for _, part := range stage.overview(address).Parts {
				after = max(after, part.Commit)
			}
		}
		if after < before {
			test.Errorf("committed up to %d before, %d after", before, after)
		}
	})
}

// Two cores come back without their disks: each is offered what routers have once, not at
// each of their reads for as long as it recovers. One alone is given a copy by the leader.
func TestACopyIsOfferedOnce(test *testing.T) {
	play(test, func(stage *stage) {
		for _, name := range []string{"core-1", "core-2"} {
			stage.kill(name)
			stage.wipe(name)
		}
		time.Sleep(time.Second)
		stage.wake("core-1")
		stage.wake("core-2")
		time.Sleep(6 * time.Second)
		offered := int64(0)
		for _, address := range stage.routPub {
			var counters map[string]int64
			target := operator.Target{Cores: []string{address}, Network: simulation.Port{Fabric: stage.Fabric, Machine: "operator"}}
			if err := target.Get("/counters", &counters); err != nil {
				test.Fatal(err)
			}
			offered += counters["copies-offered"]
		}
		// Two cores of two parts, and three routers that may ask before the first offer has arrived.
		if offered < 4 || offered > 24 {
			test.Errorf("%d copies were offered", offered)
		}
	})
}
