package router

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/errcode"
	"coursepass/internal/state/idempotency"
	"coursepass/internal/transport"
)

const (
	keyPath   = "/router/key"
	keyBudget = 150 * schedule.Millisecond
	// After this the seats that were spared at first are asked as well.
	hedge = 40 * schedule.Millisecond
	// After this a seat that another claimant has is asked again.
	retryPause = 15 * schedule.Millisecond
)

// KeyQuestion asks a router what became of a key that it has claimed.
type KeyQuestion struct{ Key string }

// KeyAnswer tells it, as far as it is known.
type KeyAnswer struct{ Ending relay.Ending }

func (router *Router) serveKeys() {
	circuit.Answer(router.inner, keyPath, func(_ context.Context, question *KeyQuestion) (*KeyAnswer, error) {
		found, _ := router.keys.Told(question.Key)
		return &KeyAnswer{Ending: found.Ending}, nil
	})
}

// pledge is one request's claim of its key at the seats of its service's part.
type pledge struct {
	claim.Claim
	clock    *schedule.Clock
	lock     sync.Mutex
	tally    *claim.Tally
	asked    []*clerk
	spare    []*clerk
	released bool
	heard    chan struct{}
}

// claim takes the key here and, for a one-shot request, begins to claim it at the
// cores, while engines are still being matched.
func (router *Router) claim(now schedule.Microseconds, passing *passage) error {
	number, earlier, taken, full := router.keys.Claim(now, passing.claim())
	switch {
	case taken:
		if passing.earlier = earlier.Ending; earlier.Ending == "" {
			passing.earlier = relay.Unclear
		}
		return mishap.New(mishap.KeyReused, "%s", passing.Key)
	case full:
		return mishap.New(mishap.KeysFull, "%s", passing.Key)
	}
	passing.claimed, passing.number = true, number
	if passing.template.OneShot() {
		router.keys.Keep(passing.claim(), number)
		passing.pledge = router.promise(now, passing)
	}
	return nil
}

func (router *Router) promise(now schedule.Microseconds, passing *passage) *pledge {
	part := core.ServicePart(passing.template.Service, router.Parts)
	made := &pledge{
		Claim: claim.Claim{Key: passing.claim(), By: claim.Name{Life: router.claimant, Number: passing.number}, Address: router.Machine.Inner},
		clock: router.clock,
		heard: make(chan struct{}, 8),
	}
	addresses, epoch := router.Seeds, uint64(0)
	if seats := router.seats[part].Load(); seats != nil {
		addresses, epoch = nil, seats.Epoch
		for _, seat := range seats.Seats {
			addresses = append(addresses, seat.Address)
		}
	}
	made.tally = claim.NewTally(now, router.Group(), epoch, made.By)
	for slot, address := range addresses {
		if address == "" {
			made.tally.Miss(slot)
			continue
		}
		made.spare = append(made.spare, router.clerk(desk{part, address}))
	}
	slices.SortStableFunc(made.spare, func(left, right *clerk) int { return cmp.Compare(left.cost(now), right.cost(now)) })
	made.ask(router.Group()/2 + 1)
	return made
}

// ask puts the claim to so many of the seats that were spared.
func (pledge *pledge) ask(count int) {
	pledge.lock.Lock()
	defer pledge.lock.Unlock()
	pledge.askSpare(count)
}

// askSpare is ask under the lock.
func (pledge *pledge) askSpare(count int) {
	if pledge.tally.Outcome(pledge.clock.Now()) != claim.Open {
		return
	}
	count = min(count, len(pledge.spare))
	chosen := pledge.spare[:count]
	pledge.spare = pledge.spare[count:]
	pledge.asked = append(pledge.asked, chosen...)
	for _, seat := range chosen {
		pledge.take(seat)
	}
}

// take queues the claim for a seat. It is queued under the lock, so that no release can
// overtake it.
func (pledge *pledge) take(seat *clerk) {
	queued := seat.put(core.ClaimStep{Claim: pledge.Claim}, func(answer claim.Answer, heard bool) { pledge.hear(seat, answer, heard) })
	if !queued {
		go pledge.hear(seat, claim.Answer{}, false)
	}
}

// hear counts a seat's answer. While the claim is open, all other seats are asked after
// one that did not grant, and one that was taken is asked again after a pause.
func (pledge *pledge) hear(seat *clerk, answer claim.Answer, heard bool) {
	pledge.lock.Lock()
	defer pledge.lock.Unlock()
	if heard {
		pledge.tally.Hear(pledge.clock.Now(), answer)
	}
	if !heard || answer.Verdict != claim.Granted {
		pledge.askSpare(len(pledge.spare))
	}
	if heard && pledge.tally.Contested(pledge.clock.Now(), answer.Slot) {
		time.AfterFunc(retryPause.Duration(), func() { pledge.retry(seat, answer.Slot) })
	}
	pledge.conclude()
	select {
	case pledge.heard <- struct{}{}:
	default:
	}
}

