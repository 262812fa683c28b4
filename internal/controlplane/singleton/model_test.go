package singleton

import (
	"encoding/binary"
	"flag"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/enginecommand"
	"coursepass/internal/state/outbox"
)

// The model searches all orders of elections, leases, proposals, calls, answers and crashes of two servers that
// report two windows. It drives the leadership and the outbox themselves; the log, the lease of the voters, the
// network and the platform are modelled. An observer at the platform judges what arrives.

const (
	modelServers = 2
	modelWindows = 2
	// modelTick is the unit of the model's time: bytes that are given to the kernel arrive within one tick or never.
	modelTick = sendTimeout
	// modelLease is the duration of a lease, and of the quiet period after the first one of a term.
	modelLease = 2 * modelTick
	// modelDelay is how many ticks after the last check of the lease a call may arrive: a process may be frozen
	// for as long as the quiet period between the check and the system call.
	modelDelay = 1 + int(modelLease/modelTick)
	// modelFaultsOfKind is how many faults of one kind there are at most.
	modelFaultsOfKind = 1
)

// modelBounds end a search. Faults are crashes, losses of the outbox, and proposals and calls without an answer.
type modelBounds struct {
	ticks     int
	elections uint64
	faults    int
}

// modelVariant takes one guard out, or none.
type modelVariant struct {
	// sendsDrafts sends what a task drafts without waiting for its commit.
	sendsDrafts bool
	// acceptsTwice has the outbox accept a number again.
	acceptsTwice bool
	// derivesAnew has a new leader send counts of its own for what it took over.
	derivesAnew bool
	// fenceOfDraft sends an entry under the term in which it was drafted.
	fenceOfDraft bool
	// noLeaseCheck begins and writes calls without a lease.
	noLeaseCheck bool
	// noWriteCheck checks the lease when a call begins and not when it is written.
	noWriteCheck bool
	// noQuietPeriod lets a new leader send as soon as it has its lease.
	noQuietPeriod bool
	// overlappingLeases has the voters grant a lease before the last one has expired.
	overlappingLeases bool
	// noFloors resets a lost outbox without floors.
	noFloors bool
	// newDraftWhileUnknown drafts anew while the outcome of a proposal is unknown.
	newDraftWhileUnknown bool
	// noFirstRead has a new leader begin with what it knew of the outbox before.
	noFirstRead bool
	// anyLease lets a call be written under the lease of another term of the same server.
	anyLease bool
}

// draftFormat is how drafts, and what is derived anew from them, begin.
const draftFormat = "window %d term %d"

// modelFault is a kind of fault.
type modelFault int

const (
	faultCrash modelFault = iota
	faultOutboxLost
	faultProposalUnknown
	faultAnswerLost
	modelFaultKinds
)

// allows tells whether one more fault of a kind may happen.
func (m *modelSearch) allows(state *modelState, kind modelFault) bool {
	total := 0
	for _, count := range state.faults {
		total += count
	}
	return total < m.faults && state.faults[kind] < modelFaultsOfKind
}

// modelCall is a call of a server: chosen, and at writtenAt written.
type modelCall struct {
	holder    int
	entry     outbox.Entry
	term      uint64
	written   bool
	arrived   bool
	writtenAt int
}

// modelServer is one of the servers that may lead.
type modelServer struct {
	leader *leadership
	guard  *enginecommand.LeaseGuard
	view   outbox.View
	// call is the one that the sender waits for.
	call *modelCall
	// late is a proposal of this term whose outcome is unknown and that may still be committed.
	late *outbox.Operation
	// drafts counts the drafts, so that no two have the same counts.
	drafts int
}

// modelState is one state of the model.
type modelState struct {
	now int
	// committed is the state that the log has led to, and term the last elected leader's.
	committed *outbox.State
	term      uint64
	leader    int
	servers   [modelServers]modelServer
	// network are calls that were given up by their sender and may still arrive.
	network []modelCall
	// leaseEnds is when the last granted lease has expired for the voters.
	leaseEnds clock.Microseconds
	// faults counts the faults by kind.
	faults   [modelFaultKinds]int
	observer modelObserver
}

