package router

import (
	"context"
	"maps"
	"slices"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
	"coursepass/internal/wireform"
)

const (
	// readInterval is the time between the starts of two reads, and the minimum Retry-After of a stale
	// router.
	readInterval = 300 * clock.Millisecond
	// readTimeout is the timeout of each member's response to a quorum read.
	readTimeout = 600 * clock.Millisecond
	// singleReadTimeout is the timeout of a member's response in open gate mode, in which a router
	// asks one member after another.
	singleReadTimeout = 150 * clock.Millisecond
	// readsPerLoadReport is the number of quorum reads per read that also requests the engines' load.
	readsPerLoadReport = 3
	// bootstrapReadInterval is the time between two reads of a router in open gate mode that has no
	// active configuration. After the first fastBootstrapReads reads, the router makes only one in
	// slowBootstrapDivisor reads.
	bootstrapReadInterval = 60 * clock.Millisecond
	fastBootstrapReads    = 20
	slowBootstrapDivisor  = 2
	// snapshotOfferTimeout is the timeout of an offer of snapshots to a recovering replica.
	snapshotOfferTimeout = 2 * clock.Second
)

// IsFresh reports whether the router's state is fresh enough to accept new requests. In open gate
// mode, any active configuration is enough.
func (r *Router) IsFresh() bool {
	if r.GateMode == gateModeOpen {
		return r.configView.Load() != nil
	}
	return r.freshnessGate.IsOpen(r.clock.Now(), r.gossip.Revision)
}

// runFreshnessReads reads the shards' revisions from the control plane at each readInterval until the
// context ends. Each read fetches the state that this router lacks.
func (r *Router) runFreshnessReads(ctx context.Context) {
	fresh := false
	iteration := 0
	tick := func() {
		iteration++
		r.evacuateDrainingZones()
		go r.readRevisions(ctx, iteration%readsPerLoadReport == 1)
		if now := r.IsFresh(); now != fresh {
			fresh = now
			log.Info().Str("router", r.Name).Bool("ready", fresh).Msg("freshness changed")
		}
	}
	tick()
	if r.GateMode == gateModeOpen {
		r.runBootstrapReads(ctx)
	}
	clock.Every(ctx, readInterval, tick)
}

// runBootstrapReads reads at each bootstrapReadInterval until a configuration is active or the context
// ends.
func (r *Router) runBootstrapReads(parent context.Context) {
	waitCtx, done := context.WithCancel(parent)
	defer done()
	iteration := 0
	clock.Every(waitCtx, bootstrapReadInterval, func() {
		if r.configView.Load() != nil {
			done()
			return
		}
		iteration++
		if iteration > fastBootstrapReads && iteration%slowBootstrapDivisor != 0 {
			return
		}
		go func() {
			r.readRevisions(parent, false)
			r.activateIfAllowed()
		}()
	})
}

// readRevisions makes one read: a quorum read from all members or, in open gate mode, a read from one
// member. If includeLoad is set, the leaders include the load of their engines in a quorum read.
func (r *Router) readRevisions(parent context.Context, includeLoad bool) {
	startedAt := r.clock.Now()
	addresses := r.controlPlaneAddresses()
	if r.GateMode == gateModeOpen {
		r.readFromNextMember(parent, addresses)
		return
	}
	results := make(chan *controlapi.HeadsResponse, len(addresses))
	for _, address := range addresses {
		go func() { results <- r.readFromMember(parent, address, includeLoad) }()
	}
	var responses []controlapi.HeadsResponse
	satisfied := false
	for range addresses {
		response := <-results
		if response == nil {
			continue
		}
		responses = append(responses, *response)
		if !satisfied && len(responses) >= r.quorum() {
			satisfied = r.freshnessGate.RecordRead(startedAt, responses)
		}
	}
	r.FreshnessReads.Add(1)
	if !satisfied {
		r.FreshnessReadsWithoutQuorum.Add(1)
	}
}

// quorum returns the smallest number of a shard's members that is a majority.
func (r *Router) quorum() int { return r.ShardReplicas()/2 + 1 }

