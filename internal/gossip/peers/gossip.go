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

// Paths of the calls between daemons.
const (
	shufflePath = "/sibling/shuffle"
	pushPath    = "/news/push"
	comparePath = "/news/compare"
)

const (
	// shuffleInterval is the time between two shuffles.
	shuffleInterval = clock.Second
	// compareInterval is the time between two comparisons of digests. Pushes and the routers' reads of the heads spread
	// updates faster; a comparison finds the updates that they missed.
	compareInterval = clock.Second
	// crossZonePeriod is the number of comparisons of which one is with a peer in another zone. The others are with
	// peers in the daemon's own zone, because traffic between zones costs more, and an update that has reached one
	// daemon of a zone spreads to the other daemons within the zone.
	crossZonePeriod = 3
	// callTimeout is the timeout of shuffles and pushes. compareTimeout is the timeout of comparisons, which is longer
	// because their responses may be large.
	callTimeout    = 400 * clock.Millisecond
	compareTimeout = 2 * clock.Second
	// fanout is the number of peers to which a changed state is pushed.
	fanout = 2
	// maxPushBytes is the maximum size of a pushed update, in bytes. Peers receive larger updates by comparing digests.
	maxPushBytes = 32 << 10
)

// Gossip connects a view and a store to a daemon's internal transport.
type Gossip struct {
	*View
	*gossip.Store
	transport *transport.Internal
	// trueTime estimates the true time. It records the wall clocks in the responses to shuffles.
	trueTime *timesync.Clock
	// stateBudget limits the bytes of large states in responses to comparisons.
	stateBudget *stateBudget
	// seeds are the addresses to which shuffles are sent while the view is empty.
	seeds atomic.Pointer[[]string]
	// nextSeed counts the shuffles with seeds, to choose the seeds in turn.
	nextSeed atomic.Int64
}

// Options configures a Gossip. All fields are required.
type Options struct {
	View      *View
	Store     *gossip.Store
	Transport *transport.Internal
	// TrueTime records the wall clocks of the daemons that respond to shuffles.
	TrueTime *timesync.Clock
	// Seeds are the addresses to which shuffles are sent while the view is empty.
	Seeds []string
}

// NewGossip returns a Gossip and registers its handlers with the transport.
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

// handlePush accepts and forwards the updates of a push. If an update cannot be applied, handlePush compares digests
// with the sender in the background.
func (g *Gossip) handlePush(ctx context.Context, push *gossip.PushRequest) {
	for _, update := range push.Updates {
		g.acceptAndForward(ctx, update)
		if g.isBehind(update) {
			go g.repairFrom(context.WithoutCancel(ctx), push.From)
		}
	}
}

// Seeds returns the addresses to which shuffles are sent while the view is empty.
func (g *Gossip) Seeds() []string { return *g.seeds.Load() }

// SetSeeds replaces the addresses to which shuffles are sent while the view is empty.
func (g *Gossip) SetSeeds(seeds []string) { g.seeds.Store(&seeds) }

// Run shuffles and compares digests periodically until the context is done.
func (g *Gossip) Run(ctx context.Context) {
	go clock.Every(ctx, shuffleInterval, func() { g.shuffle(ctx) })
	g.shuffle(ctx)
	comparisons := 0
	clock.Every(ctx, compareInterval, func() {
		comparisons++
		if peer, exists := g.selectComparisonPeer(comparisons); exists {
			g.Repair(ctx, peer.InternalAddress)
		}
	})
}

// selectComparisonPeer returns the peer with which to run a comparison, given the comparison's number. Every
// crossZonePeriod-th comparison is with a peer in another zone, and the others are with a peer in the daemon's own
// zone, as far as the view contains such peers. It returns false if the view is empty.
func (g *Gossip) selectComparisonPeer(comparison int) (node.Node, bool) {
	candidates := g.Sample(2) //nolint:mnd // One peer in the own zone and one in another zone.
	if len(candidates) == 0 {
		return node.Node{}, false
	}
	if comparison%crossZonePeriod == 0 {
		return candidates[len(candidates)-1], true
	}
	return candidates[0], true
}

// shuffle exchanges peers with the oldest peer of the view, or with a seed while the view is empty. It removes a peer
// that does not respond.
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

// nextSeedAddress returns the address of the next seed in round-robin order, or "" if there are no seeds.
func (g *Gossip) nextSeedAddress() string {
	seeds := g.Seeds()
	if len(seeds) == 0 {
		return ""
	}
	return seeds[int(g.nextSeed.Add(1))%len(seeds)]
}

// Publish stores a state that originates at this daemon. If the stored state changes, Publish pushes the update's
// entries to peers, or the snapshot if the update has no entries.
func (g *Gossip) Publish(ctx context.Context, update gossip.Update, state gossip.State) {
	if g.AcceptState(update, state) {
		g.forward(ctx, update)
	}
}

// isBehind reports whether the stored state is missing or older than an update.
func (g *Gossip) isBehind(update gossip.Update) bool {
	current, exists := g.Head(update.Shard)
	return !exists || current.Index < update.Index
}

// repairFrom compares digests with the sender address of a push. It counts a malformed address as a malformed request.
func (g *Gossip) repairFrom(ctx context.Context, address string) {
	if transport.CheckAddress(address) != nil {
		g.transport.MalformedRequests.Add(1)
		return
	}
	g.Repair(ctx, address)
}

// acceptAndForward stores an update and pushes it to a few peers if the stored state changes.
func (g *Gossip) acceptAndForward(ctx context.Context, update gossip.Update) {
	if g.Accept(update) {
		g.forward(ctx, update)
	}
}

// forward pushes an update to a few peers: its entries if there are any, otherwise the snapshot. It does not wait for
// the pushes, which continue after the context is canceled.
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

// push sends an update to an address, unless the update is larger than maxPushBytes. It ignores failures: a peer that
// misses a push receives the update by comparing digests.
func (g *Gossip) push(ctx context.Context, address string, update gossip.Update) {
	if update.Size() > maxPushBytes {
		return
	}
	request := &gossip.PushRequest{From: g.Self.InternalAddress, Updates: []gossip.Update{update}}
	target := transport.Target{Address: address, Procedure: pushPath, Timeout: callTimeout}
	_, _ = transport.Call[gossip.PushRequest, gossip.Digest](ctx, g.transport, target, request)
}

// Repair compares digests with the daemon at an address and stores the updates that the daemon returns. It reports
// whether that daemon has a newer state that it did not send, because its budget for large states was exhausted.
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

// RepairFromNearPeer compares digests with a random peer in the daemon's own zone, or with a peer in another zone if
// the view contains no peer in the own zone.
func (g *Gossip) RepairFromNearPeer(ctx context.Context) {
	if candidates := g.Sample(2); len(candidates) > 0 { //nolint:mnd // One peer in the own zone and one in another zone.
		g.Repair(ctx, candidates[0].InternalAddress)
	}
}