func (s *modelState) time() clock.Microseconds { return clock.Microseconds(s.now) * modelTick }

// modelObserver judges the calls that arrive, by the rules as they are written.
type modelObserver struct {
	highestFence uint64
	holderOf     map[uint64]int
	bodyOf       map[uint64]string
	// arrivals are the last ones, as holder and time.
	arrivals  []modelArrival
	violation string
}

type modelArrival struct{ holder, at int }

func (o *modelObserver) record(holder, now int, fence, window uint64, body string) {
	if known, seen := o.bodyOf[window]; seen && known != body {
		o.violation = fmt.Sprintf("window %d is reported as %q and %q", window, known, body)
	}
	if known, seen := o.holderOf[fence]; seen && known != holder {
		o.violation = fmt.Sprintf("servers %d and %d send fence %d", known, holder, fence)
	}
	if fence < o.highestFence {
		o.violation = fmt.Sprintf("fence %d after %d", fence, o.highestFence)
	}
	const leaseTicks = int(modelLease / modelTick)
	otherSince := false
	for _, earlier := range slices.Backward(o.arrivals) {
		switch {
		case now-earlier.at >= leaseTicks:
		case earlier.holder != holder:
			otherSince = true
		case otherSince:
			o.violation = fmt.Sprintf("server %d acts again after another one inside a lease", holder)
		}
	}
	o.bodyOf, o.holderOf = maps.Clone(o.bodyOf), maps.Clone(o.holderOf)
	o.bodyOf[window], o.holderOf[fence] = body, holder
	o.highestFence = max(o.highestFence, fence)
	o.arrivals = append(slices.Clone(o.arrivals), modelArrival{holder, now})
}

func newModelState() *modelState {
	return &modelState{
		committed: outbox.NewState(),
		leader:    -1,
		observer:  modelObserver{holderOf: map[uint64]int{}, bodyOf: map[uint64]string{}},
	}
}

// clone copies what the steps change in place.
func (s *modelState) clone() *modelState {
	copied := *s
	state := *s.committed
	copied.committed = &state
	copied.network = slices.Clone(s.network)
	for index := range copied.servers {
		server := &copied.servers[index]
		if server.call != nil {
			call := *server.call
			server.call = &call
		}
		if server.leader != nil {
			server.leader = cloneLeadership(server.leader)
		}
	}
	return &copied
}

func cloneLeadership(source *leadership) *leadership {
	calls := *source.delivery
	calls.lanes = map[outbox.Subject]*lane{}
	for subject, known := range source.lanes {
		copied := *known
		calls.lanes[subject] = &copied
	}
	return &leadership{delivery: &calls, unresolved: source.unresolved}
}

// modelKey is the encoding of a state, for its hash.
type modelKey struct{ bytes []byte }

func (m *modelKey) numbers(values ...int) {
	for _, value := range values {
		m.bytes = binary.AppendVarint(m.bytes, int64(value))
	}
}

func (m *modelKey) flag(value bool) {
	m.bytes = append(m.bytes, 0)
	if value {
		m.bytes[len(m.bytes)-1] = 1
	}
}

func (m *modelKey) text(value string) {
	m.numbers(len(value))
	m.bytes = append(m.bytes, value...)
}

func (m *modelKey) view(view outbox.View) {
	m.flag(view.Incomplete)
	m.numbers(int(view.Subjects[modelSubject].Highest), len(view.Pending))
	for _, entry := range view.Pending {
		m.text(string(entry.Payload))
	}
}

func (m *modelKey) operation(operation *outbox.Operation) {
	m.flag(operation != nil)
	if operation == nil {
		return
	}
	m.flag(operation.Reset)
	m.numbers(len(operation.Drafts), len(operation.Done), len(operation.Floors))
	for _, draft := range operation.Drafts {
		m.text(string(draft.Payload))
	}
	for _, mark := range slices.Concat(operation.Done, operation.Floors) {
		m.numbers(int(mark.Number))
	}
}

func (m *modelKey) call(call *modelCall) {
	m.flag(call != nil)
	if call == nil {
		return
	}
	m.numbers(call.holder, int(call.term), call.writtenAt)
	m.flag(call.written)
	m.flag(call.arrived)
	m.text(string(call.entry.Payload))
}

