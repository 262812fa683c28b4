package lifecycle_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/lifecycle"
)

// Every way through the table of moves, up to a length, with bytes leaving at each
// Prefilling and with or without the engine's proof.
func TestStateMachine_OutcomeMatchesEveryPath(t *testing.T) {
	paths, notRun := 0, 0
	var walk func(machine lifecycle.StateMachine, ran bool, depth int)
	walk = func(machine lifecycle.StateMachine, ran bool, depth int) {
		paths++
		switch outcome := machine.Outcome(); {
		case outcome == lifecycle.OutcomeNotRun && ran:
			t.Fatalf("told not run, but it may have run: %+v", machine)
		case outcome == lifecycle.OutcomeNotRun:
			notRun++
		case outcome == lifecycle.OutcomeRun && machine.Attempted == 0:
			t.Fatalf("told run, but nothing left: %+v", machine)
		}
		if depth == 0 {
			return
		}
		for _, next := range lifecycle.Transitions[machine.State] {
			advanced := machine
			if err := advanced.Transition(next); err != nil {
				t.Fatal(err)
			}
			switch {
			case next == lifecycle.StatePrefilling:
				advanced.RecordSend()
				walk(advanced, ran, depth-1)
			case machine.State == lifecycle.StatePrefilling && next == lifecycle.StateMatched:
				advanced.RecordNotStarted()
				walk(advanced, ran, depth-1)
			case machine.State == lifecycle.StatePrefilling:
				walk(advanced, true, depth-1)
			default:
				walk(advanced, ran, depth-1)
			}
		}
	}
	walk(*lifecycle.NewStateMachine(), false, 14)
	Convey("ways were walked", t, func() {
		So(paths, ShouldBeGreaterThan, 1000)
		So(notRun, ShouldBeGreaterThan, 10)
	})
}

func TestTransitions_StreamingIsNotRetried(t *testing.T) {
	Convey("streaming only finishes or is cut", t, func() {
		So(lifecycle.Transitions[lifecycle.StateStreaming], ShouldResemble, []lifecycle.State{lifecycle.StateFinished, lifecycle.StateTruncated})
		So(lifecycle.Transitions[lifecycle.StateFinished], ShouldBeEmpty)
		So(lifecycle.Transitions[lifecycle.StateTruncated], ShouldBeEmpty)
	})
}

func TestRetryBudget_StaysBelowRatio(t *testing.T) {
	Convey("however often a repeat is wanted", t, func() {
		retryBudget := &lifecycle.RetryBudget{}
		withdrawn := 0
		for range 1000 {
			retryBudget.Deposit(20, 5)
			for range 3 {
				if retryBudget.Withdraw() {
					withdrawn++
				}
			}
		}
		So(withdrawn, ShouldBeLessThanOrEqualTo, 205)
		So(withdrawn, ShouldBeGreaterThan, 150)
	})
}

// Four routers are killed again and again while every request wants all the repeats it
// can get; all of them alone in the world, as after a start or when isolated.
func TestRetryBudget_RestartingRouters(t *testing.T) {
	Convey("the sum stays under one in five, however often they start anew", t, func() {
		for _, requestsPerIncarnation := range []int{1, 3, 7, 40, 1000} {
			routers, withdrawn, requests := [4]*lifecycle.RetryBudget{}, 0, 4000
			for number := range requests {
				if index := number % 4; number/4%requestsPerIncarnation == 0 {
					routers[index] = &lifecycle.RetryBudget{}
				}
				retryBudget := routers[number%4]
				retryBudget.Deposit(20, 5)
				for retryBudget.Withdraw() {
					withdrawn++
				}
			}
			So(withdrawn, ShouldBeLessThanOrEqualTo, requests/5+5)
			if requestsPerIncarnation >= 7 {
				So(withdrawn, ShouldBeGreaterThan, requests/10)
			}
		}
	})
}

func TestKeyTable_ReservesOnce(t *testing.T) {
	Convey("a key is claimed once until it is given back or has lapsed", t, func() {
		keys := lifecycle.NewKeyTable()
		conflict := func(now clock.Microseconds) bool {
			_, _, conflict, _ := keys.Reserve(now, "a")
			return conflict
		}
		number, _, _, _ := keys.Reserve(0, "a")
		So(conflict(1), ShouldBeTrue)
		keys.Complete("a", number+lifecycle.ShardCount, lifecycle.OutcomeNotRun)
		So(conflict(1), ShouldBeTrue)
		keys.Complete("a", number, lifecycle.OutcomeNotRun)
		So(conflict(2), ShouldBeFalse)
		So(conflict(500*clock.Second), ShouldBeTrue)
		So(conflict(700*clock.Second), ShouldBeFalse)
		So(conflict(701*clock.Second), ShouldBeTrue)
	})
}
