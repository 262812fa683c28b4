package usage_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"coursepass/internal/clock"
	"coursepass/internal/usage"
)

// The model simulates the collection of one window with two routers, two servers and two consecutive leaders. It uses
// the real meters, deliveries, ledgers and collections. The search explores all sequences of the events below, up to a
// maximum length. Each path is replayed from its start for each additional event, because the real objects cannot be
// copied. A path is not extended if its state was already reached with at least as many events left.

const (
	modelRouters = 2
	modelServers = 2
	modelTenant  = "a"
	// modelDepth is the maximum number of events in a path.
	modelDepth = 8
	// The constants below are the maximum numbers of events of each kind in a path. The first leader counts as one.
	modelMaxRuns     = 2
	modelMaxCrashes  = 1
	modelMaxRestarts = 1
	modelMaxLeaders  = 2
)

// modelEvent is an event with the router and the server that it affects.
type modelEvent struct {
	kind   string
	router int
	server int
}

// Kinds of events.
const (
	eventRun        = "a router counts a request"
	eventDeliver    = "a report and its response arrive"
	eventLoseAnswer = "a report arrives, its response is lost"
	eventCrash      = "a router is restarted"
	eventRestart    = "a server is restarted"
	eventDigests    = "the leader receives the digests of a server"
	eventCollect    = "the leader collects from the servers whose digests it has, and commits"
	eventLeader     = "another leader starts a new collection"
)

// modelEvents returns all events. Only the first router and the first server are restarted, because routers and servers
// are symmetric.
func modelEvents() []modelEvent {
	events := []modelEvent{{kind: eventCrash}, {kind: eventRestart}, {kind: eventCollect}, {kind: eventLeader}}
	for router := range modelRouters {
		events = append(events, modelEvent{kind: eventRun, router: router})
		for server := range modelServers {
			events = append(events,
				modelEvent{eventDeliver, router, server}, modelEvent{eventLoseAnswer, router, server})
		}
	}
	for server := range modelServers {
		events = append(events, modelEvent{kind: eventDigests, server: server})
	}
	return events
}

// modelRouter is a router with its deliveries and the model's own record of the servers' states.
type modelRouter struct {
	meter       *usage.Meter
	incarnation uint64
	// runs is the number of requests that this incarnation has counted, as recorded by the model.
	runs uint64
	// deliveries has one delivery per server, each of which knows only that server.
	deliveries [modelServers]*usage.Delivery
	// received and incarnations are the expected states of the deliveries, by server: the version of the meter that the
	// server has, and the incarnation of the server.
	received     [modelServers]uint64
	incarnations [modelServers]uint64
}

// modelServer is a server with its ledger.
type modelServer struct {
	ledger      *usage.Ledger
	incarnation uint64
	// arrived maps reporters to the last count that the server received, as recorded by the model.
	arrived map[usage.ReporterID]uint64
}

// windowModel is the state at the end of a path.
type windowModel struct {
	routers   [modelRouters]*modelRouter
	servers   [modelServers]*modelServer
	monotonic clock.Microseconds
	// totalRuns is the number of requests that all routers have counted. crashes, restarts and leaders are the numbers
	// of events so far; leaders includes the first leader.
	totalRuns uint64
	crashes   int
	restarts  int
	leaders   int
	// collection is the current collection. hasDigests is set for the servers whose digests it has. countsAtDigest
	// maps reporters to the maximum of the counts that these servers had when they sent their digests.
	collection     *usage.Collection
	hasDigests     [modelServers]bool
	countsAtDigest map[usage.ReporterID]uint64
	// committed is the committed sum. A commit ends a path.
	committed uint64
}

func newWindowModel() *windowModel {
	model := &windowModel{}
	for number := range model.routers {
		model.routers[number] = &modelRouter{}
		model.startRouter(number)
	}
	for number := range model.servers {
		model.servers[number] = &modelServer{}
		model.startServer(number)
	}
	model.startLeader()
	return model
}

func (w *windowModel) startRouter(number int) {
	*w.routers[number] = modelRouter{
		meter:       usage.NewMeter(windows, func() clock.Microseconds { return ledgerNow }),
		incarnation: w.routers[number].incarnation + 1,
	}
	for server := range modelServers {
		delivery := usage.NewDelivery("", w.reporter(number))
		delivery.SetLedgers([]usage.LedgerAddress{{Address: fmt.Sprint(server)}})
		w.routers[number].deliveries[server] = delivery
	}
}