func (m *modelKey) server(server *modelServer) {
	m.numbers(server.drafts)
	m.view(server.view)
	m.call(server.call)
	m.operation(server.late)
	m.flag(server.guard != nil)
	if server.guard != nil {
		m.numbers(int(server.guard.Term), int(server.guard.NotBefore/modelTick), int(server.guard.NotAfter/modelTick))
	}
	m.flag(server.leader != nil)
	if server.leader == nil {
		return
	}
	m.numbers(int(server.leader.term))
	m.flag(server.leader.inFlight)
	m.operation(server.leader.unresolved)
	if known, exists := server.leader.lanes[modelSubject]; exists {
		m.numbers(int(known.delivered), known.failures, int(known.notBefore), int(known.deliveredAt))
	}
}

func (m *modelKey) observer(observer *modelObserver, now int) {
	m.numbers(int(observer.highestFence))
	for window := range uint64(modelWindows + 1) {
		m.text(observer.bodyOf[window])
	}
	for fence := range observer.highestFence + 1 {
		holder, seen := observer.holderOf[fence]
		m.flag(seen)
		m.numbers(holder)
	}
	for _, arrival := range observer.arrivals {
		if now-arrival.at < int(modelLease/modelTick) {
			m.numbers(arrival.holder, arrival.at)
		}
	}
}

// hash tells states apart.
func (s *modelState) hash() uint64 {
	key := &modelKey{}
	key.numbers(s.now, int(s.term), s.leader, int(s.leaseEnds/modelTick))
	key.numbers(s.faults[:]...)
	key.view(s.committed.View)
	key.numbers(len(s.network))
	for _, call := range s.network {
		key.call(&call)
	}
	for index := range s.servers {
		key.server(&s.servers[index])
	}
	key.observer(&s.observer, s.now)
	hash := fnv.New64a()
	_, _ = hash.Write(key.bytes) // A hash never fails.
	return hash.Sum64()
}

var modelSubject = newReport(0).Subject

// endedWindows is the number of the last window that has ended: the second ends two ticks after the first.
func (s *modelState) endedWindows() uint64 { return min(uint64(1+s.now/2), modelWindows) }

// drafts returns the reports of a server that its view lacks, the next window only.
func (s *modelState) drafts(index int) []outbox.Entry {
	server := &s.servers[index]
	highest, _ := server.view.Highest(modelSubject)
	if highest >= s.endedWindows() {
		return nil
	}
	server.drafts++
	draft := newReport(highest + 1)
	draft.Payload = fmt.Appendf(nil, draftFormat+" draft %d", highest+1, server.leader.term, server.drafts)
	return []outbox.Entry{draft}
}

// modelSearch searches the states of a variant.
type modelSearch struct {
	modelVariant
	modelBounds
	// visited has the hashes of the visited states.
	visited map[uint64]bool
	// violation is the first that was found, with the steps to it; the search stops there.
	violation string
	path      []string
	arrivals  int
}

func (m *modelSearch) visit(state *modelState) {
	if m.violation != "" || len(m.visited) >= modelStateLimit {
		return
	}
	if state.observer.violation != "" {
		m.violation = state.observer.violation + " after " + strings.Join(m.path, ", ")
		return
	}
	key := state.hash()
	if m.visited[key] {
		return
	}
	m.visited[key] = true
	m.visitEnvironment(state)
	for index := range state.servers {
		m.visitServer(state, index)
	}
}

// step visits the state that a change leads to.
func (m *modelSearch) step(state *modelState, name string, change func(*modelState)) {
	next := state.clone()
	change(next)
	m.path = append(m.path, name)
	m.visit(next)
	m.path = m.path[:len(m.path)-1]
}

