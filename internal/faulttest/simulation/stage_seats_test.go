package simulation_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"coursepass/internal/adminclient"
)

func (t *stage) awaitSeat(address string) {
	begun := time.Now()
	for !t.seated(address) {
		if time.Sleep(100 * time.Millisecond); time.Since(begun) > 20*time.Second {
			t.Fatalf("%s has no seat after %v: %+v", address, time.Since(begun), t.overview(address))
		}
	}
	t.Logf("%s has its seats after %v", address, time.Since(begun))
}

// awaitClaims waits until a core with a seat knows the one-shot keys that others hold: only
// then do requests find a majority without another core. Start and all, it has catchUp.
func (t *stage) awaitClaims(address string, began time.Time) {
	for !t.overview(address).Parts[1].ClaimsWhole {
		if time.Sleep(20 * time.Millisecond); time.Since(began) > 20*time.Second {
			t.Fatalf("%s does not know the claims after %v", address, time.Since(began))
		}
	}
	t.Logf("%s knows the claims after %v", address, time.Since(began))
}

// A core machine returns empty at a new address; then another core dies, and the
// returned one must carry the majority.
func TestACoreReturnsEmptyAtANewAddress(test *testing.T) {
	play(test, func(stage *stage) {
		figures := stage.during(30, func() {
			stage.kill("core-2")
			stage.wipe("core-2")
			stage.core("core-2", "sur", "10.0.0.9:1", "127.0.0.9:2", "")
			stage.corePub[2] = "127.0.0.9:2"
			time.Sleep(time.Second)
			began := time.Now()
			stage.wake("core-2")
			stage.awaitSeat("127.0.0.9:2")
			stage.awaitClaims("127.0.0.9:2", began)
			stage.kill("core-0")
			time.Sleep(10 * time.Second)
			if stage.leader() == "" {
				test.Error("no leader with the returned core and one other")
			}
			small := &operator.Small{Change: stage.change()}
			small.Arguments.Pairs = []string{"startMilliseconds=450"}
			if err := small.Run(); err != nil {
				test.Error(err)
			}
		})
		most(test, figures, 0.98)
	})
}

// All three seed machines are swapped for others, one by one, under load; routers
// that know only the old ones by their settings go on. A new machine is given the
// addresses of its day.
func TestSeedMachinesAreSwapped(test *testing.T) {
	play(test, func(stage *stage) {
		figures := stage.during(60, func() {
			for number := range 3 {
				old, fresh := fmt.Sprint("core-", number), fmt.Sprint("core-", number+3)
				stage.seeds = slices.Clone(stage.seeds)
				stage.seeds[number] = fmt.Sprintf("10.0.3.%d:1", number)
				stage.core(fresh, halls[number], fmt.Sprintf("10.0.3.%d:1", number), fmt.Sprintf("127.0.3.%d:2", number), old)
				stage.kill(old)
				delete(stage.start, old)
				stage.wake(fresh)
				stage.corePub[number] = fmt.Sprintf("127.0.3.%d:2", number)
				stage.awaitSeat(stage.corePub[number])
				time.Sleep(2 * time.Second)
			}
		})
		most(test, figures, 0.97)
		if span := stage.recovers(); span > recovery {
			test.Errorf("serving came back only after %v", span)
		}
	})
}

// A live slot is not taken without an override, an old holder that comes back finds
// its seat gone and stays mute, and a foreign fleet's daemon gets nothing.
func TestSeatsAreNotTakenFromTheLiving(test *testing.T) {
	play(test, func(stage *stage) {
		stage.core("core-9", "sur", "10.0.0.9:1", "127.0.0.9:2", "core-1")
		stage.wake("core-9")
		time.Sleep(8 * time.Second)
		if overview := stage.overview("127.0.0.9:2"); overview.Parts[0].Slot >= 0 || overview.Parts[1].Slot >= 0 {
			test.Errorf("a live slot was taken: %+v", overview.Parts)
		}
		stage.kill("core-1")
		stage.awaitSeat("127.0.0.9:2")
		stage.wake("core-1")
		time.Sleep(6 * time.Second)
		if overview := stage.overview("127.0.0.1:2"); overview.Parts[0].Slot >= 0 || overview.Parts[1].Slot >= 0 {
			test.Errorf("the old holder still has a slot: %+v", overview.Parts)
		}
		if !stage.seated("127.0.0.9:2") || !stage.seated("127.0.0.0:2") {
			test.Error("the new holder or another core has lost its seat")
		}
	})
}
