package router

import (
	"context"
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane"
	"coursepass/internal/state/idempotency"
	"coursepass/internal/transport"
)

const (
	mostSteps = 512
	// A seat that did not answer is asked after the others for a while.
	shunSeat = 2 * schedule.Second
)

// desk is one core's seat in one part.
type desk struct {
	part    int
	address string
}

type errand struct {
	core.ClaimStep
	answer func(claim.Answer, bool)
}

// clerk carries claims and releases to one desk, in their order, one batch at a time.
type clerk struct {
	desk
	router *Router
	queue  chan errand
	lock   sync.Mutex
	failed schedule.Microseconds
}

// clerks are all that a router has.
type clerks struct {
	lock    sync.Mutex
	serving context.Context
	desks   map[desk]*clerk
	told    map[desk]uint64
}

func (clerks *clerks) begin(serving context.Context) {
	clerks.lock.Lock()
	defer clerks.lock.Unlock()
	clerks.serving = serving
}

func (router *Router) clerk(at desk) *clerk {
	clerks := &router.clerks
	clerks.lock.Lock()
	defer clerks.lock.Unlock()
	found, known := clerks.desks[at]
	if !known {
		found = &clerk{desk: at, router: router, queue: make(chan errand, 4*mostSteps)}
		clerks.desks[at] = found
		go found.run(clerks.serving)
	}
	return found
}

// put queues an errand, and tells whether there was room.
func (clerk *clerk) put(step core.ClaimStep, answer func(claim.Answer, bool)) bool {
	select {
	case clerk.queue <- errand{step, answer}:
		return true
	default:
		return false
	}
}

func (clerk *clerk) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-clerk.queue:
			errands := []errand{first}
			for more := min(len(clerk.queue), mostSteps-1); more > 0; more-- {
				errands = append(errands, <-clerk.queue)
			}
			clerk.carry(ctx, errands)
		}
	}
}

func (clerk *clerk) carry(ctx context.Context, errands []errand) {
	question := &core.ClaimsQuestion{Part: clerk.part}
	for _, each := range errands {
		question.Steps = append(question.Steps, each.ClaimStep)
	}
	answer, err := circuit.Call[core.ClaimsQuestion, core.ClaimsAnswer](ctx, clerk.router.inner, clerk.address, core.ClaimsPath, claim.Budget, question)
	heard := err == nil && answer.Slot >= 0 && len(answer.Verdicts) == len(errands) && len(answer.Holders) == len(errands)
	clerk.lock.Lock()
	clerk.failed = 0
	if !heard {
		clerk.failed = clerk.router.clock.Now()
	}
	clerk.lock.Unlock()
	for place, each := range errands {
		if !heard {
			each.answer(claim.Answer{}, false)
			continue
		}
		each.answer(claim.Answer{Slot: answer.Slot, Epoch: answer.Epoch, Verdict: answer.Verdicts[place], Holder: answer.Holders[place]}, true)
	}
}

// cost orders desks: those that fail last, then those of another hall.
func (clerk *clerk) cost(now schedule.Microseconds) int {
	clerk.lock.Lock()
	defer clerk.lock.Unlock()
	cost := 0
	if clerk.failed > 0 && now-clerk.failed < shunSeat {
		cost += 2
	}
	if clerk.router.meter.Of(clerk.address) != clerk.router.Machine.Hall {
		cost++
	}
	return cost
}
