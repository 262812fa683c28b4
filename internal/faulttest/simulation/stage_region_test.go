package simulation_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"coursepass/internal/adminclient"
	"coursepass/internal/clock"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/topology"
	"coursepass/internal/transport"
)

// stageRegions has each hall stand in a region of its own, 20 ms from the others.
var stageRegions = map[string]string{"norte": "north", "centro": "centre", "sur": "south"}

const (
	regionIn   = 4 * time.Second
	regionOver = 6 * time.Second
)

func apart() deployment {
	made := small()
	made.regions, made.longRate, made.shortRate = stageRegions, 12, 14
	return made
}

// spread has what crosses regions take its time.
func (t *stage) spread(each ...string) {
	for place, from := range each {
		for other, to := range each {
			if place%3 != other%3 {
				t.Slow(from, to, 20*schedule.Millisecond)
			}
		}
	}
}

func (t *stage) drain(region string, back bool) error {
	drain := &operator.DrainRegion{Change: t.change(), Begins: regionIn, Window: regionOver, Back: back}
	drain.Arguments.Region = region
	return drain.Run()
}

// ready asks a router as the platform does.
func (t *stage) ready(number int) bool {
	port := simulation.Port{Fabric: t.Fabric, Machine: "operator"}
	transport := circuit.NewTransport(circuit.Options{Network: port, Meter: hall.NewMeter("")})
	transport.DisableKeepAlives = true
	client := &http.Client{Transport: transport, Timeout: time.Second}
	answer, err := client.Get("http://" + t.routPub[number] + "/ready")
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// place is the number of the core that owns a part, -1 if none does.
func (t *stage) place(part int) int {
	place := -1
	fmt.Sscanf(t.owner(part), "core-%d", &place)
	return place
}

var everyone = []string{"core-0", "core-1", "core-2", "router-0", "router-1", "router-2", "engine-0", "engine-1", "engine-2", "engine-3", "engine-4", "engine-5"}

func drained(test *testing.T, kill bool) {
	playFor(test, apart(), 200, func(stage *stage) {
		stage.spread(everyone...)
		figures := stage.during(30, func() {
			gone := stage.place(0)
			if err := stage.drain(stageRegions[halls[gone]], false); err != nil {
				stage.Fatal(err)
			}
			time.Sleep(regionIn + time.Second)
			before := stage.begun(fmt.Sprint("engine-", gone)) + stage.begun(fmt.Sprint("engine-", gone+3))
			for number := range 3 {
				if ready := stage.ready(number); ready != (number != gone) {
					test.Errorf("router-%d is ready: %t", number, ready)
				}
			}
			time.Sleep(regionOver - 2*time.Second)
			for part := range 2 {
				if at := stage.place(part); at < 0 || at == gone {
					test.Errorf("part %d is led by core-%d before the window ends, in the drained region is core-%d", part, at, gone)
				}
			}
			if kill {
				killed := stage.owner(0)
				stage.kill(killed)
				begun := time.Now()
				for time.Since(begun) < 10*time.Second && (stage.place(0) < 0 || stage.place(1) < 0) {
					time.Sleep(200 * time.Millisecond)
				}
				test.Logf("led again after %v by core-%d and core-%d", time.Since(begun), stage.place(0), stage.place(1))
				for part := range 2 {
					if at := stage.place(part); at < 0 || at == gone {
						test.Errorf("part %d is led by core-%d after a leader was killed", part, at)
					}
				}
				stage.wake(killed)
			}
			time.Sleep(3 * time.Second)
			after := stage.begun(fmt.Sprint("engine-", gone)) + stage.begun(fmt.Sprint("engine-", gone+3))
			test.Logf("the region's engines ran %d, and %d later", before, after-before)
			if after != before || before == 0 {
				test.Errorf("the engines of the drained region had %d runs at first and %d later", before, after)
			}
			if err := stage.drain(stageRegions[halls[gone]], true); err != nil {
				stage.Fatal(err)
			}
			time.Sleep(3 * time.Second)
			if !stage.ready(gone) {
				test.Error("the router is not ready after the notice was taken back")
			}
		})
		floor := 0.97
		if kill {
			floor = 0.9
		}
		most(test, figures, floor)
	})
}

func TestLeadershipLeavesADrainedRegion(test *testing.T) { drained(test, false) }

// The region goes dark as a whole a second into its window.
func TestADrainedRegionIsCutOffEarly(test *testing.T) {
	playFor(test, apart(), 200, func(stage *stage) {
		stage.spread(everyone...)
		figures := stage.during(30, func() {
			gone := stage.place(0)
			if err := stage.drain(stageRegions[halls[gone]], false); err != nil {
				stage.Fatal(err)
			}
			time.Sleep(regionIn + time.Second)
			inside := []string{fmt.Sprint("core-", gone), fmt.Sprint("router-", gone), fmt.Sprint("engine-", gone), fmt.Sprint("engine-", gone+3)}
			for _, each := range inside {
				var others []string
				for _, other := range stage.names() {
					if !slices.Contains(inside, other) {
						others = append(others, other)
					}
				}
				stage.Isolate(each, others)
			}
			begun := time.Now()
			for time.Since(begun) < 10*time.Second && (stage.elsewhere(0, gone) < 0 || stage.elsewhere(1, gone) < 0) {
				time.Sleep(200 * time.Millisecond)
			}
			test.Logf("led elsewhere %v after the cut", time.Since(begun))
			if time.Since(begun) > 2*time.Second {
				test.Error("leadership had not left before the cut")
			}
			time.Sleep(8 * time.Second)
			stage.Heal()
		})
		most(test, figures, 0.97)
	})
}

// elsewhere is a core that owns a part and is not the given one, -1 if none does.
func (t *stage) elsewhere(part, gone int) int {
	for number, address := range t.corePub {
		if overview := t.overview(address); number != gone && len(overview.Parts) > part && overview.Parts[part].Owner {
			return number
		}
	}
	return -1
}

func TestALeaderIsKilledInsideTheWindow(test *testing.T) { drained(test, true) }

// The seats of a drained region go to reserves elsewhere, one at a time, and no further
// than the bound for one hall allows.
func TestSeatsLeaveADrainedRegion(test *testing.T) {
	reserves(test, func(stage *stage) {
		stage.awaitHeld(5, 14*time.Second)
		seats := func(place int) int {
			held := 0
			for _, number := range []int{place, place + 3} {
				if stage.seated(stage.corePub[number]) {
					held++
				}
			}
			return held
		}
		gone := 0
		for place := range 3 {
			if seats(place) == 2 {
				gone = place
			}
		}
		if err := stage.drain(stageRegions[halls[gone]], false); err != nil {
			stage.Fatal(err)
		}
		time.Sleep(regionIn + regionOver)
		stage.awaitHeld(5, 14*time.Second)
		if left := seats(gone); left != 1 {
			test.Errorf("%d cores of the region have seats; one reserve stands elsewhere", left)
		}
		for part := range 2 {
			if at := stage.place(part); at < 0 || at%3 == gone {
				test.Errorf("part %d is led by core-%d", part, at)
			}
		}
	})
}
