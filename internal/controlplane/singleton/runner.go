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
	// passInterval is the time between two looks at the leadership, the tasks and the outbox.
	passInterval = 200 * clock.Millisecond
	// commitTimeout limits the wait for a proposal's result, readTimeout that for the first read of a term.
	commitTimeout = clock.Second
	readTimeout   = clock.Second
)

// Runner makes the singleton calls of one service shard while this server leads it. The zero value is not
// usable; use NewRunner.
type Runner struct {
	Counters
	options    Options
	assignment Assignment
	// wake has the sender look for calls; one signal is kept.
	wake chan struct{}

	// lock guards what follows.
	lock sync.Mutex
	// term is nil while this server does not lead, or has not read the outbox in its term yet.
	term *runningTerm
	// view is the outbox as it was read last, and seenAt when each pending entry was seen first.
	view   outbox.View
	seenAt map[outbox.Mark]clock.Microseconds
	// succeededAt is the time of the last accepted call of each kind.
	succeededAt map[string]clock.Microseconds
	// nextCallAt is when the rate allows the next call.
	nextCallAt clock.Microseconds
}

// runningTerm is a term in which this server leads, with the means to make its calls.
type runningTerm struct {
	*leadership
	// active is set while a majority confirms that this server leads. Calls are made only then.
	active bool
	client *http.Client
	// callContext ends with the term, and cancel ends it.
	callContext context.Context
	cancel      context.CancelFunc
}

// NewRunner makes a runner without tasks.
func NewRunner(options Options) *Runner {
	return &Runner{
		options:     options,
		wake:        make(chan struct{}, 1),
		seenAt:      map[outbox.Mark]clock.Microseconds{},
		succeededAt: map[string]clock.Microseconds{},
	}
}

// Attach gives the runner its tasks. It must be called before Run.
func (r *Runner) Attach(assignment Assignment) { r.assignment = assignment }

// Run makes the calls of the tasks until the context ends. Without tasks it does nothing.
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

// pass follows the leadership, proposes what is to be committed, and has the sender look at the result.
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

// followLeadership ends the term that is over and begins the one in which this server leads. It returns the term
// if calls may be made in it now, and nil if not. A term in which the contact with a majority is lost may go on.
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

// beginTerm reads what earlier leaders have committed, and begins a term. It returns nil if it can't.
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
			Int("pending", pending).Msg("calls to the platform taken over")
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.term = term
	r.setView(view)
	return term
}

// newClient returns a client whose every write is checked against the lease of the term.
func (r *Runner) newClient(term uint64) *http.Client {
	transportOptions := r.options.Transport
	transportOptions.UserTimeout = connectionTimeout
	transportOptions.SingleConnection = true
	transportOptions.WriteGuard = func() error {
		if leaseCovers(r.options.Shard.LeaseGuard().Load(), term, r.options.Clock.Now()) {
			return nil
		}
		r.Blocked.Add(1)
		return errcode.New(errcode.LeaseExpired, "write to the platform")
	}
	return &http.Client{Transport: transport.NewHTTPTransport(transportOptions)}
}

// endTerm forgets the term, if there is one, and ends its call in flight.
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

// readOutbox reads the outbox as it is applied here; false if the context ended before.
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

// setView records a view and when its entries were seen first. The lock must be held.
func (r *Runner) setView(view outbox.View) {
	now, seenAt := r.options.Clock.Now(), map[outbox.Mark]clock.Microseconds{}
	for _, entry := range view.Pending {
		mark := entry.Mark()
		seenAt[mark] = now
		if earlier, known := r.seenAt[mark]; known {
			seenAt[mark] = earlier
		}
	}
	r.view, r.seenAt = view, seenAt
}

// nextOperation asks the tasks for what they want committed, and returns what to propose; false if nothing.
func (r *Runner) nextOperation(ctx context.Context, term *runningTerm) (outbox.Operation, bool) {
	now := r.options.Clock.Now()
	r.lock.Lock()
	view := r.view
	tasks := contribution{request: term.nextRequest(view)}
	r.lock.Unlock()
	switch tasks.request {
	case requestNothing:
	case requestFloors:
		tasks.floors = r.floors(now)
	case requestDrafts:
		tasks.drafts = r.drafts(ctx, now, view)
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	return term.nextOperation(now, view, tasks)
}

func (r *Runner) drafts(ctx context.Context, now clock.Microseconds, view outbox.View) []outbox.Entry {
	var drafts []outbox.Entry
	for _, task := range r.assignment.Tasks {
		drafts = append(drafts, task.Draft(ctx, now, view)...)
	}
	return drafts
}

func (r *Runner) floors(now clock.Microseconds) []outbox.Mark {
	var marks []outbox.Mark
	for _, task := range r.assignment.Tasks {
		if withFloors, ok := task.(Floors); ok {
			marks = append(marks, withFloors.Floors(now)...)
		}
	}
	return marks
}

// propose proposes an operation and waits for its result.
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
			Msg("calls to the platform not committed")
	}
	r.lock.Lock()
	term.resolve(operation, outcome)
	r.lock.Unlock()
	if outcome == proposalApplied {
		r.recordResult(operation, data)
	}
}

// checkProposal is called in the shard's loop, directly before an operation is put into the log. An operation
// that was decided on in another term does not fit any more; a reset would drop what was committed since.
func (r *Runner) checkProposal(term uint64, operation outbox.Operation) error {
	status := r.options.Shard.CurrentStatus()
	if status == nil || status.Term != term {
		return errcode.New(errcode.TermStale, "calls to the platform that were drafted in term %d", term)
	}
	if operation.Reset && !r.options.Outbox.Incomplete {
		return errcode.New(errcode.RevisionStale, "the outbox is complete")
	}
	return nil
}

// recordResult logs and counts what the outbox did not accept. A number that is taken is none of it: an earlier
// proposal, of this leader or another one, was accepted in its place.
func (r *Runner) recordResult(operation outbox.Operation, data []byte) {
	result, err := outbox.DecodeResult(data)
	if err != nil || len(result.Codes) != len(operation.Drafts) {
		log.Error().Str("server", r.options.Server).Err(err).Msg("result of the outbox not readable")
		return
	}
	if operation.Reset {
		log.Warn().Str("server", r.options.Server).Int("shard", r.options.Shard.Index()).
			Msg("outbox was lost and begins anew")
	}
	for position, code := range result.Codes {
		if code == errcode.OK || code == errcode.EntryNumberTaken {
			continue
		}
		r.DraftsRefused.Add(1)
		draft := operation.Drafts[position]
		log.Warn().Str("server", r.options.Server).Str("kind", draft.Kind).Str("subject", draft.Name).
			Uint64("number", draft.Number).Stringer("code", code).Msg("call to the platform not accepted by the outbox")
	}
}

// wakeSender has the sender look for a call that is ready.
func (r *Runner) wakeSender() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// jitter is a random number from 0 up to 1.
func jitter() float64 { return rand.Float64() }