func (w *windowModel) startServer(number int) {
	*w.servers[number] = modelServer{
		ledger:      usage.NewLedger(windows),
		incarnation: w.servers[number].incarnation + 1,
		arrived:     map[usage.ReporterID]uint64{},
	}
}

func (w *windowModel) startLeader() {
	w.leaders++
	w.collection = usage.NewCollection([]string{"0", "1"})
	w.hasDigests = [modelServers]bool{}
	w.countsAtDigest = map[usage.ReporterID]uint64{}
}

func (w *windowModel) reporter(number int) usage.ReporterID {
	return usage.NewReporterID(fmt.Sprint(number), w.routers[number].incarnation)
}

// deliver delivers a report to a server. The report contains the changes that the server has not acknowledged, or all
// retained counts after the router has detected another incarnation of the server. It reports whether a shipment was
// due.
func (w *windowModel) deliver(event modelEvent) bool {
	router, server := w.routers[event.router], w.servers[event.server]
	delivery, reporter := router.deliveries[event.server], w.reporter(event.router)
	w.monotonic += 10 * clock.Second
	state := usage.MeterState{Version: router.meter.Version(), Empty: router.meter.IsEmpty()}
	shipments, _ := delivery.Due(w.monotonic, state)
	if len(shipments) == 0 {
		return false
	}
	shipment := shipments[0]
	if shipment.Since != router.received[event.server] {
		panic(fmt.Sprintf("the shipment has the changes since version %d, want %d",
			shipment.Since, router.received[event.server]))
	}
	changes, version := router.meter.ChangesSince(shipment.Since)
	server.ledger.Merge(ledgerNow, usage.Report{Reporter: reporter, Windows: changes})
	if count, sent := changes[modelWindow][modelTenant]; sent {
		server.arrived[reporter] = count
	}
	if event.kind == eventLoseAnswer {
		delivery.RecordFailure(shipment, w.monotonic)
		return true
	}
	delivery.RecordAnswer(shipment, server.incarnation, version)
	if router.incarnations[event.server] != server.incarnation && shipment.Since > 0 {
		version = 0
	}
	router.incarnations[event.server] = server.incarnation
	router.received[event.server] = version
	return true
}

// modelWindow is the window of ledgerNow.
const modelWindow = 101

// apply applies an event and reports whether the event is possible in this state.
func (w *windowModel) apply(event modelEvent) bool {
	if !w.permits(event) {
		return false
	}
	switch event.kind {
	case eventRun:
		w.totalRuns++
		w.routers[event.router].runs++
		w.routers[event.router].meter.RecordRun(modelTenant)
	case eventDeliver, eventLoseAnswer:
		return w.deliver(event)
	case eventCrash:
		w.crashes++
		w.startRouter(event.router)
	case eventRestart:
		w.restarts++
		w.startServer(event.server)
	case eventDigests:
		return w.recordDigests(event.server)
	case eventCollect:
		return w.collect()
	case eventLeader:
		w.startLeader()
	}
	return true
}

// recordDigests records the digests of a server in the collection. It returns false if they are already recorded.
func (w *windowModel) recordDigests(number int) bool {
	if w.hasDigests[number] {
		return false
	}
	server := w.servers[number]
	w.hasDigests[number] = true
	w.collection.RecordDigests(fmt.Sprint(number), server.ledger.Digests(modelWindow))
	for reporter, count := range server.arrived {
		w.countsAtDigest[reporter] = max(w.countsAtDigest[reporter], count)
	}
	return true
}

// collect requests the counts from the servers and commits the sum. It returns false if the collection has no digests.
// A server that was restarted after it sent its digests has no counts.
func (w *windowModel) collect() bool {
	if w.hasDigests == [modelServers]bool{} {
		return false
	}
	for requests := w.collection.Requests(); len(requests) > 0; requests = w.collection.Requests() {
		for _, request := range requests {
			number := int(request.Ledger[0] - '0')
			var sums []usage.Counts
			for _, group := range request.Groups {
				sums = append(sums, w.servers[number].ledger.Collect(modelWindow, group))
			}
			w.collection.RecordCounts(request, sums)
		}
	}
	w.committed = w.collection.Totals()[modelTenant]
	return true
}