// visitEnvironment visits what happens outside the servers: time, elections, leases and late arrivals.
func (m *modelSearch) visitEnvironment(state *modelState) {
	if state.now < m.ticks {
		m.step(state, "tick", func(next *modelState) { m.tick(next) })
	}
	for index := range state.servers {
		if state.term < m.elections && (state.term > 0 || index == 0) {
			m.step(state, fmt.Sprint("elect ", index), func(next *modelState) { m.elect(next, index, false) })
			if m.allows(state, faultOutboxLost) && state.term > 0 {
				m.step(state, fmt.Sprint("elect without outbox ", index), func(next *modelState) { m.elect(next, index, true) })
			}
		}
		if m.allows(state, faultCrash) && state.servers[index].leader != nil {
			m.step(state, fmt.Sprint("crash ", index), func(next *modelState) { next.crash(index) })
		}
	}
	if m.mayGrant(state) {
		m.step(state, "lease", func(next *modelState) { m.grant(next) })
	}
	for position := range state.network {
		m.step(state, "late arrival", func(next *modelState) {
			late := next.network[position]
			next.network = slices.Delete(next.network, position, position+1)
			m.arrive(next, late)
		})
	}
}

// tick passes time. What was not delivered within a tick is given up by the kernel.
func (m *modelSearch) tick(state *modelState) {
	state.now++
	m.renew(state)
	isLost := func(call modelCall) bool { return state.now-call.writtenAt > modelDelay }
	state.network = slices.DeleteFunc(state.network, isLost)
	for index := range state.servers {
		if call := state.servers[index].call; call != nil && call.written && !call.arrived && isLost(*call) {
			state.servers[index].finish(state, failed)
		}
	}
}

// finish ends the call of a server.
func (m *modelServer) finish(state *modelState, outcome callOutcome) {
	call := m.call
	m.call = nil
	if m.leader != nil && m.leader.term == call.term {
		m.leader.finish(state.time(), call.entry, outcome, 0)
	}
}

// elect makes a server the leader of the next term. It has applied all that was committed; if the outbox is
// lost, its members were rebuilt from copies without it.
func (m *modelSearch) elect(state *modelState, index int, outboxLost bool) {
	state.term++
	state.leader = index
	if outboxLost {
		state.faults[faultOutboxLost]++
		state.committed = outbox.NewState()
		state.committed.Incomplete = true
	}
	server := &state.servers[index]
	server.leader, server.guard = newLeadership(state.term), nil
	if !m.noFirstRead {
		state.read(index)
	}
	for other := range state.servers {
		state.servers[other].late = nil
	}
}

// crash ends a server's process, which starts again at once. What it has written may still arrive.
func (s *modelState) crash(index int) {
	s.faults[faultCrash]++
	server := &s.servers[index]
	if server.call != nil && server.call.written && !server.call.arrived {
		s.network = append(s.network, *server.call)
	}
	*server = modelServer{drafts: server.drafts}
}

// mayGrant tells whether the voters grant the leader its first lease of the term now.
func (m *modelSearch) mayGrant(state *modelState) bool {
	if state.leader < 0 || !state.leads(state.leader) || state.servers[state.leader].guard != nil {
		return false
	}
	return m.overlappingLeases || state.time() >= state.leaseEnds
}

// grant grants the leader its first lease of the term.
func (m *modelSearch) grant(state *modelState) {
	server := &state.servers[state.leader]
	server.guard = &enginecommand.LeaseGuard{Term: state.term, NotBefore: state.time() + modelLease}
	if m.noQuietPeriod {
		server.guard.NotBefore = state.time()
	}
	m.renew(state)
}

// renew renews the lease of the leader, if it has one, as it does all the time. Voters that grant several leases
// at a time renew all of them.
func (m *modelSearch) renew(state *modelState) {
	for index := range state.servers {
		server := &state.servers[index]
		if server.guard == nil || !state.leads(index) && !m.overlappingLeases {
			continue
		}
		renewed := *server.guard
		renewed.NotAfter = state.time() + modelLease
		server.guard, state.leaseEnds = &renewed, renewed.NotAfter
	}
}

// arrive has the platform receive a call.
func (m *modelSearch) arrive(state *modelState, call modelCall) {
	fence := call.term
	if m.fenceOfDraft {
		fence = draftTerm(call.entry)
	}
	m.arrivals++
	state.observer.record(call.holder, state.now, fence, call.entry.Number, string(call.entry.Payload))
}

