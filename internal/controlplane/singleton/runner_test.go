package singleton

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/enginecommand"
	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/platformport"
	"coursepass/internal/state/outbox"
	"coursepass/internal/topology"
	"coursepass/internal/transport"
)

// fakeOutcome is how a fakeShard handles a proposal.
type fakeOutcome uint8

const (
	// fakeCommitted commits the proposal and returns its result.
	fakeCommitted fakeOutcome = iota
	// fakeResponseLost commits the proposal and returns OutcomeUnknown.
	fakeResponseLost
	// fakeProposalLost drops the proposal and returns OutcomeUnknown.
	fakeProposalLost
	// fakeNotLeader rejects the proposal with NotLeader.
	fakeNotLeader
)

// fakeShard is a replica whose leadership and log are controlled by a test.
type fakeShard struct {
	lock   sync.Mutex
	status controlapi.ShardStatus
	lease  atomic.Pointer[enginecommand.LeaseGuard]
	state  *outbox.State
	// outcomes determines how the next proposals are handled. Further proposals are committed.
	outcomes []fakeOutcome
	// proposals contains the proposals so far, except rejected ones.
	proposals []outbox.Operation
}

func (f *fakeShard) Index() int { return 1 }

func (f *fakeShard) CurrentStatus() *controlapi.ShardStatus {
	f.lock.Lock()
	defer f.lock.Unlock()
	status := f.status
	return &status
}

func (f *fakeShard) LeaseGuard() *atomic.Pointer[enginecommand.LeaseGuard] { return &f.lease }

func (f *fakeShard) RunInLoop(_ context.Context, query func()) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	query()
	return true
}

func (f *fakeShard) LinearizableRead(ctx context.Context, query func()) error {
	f.RunInLoop(ctx, query)
	return nil
}

func (f *fakeShard) Propose(_ context.Context, draft func() ([]byte, error)) ([]byte, error) {
	data, err := draft()
	if err != nil {
		return nil, err
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	outcome := fakeCommitted
	if len(f.outcomes) > 0 {
		outcome, f.outcomes = f.outcomes[0], f.outcomes[1:]
	}
	if outcome == fakeNotLeader {
		return nil, errcode.New(errcode.NotLeader, "shard")
	}
	operation, err := outbox.DecodeOperation(data)
	if err != nil {
		return nil, err
	}
	f.proposals = append(f.proposals, operation)
	if outcome == fakeProposalLost {
		return nil, errcode.New(errcode.OutcomeUnknown, "shard")
	}
	result := f.state.Apply(operation)
	if outcome == fakeResponseLost {
		return nil, errcode.New(errcode.OutcomeUnknown, "shard")
	}
	return result.Encode(), nil
}

// proposed returns the proposals so far, except rejected ones.
func (f *fakeShard) proposed() []outbox.Operation {
	f.lock.Lock()
	defer f.lock.Unlock()
	return slices.Clone(f.proposals)
}

// pending returns the pending entries of the committed outbox.
func (f *fakeShard) pending() []outbox.Entry {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.state.Pending
}

// lead makes the server the leader of a term, with a lease of the given duration.
func (f *fakeShard) lead(term uint64, now, duration clock.Microseconds) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.status = controlapi.ShardStatus{Owner: true, Term: term, PromisedTerm: term}
	f.lease.Store(&enginecommand.LeaseGuard{Term: term, NotBefore: now, NotAfter: now + duration})
}

// follow makes the server a follower in a term, without a lease.
func (f *fakeShard) follow(term uint64) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.status = controlapi.ShardStatus{Term: term, PromisedTerm: term}
	f.lease.Store(nil)
}

// sentCall is a call that was made through a fakeCalls.
type sentCall struct {
	platformport.SingletonCall
	at time.Time
	// committed means that the entry of the call was pending in the committed outbox at that time.
	committed bool
}

// fakeCalls is a platform whose responses are controlled by a test.
type fakeCalls struct {
	platformport.SingletonCalls
	shard *fakeShard
	lock  sync.Mutex
	sent  []sentCall
	// respond returns the response to each call.
	respond func(context.Context, platformport.SingletonCall) (platformport.Judgement, error)
}