// violation describes how the committed sum is wrong, or returns "" if it is correct. It must be called directly after
// the commit.
func (w *windowModel) violation() string {
	least := uint64(0)
	for _, count := range w.countsAtDigest {
		least += count
	}
	switch {
	case w.committed > w.totalRuns:
		return fmt.Sprintf("committed %d requests, but only %d were counted", w.committed, w.totalRuns)
	case w.committed < least && w.restarts == 0:
		return fmt.Sprintf("committed %d requests, but the servers had %d when they sent their digests", w.committed, least)
	case w.lossless() && w.committed != w.totalRuns:
		return fmt.Sprintf("committed %d of %d requests without any failure", w.committed, w.totalRuns)
	}
	return ""
}

// lossless reports whether no counts were lost: no router or server was restarted, and the servers whose digests the
// collection has had all counts.
func (w *windowModel) lossless() bool {
	known := uint64(0)
	for _, count := range w.countsAtDigest {
		known += count
	}
	return w.crashes+w.restarts == 0 && known == w.totalRuns
}

// key returns a string that identifies the state.
func (w *windowModel) key() string {
	key := fmt.Sprint(w.totalRuns, w.crashes, w.restarts, w.leaders, w.hasDigests)
	for number, router := range w.routers {
		_, version := router.meter.ChangesSince(0)
		key += fmt.Sprint("|", router.incarnation, router.runs, version, router.received, router.incarnations)
		for _, server := range w.servers {
			key += fmt.Sprint(" ", server.arrived[w.reporter(number)])
		}
	}
	for _, server := range w.servers {
		key += fmt.Sprint("|", server.incarnation, server.ledger.Digests(modelWindow))
	}
	return key + fmt.Sprint(w.countsAtDigest, w.collection.Totals())
}

// modelSearch is a depth-first search over all paths.
type modelSearch struct {
	*testing.T
	events []modelEvent
	// seen maps the keys of states to the maximum number of events that were left when the state was reached.
	seen map[string]int
	// commits is the number of paths that ended with a commit.
	commits int
}

// replay returns the state at the end of a path. It returns false if an event of the path is not possible.
func replay(path []modelEvent) (*windowModel, bool) {
	model := newWindowModel()
	for _, event := range path {
		if !model.apply(event) {
			return nil, false
		}
	}
	return model, true
}

// explore checks all extensions of a path.
func (m *modelSearch) explore(path []modelEvent) {
	for _, event := range m.events {
		extended := append(slices.Clone(path), event)
		model, possible := replay(extended)
		if !possible {
			continue
		}
		if model.leaders > modelMaxLeaders {
			continue
		}
		if event.kind == eventCollect {
			m.commits++
			if violation := model.violation(); violation != "" {
				m.Fatalf("%s after events %v", violation, extended)
			}
			continue
		}
		left := modelDepth - len(extended)
		key := model.key()
		if known, seen := m.seen[key]; left == 0 || seen && known >= left {
			continue
		}
		m.seen[key] = left
		m.explore(extended)
	}
}

func TestWindowModel_AllOrdersOfClosing(t *testing.T) {
	search := &modelSearch{T: t, events: modelEvents(), seen: map[string]int{}}
	search.explore(nil)
	t.Logf("explored %d states and %d commits", len(search.seen), search.commits)
	if search.commits < 1000 {
		t.Errorf("the search reached %d commits, want at least 1000", search.commits)
	}
}

// Random paths are longer than those of the exhaustive search.
func TestWindowModel_DrawnOrdersOfClosing(t *testing.T) {
	events := modelEvents()
	rapid.Check(t, func(t *rapid.T) {
		model := newWindowModel()
		for range rapid.IntRange(8, 30).Draw(t, "events") {
			event := rapid.SampledFrom(events).Draw(t, "event")
			if !model.apply(event) || event.kind != eventCollect {
				continue
			}
			if violation := model.violation(); violation != "" {
				t.Fatal(violation)
			}
			model.startLeader()
		}
	})
}

// permits reports whether an event is within the limits of a path.
func (w *windowModel) permits(event modelEvent) bool {
	switch event.kind {
	case eventRun:
		return w.totalRuns < modelMaxRuns
	case eventCrash:
		return w.crashes < modelMaxCrashes
	case eventRestart:
		return w.restarts < modelMaxRestarts
	default:
		return true
	}
}
