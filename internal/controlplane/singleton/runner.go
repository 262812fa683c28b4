package singleton

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/state/outbox"
	"coursepass/internal/transport"
)

const (
	// passInterval is the interval at which the runner checks the leadership, the tasks and the outbox.
	passInterval = 200 * clock.Millisecond
	// commitTimeout is the timeout of waiting for the result of a proposal.
	commitTimeout = clock.Second
	// readTimeout is the timeout of the first read of the outbox in a term.
	readTimeout = clock.Second
)

// Runner makes the singleton calls of one service shard while this server leads the shard. Use NewRunner to
// create one; the zero value is not usable.
type Runner struct {
	Counters
	options    Options
	assignment Assignment
	// wake signals the sender to look for calls that are ready. It buffers one signal.
	wake chan struct{}

	// lock guards the fields below.
	lock sync.Mutex
	// term is nil while this server does not lead, or has not yet read the outbox in its term.
	term *runningTerm
	// view is the content of the outbox as of the last read.
	view outbox.View
	// firstSeenAt is when this server first saw each pending entry.
	firstSeenAt map[outbox.Mark]clock.Microseconds
	// lastSuccessAt is when the last accepted call of each kind ended.
	lastSuccessAt map[string]clock.Microseconds
	// nextCallAt is when the rate limit allows the next call.
	nextCallAt clock.Microseconds
}

// runningTerm is a term in which this server leads, with the client and context of its calls.
type runningTerm struct {
	*leadership
	// active is set while a majority confirms that this server leads. Calls are started only while it is set.
	active bool
	client *http.Client
	// callContext is the parent context of the term's calls. cancel ends it when the term ends.
	callContext context.Context
	cancel      context.CancelFunc
}

// NewRunner returns a runner without tasks.
func NewRunner(options Options) *Runner {
	return &Runner{
		options:       options,
		wake:          make(chan struct{}, 1),
		firstSeenAt:   map[outbox.Mark]clock.Microseconds{},
		lastSuccessAt: map[string]clock.Microseconds{},
	}
}

// Attach sets the runner's tasks. It must be called before Run.
func (r *Runner) Attach(assignment Assignment) { r.assignment = assignment }

// Run makes the calls of the tasks until the context ends. Without tasks it returns at once.
func (r *Runner) Run(ctx context.Context) {
	if len(r.assignment.Tasks) == 0 {
		return
	}
	senderDone := make(chan struct{})
	go func() {
		defer close(senderDone)
		r.sendCalls(ctx)
	}()
	clock.Every(ctx, passInterval, func() { r.pass(ctx) })
	r.endTerm()
	<-senderDone
}

// pass updates the current term, proposes the operation that is due, if any, and then wakes the sender.
func (r *Runner) pass(ctx context.Context) {
	term := r.followLeadership(ctx)
	if term == nil || !r.readOutbox(ctx) {
		return
	}
	if operation, due := r.nextOperation(ctx, term); due {
		r.propose(ctx, term, operation)
		r.readOutbox(ctx)
	}
	r.wakeSender()
}

// followLeadership ends the current term if it is over, and begins a term if this server leads in a new one. It
// returns the term if calls may be made in it now, and nil otherwise. Losing contact with the majority does not end
// a term: the term continues if contact is restored before this server promises a higher term.
func (r *Runner) followLeadership(ctx context.Context) *runningTerm {
	status := r.options.Shard.CurrentStatus()
	if status == nil {
		return nil
	}
	r.lock.Lock()
	term := r.term
	isOver := term != nil && status.PromisedTerm > term.term
	if term != nil {
		term.active = status.Owner && !isOver
	}
	r.lock.Unlock()
	if isOver {
		r.endTerm()
		term = nil
	}
	if !status.Owner {
		return nil
	}
	if term == nil {
		term = r.beginTerm(ctx, status.Term)
	}
	return term
}