func (f *fakeCalls) Send(
	ctx context.Context, _ *http.Client, call platformport.SingletonCall,
) (platformport.Judgement, error) {
	committed := false
	f.shard.RunInLoop(ctx, func() {
		committed = slices.ContainsFunc(f.shard.state.Pending, func(entry outbox.Entry) bool {
			return string(entry.Payload) == string(call.Body)
		})
	})
	f.lock.Lock()
	f.sent = append(f.sent, sentCall{SingletonCall: call, at: time.Now(), committed: committed})
	respond := f.respond
	f.lock.Unlock()
	return respond(ctx, call)
}

// setRespond sets the function that responds to later calls.
func (f *fakeCalls) setRespond(respond func(context.Context, platformport.SingletonCall) (platformport.Judgement, error)) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.respond = respond
}

// sentCalls returns all calls so far.
func (f *fakeCalls) sentCalls() []sentCall {
	f.lock.Lock()
	defer f.lock.Unlock()
	return slices.Clone(f.sent)
}

// bodies returns the bodies of all calls so far.
func (f *fakeCalls) bodies() []string {
	var bodies []string
	for _, call := range f.sentCalls() {
		bodies = append(bodies, string(call.Body))
	}
	return bodies
}

// fakeTask drafts the entries that a test wants, except entries whose number is taken.
type fakeTask struct {
	lock   sync.Mutex
	wanted []outbox.Entry
	// views contains the views that were passed to Draft.
	views []outbox.View
}

func (f *fakeTask) Kind() string { return "usage" }

func (f *fakeTask) Draft(_ context.Context, _ clock.Microseconds, held outbox.View) []outbox.Entry {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.views = append(f.views, held)
	var drafts []outbox.Entry
	for _, entry := range f.wanted {
		if highest, known := held.Highest(entry.Subject); !known || entry.Number > highest {
			drafts = append(drafts, entry)
		}
	}
	return drafts
}

func (f *fakeTask) Floors(clock.Microseconds) []outbox.Mark {
	return []outbox.Mark{newReport(3).Mark()}
}

// want adds entries to draft.
func (f *fakeTask) want(entries ...outbox.Entry) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.wanted = append(f.wanted, entries...)
}

// runnerFixture is a runner with fakes, which runs in virtual time.
type runnerFixture struct {
	*testing.T
	*Runner
	shard *fakeShard
	calls *fakeCalls
	task  *fakeTask
	clock *clock.Clock
}

func acceptCall(context.Context, platformport.SingletonCall) (platformport.Judgement, error) {
	return platformport.JudgementAccepted, nil
}

func failCall(context.Context, platformport.SingletonCall) (platformport.Judgement, error) {
	return platformport.JudgementRetry, errcode.New(errcode.ConnectionLost, "platform")
}

// runRunner runs a test with a started runner that does not lead yet.
func runRunner(t *testing.T, callsPerSecond float64, test func(*runnerFixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fixture := &runnerFixture{T: t, shard: &fakeShard{state: outbox.NewState()}, task: &fakeTask{}, clock: clock.New()}
		fixture.calls = &fakeCalls{shard: fixture.shard, respond: acceptCall}
		fixture.Runner = NewRunner(Options{
			Server: "core-1",
			Clock:  fixture.clock,
			Shard:  fixture.shard,
			Outbox: fixture.shard.state,
		})
		fixture.Attach(Assignment{Calls: fixture.calls, Tasks: []Task{fixture.task}, CallsPerSecond: callsPerSecond})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			fixture.Runner.Run(ctx)
		}()
		test(fixture)
		cancel()
		<-done
	})
}

// lead makes the server the leader of a term, with a lease that outlasts the test.
func (f *runnerFixture) lead(term uint64) { f.shard.lead(term, f.clock.Now(), clock.Second*1000) }

func TestRunner_SendsCommittedEntriesOnly(t *testing.T) {
	runRunner(t, 50, func(fixture *runnerFixture) {
		fixture.task.want(newReport(1), newReport(2))
		time.Sleep(time.Second)
		if len(fixture.shard.proposed())+len(fixture.calls.bodies()) > 0 {
			fixture.Error("a follower proposed an operation or made a call")
		}
		fixture.lead(testTerm)
		time.Sleep(time.Second)
		requireBodies(fixture.T, fixture.calls.bodies(), "usage windows 1", "usage windows 2")
		for _, call := range fixture.calls.sentCalls() {
			if !call.committed || call.Term != testTerm || call.LeaseHolder != "core-1" || call.Kind != "usage" {
				fixture.Errorf("call %+v, want a committed entry in term %d of core-1", call, testTerm)
			}
		}
		time.Sleep(markDelay.Duration() + time.Second)
		if pending := fixture.shard.pending(); len(pending) != 0 || len(fixture.calls.bodies()) != 2 {
			fixture.Errorf("pending entries %v, want none; sent %q, want two calls", pending, fixture.calls.bodies())
		}
	})
}

