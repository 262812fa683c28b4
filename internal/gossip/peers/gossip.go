package peers

import (
	"context"
	"sync/atomic"

	"coursepass/internal/clock"
	"coursepass/internal/gossip"
	"coursepass/internal/node"
	"coursepass/internal/timesync"
	"coursepass/internal/transport"
)

const (
	shufflePath = "/sibling/shuffle"
	pushPath    = "/news/push"
	comparePath = "/news/compare"
)

const (
	shuffleInterval = clock.Second
	// compareInterval is the time between two comparisons. Pushes and routers' reads of the heads are faster; a
	// comparison finds what they missed.
	compareInterval = clock.Second
	// farComparisons is how many comparisons pass for one with a peer of another zone: bytes between zones cost
	// more, and what has reached one daemon of a zone reaches the others within it.
	farComparisons = 3
	// callTimeout limits shuffles and pushes, compareTimeout comparisons, whose responses may be large.
	callTimeout    = 400 * clock.Millisecond
	compareTimeout = 2 * clock.Second
	// fanout is how many peers a new state is pushed to.
	fanout = 2
	// maxPushBytes is the size from which on a state is not pushed: peers learn of it by comparison.
	maxPushBytes = 32 << 10
)

// Gossip joins a view and a store to a daemon's internal transport.
type Gossip struct {
	*View
	*gossip.Store
	transport *transport.Internal
	// trueTime learns of the wall clocks in the responses to shuffles.
	trueTime *timesync.Clock
	// stateBudget limits what comparisons are answered with.
	stateBudget *stateBudget
	seeds       atomic.Pointer[[]string]
	nextSeed    atomic.Int64
}

// Options of a Gossip. All are required.
type Options struct {
	View      *View
	Store     *gossip.Store
	Transport *transport.Internal
	// TrueTime is told the wall clocks of the daemons that respond to shuffles.
	TrueTime *timesync.Clock
	Seeds    []string
}

// NewGossip registers the handlers of a view and a store.
func NewGossip(options Options) *Gossip {
	service := &Gossip{
		View:      options.View,
		Store:     options.Store,
		transport: options.Transport,
		trueTime:  options.TrueTime,

		stateBudget: newStateBudget(options.TrueTime.Monotonic()),
	}
	service.SetSeeds(options.Seeds)
	service.registerHandlers()
	return service
}

func (g *Gossip) registerHandlers() {
	transport.Handle(g.transport, shufflePath, func(_ context.Context, message *ShuffleMessage) (*ShuffleMessage, error) {
		g.transport.Meter.SetDaemonZone(message.From.InternalAddress, message.From.Zone)
		response := g.AnswerShuffle(*message)
		response.WallClock = g.trueTime.WallClock()
		return &response, nil
	})
	transport.Handle(g.transport, pushPath, func(ctx context.Context, push *gossip.PushRequest) (*gossip.Digest, error) {
		g.handlePush(ctx, push)
		return &gossip.Digest{}, nil
	})
	transport.Handle(g.transport, comparePath, func(
		_ context.Context, digest *gossip.Digest,
	) (*gossip.DigestResponse, error) {
		response := g.CompareDigest(*digest, func(size int) bool {
			return g.stateBudget.admit(g.trueTime.Monotonic(), size)
		})
		return &response, nil
	})
}

// handlePush accepts the updates. Where one could not be applied, it is fetched from the sender.
func (g *Gossip) handlePush(ctx context.Context, push *gossip.PushRequest) {
	for _, update := range push.Updates {
		g.acceptAndForward(ctx, update)
		if g.isBehind(update) {
			go g.repairFrom(context.WithoutCancel(ctx), push.From)
		}
	}
}

// Seeds returns the addresses that are asked while no peer is known.
func (g *Gossip) Seeds() []string { return *g.seeds.Load() }

// SetSeeds replaces the addresses that are asked while no peer is known.
func (g *Gossip) SetSeeds(seeds []string) { g.seeds.Store(&seeds) }

// Run shuffles and compares digests at their intervals until the context ends.
func (g *Gossip) Run(ctx context.Context) {
	go clock.Every(ctx, shuffleInterval, func() { g.shuffle(ctx) })
	g.shuffle(ctx)
	comparisons := 0
	clock.Every(ctx, compareInterval, func() {
		comparisons++
		if peer, exists := g.comparedPeer(comparisons); exists {
			g.Repair(ctx, peer.InternalAddress)
		}
	})
}

// comparedPeer returns the peer of a comparison, which is of another zone each farComparisons-th time and of the
// own one else, if such peers are known; false if none is.
func (g *Gossip) comparedPeer(comparison int) (node.Node, bool) {
	nearAndFar := g.Sample(2) //nolint:mnd // One near and one far.
	if len(nearAndFar) == 0 {
		return node.Node{}, false
	}
	if comparison%farComparisons == 0 {
		return nearAndFar[len(nearAndFar)-1], true
	}
	return nearAndFar[0], true
}