// beginTerm reads the entries that earlier leaders committed, and begins a term. It returns nil if the read fails.
func (r *Runner) beginTerm(parent context.Context, number uint64) *runningTerm {
	ctx, cancelRead := context.WithTimeout(parent, readTimeout.Duration())
	defer cancelRead()
	var view outbox.View
	if r.options.Shard.LinearizableRead(ctx, func() { view = r.options.Outbox.View }) != nil {
		return nil
	}
	callContext, cancel := context.WithCancel(parent)
	term := &runningTerm{
		leadership:  newLeadership(number),
		active:      true,
		client:      r.newClient(number),
		callContext: callContext,
		cancel:      cancel,
	}
	if pending := len(view.Pending); pending > 0 {
		log.Info().Str("server", r.options.Server).Int("shard", r.options.Shard.Index()).Uint64("term", number).
			Int("pending", pending).Msg("taking over pending platform calls")
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.term = term
	r.setView(view)
	return term
}

// newClient returns an HTTP client that checks the lease of the given term before every write.
func (r *Runner) newClient(term uint64) *http.Client {
	transportOptions := r.options.Transport
	transportOptions.UserTimeout = connectionTimeout
	transportOptions.SingleConnection = true
	transportOptions.WriteGuard = func() error {
		if leaseCovers(r.options.Shard.LeaseGuard().Load(), term, r.options.Clock.Now()) {
			return nil
		}
		r.Blocked.Add(1)
		return errcode.New(errcode.LeaseExpired, "write to the platform in term %d", term)
	}
	return &http.Client{Transport: transport.NewHTTPTransport(transportOptions)}
}

// endTerm ends the current term, if there is one, and cancels its call in flight.
func (r *Runner) endTerm() {
	r.lock.Lock()
	term := r.term
	r.term = nil
	r.lock.Unlock()
	if term != nil {
		term.cancel()
		term.client.CloseIdleConnections()
	}
}

// readOutbox reads the locally applied state of the outbox. It returns false if the context ended before the read.
func (r *Runner) readOutbox(ctx context.Context) bool {
	var view outbox.View
	if !r.options.Shard.RunInLoop(ctx, func() { view = r.options.Outbox.View }) {
		return false
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.setView(view)
	return true
}

// setView stores a view of the outbox and when each of its pending entries was first seen. The lock must be held.
func (r *Runner) setView(view outbox.View) {
	now, seenAt := r.options.Clock.Now(), map[outbox.Mark]clock.Microseconds{}
	for _, entry := range view.Pending {
		mark := entry.Mark()
		seenAt[mark] = now
		if earlier, known := r.firstSeenAt[mark]; known {
			seenAt[mark] = earlier
		}
	}
	r.view, r.firstSeenAt = view, seenAt
}

// nextOperation asks the tasks for drafts or floors and returns the operation to propose. The second result reports
// whether there is one.
func (r *Runner) nextOperation(ctx context.Context, term *runningTerm) (outbox.Operation, bool) {
	now := r.options.Clock.Now()
	r.lock.Lock()
	view := r.view
	response := taskResponse{request: term.nextRequest(view)}
	r.lock.Unlock()
	switch response.request {
	case requestNothing:
	case requestFloors:
		response.floors = r.floors(now)
	case requestDrafts:
		response.drafts = r.drafts(ctx, now, view)
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	return term.nextOperation(now, view, response)
}

// drafts returns the entries that the tasks draft.
func (r *Runner) drafts(ctx context.Context, now clock.Microseconds, view outbox.View) []outbox.Entry {
	var drafts []outbox.Entry
	for _, task := range r.assignment.Tasks {
		drafts = append(drafts, task.Draft(ctx, now, view)...)
	}
	return drafts
}

// floors returns the floors of the tasks that implement Floors.
func (r *Runner) floors(now clock.Microseconds) []outbox.Mark {
	var marks []outbox.Mark
	for _, task := range r.assignment.Tasks {
		if withFloors, ok := task.(Floors); ok {
			marks = append(marks, withFloors.Floors(now)...)
		}
	}
	return marks
}

// propose proposes an operation, waits for its result and records it.
func (r *Runner) propose(parent context.Context, term *runningTerm, operation outbox.Operation) {
	ctx, cancel := context.WithTimeout(parent, commitTimeout.Duration())
	defer cancel()
	encoded := operation.Encode()
	data, err := r.options.Shard.Propose(ctx, func() ([]byte, error) {
		return encoded, r.checkProposal(term.term, operation)
	})
	outcome := proposalApplied
	switch {
	case errcode.CodeOf(err, errcode.OutcomeUnknown) == errcode.OutcomeUnknown:
		outcome = proposalUnknown
	case err != nil:
		outcome = proposalRefused
	}
	if err != nil {
		log.Warn().Str("server", r.options.Server).Int("shard", r.options.Shard.Index()).Err(err).
			Msg("proposing platform calls failed")
	}
	r.lock.Lock()
	term.resolve(operation, outcome)
	r.lock.Unlock()
	if outcome == proposalApplied {
		r.recordResult(operation, data)
	}
}

// checkProposal runs in the shard's event loop, immediately before an operation is appended to the log. It rejects
// an operation that was drafted in another term, since the outbox may have changed, and a reset of an outbox that
// is complete, since it would drop entries that were committed after the outbox became complete.
func (r *Runner) checkProposal(term uint64, operation outbox.Operation) error {
	status := r.options.Shard.CurrentStatus()
	if status == nil || status.Term != term {
		return errcode.New(errcode.TermStale, "platform calls drafted in term %d", term)
	}
	if operation.Reset && !r.options.Outbox.Incomplete {
		return errcode.New(errcode.RevisionStale, "the outbox is complete and must not be reset")
	}
	return nil
}

// recordResult logs and counts the drafts that the outbox rejected. A draft whose number is taken does not count
// as rejected: an earlier proposal with this number, by this leader or a previous one, was accepted instead.
func (r *Runner) recordResult(operation outbox.Operation, data []byte) {
	result, err := outbox.DecodeResult(data)
	if err != nil || len(result.Codes) != len(operation.Drafts) {
		log.Error().Str("server", r.options.Server).Err(err).Msg("malformed outbox result")
		return
	}
	if operation.Reset {
		log.Warn().Str("server", r.options.Server).Int("shard", r.options.Shard.Index()).
			Msg("outbox content was lost, outbox reset")
	}
	for position, code := range result.Codes {
		if code == errcode.OK || code == errcode.EntryNumberTaken {
			continue
		}
		r.DraftsRefused.Add(1)
		draft := operation.Drafts[position]
		log.Warn().Str("server", r.options.Server).Str("kind", draft.Kind).Str("subject", draft.Name).
			Uint64("number", draft.Number).Stringer("code", code).Msg("platform call rejected by the outbox")
	}
}

// wakeSender signals the sender to look for a call that is ready. It does not block.
func (r *Runner) wakeSender() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// jitter returns a random number in [0, 1).
func jitter() float64 { return rand.Float64() }