// Tasks see the entries that an earlier leader left before they draft. The new leader sends these entries unchanged,
// under its own term.
func TestRunner_SendsEntriesOfEarlierLeader(t *testing.T) {
	runRunner(t, 50, func(fixture *runnerFixture) {
		earlierDraft, newDraft := newReport(7), newReport(7)
		earlierDraft.Payload, newDraft.Payload = []byte("counts of the earlier leader"), []byte("other counts")
		fixture.shard.RunInLoop(fixture.Context(), func() {
			fixture.shard.state.Apply(outbox.Operation{Drafts: []outbox.Entry{earlierDraft}})
		})
		fixture.task.want(newDraft, newReport(8))
		fixture.lead(testTerm)
		time.Sleep(time.Second)
		requireBodies(fixture.T, fixture.calls.bodies(), "counts of the earlier leader", "usage windows 8")
		fixture.task.lock.Lock()
		defer fixture.task.lock.Unlock()
		if held := fixture.task.views[0].Pending; len(held) != 1 || string(held[0].Payload) != string(earlierDraft.Payload) {
			fixture.Errorf("first view of the task: pending %v, want the entry of the earlier leader", held)
		}
	})
}

func TestRunner_ResolvesUnknownOutcomes(t *testing.T) {
	for name, outcomes := range map[string][]fakeOutcome{
		"the answer is lost":               {fakeResponseLost},
		"the proposal is lost":             {fakeProposalLost, fakeProposalLost},
		"lost, not leader, then committed": {fakeProposalLost, fakeNotLeader, fakeResponseLost},
	} {
		t.Run(name, func(t *testing.T) {
			runRunner(t, 50, func(fixture *runnerFixture) {
				fixture.shard.RunInLoop(fixture.Context(), func() { fixture.shard.outcomes = outcomes })
				fixture.task.want(newReport(1))
				fixture.lead(testTerm)
				// While the outcome is unknown, the task changes its counts for the same window.
				time.Sleep(250 * time.Millisecond)
				changed := newReport(1)
				changed.Payload = []byte("other counts")
				fixture.task.lock.Lock()
				fixture.task.wanted = []outbox.Entry{changed}
				fixture.task.lock.Unlock()
				time.Sleep(3 * time.Second)
				requireBodies(fixture.T, fixture.calls.bodies(), "usage windows 1")
				for _, proposal := range fixture.shard.proposed() {
					for _, draft := range proposal.Drafts {
						if string(draft.Payload) != "usage windows 1" {
							fixture.Errorf("proposed %q, want the first draft unchanged", draft.Payload)
						}
					}
				}
			})
		})
	}
}

// The end of a term cancels the term's call in flight. In its next term the same server sends the entry again, but
// never while the earlier call is still running.
func TestRunner_NewTermSendsAgain(t *testing.T) {
	runRunner(t, 50, func(fixture *runnerFixture) {
		var inFlight, maxInFlight atomic.Int32
		fixture.calls.setRespond(func(ctx context.Context, call platformport.SingletonCall) (platformport.Judgement, error) {
			maxInFlight.Store(max(maxInFlight.Load(), inFlight.Add(1)))
			defer inFlight.Add(-1)
			if call.Term == testTerm {
				<-ctx.Done()
				return failCall(ctx, call)
			}
			return acceptCall(ctx, call)
		})
		fixture.task.want(newReport(1))
		fixture.lead(testTerm)
		time.Sleep(time.Second)
		fixture.lead(testTerm + 3)
		time.Sleep(time.Second)
		requireBodies(fixture.T, fixture.calls.bodies(), "usage windows 1", "usage windows 1")
		calls := fixture.calls.sentCalls()
		if first, second := calls[0].Term, calls[1].Term; first != testTerm || second != testTerm+3 {
			fixture.Errorf("terms of the calls: %d and %d, want %d and %d", first, second, testTerm, testTerm+3)
		}
		if maxInFlight.Load() != 1 {
			fixture.Errorf("%d calls at the same time, want 1", maxInFlight.Load())
		}
	})
}

