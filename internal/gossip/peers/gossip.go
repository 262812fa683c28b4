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
func (gossip *Gossip) Seeds() []string { return *gossip.seeds.Load() }

// SetSeeds takes other addresses to ask.
func (gossip *Gossip) SetSeeds(seeds []string) { gossip.seeds.Store(&seeds) }

// Run shuffles each second and compares digests each half second.
func (gossip *Gossip) Run(ctx context.Context) {
	go schedule.Every(ctx, schedule.Second, func() { gossip.shuffle(ctx) })
	gossip.shuffle(ctx)
	schedule.Every(ctx, schedule.Second/2, func() {
		if some := gossip.Some(1); len(some) > 0 {
			gossip.Mend(ctx, some[0].Inner)
		}
	})
}

func (gossip *Gossip) shuffle(ctx context.Context) {
	other, trade, found := gossip.Begin()
	address := other.Inner
	if !found {
		seeds := gossip.Seeds()
		if len(seeds) == 0 {
			return
		}
		address = seeds[int(gossip.turn.Add(1))%len(seeds)]
	}
	if address == gossip.Self.Inner {
		return
	}
	answer, err := circuit.Call[Trade, Trade](ctx, gossip.inner, address, shufflePath, patience, &trade)
	if err != nil {
		gossip.Drop(other.Name)
		return
	}
	gossip.End(*answer)
	for _, each := range gossip.Members() {
		gossip.inner.Meter.Know(each.Inner, each.Hall)
	}
}

// Publish takes news that began here and passes it on.
func (gossip *Gossip) Publish(ctx context.Context, item news.Item) { gossip.pass(ctx, item) }

// lacks tells whether an offered state has not been reached here.
func (gossip *Gossip) lacks(item news.Item) bool {
	held, known := gossip.Item(item.Part)
	return !known || held.Index < item.Index
}

// mendOnce fetches from one address at a time, but does not wait long for one that is slow.
func (gossip *Gossip) mendOnce(parent context.Context, address string) {
	if circuit.CheckAddress(address) != nil {
		gossip.inner.Garbage.Add(1)
		return
	}
	gossip.Mend(context.WithoutCancel(parent), address)
}

func (gossip *Gossip) pass(parent context.Context, item news.Item) {
	if !gossip.Take(item) {
		return
	}
	if item.Steps != nil {
		item.Data = nil
	}
	for _, other := range gossip.Some(fanout) {
		gossip.Passed.Add(1)
		go func() {
			if item.Size() > smallPush {
				return
			}
			_, _ = circuit.Call[news.Offer, news.Digest](context.WithoutCancel(parent), gossip.inner, other.Inner, pushPath, patience, &news.Offer{From: gossip.Self.Inner, Items: []news.Item{item}})
		}()
	}
}

// Mend compares digests with one address and takes what was missing here.
func (gossip *Gossip) Mend(ctx context.Context, address string) {
	answer, err := circuit.Call[news.Digest, news.Answer](ctx, gossip.inner, address, comparePath, 2*schedule.Second, &news.Digest{Heads: gossip.Heads()})
	if err != nil {
		return
	}
	for _, item := range answer.Items {
		if gossip.Take(item) {
			gossip.Mended.Add(1)
		}
	}
}
