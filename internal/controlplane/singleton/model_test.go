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

// This file is a model checker. It searches all orders of elections, leases, proposals, calls, responses and crashes
// for two servers that report two usage windows. It runs the real leadership and outbox code; the log, the lease
// granted by the voters, the network and the platform are modelled. An observer at the platform checks every call
// that arrives.

const (
	// modelServers is the number of servers.
	modelServers = 2
	// modelWindows is the number of usage windows.
	modelWindows = 2
	// modelTick is the unit of time of the model: bytes passed to the kernel arrive within one tick or never.
	modelTick = sendTimeout
	// modelLease is the duration of a lease, and of the quiet period that follows the first lease of a term.
	modelLease = 2 * modelTick
	// modelMaxDelay is the maximum number of ticks from the last lease check until a call arrives. Between the check
	// and the system call, the process may be frozen for as long as the quiet period.
	modelMaxDelay = 1 + int(modelLease/modelTick)
	// modelMaxFaultsPerKind is the maximum number of faults of each kind.
	modelMaxFaultsPerKind = 1
)

// modelBounds limits a search.
type modelBounds struct {
	// ticks is the maximum time.
	ticks int
	// elections is the maximum number of elections.
	elections uint64
	// faults is the maximum number of faults of all kinds together: crashes, losses of the outbox, and proposals and
	// calls without a response.
	faults int
}

// modelVariant disables safeguards. The zero value disables none.
type modelVariant struct {
	// sendsDrafts makes a server send drafts before they are committed.
	sendsDrafts bool
	// acceptsNumberTwice makes the outbox accept a number more than once.
	acceptsNumberTwice bool
	// redraftsOnTakeover makes a new leader send its own counts for entries of earlier leaders.
	redraftsOnTakeover bool
	// sendsDraftTerm makes a server send an entry with the term in which the entry was drafted as its fencing token.
	sendsDraftTerm bool
	// noLeaseCheck allows calls to be started and written without a lease.
	noLeaseCheck bool
	// noWriteCheck makes a server check the lease only when a call starts, not when it is written.
	noWriteCheck bool
	// noQuietPeriod allows a new leader to send as soon as it has a lease.
	noQuietPeriod bool
	// overlappingLeases makes the voters grant a lease before the previous one has expired.
	overlappingLeases bool
	// noFloors resets a lost outbox without floors.
	noFloors bool
	// newDraftWhileUnknown makes a leader propose new drafts while the outcome of a proposal is unknown.
	newDraftWhileUnknown bool
	// noInitialRead makes a new leader start with its previous view of the outbox instead of reading it.
	noInitialRead bool
	// acceptsAnyLease allows a call to be written under a lease of the same server for another term.
	acceptsAnyLease bool
}

// draftFormat is the format of the beginning of each payload: the window, and the term in which it was drafted.
const draftFormat = "window %d term %d"

// modelFault is a kind of fault.
type modelFault int

const (
	// faultCrash is a crash of a server's process.
	faultCrash modelFault = iota
	// faultOutboxLost is the loss of the committed outbox.
	faultOutboxLost
	// faultProposalUnknown is a proposal whose outcome the leader does not learn.
	faultProposalUnknown
	// faultAnswerLost is a call whose response the server does not receive.
	faultAnswerLost
	// modelFaultKinds is the number of kinds.
	modelFaultKinds
)

// allows reports whether one more fault of the given kind may happen.
func (m *modelSearch) allows(state *modelState, kind modelFault) bool {
	total := 0
	for _, count := range state.faults {
		total += count
	}
	return total < m.faults && state.faults[kind] < modelMaxFaultsPerKind
}

// modelCall is a call that a server has started. writtenAt is the tick at which it was written.
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
	// call is the call in flight, or nil.
	call *modelCall
	// delayedProposal is a proposal of this term whose outcome is unknown and which may still be committed, or nil.
	delayedProposal *outbox.Operation
	// drafts is the number of drafts so far. It is part of each payload, so that no two drafts are equal.
	drafts int
}

// modelState is one state of the model.
type modelState struct {
	// now is the time in ticks.
	now int
	// committed is the state of the outbox after all committed operations.
	committed *outbox.State
	// term is the term of the last elected leader, and leader is its index, or -1 before the first election.
	term    uint64
	leader  int
	servers [modelServers]modelServer
	// abandonedCalls contains calls that their sender has abandoned and that may still arrive.
	abandonedCalls []modelCall
	// leaseEnds is when the last granted lease expires for the voters.
	leaseEnds clock.Microseconds
	// faults is the number of faults by kind.
	faults   [modelFaultKinds]int
	observer modelObserver
}

// time returns the time in microseconds.
func (s *modelState) time() clock.Microseconds { return clock.Microseconds(s.now) * modelTick }