// readFromMember reads from one member and processes its response: it repairs state that is missing at
// either side, restores reservations and applies load reports. It returns nil if the member does not
// respond.
func (r *Router) readFromMember(parent context.Context, address string, includeLoad bool) *controlapi.HeadsResponse {
	request := r.headsRequest()
	request.WantReports = includeLoad
	target := transport.Target{Address: address, Procedure: controlapi.HeadsPath, Timeout: readTimeout}
	response, err := transport.Call[controlapi.HeadsRequest, controlapi.HeadsResponse](
		parent, r.internal, target, request,
	)
	if err != nil {
		return nil
	}
	r.repair(parent, address, response)
	r.httpHandler.RestoreReservations(parent, address, response)
	r.httpHandler.ApplyLoadReports(wireform.Slice(response.EngineReports, registry.ReportWire.ToDomain))
	return response
}

// readFromNextMember reads from one member and passes the response to the bootstrap decision. Each call
// starts with the next member in turn, so that the router receives within a few reads whatever a
// quorum has committed. If a member does not respond, the next one is asked.
func (r *Router) readFromNextMember(parent context.Context, addresses []string) {
	slices.Sort(addresses)
	r.FreshnessReads.Add(1)
	request := r.headsRequest()
	for range addresses {
		address := addresses[int(r.readCursor.Add(1))%len(addresses)]
		requestedAt := r.clock.Now()
		target := transport.Target{Address: address, Procedure: controlapi.HeadsPath, Timeout: singleReadTimeout}
		response, err := transport.Call[controlapi.HeadsRequest, controlapi.HeadsResponse](
			parent, r.internal, target, request,
		)
		if err != nil {
			continue
		}
		if len(response.Heads) > configShard {
			r.bootstrap.Record(requestedAt, response.Heads[configShard])
		}
		r.repair(parent, address, response)
		return
	}
	r.FreshnessReadsWithoutQuorum.Add(1)
}

// headsRequest returns a request for the heads of all shards. It includes the data plane's busy times
// and pending calls, if a data plane is set.
func (r *Router) headsRequest() *controlapi.HeadsRequest {
	request := &controlapi.HeadsRequest{From: r.Node}
	if r.dataPlane != nil {
		request.BusyTimes = wireform.Slice(r.dataPlane.BusyTime(), registry.BusyTime.ToWire)
		request.ActiveCalls = r.dataPlane.PendingCalls()
	}
	return request
}

// controlPlaneAddresses returns the addresses of all members of all shards, or the seeds while no
// membership is known.
func (r *Router) controlPlaneAddresses() []string {
	addresses := map[string]bool{}
	for shard := range r.Shards {
		membership := r.memberships[shard].Load()
		if membership == nil {
			continue
		}
		for _, member := range membership.Members {
			addresses[member.Address] = true
		}
	}
	delete(addresses, "")
	if len(addresses) == 0 {
		return r.gossip.Seeds()
	}
	return slices.Collect(maps.Keys(addresses))
}

// repair compares a member's heads with the state of this router. It offers snapshots to a replica
// that is recovering from a lost disk, and fetches the state that is newer at the member.
func (r *Router) repair(ctx context.Context, address string, response *controlapi.HeadsResponse) {
	var offer controlapi.SnapshotOffer
	behind := false
	for _, head := range response.Heads {
		stored, ok := r.gossip.Head(head.Shard)
		isAuthoritative := head.Current || r.GateMode == gateModeOpen && head.Revision > 0
		switch {
		case head.Recovering && ok && stored.Index > head.Offered:
			update, _ := r.gossip.Get(head.Shard)
			offer.Updates = append(offer.Updates, update)
		case isAuthoritative && (!ok || stored.Revision < head.Revision):
			behind = true
		}
	}
	if len(offer.Updates) > 0 {
		r.SnapshotsOffered.Add(int64(len(offer.Updates)))
		// The error is ignored because a lost offer is repeated after the next read.
		target := transport.Target{
			Address:   address,
			Procedure: controlapi.SnapshotOfferPath,
			Timeout:   snapshotOfferTimeout,
		}
		_, _ = transport.Call[controlapi.SnapshotOffer, controlapi.SnapshotOfferResponse](
			ctx, r.internal, target, &offer,
		)
	}
	if behind && r.repairLock.TryLock() {
		defer r.repairLock.Unlock()
		// A member that is asked by many daemons at once sends the state to a few of them only; the
		// others fetch it from their peers.
		if withheld := r.gossip.Repair(ctx, address); withheld {
			r.gossip.RepairFromNearPeer(ctx)
		}
	}
}
