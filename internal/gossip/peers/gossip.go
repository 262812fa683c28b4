package sibling

import (
	"context"
	"sync/atomic"

	"coursepass/internal/clock"
	"coursepass/internal/gossip"
	"coursepass/internal/transport"
)

const (
	shufflePath = "/sibling/shuffle"
	pushPath    = "/news/push"
	comparePath = "/news/compare"
	fanout      = 2
	smallPush   = 32 << 10
	patience    = 400 * schedule.Millisecond
)

// Gossip joins a view and a store of news to the inner circuits of a daemon.
type Gossip struct {
	*View
	*news.Store
	inner *circuit.Inner
	seeds atomic.Pointer[[]string]
	turn  atomic.Int64
}

// NewGossip serves the view's and the news' procedures.
func NewGossip(view *View, store *news.Store, inner *circuit.Inner, seeds []string) *Gossip {
	gossip := &Gossip{View: view, Store: store, inner: inner}
	gossip.SetSeeds(seeds)
	circuit.Answer(inner, shufflePath, func(_ context.Context, trade *Trade) (*Trade, error) {
		inner.Meter.Know(trade.From.Inner, trade.From.Hall)
		answer := view.Answer(*trade)
		return &answer, nil
	})
	circuit.Answer(inner, pushPath, func(ctx context.Context, offer *news.Offer) (*news.Digest, error) {
		for _, item := range offer.Items {
			if gossip.pass(ctx, item); gossip.lacks(item) {
				go gossip.mendOnce(ctx, offer.From)
			}
		}
		return &news.Digest{}, nil
	})
	circuit.Answer(inner, comparePath, func(_ context.Context, digest *news.Digest) (*news.Answer, error) {
		answer := store.Compare(*digest)
		return &answer, nil
	})
	return gossip
}

// Seeds are the addresses to ask as long as nobody is known.
func (g *Gossip) Seeds() []string { return *g.seeds.Load() }

// SetSeeds takes other addresses to ask.
func (g *Gossip) SetSeeds(seeds []string) { g.seeds.Store(&seeds) }

// Run shuffles each second and compares digests each half second.
func (g *Gossip) Run(ctx context.Context) {
	go schedule.Every(ctx, schedule.Second, func() { g.shuffle(ctx) })
	g.shuffle(ctx)
	schedule.Every(ctx, schedule.Second/2, func() {
		if some := g.Some(1); len(some) > 0 {
			g.Mend(ctx, some[0].Inner)
		}
	})
}

func (g *Gossip) shuffle(ctx context.Context) {
	other, trade, found := g.Begin()
	address := other.Inner
	if !found {
		seeds := g.Seeds()
		if len(seeds) == 0 {
			return
		}
		address = seeds[int(g.turn.Add(1))%len(seeds)]
	}
	if address == g.Self.Inner {
		return
	}
	answer, err := circuit.Call[Trade, Trade](ctx, g.inner, address, shufflePath, patience, &trade)
	if err != nil {
		g.Drop(other.Name)
		return
	}
	g.End(*answer)
	for _, each := range g.Members() {
		g.inner.Meter.Know(each.Inner, each.Hall)
	}
}

// Publish takes news that began here and passes it on.
func (g *Gossip) Publish(ctx context.Context, item news.Item) { g.pass(ctx, item) }

// lacks tells whether an offered state has not been reached here.
func (g *Gossip) lacks(item news.Item) bool {
	held, known := g.Item(item.Part)
	return !known || held.Index < item.Index
}

// mendOnce fetches from one address at a time, but does not wait long for one that is slow.
func (g *Gossip) mendOnce(parent context.Context, address string) {
	if circuit.CheckAddress(address) != nil {
		g.inner.Garbage.Add(1)
		return
	}
	g.Mend(context.WithoutCancel(parent), address)
}

func (g *Gossip) pass(parent context.Context, item news.Item) {
	if !g.Take(item) {
		return
	}
	if item.Steps != nil {
		item.Data = nil
	}
	for _, other := range g.Some(fanout) {
		g.Passed.Add(1)
		go func() {
			if item.Size() > smallPush {
				return
			}
			_, _ = circuit.Call[news.Offer, news.Digest](context.WithoutCancel(parent), g.inner, other.Inner, pushPath, patience, &news.Offer{From: g.Self.Inner, Items: []news.Item{item}})
		}()
	}
}

// Mend compares digests with one address and takes what was missing here.
func (g *Gossip) Mend(ctx context.Context, address string) {
	answer, err := circuit.Call[news.Digest, news.Answer](ctx, g.inner, address, comparePath, 2*schedule.Second, &news.Digest{Heads: g.Heads()})
	if err != nil {
		return
	}
	for _, item := range answer.Items {
		if g.Take(item) {
			g.Mended.Add(1)
		}
	}
}