// draftTerm returns the term in which an entry was drafted.
func draftTerm(entry outbox.Entry) uint64 {
	var window, term uint64
	_, _ = fmt.Sscanf(string(entry.Payload), draftFormat, &window, &term)
	return term
}

// visitServer visits what a server does.
func (m *modelSearch) visitServer(state *modelState, index int) {
	if state.servers[index].leader != nil {
		m.visitPass(state, index)
	}
	call := state.servers[index].call
	name := func(event string) string { return fmt.Sprint(event, " ", index) }
	switch {
	case call == nil:
		m.visitBegin(state, index)
	case !call.written:
		m.step(state, name("write"), func(next *modelState) { m.write(next, index) })
		if leader := state.servers[index].leader; leader != nil && leader.term == call.term {
			break
		}
		m.step(state, name("abandon"), func(next *modelState) { next.servers[index].finish(next, blocked) })
	case !call.arrived:
		m.step(state, name("arrive"), func(next *modelState) {
			next.servers[index].call.arrived = true
			m.arrive(next, *next.servers[index].call)
		})
		if m.allows(state, faultAnswerLost) {
			m.step(state, name("time out"), func(next *modelState) { next.loseAnswer(index) })
		}
	default:
		m.step(state, name("answer"), func(next *modelState) { next.servers[index].finish(next, accepted) })
		if m.allows(state, faultAnswerLost) {
			m.step(state, name("lose answer"), func(next *modelState) { next.loseAnswer(index) })
		}
	}
}

// visitPass visits the outcomes of a server's proposal, if it makes one.
func (m *modelSearch) visitPass(state *modelState, index int) {
	leads := state.leads(index)
	if late := state.servers[index].late; late != nil && leads {
		m.step(state, fmt.Sprint("commit late ", index), func(next *modelState) {
			m.commit(next, *late)
			next.servers[index].late = nil
		})
	}
	probe := state.clone()
	if _, due := m.nextOperation(probe, index); !due {
		if leads && state.servers[index].view.Accepted != state.committed.Accepted {
			m.step(state, fmt.Sprint("read ", index), func(next *modelState) { next.read(index) })
		}
		return
	}
	if leads {
		m.visitCommits(state, index)
	}
	// A server that was deposed commits nothing: that it does not know makes a difference only if it sends drafts.
	if m.allows(state, faultProposalUnknown) && (leads || m.sendsDrafts) {
		m.propose(state, index, "unknown", func(next *modelState, server *modelServer, operation outbox.Operation) {
			next.faults[faultProposalUnknown]++
			server.late = &operation
			server.leader.resolve(operation, proposalUnknown)
		})
	}
}

// visitCommits visits the outcomes of a leader's proposal that is committed.
func (m *modelSearch) visitCommits(state *modelState, index int) {
	m.propose(state, index, "committed", func(next *modelState, server *modelServer, operation outbox.Operation) {
		m.commit(next, operation)
		server.leader.resolve(operation, proposalApplied)
	})
	if earlier := state.servers[index].late; earlier != nil {
		m.propose(state, index, "committed after an earlier one", func(
			next *modelState, server *modelServer, operation outbox.Operation,
		) {
			m.commit(next, *earlier)
			m.commit(next, operation)
			server.leader.resolve(operation, proposalApplied)
		})
	}
	if m.allows(state, faultProposalUnknown) {
		m.propose(state, index, "answer lost", func(next *modelState, server *modelServer, operation outbox.Operation) {
			next.faults[faultProposalUnknown]++
			m.commit(next, operation)
			server.leader.resolve(operation, proposalUnknown)
		})
	}
}

// propose visits one outcome of a server's proposal. The log keeps the order of proposals: an earlier one whose
// outcome is unknown is committed before this one or never. A leader reads the result.
func (m *modelSearch) propose(
	state *modelState, index int, outcome string, effect func(*modelState, *modelServer, outbox.Operation),
) {
	m.step(state, fmt.Sprint("propose ", index, " ", outcome), func(next *modelState) {
		operation, _ := m.nextOperation(next, index)
		next.servers[index].late = nil
		effect(next, &next.servers[index], operation)
		if state.leads(index) {
			next.read(index)
		}
	})
}

