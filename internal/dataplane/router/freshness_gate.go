package router

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/errcode"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

const (
	readInterval = 300 * clock.Millisecond
	readTimeout  = 600 * clock.Millisecond
	// singleReadTimeout is how long one core may take, of those that are asked in turn.
	singleReadTimeout     = 150 * clock.Millisecond
	bootstrapReadInterval = 60 * clock.Millisecond
	gateModeOpen          = "open"
)

func invalidSetting(format string, values ...any) error {
	return errcode.New(errcode.InvalidSetting, format, values...)
}

type quorumRead struct {
	startedAt         clock.Microseconds
	requiredRevisions []uint64
}

// FreshnessGate is the freshness gate. A majority read sees everything that was
// acknowledged before it began; the gate is open while such a read, begun lately
// enough, is met by what is installed here.
type FreshnessGate struct {
	MaxStaleness clock.Microseconds
	shards       int
	replicas     int
	lock         sync.Mutex
	satisfiedAt  clock.Microseconds
	satisfied    bool
	pendingReads []quorumRead
}

// NewFreshnessGate is closed until the first read is met.
func NewFreshnessGate(maxStaleness clock.Microseconds, shards, replicas int) *FreshnessGate {
	return &FreshnessGate{MaxStaleness: maxStaleness, shards: shards, replicas: replicas}
}

// RecordRead takes the answers of cores to a read begun at a moment; false when they are
// no majority for some part. Only current answers count, and of those only the ones
// with the latest bindings: a core whose seat went to another may not know it yet.
func (f *FreshnessGate) RecordRead(startedAt clock.Microseconds, responses []controlapi.HeadsResponse) bool {
	requiredRevisions := make([]uint64, f.shards)
	for shard := range f.shards {
		responders, epoch := map[int]bool{}, uint64(0)
		for _, response := range responses {
			if shard < len(response.Parts) {
				epoch = max(epoch, response.Parts[shard].Epoch)
			}
		}
		for _, response := range responses {
			if shard < len(response.Parts) && response.Parts[shard].Current && response.Parts[shard].Epoch == epoch {
				responders[response.Parts[shard].Slot] = true
				requiredRevisions[shard] = max(requiredRevisions[shard], response.Parts[shard].Sequence)
			}
		}
		if len(responders) < f.replicas/2+1 {
			return false
		}
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	f.pendingReads = append(f.pendingReads, quorumRead{startedAt, requiredRevisions})
	return true
}

// IsOpen tells whether new work may be taken now, given the sequence installed of
// each part.
func (f *FreshnessGate) IsOpen(now clock.Microseconds, installed func(shard int) (uint64, bool)) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	remaining := f.pendingReads[:0]
	for _, read := range f.pendingReads {
		switch {
		case now-read.startedAt > f.MaxStaleness:
		case satisfies(read.requiredRevisions, installed):
			if !f.satisfied || read.startedAt > f.satisfiedAt {
				f.satisfiedAt, f.satisfied = read.startedAt, true
			}
		default:
			remaining = append(remaining, read)
		}
	}
	f.pendingReads = remaining
	return f.satisfied && now-f.satisfiedAt <= f.MaxStaleness
}

func satisfies(requiredRevisions []uint64, installed func(shard int) (uint64, bool)) bool {
	for shard, required := range requiredRevisions {
		if revision, ok := installed(shard); !ok && required > 0 || revision < required {
			return false
		}
	}
	return true
}

// Staleness is how long ago the last read was met.
func (f *FreshnessGate) Staleness(now clock.Microseconds) clock.Microseconds {
	f.lock.Lock()
	defer f.lock.Unlock()
	return now - f.satisfiedAt
}

// IsFresh tells whether this router may take new work.
func (r *Router) IsFresh() bool {
	if r.GateMode == gateModeOpen {
		return r.configView.Load() != nil
	}
	return r.freshnessGate.IsOpen(r.clock.Now(), r.gossip.Revision)
}

// runFreshnessReads reads the heads from all cores, again and again, and fetches at once what
// is behind.
func (r *Router) runFreshnessReads(ctx context.Context) {
	fresh, iteration := false, 0
	tick := func() {
		iteration++
		r.evacuateDrainingZones()
		go r.readRevisions(ctx, iteration%3 == 1)
		if now := r.IsFresh(); now != fresh {
			fresh = now
			log.Info().Str("router", r.Node.Name).Bool("ready", fresh).Msg("gate")
		}
	}
	tick()
	if r.GateMode == gateModeOpen {
		r.runBootstrapReads(ctx)
	}
	clock.Every(ctx, readInterval, tick)
}