// modelObserver checks the calls that arrive at the platform against the platform's rules. A call's fence is the term
// that it carries.
type modelObserver struct {
	highestFence uint64
	// holderOf is the server that sent calls with a fence.
	holderOf map[uint64]int
	// bodyOf is the body with which a window was reported.
	bodyOf map[uint64]string
	// arrivals contains all calls that arrived, in order.
	arrivals []modelArrival
	// violation describes a broken rule; it is empty if there is none.
	violation string
}

// modelArrival is a call that arrived: its sender and the tick.
type modelArrival struct{ holder, at int }

// record records a call and checks four rules: a window is always reported with the same body, a fence belongs to one
// server, fences never decrease, and within the duration of a lease no server sends both before and after another
// server.
func (o *modelObserver) record(holder, now int, fence, window uint64, body string) {
	if known, seen := o.bodyOf[window]; seen && known != body {
		o.violation = fmt.Sprintf("window %d was reported as %q and as %q", window, known, body)
	}
	if known, seen := o.holderOf[fence]; seen && known != holder {
		o.violation = fmt.Sprintf("servers %d and %d both sent fence %d", known, holder, fence)
	}
	if fence < o.highestFence {
		o.violation = fmt.Sprintf("fence %d arrived after fence %d", fence, o.highestFence)
	}
	const leaseTicks = int(modelLease / modelTick)
	otherInBetween := false
	for _, earlier := range slices.Backward(o.arrivals) {
		switch {
		case now-earlier.at >= leaseTicks:
		case earlier.holder != holder:
			otherInBetween = true
		case otherInBetween:
			o.violation = fmt.Sprintf("server %d sent again after another server within the duration of a lease", holder)
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

// clone returns a copy that shares only data that steps never change in place.
func (s *modelState) clone() *modelState {
	copied := *s
	state := *s.committed
	copied.committed = &state
	copied.abandonedCalls = slices.Clone(s.abandonedCalls)
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
	calls.subjects = map[outbox.Subject]*subjectState{}
	for subject, state := range source.subjects {
		copied := *state
		calls.subjects[subject] = &copied
	}
	return &leadership{delivery: &calls, unresolved: source.unresolved}
}

// modelKey is the encoding of a state from which its hash is computed.
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
	m.operation(server.delayedProposal)
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
	if state, exists := server.leader.subjects[modelSubject]; exists {
		m.numbers(int(state.delivered), state.failures, int(state.notBefore), int(state.deliveredAt))
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

// hash returns a hash that identifies the state.
func (s *modelState) hash() uint64 {
	key := &modelKey{}
	key.numbers(s.now, int(s.term), s.leader, int(s.leaseEnds/modelTick))
	key.numbers(s.faults[:]...)
	key.view(s.committed.View)
	key.numbers(len(s.abandonedCalls))
	for _, call := range s.abandonedCalls {
		key.call(&call)
	}
	for index := range s.servers {
		key.server(&s.servers[index])
	}
	key.observer(&s.observer, s.now)
	hash := fnv.New64a()
	_, _ = hash.Write(key.bytes) // Writing to a hash never fails.
	return hash.Sum64()
}

// modelSubject is the subject of all entries of the model.
var modelSubject = newReport(0).Subject

// endedWindows returns the number of the last window that has ended. Window 1 has ended from the start, and each
// further window ends two ticks after the previous one.
func (s *modelState) endedWindows() uint64 { return min(uint64(1+s.now/2), modelWindows) }

// drafts returns the report that a server drafts for the next window that its view lacks, if that window has ended.
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

// modelSearch searches the reachable states of a variant within bounds, depth first.
type modelSearch struct {
	modelVariant
	modelBounds
	// visited contains the hashes of the visited states.
	visited map[uint64]bool
	// violation is the first violation that was found, with the steps that lead to it. The search stops there.
	violation string
	// path contains the steps to the current state.
	path []string
	// arrivals is the number of calls that arrived in all steps.
	arrivals int
}

// visit visits a state and all states that can be reached from it, unless the state was visited before.
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

// step applies a change to a copy of the state and visits the result.
func (m *modelSearch) step(state *modelState, name string, change func(*modelState)) {
	next := state.clone()
	change(next)
	m.path = append(m.path, name)
	m.visit(next)
	m.path = m.path[:len(m.path)-1]
}

// visitEnvironment visits the events outside the servers: time, elections, crashes, leases and late arrivals.
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
	for position := range state.abandonedCalls {
		m.step(state, "late arrival", func(next *modelState) {
			call := next.abandonedCalls[position]
			next.abandonedCalls = slices.Delete(next.abandonedCalls, position, position+1)
			m.arrive(next, call)
		})
	}
}

// tick advances the time by one tick. Calls that have not arrived modelMaxDelay ticks after their write are lost.
func (m *modelSearch) tick(state *modelState) {
	state.now++
	m.renew(state)
	isLost := func(call modelCall) bool { return state.now-call.writtenAt > modelMaxDelay }
	state.abandonedCalls = slices.DeleteFunc(state.abandonedCalls, isLost)
	for index := range state.servers {
		if call := state.servers[index].call; call != nil && call.written && !call.arrived && isLost(*call) {
			state.servers[index].finish(state, failed)
		}
	}
}

// finish ends the call of a server with an outcome.
func (m *modelServer) finish(state *modelState, outcome callOutcome) {
	call := m.call
	m.call = nil
	if m.leader != nil && m.leader.term == call.term {
		m.leader.finish(state.time(), call.entry, outcome, 0)
	}
}

// elect makes a server the leader of the next term. The server has applied all committed operations. If the outbox is
// lost, the members were restored from snapshots that do not contain it.
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
	if !m.noInitialRead {
		state.read(index)
	}
	for other := range state.servers {
		state.servers[other].delayedProposal = nil
	}
}

// crash restarts a server's process. A call that it has written may still arrive.
func (s *modelState) crash(index int) {
	s.faults[faultCrash]++
	server := &s.servers[index]
	if server.call != nil && server.call.written && !server.call.arrived {
		s.abandonedCalls = append(s.abandonedCalls, *server.call)
	}
	*server = modelServer{drafts: server.drafts}
}

// mayGrant reports whether the voters may grant the leader its first lease of the term now.
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

// renew renews the lease of the leader, if it has one; leaders do this continuously. Voters that grant overlapping
// leases renew all of them.
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

// arrive delivers a call to the platform.
func (m *modelSearch) arrive(state *modelState, call modelCall) {
	fence := call.term
	if m.sendsDraftTerm {
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

// visitServer visits the possible actions of a server.
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

// visitPass visits the outcomes of a server's proposal, if it makes one, and of an earlier unresolved one.
func (m *modelSearch) visitPass(state *modelState, index int) {
	leads := state.leads(index)
	if delayed := state.servers[index].delayedProposal; delayed != nil && leads {
		m.step(state, fmt.Sprint("commit late ", index), func(next *modelState) {
			m.commit(next, *delayed)
			next.servers[index].delayedProposal = nil
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
	// A server that was deposed commits nothing. That it does not know the outcome matters only if it sends drafts.
	if m.allows(state, faultProposalUnknown) && (leads || m.sendsDrafts) {
		m.propose(state, index, "unknown", func(next *modelState, server *modelServer, operation outbox.Operation) {
			next.faults[faultProposalUnknown]++
			server.delayedProposal = &operation
			server.leader.resolve(operation, proposalUnknown)
		})
	}
}

// visitCommits visits the ways in which a leader's proposal may be committed.
func (m *modelSearch) visitCommits(state *modelState, index int) {
	m.propose(state, index, "committed", func(next *modelState, server *modelServer, operation outbox.Operation) {
		m.commit(next, operation)
		server.leader.resolve(operation, proposalApplied)
	})
	if earlier := state.servers[index].delayedProposal; earlier != nil {
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

// propose visits one outcome of a server's proposal. The log preserves the order of proposals: an earlier proposal
// whose outcome is unknown is committed before this one or never. A leader then reads the outbox.
func (m *modelSearch) propose(
	state *modelState, index int, outcome string, effect func(*modelState, *modelServer, outbox.Operation),
) {
	m.step(state, fmt.Sprint("propose ", index, " ", outcome), func(next *modelState) {
		operation, _ := m.nextOperation(next, index)
		next.servers[index].delayedProposal = nil
		effect(next, &next.servers[index], operation)
		if state.leads(index) {
			next.read(index)
		}
	})
}

// nextOperation returns the operation that a server proposes now, and whether there is one.
func (m *modelSearch) nextOperation(state *modelState, index int) (outbox.Operation, bool) {
	server := &state.servers[index]
	if m.newDraftWhileUnknown {
		server.leader.unresolved = nil
	}
	response := taskResponse{request: server.leader.nextRequest(server.view)}
	switch response.request {
	case requestNothing:
	case requestFloors:
		if !m.noFloors {
			response.floors = []outbox.Mark{newReport(state.endedWindows()).Mark()}
		}
	case requestDrafts:
		response.drafts = state.drafts(index)
	}
	operation, due := server.leader.nextOperation(state.time(), server.view, response)
	if m.sendsDrafts && len(operation.Drafts) > 0 {
		sent := outbox.State{View: server.view}
		sent.Apply(operation)
		server.view = sent.View
	}
	return operation, due
}

// leads reports whether a server is the last one that was elected, so that it can commit.
func (s *modelState) leads(index int) bool {
	leader := s.servers[index].leader
	return s.leader == index && leader != nil && leader.term == s.term
}

// read updates a server's view to the committed outbox.
func (s *modelState) read(index int) { s.servers[index].view = s.committed.View }

// commit applies an operation to the committed outbox.
func (m *modelSearch) commit(state *modelState, operation outbox.Operation) {
	if m.acceptsNumberTwice {
		for _, draft := range operation.Drafts {
			state.committed.Pending = slices.DeleteFunc(slices.Clone(state.committed.Pending), func(entry outbox.Entry) bool {
				return entry.Number == draft.Number
			})
			state.committed.Subjects = map[outbox.Subject]outbox.SubjectRecord{}
		}
	}
	state.committed.Apply(operation)
}

// visitBegin visits the start of a call, if an entry is ready.
func (m *modelSearch) visitBegin(state *modelState, index int) {
	server := &state.servers[index]
	if server.leader == nil {
		return
	}
	entry, ready := server.leader.next(state.time(), m.guardOf(server, server.leader.term), server.view)
	if ready != readinessReady {
		return
	}
	if m.redraftsOnTakeover && draftTerm(entry) != server.leader.term {
		entry.Payload = fmt.Appendf(nil, draftFormat+" anew", entry.Number, server.leader.term)
	}
	m.step(state, fmt.Sprint("begin ", index), func(next *modelState) {
		next.servers[index].leader.begin()
		next.servers[index].call = &modelCall{holder: index, entry: entry, term: server.leader.term}
	})
}

// guardOf returns the lease under which a server sends calls of a term.
func (m *modelSearch) guardOf(server *modelServer, term uint64) *enginecommand.LeaseGuard {
	if m.noLeaseCheck {
		return &enginecommand.LeaseGuard{Term: term, NotAfter: clock.Never}
	}
	if m.acceptsAnyLease && server.guard != nil {
		guard := *server.guard
		guard.Term = term
		return &guard
	}
	return server.guard
}

// write writes the started call of a server, or ends it as blocked if the lease does not allow the write.
func (m *modelSearch) write(state *modelState, index int) {
	server := &state.servers[index]
	if !m.noWriteCheck && !leaseCovers(m.guardOf(server, server.call.term), server.call.term, state.time()) {
		server.finish(state, blocked)
		return
	}
	server.call.written, server.call.writtenAt = true, state.now
}

// loseAnswer makes the call of a server time out. A call that has been written may still arrive.
func (s *modelState) loseAnswer(index int) {
	s.faults[faultAnswerLost]++
	server := &s.servers[index]
	if !server.call.arrived {
		s.abandonedCalls = append(s.abandonedCalls, *server.call)
	}
	server.finish(s, failed)
}

// modelStateLimit is the maximum number of states of a search. It limits the run time; a complete search stays below
// it.
const modelStateLimit = 12_000_000

// search runs a search from the initial state.
func search(variant modelVariant, bounds modelBounds) *modelSearch {
	result := &modelSearch{modelVariant: variant, modelBounds: bounds, visited: map[uint64]bool{}}
	result.visit(newModelState())
	return result
}

var completeSearch = flag.Bool("complete", false, "search the model with up to two faults and three elections together")

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
			t.Errorf("%+v: search incomplete or without arrivals: %d states, %d arrivals",
				bounds, len(result.visited), result.arrivals)
		}
		t.Logf("%+v: %d states, %d arrivals", bounds, len(result.visited), result.arrivals)
	}
}

// wideningBounds contains the bounds within which a violation is searched for, one after the other.
var wideningBounds = []modelBounds{
	{ticks: 4, elections: 2, faults: 0},
	{ticks: 6, elections: 2, faults: 0},
	{ticks: 6, elections: 2, faults: 1},
	{ticks: 4, elections: 3, faults: 1},
}

// The search finds a violation in each variant, which shows that the disabled safeguards are needed.
func TestModel_EachGuardIsNeeded(t *testing.T) {
	for name, variant := range map[string]modelVariant{
		"intent committed first":                                  {sendsDrafts: true},
		"a successor sends the same bytes":                        {redraftsOnTakeover: true},
		"the fence is the sender's own term":                      {sendsDraftTerm: true},
		"no call without a lease":                                 {noLeaseCheck: true},
		"the lease is checked at the write":                       {noWriteCheck: true},
		"a call is written under its term's lease":                {acceptsAnyLease: true},
		"a new leader is quiet for a lease":                       {noQuietPeriod: true},
		"one lease at a time":                                     {overlappingLeases: true},
		"a reset has floors":                                      {noFloors: true},
		"a number is accepted once, and a new leader reads first": {acceptsNumberTwice: true, noInitialRead: true},
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

// The observer must detect each kind of violation; otherwise a search without violations would prove nothing.
func TestModelObserver_DetectsEachViolation(t *testing.T) {
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
			t.Errorf("%s: violation %q, want a violation: %t", name, observer.violation, test.violated)
		}
	}
}