// nextOperation returns what a server proposes now.
func (m *modelSearch) nextOperation(state *modelState, index int) (outbox.Operation, bool) {
	server := &state.servers[index]
	if m.newDraftWhileUnknown {
		server.leader.unresolved = nil
	}
	tasks := contribution{request: server.leader.nextRequest(server.view)}
	switch tasks.request {
	case requestNothing:
	case requestFloors:
		if !m.noFloors {
			tasks.floors = []outbox.Mark{newReport(state.endedWindows()).Mark()}
		}
	case requestDrafts:
		tasks.drafts = state.drafts(index)
	}
	operation, due := server.leader.nextOperation(state.time(), server.view, tasks)
	if m.sendsDrafts && len(operation.Drafts) > 0 {
		sent := outbox.State{View: server.view}
		sent.Apply(operation)
		server.view = sent.View
	}
	return operation, due
}

// leads tells whether a server is the last that was elected, so that it can commit.
func (s *modelState) leads(index int) bool {
	leader := s.servers[index].leader
	return s.leader == index && leader != nil && leader.term == s.term
}

// read has a server read the outbox as the log has it.
func (s *modelState) read(index int) { s.servers[index].view = s.committed.View }

// commit applies an operation.
func (m *modelSearch) commit(state *modelState, operation outbox.Operation) {
	if m.acceptsTwice {
		for _, draft := range operation.Drafts {
			state.committed.Pending = slices.DeleteFunc(slices.Clone(state.committed.Pending), func(entry outbox.Entry) bool {
				return entry.Number == draft.Number
			})
			state.committed.Subjects = map[outbox.Subject]outbox.SubjectRecord{}
		}
	}
	state.committed.Apply(operation)
}

// visitBegin visits the choice of a call.
func (m *modelSearch) visitBegin(state *modelState, index int) {
	server := &state.servers[index]
	if server.leader == nil {
		return
	}
	entry, ready := server.leader.next(state.time(), m.guardOf(server, server.leader.term), server.view)
	if ready != readinessReady {
		return
	}
	if m.derivesAnew && draftTerm(entry) != server.leader.term {
		entry.Payload = fmt.Appendf(nil, draftFormat+" anew", entry.Number, server.leader.term)
	}
	m.step(state, fmt.Sprint("begin ", index), func(next *modelState) {
		next.servers[index].leader.begin()
		next.servers[index].call = &modelCall{holder: index, entry: entry, term: server.leader.term}
	})
}

// guardOf returns the lease under which a server sends in a term.
func (m *modelSearch) guardOf(server *modelServer, term uint64) *enginecommand.LeaseGuard {
	if m.noLeaseCheck {
		return &enginecommand.LeaseGuard{Term: term, NotAfter: clock.Never}
	}
	if m.anyLease && server.guard != nil {
		guard := *server.guard
		guard.Term = term
		return &guard
	}
	return server.guard
}

// write writes the chosen call of a server, if its lease allows that.
func (m *modelSearch) write(state *modelState, index int) {
	server := &state.servers[index]
	if !m.noWriteCheck && !leaseCovers(m.guardOf(server, server.call.term), server.call.term, state.time()) {
		server.finish(state, blocked)
		return
	}
	server.call.written, server.call.writtenAt = true, state.now
}

// loseAnswer has a server time out. What it has written may still arrive.
func (s *modelState) loseAnswer(index int) {
	s.faults[faultAnswerLost]++
	server := &s.servers[index]
	if !server.call.arrived {
		s.network = append(s.network, *server.call)
	}
	server.finish(s, failed)
}

// modelStateLimit keeps a search from running for too long; a complete one stays below it.
const modelStateLimit = 12_000_000

func search(variant modelVariant, bounds modelBounds) *modelSearch {
	result := &modelSearch{modelVariant: variant, modelBounds: bounds, visited: map[uint64]bool{}}
	result.visit(newModelState())
	return result
}

var completeSearch = flag.Bool("complete", false, "search the model with two faults together and three elections")

