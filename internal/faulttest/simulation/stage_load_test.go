package simulation_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"coursepass/internal/adminclient"
	"coursepass/internal/faulttest/loadgen"
)

// Engines are replaced one by one by a release with another model version, each
// politely: listed as leaving, then stopped, then started anew.
func TestRollingRelease(test *testing.T) {
	play(test, func(stage *stage) {
		figures := stage.during(50, func() {
			for number := range 6 {
				name := fmt.Sprint("engine-", number)
				leave := &operator.Leave{Target: stage.change().Target}
				leave.Arguments.Service, leave.Arguments.Engine = "reservas", name
				if err := leave.Run(); err != nil {
					test.Error(err)
				}
				time.Sleep(3 * time.Second)
				stage.polite(name)
				stage.engine(number, "r2")
				stage.wake(name)
				time.Sleep(4 * time.Second)
			}
		})
		most(test, figures, 0.99)
	})
}

// All held prompt memory lapses at once, again and again, before it can be handed
// over: nothing runs twice, nobody gets another's memory, and repeats stay bounded.
func TestPromptMemoryLapses(test *testing.T) {
	playOver(test, 500, func(stage *stage) {
		stage.keep, stage.handOver = 1, 20_000
		for number := range 6 {
			name := fmt.Sprint("engine-", number)
			stage.kill(name)
			stage.engine(number, "r1")
			stage.wake(name)
		}
		time.Sleep(6 * time.Second)
		figures := stage.during(4, func() {})
		if figures.Endings["whole"] == figures.Sent {
			test.Error("no prompt memory lapsed")
		}
		if most := figures.Sent + figures.Sent/5 + 5; figures.Runs > most {
			test.Errorf("%d prefills for %d requests", figures.Runs, figures.Sent)
		}
	})
}

// A crowd comes at once, five times what the engines can do: what can't start in time
// is declined early with a time to come back, what is taken starts in time, and the
// fleet serves all again right after.
func TestCrowd(test *testing.T) {
	play(test, func(stage *stage) {
		var crowd *load.Figures
		stage.during(12, func() { crowd = stage.crowd(4, 200, 300) })
		crowd.Print(test.Output(), false)
		for _, violation := range crowd.Violations {
			test.Error(violation)
		}
		declined := 0
		for name, count := range crowd.Endings {
			if strings.HasSuffix(name, "(not run)") {
				declined += count
			}
		}
		if declined == 0 || crowd.Endings["whole"] == 0 {
			test.Errorf("declined %d, whole %d", declined, crowd.Endings["whole"])
		}
		if share := float64(crowd.Late) / float64(crowd.Sent); share > 0.05 {
			test.Errorf("%.3f of the requests started late", share)
		}
		most(test, stage.load(3), 1)
	})
}

// All engines return together while callers go on: none is flooded while it is cold.
func TestColdEnginesReturnTogether(test *testing.T) {
	deployment := small()
	deployment.routers = 7
	playFor(test, deployment, 200, func(stage *stage) {
		figures := stage.during(16, func() {
			for number := range 6 {
				stage.kill(fmt.Sprint("engine-", number))
			}
			time.Sleep(time.Second)
			for number := range 6 {
				stage.wake(fmt.Sprint("engine-", number))
			}
		})
		most(test, figures, 0.8)
		for name, observer := range stage.observers {
			if count := observer.Chilled(); count > 2 {
				test.Errorf("%s turned away %d while it was cold", name, count)
			}
		}
	})
}