// After so many hasty reads, only each second turn is taken.
const (
	fastBootstrapReads   = 20
	slowBootstrapDivisor = 2
)

// runBootstrapReads asks often until a first configuration is in force here.
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

func (r *Router) readRevisions(parent context.Context, includeSoftState bool) {
	startedAt := r.clock.Now()
	addresses := r.controlPlaneAddresses()
	if r.GateMode == gateModeOpen {
		r.readFromOne(parent, addresses)
		return
	}
	results := make(chan *controlapi.HeadsResponse, len(addresses))
	for _, address := range addresses {
		go func() {
			request := &controlapi.HeadsRequest{From: r.Node, Soft: includeSoftState}
			if r.dataPlane != nil {
				request.Work, request.Live = r.dataPlane.BusyTime(), r.dataPlane.PendingCalls()
			}
			response, _ := transport.Call[controlapi.HeadsRequest, controlapi.HeadsResponse](parent, r.internal, address, controlapi.HeadsPath, readTimeout, request)
			if response != nil {
				r.repair(parent, address, response)
				r.restoreReservations(parent, address, response)
				r.applyLoadReports(response.Soft)
			}
			results <- response
		}()
	}
	var responses []controlapi.HeadsResponse
	satisfied := false
	for range addresses {
		if response := <-results; response != nil {
			responses = append(responses, *response)
			satisfied = satisfied || len(responses) > r.ShardReplicas()/2 && r.freshnessGate.RecordRead(startedAt, responses)
		}
	}
	r.FreshnessReads.Add(1)
	if !satisfied {
		r.FreshnessReadsWithoutQuorum.Add(1)
	}
}

// readFromOne reads the heads of one core, the next one each time, so that whatever a majority
// has committed is heard of within a few turns.
func (r *Router) readFromOne(parent context.Context, addresses []string) {
	slices.Sort(addresses)
	r.FreshnessReads.Add(1)
	request := &controlapi.HeadsRequest{From: r.Node}
	if r.dataPlane != nil {
		request.Work, request.Live = r.dataPlane.BusyTime(), r.dataPlane.PendingCalls()
	}
	for range addresses {
		address := addresses[int(r.readCursor.Add(1))%len(addresses)]
		requestedAt := r.clock.Now()
		response, err := transport.Call[controlapi.HeadsRequest, controlapi.HeadsResponse](parent, r.internal, address, controlapi.HeadsPath, singleReadTimeout, request)
		if err == nil {
			if len(response.Parts) > 0 {
				r.bootstrap.Record(requestedAt, response.Parts[0])
			}
			r.repair(parent, address, response)
			return
		}
	}
	r.FreshnessReadsWithoutQuorum.Add(1)
}

// controlPlaneAddresses are the addresses of all who have a seat in some part, or the seeds as long
// as no part has been heard of.
func (r *Router) controlPlaneAddresses() []string {
	addresses := map[string]bool{}
	for index := range r.Shards {
		if membership := r.memberships[index].Load(); membership != nil {
			for _, member := range membership.Seats {
				addresses[member.Address] = !member.Vacant()
			}
		}
	}
	delete(addresses, "")
	if len(addresses) == 0 {
		return r.gossip.Seeds()
	}
	return slices.Collect(maps.Keys(addresses))
}

func (r *Router) applyLoadReports(reports []registry.Report) {
	now := r.clock.Now()
	for _, report := range reports {
		r.engineTable(report.Service).ApplyReport(now, report)
	}
}

// repair fetches from a core what it has and this router lacks, and gives a core
// that lost its disk what this router still has.
func (r *Router) repair(ctx context.Context, address string, response *controlapi.HeadsResponse) {
	var snapshots controlapi.SnapshotOffer
	behind := false
	for _, head := range response.Parts {
		update, ok := r.gossip.Get(head.Part)
		switch {
		case head.Recovering && ok && update.Index > head.Offered:
			snapshots.Items = append(snapshots.Items, update)
		case (head.Current || r.GateMode == gateModeOpen && head.Sequence > 0) && (!ok || update.Sequence < head.Sequence):
			behind = true
		}
	}
	if len(snapshots.Items) > 0 {
		r.SnapshotsOffered.Add(int64(len(snapshots.Items)))
		_, _ = transport.Call[controlapi.SnapshotOffer, controlapi.SnapshotOfferResponse](ctx, r.internal, address, controlapi.SnapshotOfferPath, 2*clock.Second, &snapshots)
	}
	if behind && r.repairLock.TryLock() {
		defer r.repairLock.Unlock()
		r.gossip.Repair(ctx, address)
	}
}
