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
	// readInterval is the time between two reads, readTimeout how long a quorum read may take.
	readInterval = 300 * clock.Millisecond
	readTimeout  = 600 * clock.Millisecond
	// singleReadTimeout is how long one member may take, of those that are asked in turn.
	singleReadTimeout = 150 * clock.Millisecond
	// loadReportReads is how many reads pass for one that asks for the engines' load too.
	loadReportReads = 3
	// bootstrapReadInterval is the time between two reads before the first configuration. After
	// fastBootstrapReads of them, only each slowBootstrapDivisor-th is made.
	bootstrapReadInterval = 60 * clock.Millisecond
	fastBootstrapReads    = 20
	slowBootstrapDivisor  = 2
	// snapshotOfferTimeout bounds the offer of snapshots to a recovering replica.
	snapshotOfferTimeout = 2 * clock.Second
)

// IsFresh reports whether this router may take new work.
func (r *Router) IsFresh() bool {
	if r.GateMode == gateModeOpen {
		return r.configView.Load() != nil
	}
	return r.freshnessGate.IsOpen(r.clock.Now(), r.gossip.Revision)
}

// runFreshnessReads reads the shards' revisions from the control plane until the context ends, and
// fetches at once what is missing here.
func (r *Router) runFreshnessReads(ctx context.Context) {
	fresh := false
	iteration := 0
	tick := func() {
		iteration++
		r.evacuateDrainingZones()
		go r.readRevisions(ctx, iteration%loadReportReads == 1)
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

// runBootstrapReads reads often until the first configuration is active.
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

// readRevisions makes one read: a quorum read from all members, or in open mode a read from one of
// them. With includeLoad, leaders respond with the load of their engines too.
func (r *Router) readRevisions(parent context.Context, includeLoad bool) {
	startedAt := r.clock.Now()
	addresses := r.controlPlaneAddresses()
	if r.GateMode == gateModeOpen {
		r.readFromOne(parent, addresses)
		return
	}
	results := make(chan *controlapi.HeadsResponse, len(addresses))
	for _, address := range addresses {
		go func() { results <- r.readFrom(parent, address, includeLoad) }()
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

// quorum is the least number of a shard's members that is a majority.
func (r *Router) quorum() int { return r.ShardReplicas()/2 + 1 }

// readFrom reads from one member and acts on its response. It returns nil if there is none.
func (r *Router) readFrom(parent context.Context, address string, includeLoad bool) *controlapi.HeadsResponse {
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
	r.answers.RestoreReservations(parent, address, response)
	r.answers.ApplyLoadReports(wireform.Slice(response.EngineReports, registry.ReportWire.ToDomain))
	return response
}

// readFromOne reads from one member, the next one each time, so that whatever a quorum has committed
// arrives within a few reads. A member that does not respond is followed by the next.
func (r *Router) readFromOne(parent context.Context, addresses []string) {
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

// headsRequest is a request for the revisions, with what the data plane reports.
func (r *Router) headsRequest() *controlapi.HeadsRequest {
	request := &controlapi.HeadsRequest{From: r.Node}
	if r.dataPlane != nil {
		request.BusyTimes = wireform.Slice(r.dataPlane.BusyTime(), registry.BusyTime.ToWire)
		request.ActiveCalls = r.dataPlane.PendingCalls()
	}
	return request
}

// controlPlaneAddresses are the addresses of all members of all shards, or the seeds as long as no
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

// repair fetches from a member what it has and this router lacks, and offers to a replica that lost
// its disk what this router still has.
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
		// A lost offer is repeated after the next read.
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
		// A member that many daemons ask at once sends the state to a few of them, and those to others.
		if withheld := r.gossip.Repair(ctx, address); withheld {
			r.gossip.RepairFromNearPeer(ctx)
		}
	}
}