// shuffle exchanges peers with the oldest one, or with a seed while none is known. A peer that does not
// respond is removed.
func (g *Gossip) shuffle(ctx context.Context) {
	peer, message, hasPeer := g.BeginShuffle()
	address := peer.InternalAddress
	if !hasPeer {
		address = g.nextSeedAddress()
	}
	if address == "" || address == g.Self.InternalAddress {
		return
	}
	target := transport.Target{Address: address, Procedure: shufflePath, Timeout: callTimeout}
	sentAt := g.trueTime.Monotonic()
	response, err := transport.Call[ShuffleMessage, ShuffleMessage](ctx, g.transport, target, &message)
	if err != nil {
		g.Remove(peer.Name)
		return
	}
	g.trueTime.RecordAnswer(address, sentAt, response.WallClock)
	g.FinishShuffle(*response)
	for _, member := range g.Members() {
		g.transport.Meter.SetDaemonZone(member.InternalAddress, member.Zone)
	}
}

// nextSeedAddress returns the seeds in turn, or "" if there are none.
func (g *Gossip) nextSeedAddress() string {
	seeds := g.Seeds()
	if len(seeds) == 0 {
		return ""
	}
	return seeds[int(g.nextSeed.Add(1))%len(seeds)]
}

// Publish stores a state of this daemon's own, and pushes the update's entries to peers, or the state if there
// are none.
func (g *Gossip) Publish(ctx context.Context, update gossip.Update, state gossip.State) {
	if g.AcceptState(update, state) {
		g.forward(ctx, update)
	}
}

// isBehind tells whether the stored state is earlier than an update.
func (g *Gossip) isBehind(update gossip.Update) bool {
	current, exists := g.Head(update.Shard)
	return !exists || current.Index < update.Index
}

// repairFrom compares digests with an address that a push has named.
func (g *Gossip) repairFrom(ctx context.Context, address string) {
	if transport.CheckAddress(address) != nil {
		g.transport.MalformedRequests.Add(1)
		return
	}
	g.Repair(ctx, address)
}

// acceptAndForward stores an update and, if it changes the state, pushes it to a few peers.
func (g *Gossip) acceptAndForward(ctx context.Context, update gossip.Update) {
	if g.Accept(update) {
		g.forward(ctx, update)
	}
}

// forward pushes an update to a few peers: its entries if there are any, else the stored state. The pushes
// outlive the context, and nobody waits for them.
func (g *Gossip) forward(ctx context.Context, update gossip.Update) {
	if update.Entries != nil {
		update.Data = nil
	} else if update.Data == nil {
		update, _ = g.Get(update.Shard)
	}
	pushContext := context.WithoutCancel(ctx)
	for _, peer := range g.Sample(fanout) {
		g.Forwarded.Add(1)
		go g.push(pushContext, peer.InternalAddress, update)
	}
}

// push sends an update to an address, unless it is too large. What does not arrive is found by comparison.
func (g *Gossip) push(ctx context.Context, address string, update gossip.Update) {
	if update.Size() > maxPushBytes {
		return
	}
	request := &gossip.PushRequest{From: g.Self.InternalAddress, Updates: []gossip.Update{update}}
	target := transport.Target{Address: address, Procedure: pushPath, Timeout: callTimeout}
	_, _ = transport.Call[gossip.PushRequest, gossip.Digest](ctx, g.transport, target, request)
}

// Repair compares digests with one address and stores what was missing here. It tells whether the other side had
// something newer and did not send it, since it sends too much already.
func (g *Gossip) Repair(ctx context.Context, address string) (withheld bool) {
	digest := &gossip.Digest{Heads: g.Heads()}
	target := transport.Target{Address: address, Procedure: comparePath, Timeout: compareTimeout}
	response, err := transport.Call[gossip.Digest, gossip.DigestResponse](ctx, g.transport, target, digest)
	if err != nil {
		return false
	}
	for _, update := range response.Updates {
		if g.Accept(update) {
			g.Repaired.Add(1)
		}
	}
	for _, remote := range response.Heads {
		head, exists := g.Head(remote.Shard)
		withheld = withheld || !exists || head.Index < remote.Index && head.Revision < remote.Revision
	}
	return withheld
}

// RepairFromNearPeer compares digests with a random peer of the own zone, or of another if none is known there.
func (g *Gossip) RepairFromNearPeer(ctx context.Context) {
	if nearest := g.Sample(2); len(nearest) > 0 { //nolint:mnd // One near and one far.
		g.Repair(ctx, nearest[0].InternalAddress)
	}
}
