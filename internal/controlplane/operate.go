package core

import (
	"bytes"
	"context"
	"encoding/gob"
	"sync"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

const (
	operatePath   = "/core/operate"
	operateBudget = 4 * schedule.Second
	// mostHops is how often an errand is forwarded: by a core without a seat, and by one
	// that does not lead.
	mostHops = 2
)

// Errand is what a core asks the owner of a part to do for it.
type Errand struct {
	Configure *configuration.Request
	Outcome   string
	Read      bool
	Engines   *catalogue.Operation
	Service   string
	// Hops is how often the errand was forwarded, and Origin who forwarded it last.
	Hops   int
	Origin string
}

// Errands bring back an outcome, or all that is in force.
type Errands struct {
	configuration.Outcome
	View    configuration.View
	Engines catalogue.View
}

func (c *Errand) part(parts int) int {
	if c.Service == "" {
		return 0
	}
	return ServicePart(c.Service, parts)
}

// operate does an errand here if this core owns the part, and else forwards it to the core
// that leads, or to one that has a seat if this one has none. It ends with the caller's
// deadline. NotOwner says that nothing was proposed; an operation that may have gone into a
// log is never sent again.
func (s *Core) operate(parent context.Context, errand *Errand) (*Errands, error) {
	bounded, cancel := context.WithTimeout(parent, operateBudget.Duration())
	defer cancel()
	shard := s.shards[errand.part(s.Parts)]
	status := shard.standing()
	if status != nil && status.Slot >= 0 && status.Leader == status.Slot {
		return s.perform(bounded, shard, errand)
	}
	address, err := s.forwardTo(shard, status, errand)
	if err != nil {
		return nil, err
	}
	forwarded := *errand
	forwarded.Hops, forwarded.Origin = errand.Hops+1, s.seat.Address
	answer, err := circuit.Call[Errand, Errands](bounded, s.inner, address, operatePath, operateBudget, &forwarded)
	if err != nil {
		return nil, mishap.Wrap(err, mishap.OutcomeUnknown, "the core that was asked did not answer")
	}
	return answer, nil
}

// forwardTo is whom an errand goes to next: never back to whoever forwarded it, and no
// further than mostHops. A core without a seat only forwards what came to it first.
func (s *Core) forwardTo(shard *shard, status *Status, errand *Errand) (string, error) {
	if errand.Hops >= mostHops {
		return "", mishap.New(mishap.NotOwner, "part %d is not led here, and was forwarded %d times", shard.index, errand.Hops)
	}
	if status == nil || status.Slot < 0 {
		return s.someSeat(shard, errand)
	}
	if status.Leader < 0 {
		return "", mishap.New(mishap.NotOwner, "part %d has no leader here", shard.index)
	}
	address := shard.seats.Load().Seats[status.Leader].Address
	if address == "" || address == errand.Origin {
		return "", mishap.New(mishap.NotOwner, "part %d is not led where the errand came from", shard.index)
	}
	return address, nil
}

// someSeat is a seat's address, the next one each time.
func (s *Core) someSeat(shard *shard, errand *Errand) (string, error) {
	known := shard.seats.Load()
	if known == nil {
		return "", mishap.New(mishap.NotOwner, "part %d has not begun here", shard.index)
	}
	seats := known.Seats
	for range seats {
		seat := seats[int(s.turn.Add(1))%len(seats)]
		if errand.Hops == 0 && !seat.Vacant() && seat.Address != s.seat.Address {
			return seat.Address, nil
		}
	}
	return "", mishap.New(mishap.NotOwner, "part %d: no seat is known here", shard.index)
}

func (s *Core) perform(ctx context.Context, shard *shard, errand *Errand) (*Errands, error) {
	answer := &Errands{}
	switch {
	case errand.Configure != nil:
		outcome, err := s.configure(ctx, shard, *errand.Configure)
		answer.Outcome = outcome
		return answer, err
	case errand.Engines != nil:
		data, err := shard.propose(ctx, func() ([]byte, error) { return errand.Engines.Encode(), nil })
		if err != nil {
			return nil, err
		}
		result, err := catalogue.ReadResult(data)
		answer.Code, answer.Sequence = result.Code, result.Sequence
		return answer, err
	}
	return answer, s.read(ctx, shard, errand, answer)
}

// read answers once a majority has confirmed, after the call came, that this core leads.
func (s *Core) read(ctx context.Context, shard *shard, errand *Errand, answer *Errands) error {
	return shard.confirmed(ctx, func() {
		if shard.index > 0 {
			answer.Engines = s.duties[shard.index-1].engines.View
			return
		}
		answer.View = s.configs.View()
		if errand.Outcome == "" {
			return
		}
		found, known := s.configs.Outcome(errand.Outcome)
		if answer.Outcome = found; !known {
			answer.Outcome = configuration.Outcome{Code: mishap.UnknownOperation, Sequence: answer.View.Sequence, Text: errand.Outcome}
		}
	})
}

func (s *Core) configure(ctx context.Context, shard *shard, request configuration.Request) (configuration.Outcome, error) {
	// One expansion at a time: whoever comes second then sees the first one's sequence, and
	// is declined without one. All others are judged by the log alone, and wait for nobody.
	free := func() {}
	if request.Expands() {
		select {
		case s.configuring <- struct{}{}:
			free = sync.OnceFunc(func() { <-s.configuring })
			defer func() { free() }()
		case <-ctx.Done():
			return configuration.Outcome{}, mishap.New(mishap.NoMajority, "another operation is under way; nothing was changed")
		}
	}
	var view configuration.View
	var earlier configuration.Outcome
	var known bool
	if !shard.ask(ctx, func() {
		view = s.configs.View()
		earlier, known = s.configs.Outcome(request.Key)
	}) {
		return configuration.Outcome{}, mishap.New(mishap.NotOwner, "part 0")
	}
	if request.Kind == configuration.NoticePhase {
		return configuration.Outcome{Code: mishap.Malformed, Sequence: view.Sequence, Text: "only the leader notes phases"}, nil
	}
	request.Regions = s.Settings.Regions().Names()
	var operation configuration.Operation
	if !known {
		drafted, err := s.draft(ctx, view, request, &free)
		if err != nil && mishap.CodeOf(err, mishap.Malformed) != mishap.ConfigurationCostly {
			drafted, err = s.redraft(ctx, shard, &view, request, &free, err)
		}
		if code := mishap.CodeOf(err, mishap.Malformed); err != nil && (code == mishap.NoMajority || code == mishap.NotOwner) {
			return configuration.Outcome{}, err
		}
		if err != nil {
			return configuration.Outcome{Code: mishap.CodeOf(err, mishap.Malformed), Sequence: view.Sequence, Text: mishap.Text(err)}, nil
		}
		operation = drafted
	} else {
		operation.Key = request.Key
		log.Info().Str("core", s.Machine.Name).Str("key", request.Key).Int("code", int(earlier.Code)).Msg("operation seen before")
	}
	data, err := shard.propose(ctx, func() ([]byte, error) { return configuration.Encode(operation), nil })
	if err != nil {
		return configuration.Outcome{}, err
	}
	var outcome configuration.Outcome
	err = gob.NewDecoder(bytes.NewReader(data)).Decode(&outcome)
	if err == nil && outcome.Code == mishap.Fine {
		log.Info().Str("core", s.Machine.Name).Str("kind", string(request.Kind)).Uint64("sequence", outcome.Sequence).Msg("configuration in force")
	}
	return outcome, mishap.Wrap(err, mishap.Garbage, "outcome")
}

// redraft judges a request that is to be declined once more, if what a majority confirms to
// be in force is later than what it was judged by: a refusal is never told from this core's
// own view alone.
func (s *Core) redraft(
	ctx context.Context, shard *shard, view *configuration.View, request configuration.Request, free *func(), declined error,
) (configuration.Operation, error) {
	judged := view.Sequence
	if err := shard.confirmed(ctx, func() { *view = s.configs.View() }); err != nil {
		return configuration.Operation{}, err
	}
	if view.Sequence == judged {
		return configuration.Operation{}, declined
	}
	return s.draft(ctx, *view, request, free)
}

// draft evaluates a request within the operation's budget. The library can't be
// interrupted: an evaluation that takes longer goes on alone, its operation is declined,
// and the next one waits for its end.
func (s *Core) draft(ctx context.Context, view configuration.View, request configuration.Request, free *func()) (configuration.Operation, error) {
	type drafted struct {
		operation configuration.Operation
		failure   error
	}
	done, release := make(chan drafted, 1), *free
	go func() {
		operation, err := view.Draft(request)
		done <- drafted{operation, err}
	}()
	select {
	case found := <-done:
		return found.operation, found.failure
	case <-ctx.Done():
		*free = func() {}
		go func() {
			<-done
			release()
		}()
		return configuration.Operation{}, mishap.New(mishap.ConfigurationCostly, "the evaluation took longer than the operation may")
	}
}

func (s *Core) serveErrands() {
	circuit.Answer(s.inner, operatePath, func(ctx context.Context, errand *Errand) (*Errands, error) {
		errand.Hops = max(errand.Hops, 1)
		answer, err := s.operate(ctx, errand)
		if err == nil {
			return answer, nil
		}
		return &Errands{Outcome: configuration.Outcome{Code: mishap.CodeOf(err, mishap.OutcomeUnknown), Text: mishap.Text(err)}}, nil
	})
}
