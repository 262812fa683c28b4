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

func (r *Router) serveKeys() {
	circuit.Answer(r.inner, keyPath, func(_ context.Context, question *KeyQuestion) (*KeyAnswer, error) {
		found, _ := r.keys.Told(question.Key)
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
func (r *Router) claim(now schedule.Microseconds, passing *passage) error {
	number, earlier, taken, full := r.keys.Claim(now, passing.claim())
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
		r.keys.Keep(passing.claim(), number)
		passing.pledge = r.promise(now, passing)
	}
	return nil
}

func (r *Router) promise(now schedule.Microseconds, passing *passage) *pledge {
	part := core.ServicePart(passing.template.Service, r.Parts)
	made := &pledge{
		Claim: claim.Claim{Key: passing.claim(), By: claim.Name{Life: r.claimant, Number: passing.number}, Address: r.Machine.Inner},
		clock: r.clock,
		heard: make(chan struct{}, 8),
	}
	addresses, epoch := r.Seeds, uint64(0)
	if seats := r.seats[part].Load(); seats != nil {
		addresses, epoch = nil, seats.Epoch
		for _, seat := range seats.Seats {
			addresses = append(addresses, seat.Address)
		}
	}
	made.tally = claim.NewTally(now, r.Group(), epoch, made.By)
	for slot, address := range addresses {
		if address == "" {
			made.tally.Miss(slot)
			continue
		}
		made.spare = append(made.spare, r.clerk(desk{part, address}))
	}
	slices.SortStableFunc(made.spare, func(left, right *clerk) int { return cmp.Compare(left.cost(now), right.cost(now)) })
	made.ask(r.Group()/2 + 1)
	return made
}

// ask puts the claim to so many of the seats that were spared.
func (k *pledge) ask(count int) {
	k.lock.Lock()
	defer k.lock.Unlock()
	k.askSpare(count)
}

// askSpare is ask under the lock.
func (k *pledge) askSpare(count int) {
	if k.tally.Outcome(k.clock.Now()) != claim.Open {
		return
	}
	count = min(count, len(k.spare))
	chosen := k.spare[:count]
	k.spare = k.spare[count:]
	k.asked = append(k.asked, chosen...)
	for _, seat := range chosen {
		k.take(seat)
	}
}

// take queues the claim for a seat. It is queued under the lock, so that no release can
// overtake it.
func (k *pledge) take(seat *clerk) {
	queued := seat.put(core.ClaimStep{Claim: k.Claim}, func(answer claim.Answer, heard bool) { k.hear(seat, answer, heard) })
	if !queued {
		go k.hear(seat, claim.Answer{}, false)
	}
}

// hear counts a seat's answer. While the claim is open, all other seats are asked after
// one that did not grant, and one that was taken is asked again after a pause.
func (k *pledge) hear(seat *clerk, answer claim.Answer, heard bool) {
	k.lock.Lock()
	defer k.lock.Unlock()
	if heard {
		k.tally.Hear(k.clock.Now(), answer)
	}
	if !heard || answer.Verdict != claim.Granted {
		k.askSpare(len(k.spare))
	}
	if heard && k.tally.Contested(k.clock.Now(), answer.Slot) {
		time.AfterFunc(retryPause.Duration(), func() { k.retry(seat, answer.Slot) })
	}
	k.conclude()
	select {
	case k.heard <- struct{}{}:
	default:
	}
}

// retry asks a seat again that another claimant had, if that may still help.
func (k *pledge) retry(seat *clerk, slot int) {
	k.lock.Lock()
	defer k.lock.Unlock()
	if k.tally.Contested(k.clock.Now(), slot) {
		k.take(seat)
	}
}

// conclude tells the outcome so far, and releases the grants of a claim that is not won
// at once: another claimant may be waiting for them.
func (k *pledge) conclude() claim.Outcome {
	outcome := k.tally.Outcome(k.clock.Now())
	if outcome == claim.Lost || outcome == claim.Unheard {
		k.release()
	}
	return outcome
}

// release gives back what the seats have granted, and asks for no more.
func (k *pledge) release() {
	if k.released {
		return
	}
	k.released = true
	k.tally.Withdraw()
	for _, seat := range k.asked {
		seat.put(core.ClaimStep{Claim: k.Claim, Release: true}, func(claim.Answer, bool) {})
	}
}

func (k *pledge) outcome() (claim.Outcome, claim.Claim) {
	k.lock.Lock()
	defer k.lock.Unlock()
	outcome := k.conclude()
	holder, _ := k.tally.Holder()
	return outcome, holder
}

// awaitPledge has a one-shot request go on only once a majority of cores keeps its key
// to it. Nothing has left for an engine before.
func (r *Router) awaitPledge(bounded context.Context, passing *passage) error {
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
			passing.earlier = r.became(bounded, holder)
			return mishap.New(mishap.KeyReused, "%s", passing.Key)
		case claim.Unheard:
			r.ClaimsUnheard.Add(1)
			return mishap.New(mishap.ClaimUnheard, "%s", passing.Key)
		}
		select {
		case <-bounded.Done():
			return mishap.New(mishap.Cancelled, "the caller left")
		case <-made.heard:
		case <-hedged:
			hedged = nil
			made.ask(r.Group())
		case <-late:
		}
	}
}

// became asks the router that has a key what became of its request; what it can't tell
// is unknown. An ending of not run is not passed on: another may be running by now.
func (r *Router) became(bounded context.Context, holder claim.Claim) relay.Ending {
	if circuit.CheckAddress(holder.Address) == nil {
		answer, err := circuit.Call[KeyQuestion, KeyAnswer](bounded, r.inner, holder.Address, keyPath, keyBudget, &KeyQuestion{Key: holder.Key})
		if err == nil && answer.Ending == relay.Run {
			return relay.Run
		}
	}
	return relay.Unclear
}

// settle notes how a request ended, and gives its key back where it is proved not to
// have run. A release that is lost leaves the key declined, which is safe.
func (r *Router) settle(passing *passage, ending relay.Ending) {
	if !passing.claimed {
		return
	}
	r.keys.End(passing.claim(), passing.number, ending)
	if made := passing.pledge; made != nil && ending == relay.NotRun {
		made.lock.Lock()
		defer made.lock.Unlock()
		made.release()
	}
}

// recall tells a seat that has forgotten which keys are kept to this router, once for
// each of its lives.
func (r *Router) recall(parent context.Context, address string, answer *core.HeadsAnswer) {
	for _, head := range answer.Parts {
		at := desk{head.Part, address}
		r.clerks.lock.Lock()
		told := r.clerks.told[at] == head.Claims
		r.clerks.lock.Unlock()
		if head.Part == 0 || !head.Forgetful || told {
			continue
		}
		now := r.clock.Now()
		question := &core.ClaimsQuestion{Part: head.Part}
		for _, key := range r.keys.Claimed() {
			question.Holding = append(question.Holding, claim.Claim{
				Key: key.Name, By: claim.Name{Life: r.claimant, Number: key.Number}, Address: r.Machine.Inner, Age: now - key.At,
			})
		}
		if _, err := circuit.Call[core.ClaimsQuestion, core.ClaimsAnswer](parent, r.inner, address, core.ClaimsPath, schedule.Second, question); err == nil {
			r.clerks.lock.Lock()
			r.clerks.told[at] = head.Claims
			r.clerks.lock.Unlock()
		}
	}
}