// retry asks a seat again that another claimant had, if that may still help.
func (pledge *pledge) retry(seat *clerk, slot int) {
	pledge.lock.Lock()
	defer pledge.lock.Unlock()
	if pledge.tally.Contested(pledge.clock.Now(), slot) {
		pledge.take(seat)
	}
}

// conclude tells the outcome so far, and releases the grants of a claim that is not won
// at once: another claimant may be waiting for them.
func (pledge *pledge) conclude() claim.Outcome {
	outcome := pledge.tally.Outcome(pledge.clock.Now())
	if outcome == claim.Lost || outcome == claim.Unheard {
		pledge.release()
	}
	return outcome
}

// release gives back what the seats have granted, and asks for no more.
func (pledge *pledge) release() {
	if pledge.released {
		return
	}
	pledge.released = true
	pledge.tally.Withdraw()
	for _, seat := range pledge.asked {
		seat.put(core.ClaimStep{Claim: pledge.Claim, Release: true}, func(claim.Answer, bool) {})
	}
}

func (pledge *pledge) outcome() (claim.Outcome, claim.Claim) {
	pledge.lock.Lock()
	defer pledge.lock.Unlock()
	outcome := pledge.conclude()
	holder, _ := pledge.tally.Holder()
	return outcome, holder
}

// awaitPledge has a one-shot request go on only once a majority of cores keeps its key
// to it. Nothing has left for an engine before.
func (router *Router) awaitPledge(bounded context.Context, passing *passage) error {
	made := passing.pledge
	if made == nil {
		return nil
	}
	hedged, late := time.After(hedge.Duration()), time.After(claim.Budget.Duration())
	for {
		outcome, holder := made.outcome()
		switch outcome {
		case claim.Won:
			return nil
		case claim.Lost:
			passing.earlier = router.became(bounded, holder)
			return mishap.New(mishap.KeyReused, "%s", passing.Key)
		case claim.Unheard:
			router.ClaimsUnheard.Add(1)
			return mishap.New(mishap.ClaimUnheard, "%s", passing.Key)
		}
		select {
		case <-bounded.Done():
			return mishap.New(mishap.Cancelled, "the caller left")
		case <-made.heard:
		case <-hedged:
			hedged = nil
			made.ask(router.Group())
		case <-late:
		}
	}
}

// became asks the router that has a key what became of its request; what it can't tell
// is unknown. An ending of not run is not passed on: another may be running by now.
func (router *Router) became(bounded context.Context, holder claim.Claim) relay.Ending {
	if circuit.CheckAddress(holder.Address) == nil {
		answer, err := circuit.Call[KeyQuestion, KeyAnswer](bounded, router.inner, holder.Address, keyPath, keyBudget, &KeyQuestion{Key: holder.Key})
		if err == nil && answer.Ending == relay.Run {
			return relay.Run
		}
	}
	return relay.Unclear
}

// settle notes how a request ended, and gives its key back where it is proved not to
// have run. A release that is lost leaves the key declined, which is safe.
func (router *Router) settle(passing *passage, ending relay.Ending) {
	if !passing.claimed {
		return
	}
	router.keys.End(passing.claim(), passing.number, ending)
	if made := passing.pledge; made != nil && ending == relay.NotRun {
		made.lock.Lock()
		defer made.lock.Unlock()
		made.release()
	}
}

// recall tells a seat that has forgotten which keys are kept to this router, once for
// each of its lives.
func (router *Router) recall(parent context.Context, address string, answer *core.HeadsAnswer) {
	for _, head := range answer.Parts {
		at := desk{head.Part, address}
		router.clerks.lock.Lock()
		told := router.clerks.told[at] == head.Claims
		router.clerks.lock.Unlock()
		if head.Part == 0 || !head.Forgetful || told {
			continue
		}
		now := router.clock.Now()
		question := &core.ClaimsQuestion{Part: head.Part}
		for _, key := range router.keys.Claimed() {
			question.Holding = append(question.Holding, claim.Claim{
				Key: key.Name, By: claim.Name{Life: router.claimant, Number: key.Number}, Address: router.Machine.Inner, Age: now - key.At,
			})
		}
		if _, err := circuit.Call[core.ClaimsQuestion, core.ClaimsAnswer](parent, router.inner, address, core.ClaimsPath, schedule.Second, question); err == nil {
			router.clerks.lock.Lock()
			router.clerks.told[at] = head.Claims
			router.clerks.lock.Unlock()
		}
	}
}
