package core

import (
	"context"
	"sync"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/state/idempotency"
	"coursepass/internal/transport"
)

// Paths of the procedures on claims.
const (
	ClaimsPath = "/core/claims"
	sharePath  = "/core/claims/share"
)

const (
	// ClaimsKept is how long a claim stands: longer than any key may be sent again.
	ClaimsKept  = 10 * 60 * schedule.Second
	mostClaims  = 1 << 14
	rebuildSpan = 200 * schedule.Millisecond
	shareBudget = 500 * schedule.Millisecond
)

// ClaimsQuestion is a batch of claims and releases of one router, in their order, and
// of claims that it holds, for a seat that has forgotten.
type ClaimsQuestion struct {
	Part    int
	Steps   []ClaimStep
	Holding []claim.Claim
}

// ClaimStep takes a key or gives it back.
type ClaimStep struct {
	claim.Claim
	Release bool
}

// ClaimsAnswer has a verdict for each step.
type ClaimsAnswer struct {
	Slot     int
	Epoch    uint64
	Verdicts []claim.Verdict
	Holders  []claim.Claim
}

type shareQuestion struct {
	Part, Index int
	Epoch       uint64
}

type shareAnswer struct {
	Slot   int
	Epoch  uint64
	Life   uint64
	Whole  bool
	Claims []claim.Claim
}

// claims are what one seat of a service's part keeps of one-shot keys, in memory.
type claims struct {
	*claim.Registry
	life uint64
	lock sync.Mutex
	seat *claim.Seat
}

func newClaims(life uint64, now schedule.Microseconds, slots, slot int) *claims {
	return &claims{Registry: claim.NewRegistry(ClaimsKept, mostClaims), life: life, seat: claim.NewSeat(now, slots, slot)}
}

func (r *claims) whole(now schedule.Microseconds) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.seat.Whole(now)
}

func (r *claims) merge(now schedule.Microseconds, found []claim.Claim) {
	for _, each := range found {
		r.Keep(now, each)
	}
}

func (s *Core) serveClaims() {
	circuit.Answer(s.inner, ClaimsPath, func(_ context.Context, question *ClaimsQuestion) (*ClaimsAnswer, error) {
		answer := &ClaimsAnswer{Slot: -1, Verdicts: make([]claim.Verdict, len(question.Steps)), Holders: make([]claim.Claim, len(question.Steps))}
		if question.Part < 1 || question.Part >= len(s.shards) {
			s.inner.Garbage.Add(1)
			return answer, nil
		}
		shard := s.shards[question.Part]
		claims, status, now := shard.claims.Load(), shard.status.Load(), s.clock.Now()
		if claims == nil || status == nil || status.Slot < 0 {
			return answer, nil
		}
		answer.Slot, answer.Epoch = status.Slot, status.Epoch
		claims.merge(now, question.Holding)
		var granted, freed []claim.Claim
		whole := claims.whole(now)
		for place, step := range question.Steps {
			switch {
			case step.Key == "" || len(step.Key) > 512:
				s.inner.Garbage.Add(1)
			case step.Release:
				claims.Release(step.Key, step.By)
				freed = append(freed, step.Claim)
			case whole:
				answer.Verdicts[place], answer.Holders[place] = claims.Take(now, step.Claim)
				if answer.Verdicts[place] == claim.Granted {
					granted = append(granted, step.Claim)
				}
			}
		}
		if s.diary.Note(question.Part, append(granted, question.Holding...), freed) != nil {
			s.DiaryMishaps.Add(1)
		}
		return answer, nil
	})
	circuit.Answer(s.inner, sharePath, func(_ context.Context, question *shareQuestion) (*shareAnswer, error) {
		answer := &shareAnswer{Slot: -1}
		if question.Part < 1 || question.Part >= len(s.shards) || question.Index < 0 {
			s.inner.Garbage.Add(1)
			return answer, nil
		}
		shard := s.shards[question.Part]
		claims, status, now := shard.claims.Load(), shard.status.Load(), s.clock.Now()
		if claims == nil || status == nil {
			return answer, nil
		}
		answer.Slot, answer.Epoch, answer.Life = status.Slot, status.Epoch, claims.life
		if answer.Whole = claims.whole(now) && status.Epoch >= question.Epoch; answer.Whole {
			answer.Claims = claims.Copy(now, question.Index)
		}
		return answer, nil
	})
}

// rebuild has seats that have forgotten their claims copy them from the other seats.
func (s *Core) rebuild(ctx context.Context) {
	schedule.Every(ctx, rebuildSpan, func() {
		if s.diary.Due() {
			s.rewriteDiary()
		}
		for _, shard := range s.shards[1:] {
			claims, status, now := shard.claims.Load(), shard.status.Load(), s.clock.Now()
			if claims == nil || status == nil || status.Slot < 0 || claims.whole(now) {
				continue
			}
			s.noteLongest(ctx, claims)
			var group sync.WaitGroup
			for slot, seat := range shard.seats.Load().Seats {
				if slot != status.Slot && !seat.Vacant() {
					group.Go(func() { s.copyFrom(ctx, shard, claims, seat.Address, slot) })
				}
			}
			group.Wait()
			if claims.whole(s.clock.Now()) {
				log.Info().Str("core", s.Machine.Name).Int("part", shard.index).Int("claims", claims.Count()).Msg("claims known again")
			}
		}
	})
}

func (s *Core) rewriteDiary() {
	registries := map[int]*claim.Registry{}
	for _, shard := range s.shards[1:] {
		if claims := shard.claims.Load(); claims != nil {
			registries[shard.index] = claims.Registry
		}
	}
	if s.diary.Rewrite(s.clock.Now(), registries) != nil {
		s.DiaryMishaps.Add(1)
	}
}

// noteLongest reads from the configuration in force how long a one-shot request may be
// under way.
func (s *Core) noteLongest(ctx context.Context, claims *claims) {
	s.shards[0].ask(ctx, func() {
		longest := schedule.Microseconds(0)
		for _, tenant := range s.configs.View().Plan.Tenants {
			for _, template := range tenant.Kinds {
				if template.OneShot() {
					longest = max(longest, template.Abandon())
				}
			}
		}
		claims.lock.Lock()
		defer claims.lock.Unlock()
		claims.seat.Longest(longest)
	})
}

func (s *Core) copyFrom(ctx context.Context, shard *shard, claims *claims, address string, slot int) {
	begun, life := s.clock.Now(), uint64(0)
	claims.lock.Lock()
	settled := claims.seat.Settled(begun)
	claims.lock.Unlock()
	if !settled {
		return
	}
	for index := range claim.Shards {
		question := &shareQuestion{Part: shard.index, Index: index, Epoch: shard.seats.Load().Epoch}
		answer, err := circuit.Call[shareQuestion, shareAnswer](ctx, s.inner, address, sharePath, shareBudget, question)
		if err != nil || !answer.Whole || answer.Slot != slot || index > 0 && answer.Life != life {
			return
		}
		life = answer.Life
		claims.merge(s.clock.Now(), answer.Claims)
	}
	claims.lock.Lock()
	defer claims.lock.Unlock()
	claims.seat.Copied(begun, slot, life)
}