func TestModel_AllOrdersKeepTheRules(t *testing.T) {
	searches := []modelBounds{{ticks: 6, elections: 2, faults: 1}, {ticks: 4, elections: 3, faults: 1}}
	if *completeSearch {
		searches = []modelBounds{{ticks: 7, elections: 3, faults: 2}}
	}
	for _, bounds := range searches {
		result := search(modelVariant{}, bounds)
		if result.violation != "" {
			t.Errorf("%+v: %s", bounds, result.violation)
		}
		if len(result.visited) >= modelStateLimit || result.arrivals == 0 {
			t.Errorf("%+v: %d states, %d arrivals", bounds, len(result.visited), result.arrivals)
		}
		t.Logf("%+v: %d states, %d arrivals", bounds, len(result.visited), result.arrivals)
	}
}

// wideningBounds are the bounds within which a violation is looked for, one after the other.
var wideningBounds = []modelBounds{
	{ticks: 4, elections: 2, faults: 0},
	{ticks: 6, elections: 2, faults: 0},
	{ticks: 6, elections: 2, faults: 1},
	{ticks: 4, elections: 3, faults: 1},
}

// Each guard that is taken out by itself lets a rule be broken.
func TestModel_EachGuardIsNeeded(t *testing.T) {
	for name, variant := range map[string]modelVariant{
		"intent committed first":                                  {sendsDrafts: true},
		"a successor sends the same bytes":                        {derivesAnew: true},
		"the fence is the sender's own term":                      {fenceOfDraft: true},
		"no call without a lease":                                 {noLeaseCheck: true},
		"the lease is checked at the write":                       {noWriteCheck: true},
		"a call is written under its term's lease":                {anyLease: true},
		"a new leader is quiet for a lease":                       {noQuietPeriod: true},
		"one lease at a time":                                     {overlappingLeases: true},
		"a reset has floors":                                      {noFloors: true},
		"a number is accepted once, and a new leader reads first": {acceptsTwice: true, noFirstRead: true},
	} {
		t.Run(name, func(t *testing.T) {
			states := 0
			for _, bounds := range wideningBounds {
				result := search(variant, bounds)
				states += len(result.visited)
				if result.violation != "" {
					t.Logf("%s: %d states: %s", name, states, result.violation)
					return
				}
			}
			t.Errorf("%s: no violation in %d states", name, states)
		})
	}
}

// The observer itself is shown to see each violation.
func TestModelObserver_SeesEachViolation(t *testing.T) {
	type call struct {
		holder, at    int
		fence, window uint64
		body          string
	}
	for name, test := range map[string]struct {
		calls    []call
		violated bool
	}{
		"exact repeat under a later fence": {[]call{{0, 0, 1, 1, "a"}, {1, 5, 2, 1, "a"}}, false},
		"other counts":                     {[]call{{0, 0, 1, 1, "a"}, {1, 5, 2, 1, "b"}}, true},
		"lower fence":                      {[]call{{0, 0, 2, 1, "a"}, {0, 0, 1, 2, "b"}}, true},
		"one fence, two holders":           {[]call{{0, 0, 1, 1, "a"}, {1, 5, 1, 2, "b"}}, true},
		"alternating inside a lease":       {[]call{{0, 0, 1, 1, "a"}, {1, 0, 2, 2, "b"}, {0, 1, 3, 3, "c"}}, true},
		"alternating a lease apart":        {[]call{{0, 0, 1, 1, "a"}, {1, 2, 2, 2, "b"}, {0, 4, 3, 3, "c"}}, false},
		"one change inside a lease":        {[]call{{0, 0, 1, 1, "a"}, {0, 0, 1, 2, "b"}, {1, 1, 2, 3, "c"}}, false},
	} {
		observer := modelObserver{holderOf: map[uint64]int{}, bodyOf: map[uint64]string{}}
		for _, arrived := range test.calls {
			observer.record(arrived.holder, arrived.at, arrived.fence, arrived.window, arrived.body)
		}
		if violated := observer.violation != ""; violated != test.violated {
			t.Errorf("%s: %q", name, observer.violation)
		}
	}
}
