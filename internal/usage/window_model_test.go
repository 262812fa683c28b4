package usage_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"coursepass/internal/clock"
	"coursepass/internal/usage"
)

// The model closes one window with two routers, two servers and two leaders in turn, over the real meters, ledgers
// and collections. The search tries all sequences of the events below up to a depth. A path is replayed from its
// start for each of its events, since the real parts can't be copied; paths that lead to a state that was seen
// with as many events left are not followed.

const (
	modelRouters = 2
	modelServers = 2
	modelTenant  = "a"
	// modelDepth is the number of events of a path.
	modelDepth = 8
	// The most events of each kind in a path.
	modelMaxRuns     = 2
	modelMaxCrashes  = 1
	modelMaxRestarts = 1
	modelMaxLeaders  = 2
)

// modelEvent is an event with the router and the server that it concerns.
type modelEvent struct {
	kind   string
	router int
	server int
}

// The kinds of events.
const (
	eventRun        = "a router counts a request"
	eventDeliver    = "a report and its answer arrive"
	eventLoseAnswer = "a report arrives, its answer is lost"
	eventCrash      = "a router is restarted"
	eventRestart    = "a server is restarted"
	eventHear       = "the leader gets the digests of a server"
	eventCollect    = "the leader collects from those that it has heard and commits"
	eventLeader     = "another leader begins anew"
)

// modelEvents are all events. Since routers and servers are alike, only the first ones are restarted.
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
		events = append(events, modelEvent{kind: eventHear, server: server})
	}
	return events
}

// modelRouter is a router with what it knows of each server.
type modelRouter struct {
	meter       *usage.Meter
	incarnation uint64
	// runs are the requests of this incarnation in the model's own count.
	runs uint64
	// deliveries are by server, since each decides about one server here.
	deliveries [modelServers]*usage.Delivery
	// received and incarnations are what the deliveries have to know of each server, by the model's own account.
	received     [modelServers]uint64
	incarnations [modelServers]uint64
}

// modelServer is a server with its ledger.
type modelServer struct {
	ledger      *usage.Ledger
	incarnation uint64
	// arrived has the count that has arrived, by reporter, in the model's own count.
	arrived map[usage.ReporterID]uint64
}

// windowModel is the state that a path leads to.
type windowModel struct {
	routers   [modelRouters]*modelRouter
	servers   [modelServers]*modelServer
	monotonic clock.Microseconds
	// totalRuns are all requests that were counted, crashes, restarts and leaders the events so far.
	totalRuns uint64
	crashes   int
	restarts  int
	leaders   int
	// The present collection: heard are the servers whose digests it has, atHearing what they had then.
	collection *usage.Collection
	heard      [modelServers]bool
	atHearing  map[usage.ReporterID]uint64
	// committed is the sum that was committed, which ends a path.
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
	w.heard = [modelServers]bool{}
	w.atHearing = map[usage.ReporterID]uint64{}
}

func (w *windowModel) reporter(number int) usage.ReporterID {
	return usage.NewReporterID(fmt.Sprint(number), w.routers[number].incarnation)
}

// deliver brings a report to a server: all that the server has not confirmed, and all that is held once the server is
// known to be another incarnation. It reports false while there is nothing to report.
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
		panic(fmt.Sprintf("sent what has changed since %d, not %d", shipment.Since, router.received[event.server]))
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

// apply applies an event. It reports false if the event is not possible in this state.
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
	case eventHear:
		return w.hear(event.server)
	case eventCollect:
		return w.collect()
	case eventLeader:
		w.startLeader()
	}
	return true
}

func (w *windowModel) hear(number int) bool {
	if w.heard[number] {
		return false
	}
	server := w.servers[number]
	w.heard[number] = true
	w.collection.RecordDigests(fmt.Sprint(number), server.ledger.Digests(modelWindow))
	for reporter, count := range server.arrived {
		w.atHearing[reporter] = max(w.atHearing[reporter], count)
	}
	return true
}

// collect asks the servers for their counts, and commits the sum. A server that was restarted after it was heard has
// nothing any more.
func (w *windowModel) collect() bool {
	if w.heard == [modelServers]bool{} {
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

// violation says what is wrong with the committed sum right after it was committed, "" if nothing is.
func (w *windowModel) violation() string {
	least := uint64(0)
	for _, count := range w.atHearing {
		least += count
	}
	switch {
	case w.committed > w.totalRuns:
		return fmt.Sprintf("%d requests are reported of %d", w.committed, w.totalRuns)
	case w.committed < least && w.restarts == 0:
		return fmt.Sprintf("%d requests are reported, %d were known to the servers that were heard", w.committed, least)
	case w.lossless() && w.committed != w.totalRuns:
		return fmt.Sprintf("%d requests are reported of %d, without any failure", w.committed, w.totalRuns)
	}
	return ""
}

// lossless reports whether nothing was lost: no failure, both servers were heard, and had all counts.
func (w *windowModel) lossless() bool {
	known := uint64(0)
	for _, count := range w.atHearing {
		known += count
	}
	return w.crashes+w.restarts == 0 && known == w.totalRuns
}

// key identifies the state.
func (w *windowModel) key() string {
	key := fmt.Sprint(w.totalRuns, w.crashes, w.restarts, w.leaders, w.heard)
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
	return key + fmt.Sprint(w.atHearing, w.collection.Totals())
}

// modelSearch is a search over all paths.
type modelSearch struct {
	*testing.T
	events []modelEvent
	// seen has the most events that were left in each state.
	seen    map[string]int
	commits int
}

// replay returns the state that a path leads to; false if its last event is not possible.
func replay(path []modelEvent) (*windowModel, bool) {
	model := newWindowModel()
	for _, event := range path {
		if !model.apply(event) {
			return nil, false
		}
	}
	return model, true
}

func (m *modelSearch) explore(path []modelEvent) {
	for _, event := range m.events {
		longer := append(slices.Clone(path), event)
		model, possible := replay(longer)
		if !possible {
			continue
		}
		if model.leaders > modelMaxLeaders {
			continue
		}
		if event.kind == eventCollect {
			m.commits++
			if violation := model.violation(); violation != "" {
				m.Fatalf("%s, after %v", violation, longer)
			}
			continue
		}
		left := modelDepth - len(longer)
		key := model.key()
		if known, seen := m.seen[key]; left == 0 || seen && known >= left {
			continue
		}
		m.seen[key] = left
		m.explore(longer)
	}
}

func TestWindowModel_AllOrdersOfClosing(t *testing.T) {
	search := &modelSearch{T: t, events: modelEvents(), seen: map[string]int{}}
	search.explore(nil)
	t.Logf("%d states, %d times committed", len(search.seen), search.commits)
	if search.commits < 1000 {
		t.Errorf("only %d commits were reached", search.commits)
	}
}

// Longer paths are drawn.
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

// permits reports whether an event exceeds none of the bounds of a path.
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
