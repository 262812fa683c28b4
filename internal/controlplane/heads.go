package core

import (
	"context"
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/gossip"
	"coursepass/internal/node"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

// Paths of the procedures that routers call.
const (
	HeadsPath  = "/core/heads"
	MishapPath = "/core/mishap"
	CopyPath   = "/core/copy"
)

// HeadsQuestion asks for the heads of all parts.
type HeadsQuestion struct {
	From machine.Machine
	// Soft asks a leader for what its engines told it.
	Soft bool
	// Work is what the router had engines do since it started.
	Work []catalogue.Work
	// Live counts the calls under way at engines of regions under notice, by engine.
	Live map[string]int
}

// PartHead is a part's head as one core knows it. Only a current one counts in a
// majority read.
type PartHead struct {
	news.Head
	Slot       int
	Epoch      uint64
	Current    bool
	Recovering bool
	// Offered is the highest index of which a recovering core already has a copy.
	Offered uint64
	// Claims is the life of the seat's registry of claims; Forgetful says that it may
	// not grant yet, so that routers tell it the claims that they hold.
	Claims    uint64
	Forgetful bool
}

// HeadsAnswer is one core's heads.
type HeadsAnswer struct {
	Parts []PartHead
	Soft  []catalogue.Report
}

// Copies are a router's copies of parts, for cores that lost their disks.
type Copies struct{ Items []news.Item }

// Thanks is an empty answer.
type Thanks struct{ Taken int }

// Trouble is what a router reports when an engine failed a request.
type Trouble struct {
	Service string
	Engine  string
	Run     string
	Stage   string
	// Streamed says that tokens reached the caller; Proved that the engine's own
	// answer shows that it did not start.
	Streamed bool
	Proved   bool
	// Blameless says that the engine answered and only had nothing to give.
	Blameless bool
	OneShot   bool
	Repeats   bool
	Tries     int
	Left      schedule.Microseconds
}

// Ruling is the leader's decision on a trouble.
type Ruling struct {
	Owner bool
	Retry bool
	Avoid string
	Round uint64
}

const (
	// routerGone is how long a router may not ask until it has no share in the engines' room.
	routerGone = 3 * schedule.Second
	// routerForgotten is how long operators are told of one that does not ask any more.
	routerForgotten = 600 * schedule.Second
)

type routerHeard struct {
	machine.Machine
	at   schedule.Microseconds
	work []catalogue.Work
	live map[string]int
}

func (s *Core) hearRouter(from machine.Machine, work []catalogue.Work, live map[string]int) {
	if from.Role != machine.Router || from.Name == "" {
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.routers[from.Name] = routerHeard{from, s.clock.Now(), work, live}
}

// routersHeard are the routers that have asked for heads lately, in order.
func (s *Core) routersHeard(now schedule.Microseconds) []string {
	s.lock.Lock()
	defer s.lock.Unlock()
	var names []string
	for name, heard := range s.routers {
		switch {
		case now-heard.at > routerForgotten:
			delete(s.routers, name)
		case now-heard.at <= routerGone:
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (s *Core) serveRouters() {
	circuit.Answer(s.inner, HeadsPath, func(_ context.Context, question *HeadsQuestion) (*HeadsAnswer, error) {
		s.meter.Know(question.From.Inner, question.From.Hall)
		s.hearRouter(question.From, question.Work, question.Live)
		answer := &HeadsAnswer{}
		for _, shard := range s.shards {
			found := PartHead{Head: news.Head{Part: shard.index}}
			if status := shard.standing(); status != nil {
				found.Slot, found.Epoch = status.Slot, status.Epoch
				found.Current, found.Recovering = status.Current, status.Recovering
				found.Index, found.Sequence = status.Commit, status.Sequence
				found.Offered = shard.offered.Load()
			}
			if claims := shard.claims.Load(); claims != nil {
				found.Claims, found.Forgetful = claims.life, !claims.whole(s.clock.Now())
			}
			answer.Parts = append(answer.Parts, found)
		}
		if question.Soft {
			for _, duty := range s.duties {
				answer.Soft = append(answer.Soft, duty.told()...)
			}
		}
		return answer, nil
	})
	circuit.Answer(s.inner, CopyPath, func(ctx context.Context, copies *Copies) (*Thanks, error) {
		thanks := &Thanks{}
		for _, item := range copies.Items {
			if item.Part >= 0 && item.Part < len(s.shards) && len(item.Data) > 0 {
				s.shards[item.Part].offer(ctx, item)
				thanks.Taken++
			}
		}
		return thanks, nil
	})
	circuit.Answer(s.inner, MishapPath, func(_ context.Context, trouble *Trouble) (*Ruling, error) {
		return s.duties[ServicePart(trouble.Service, s.Parts)-1].rule(*trouble), nil
	})
}
