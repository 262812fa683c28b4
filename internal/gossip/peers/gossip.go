package peers

import (
	"context"
	"sync/atomic"

	"coursepass/internal/clock"
	"coursepass/internal/gossip"
	"coursepass/internal/transport"
)

const (
	shufflePath  = "/sibling/shuffle"
	pushPath     = "/news/push"
	comparePath  = "/news/compare"
	fanout       = 2
	maxPushBytes = 32 << 10
	callTimeout  = 400 * clock.Millisecond
)

// Gossip joins a view and a store of news to the inner circuits of a daemon.
type Gossip struct {
	*View
	*gossip.Store
	transport *transport.Internal
	seeds     atomic.Pointer[[]string]
	nextSeed  atomic.Int64
}

// NewGossip serves the view's and the news' procedures.
func NewGossip(view *View, store *gossip.Store, internalTransport *transport.Internal, seeds []string) *Gossip {
	service := &Gossip{View: view, Store: store, transport: internalTransport}
	service.SetSeeds(seeds)
	transport.Handle(internalTransport, shufflePath, func(_ context.Context, message *ShuffleMessage) (*ShuffleMessage, error) {
		internalTransport.Meter.SetZone(message.From.Inner, message.From.Hall)
		response := view.AnswerShuffle(*message)
		return &response, nil
	})
	transport.Handle(internalTransport, pushPath, func(ctx context.Context, push *gossip.PushRequest) (*gossip.Digest, error) {
		for _, update := range push.Items {
			if service.acceptAndForward(ctx, update); service.isBehind(update) {
				go service.repairFrom(ctx, push.From)
			}
		}
		return &gossip.Digest{}, nil
	})
	transport.Handle(internalTransport, comparePath, func(_ context.Context, digest *gossip.Digest) (*gossip.DigestResponse, error) {
		response := store.CompareDigest(*digest)
		return &response, nil
	})
	return service
}

// Seeds are the addresses to ask as long as nobody is known.
func (g *Gossip) Seeds() []string { return *g.seeds.Load() }

// SetSeeds takes other addresses to ask.
func (g *Gossip) SetSeeds(seeds []string) { g.seeds.Store(&seeds) }

// Run shuffles each second and compares digests each half second.
func (g *Gossip) Run(ctx context.Context) {
	go clock.Every(ctx, clock.Second, func() { g.shuffle(ctx) })
	g.shuffle(ctx)
	clock.Every(ctx, clock.Second/2, func() {
		if sampled := g.Sample(1); len(sampled) > 0 {
			g.Repair(ctx, sampled[0].Inner)
		}
	})
}

func (g *Gossip) shuffle(ctx context.Context) {
	peer, message, hasPeer := g.BeginShuffle()
	address := peer.Inner
	if !hasPeer {
		seeds := g.Seeds()
		if len(seeds) == 0 {
			return
		}
		address = seeds[int(g.nextSeed.Add(1))%len(seeds)]
	}
	if address == g.Self.Inner {
		return
	}
	response, err := transport.Call[ShuffleMessage, ShuffleMessage](ctx, g.transport, address, shufflePath, callTimeout, &message)
	if err != nil {
		g.Remove(peer.Name)
		return
	}
	g.FinishShuffle(*response)
	for _, member := range g.Members() {
		g.transport.Meter.SetZone(member.Inner, member.Hall)
	}
}

// Publish takes news that began here and passes it on.
func (g *Gossip) Publish(ctx context.Context, update gossip.Update) { g.acceptAndForward(ctx, update) }

// isBehind tells whether an offered state has not been reached here.
func (g *Gossip) isBehind(update gossip.Update) bool {
	current, exists := g.Get(update.Part)
	return !exists || current.Index < update.Index
}

// repairFrom fetches from one address at a time, but does not wait long for one that is slow.
func (g *Gossip) repairFrom(parent context.Context, address string) {
	if transport.CheckAddress(address) != nil {
		g.transport.MalformedRequests.Add(1)
		return
	}
	g.Repair(context.WithoutCancel(parent), address)
}

func (g *Gossip) acceptAndForward(parent context.Context, update gossip.Update) {
	if !g.Accept(update) {
		return
	}
	if update.Steps != nil {
		update.Data = nil
	}
	for _, peer := range g.Sample(fanout) {
		g.Forwarded.Add(1)
		go func() {
			if update.Size() > maxPushBytes {
				return
			}
			_, _ = transport.Call[gossip.PushRequest, gossip.Digest](context.WithoutCancel(parent), g.transport, peer.Inner, pushPath, callTimeout, &gossip.PushRequest{From: g.Self.Inner, Items: []gossip.Update{update}})
		}()
	}
}

// Repair compares digests with one address and takes what was missing here.
func (g *Gossip) Repair(ctx context.Context, address string) {
	response, err := transport.Call[gossip.Digest, gossip.DigestResponse](ctx, g.transport, address, comparePath, 2*clock.Second, &gossip.Digest{Heads: g.Heads()})
	if err != nil {
		return
	}
	for _, update := range response.Items {
		if g.Accept(update) {
			g.Repaired.Add(1)
		}
	}
}