func TestRunner_WaitsForLease(t *testing.T) {
	runRunner(t, 50, func(fixture *runnerFixture) {
		fixture.task.want(newReport(1))
		fixture.lead(testTerm)
		fixture.shard.lease.Store(nil)
		time.Sleep(time.Second)
		if len(fixture.shard.proposed()) != 1 || len(fixture.calls.bodies()) != 0 {
			fixture.Errorf("without a lease: %d proposals, want 1; %d calls, want 0",
				len(fixture.shard.proposed()), len(fixture.calls.bodies()))
		}
		if fixture.Blocked.Load() == 0 {
			fixture.Error("an entry that waits for the lease is not counted as blocked")
		}
		fixture.lead(testTerm)
		time.Sleep(time.Second)
		requireBodies(fixture.T, fixture.calls.bodies(), "usage windows 1")
	})
}

// A leader that loses contact with the majority keeps its term but sends nothing, and continues when contact is
// restored. A follower sends nothing.
func TestRunner_PausesWithoutMajority(t *testing.T) {
	runRunner(t, 50, func(fixture *runnerFixture) {
		fixture.task.want(newReport(1))
		fixture.lead(testTerm)
		time.Sleep(time.Second)
		fixture.shard.lock.Lock()
		fixture.shard.status.Owner = false
		fixture.shard.lock.Unlock()
		fixture.task.want(newReport(2))
		time.Sleep(time.Second)
		requireBodies(fixture.T, fixture.calls.bodies(), "usage windows 1")
		fixture.lead(testTerm)
		time.Sleep(time.Second)
		requireBodies(fixture.T, fixture.calls.bodies(), "usage windows 1", "usage windows 2")
		fixture.shard.follow(testTerm + 1)
		fixture.task.want(newReport(3))
		time.Sleep(time.Second)
		if status := fixture.Status(fixture.Context()); status.Leads || len(fixture.calls.bodies()) != 2 {
			fixture.Errorf("status of a follower: %+v, sent %q", status, fixture.calls.bodies())
		}
	})
}

// While the platform fails, entries stay pending. Once the platform has recovered, they are sent in order and within
// the permitted rate.
func TestRunner_KeepsEntriesWhilePlatformFails(t *testing.T) {
	const callsPerSecond = 5
	runRunner(t, callsPerSecond, func(fixture *runnerFixture) {
		fixture.calls.setRespond(failCall)
		fixture.lead(testTerm)
		for number := range uint64(12) {
			fixture.task.want(newReport(number))
		}
		time.Sleep(30 * time.Second)
		status := fixture.Status(fixture.Context())
		counters := map[string]int64{}
		fixture.AddCounters(counters)
		if len(status.Pending) != 12 || status.Pending[0].Failures == 0 || status.Pending[0].LastError == "" {
			fixture.Errorf("status while the platform fails: %+v", status)
		}
		if status.Pending[0].Age < 29*clock.Second || counters["singleton-oldest-ms"] < 29000 || counters["singleton-pending"] != 12 {
			fixture.Errorf("age of the oldest entry %d, counters %v", status.Pending[0].Age, counters)
		}
		if failures := fixture.Runner.Failed.Load(); failures < 6 || failures > 24 {
			fixture.Errorf("%d failed calls in 30 s, want 6 to 24", failures)
		}
		fixture.calls.lock.Lock()
		fixture.calls.sent, fixture.calls.respond = nil, acceptCall
		fixture.calls.lock.Unlock()
		time.Sleep(10 * time.Second)
		var want []string
		for number := range uint64(12) {
			want = append(want, string(newReport(number).Payload))
		}
		requireBodies(fixture.T, fixture.calls.bodies(), want...)
		requireRate(fixture.T, fixture.calls.sentCalls(), callsPerSecond)
		status = fixture.Status(fixture.Context())
		if since, known := status.SinceLastSuccess["usage"]; len(status.Pending) != 0 || !known || since > 10*clock.Second {
			fixture.Errorf("status after the platform has recovered: %+v", status)
		}
	})
}

// requireRate checks that no interval of one second contains more calls than permitted.
func requireRate(t *testing.T, sent []sentCall, callsPerSecond int) {
	t.Helper()
	for first := range sent {
		if last := first + callsPerSecond; last < len(sent) && sent[last].at.Sub(sent[first].at) <= time.Second {
			t.Errorf("calls %d to %d were made within %v", first, last, sent[last].at.Sub(sent[first].at))
		}
	}
}

