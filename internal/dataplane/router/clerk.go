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

func (s *clerks) begin(serving context.Context) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.serving = serving
}

func (r *Router) clerk(at desk) *clerk {
	clerks := &r.clerks
	clerks.lock.Lock()
	defer clerks.lock.Unlock()
	found, known := clerks.desks[at]
	if !known {
		found = &clerk{desk: at, router: r, queue: make(chan errand, 4*mostSteps)}
		clerks.desks[at] = found
		go found.run(clerks.serving)
	}
	return found
}

// put queues an errand, and tells whether there was room.
func (r *clerk) put(step core.ClaimStep, answer func(claim.Answer, bool)) bool {
	select {
	case r.queue <- errand{step, answer}:
		return true
	default:
		return false
	}
}

func (r *clerk) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-r.queue:
			errands := []errand{first}
			for more := min(len(r.queue), mostSteps-1); more > 0; more-- {
				errands = append(errands, <-r.queue)
			}
			r.carry(ctx, errands)
		}
	}
}

func (r *clerk) carry(ctx context.Context, errands []errand) {
	question := &core.ClaimsQuestion{Part: r.part}
	for _, each := range errands {
		question.Steps = append(question.Steps, each.ClaimStep)
	}
	answer, err := circuit.Call[core.ClaimsQuestion, core.ClaimsAnswer](ctx, r.router.inner, r.address, core.ClaimsPath, claim.Budget, question)
	heard := err == nil && answer.Slot >= 0 && len(answer.Verdicts) == len(errands) && len(answer.Holders) == len(errands)
	r.lock.Lock()
	r.failed = 0
	if !heard {
		r.failed = r.router.clock.Now()
	}
	r.lock.Unlock()
	for place, each := range errands {
		if !heard {
			each.answer(claim.Answer{}, false)
			continue
		}
		each.answer(claim.Answer{Slot: answer.Slot, Epoch: answer.Epoch, Verdict: answer.Verdicts[place], Holder: answer.Holders[place]}, true)
	}
}

// cost orders desks: those that fail last, then those of another hall.
func (r *clerk) cost(now schedule.Microseconds) int {
	r.lock.Lock()
	defer r.lock.Unlock()
	cost := 0
	if r.failed > 0 && now-r.failed < shunSeat {
		cost += 2
	}
	if r.router.meter.Of(r.address) != r.router.Machine.Hall {
		cost++
	}
	return cost
}