func TestCallSpacing_StaysBelowPermittedRate(t *testing.T) {
	for _, callsPerSecond := range []float64{0.5, 1, 2, 3, 4, 5, 10, 50} {
		inAnySecond := float64(clock.Second/callSpacing(callsPerSecond)) + 1
		if inAnySecond > max(callsPerSecond, 1) {
			t.Errorf("%v calls per second permitted, up to %v made", callsPerSecond, inAnySecond)
		}
	}
}

func TestRunner_ResetsLostOutbox(t *testing.T) {
	runRunner(t, 50, func(fixture *runnerFixture) {
		fixture.shard.RunInLoop(fixture.Context(), func() { fixture.shard.state.Incomplete = true })
		fixture.task.want(newReport(2), newReport(3), newReport(4))
		fixture.lead(testTerm)
		time.Sleep(2 * time.Second)
		requireBodies(fixture.T, fixture.calls.bodies(), "usage windows 4")
	})
}

// An operation that was drafted in another term, or a reset of a complete outbox, is not appended to the log.
func TestRunner_ChecksTermInLoop(t *testing.T) {
	runRunner(t, 50, func(fixture *runnerFixture) {
		fixture.lead(testTerm + 1)
		err := fixture.checkProposal(testTerm, outbox.Operation{})
		if errcode.CodeOf(err, errcode.OK) != errcode.TermStale {
			fixture.Errorf("operation of another term: error %v, want TermStale", err)
		}
		err = fixture.checkProposal(testTerm+1, outbox.Operation{Reset: true})
		if errcode.CodeOf(err, errcode.OK) != errcode.RevisionStale {
			fixture.Errorf("reset of a complete outbox: error %v, want RevisionStale", err)
		}
		if err := fixture.checkProposal(testTerm+1, outbox.Operation{}); err != nil {
			fixture.Error(err)
		}
	})
}

// The HTTP client of a term checks the lease of that term before each write.
func TestRunner_ClientWritesUnderLeaseOfItsTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := simulation.NewMemoryNetwork(0)
		requests := servePlatform(t, network)
		shard := &fakeShard{state: outbox.NewState()}
		hostClock := clock.New()
		runner := NewRunner(Options{
			Clock: hostClock,
			Shard: shard,
			Transport: transport.Options{
				Network: simulation.Host{MemoryNetwork: network, Name: "core"},
				Meter:   topology.NewTrafficMeter(""),
			},
		})
		client := runner.newClient(testTerm)
		defer client.CloseIdleConnections()
		post := func() error {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://10.0.0.1:1/", nil)
			if err != nil {
				t.Fatal(err)
			}
			response, err := client.Do(request)
			if err == nil {
				_ = response.Body.Close()
			}
			return err
		}
		shard.lead(testTerm, hostClock.Now(), 10*clock.Second)
		if err := post(); err != nil {
			t.Error(err)
		}
		shard.lead(testTerm+1, hostClock.Now(), 10*clock.Second)
		if err := post(); errcode.CodeOf(err, errcode.OK) != errcode.LeaseExpired {
			t.Errorf("write under the lease of another term: error %v, want LeaseExpired", err)
		}
		shard.lead(testTerm, hostClock.Now(), sendTimeout)
		if err := post(); errcode.CodeOf(err, errcode.OK) != errcode.LeaseExpired {
			t.Errorf("write shortly before the end of the lease: error %v, want LeaseExpired", err)
		}
		// net/http may retry on another connection if nothing was written, so a request may be blocked twice.
		if requests.Load() != 1 || runner.Blocked.Load() < 2 {
			t.Errorf("%d requests arrived, want 1; %d writes were blocked, want at least 2",
				requests.Load(), runner.Blocked.Load())
		}
	})
}

// servePlatform starts a server at 10.0.0.1:1 that accepts all requests. It returns their number.
func servePlatform(t *testing.T, network *simulation.MemoryNetwork) *atomic.Int32 {
	t.Helper()
	var listener net.Listener
	listener, err := simulation.Host{MemoryNetwork: network, Name: "platform"}.Listen("10.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	var requests atomic.Int32
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) })}
	go func() { _ = server.Serve(listener) }() // Serve returns when the server is closed.
	t.Cleanup(func() { _ = server.Close() })
	return &requests
}
